//! The scheduler state and the operations on single generations.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;
use cranelift_entity::PrimaryMap;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::decision::{Decision, RefuseReason, Refused};
use crate::endpoint_view::{Distance, EndedSequence, EndpointView};
use crate::fair_queue::{FairQueue, QueuedRequest, Ticket};
use crate::forecast::Forecast;
use crate::lengths::{ClassIx, ClassKey, Lengths};
use crate::per_token_forecast::PerTokenForecast;
use crate::poison::{CrashCount, PoisonTable};
use crate::policy_settings::{ObjectiveWeights, PolicySettings, Thresholds};
use crate::prefix_table::PrefixTable;
use crate::retry_budget::RetryBudgets;
use crate::sequence::{SchedulingRequest, Sequence, SequenceIx};

/// Organisations whose next generation is tried in one round of a tick.
pub(crate) const HEADS_PER_ROUND: usize = 16;
/// Retry delay sent to a client when no endpoint is usable.
pub(crate) const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Number of interrupted generations at which all interruption counts are dropped.
const MAX_INTERRUPTED: usize = 10_000;

/// How a placed generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The last token was generated.
    Finished,
    /// The endpoint refused it without running it.
    NotRun,
    /// The endpoint lost it.
    Lost,
    /// It was migrated to another endpoint as decided.
    Migrated,
    /// It was cancelled.
    Cancelled,
}

/// Endpoints and objective of one route.
#[derive(Clone, Debug)]
pub(crate) struct RouteView {
    /// Endpoints that may serve it, ascending.
    pub(crate) endpoints: Vec<EndpointIx>,
    /// Weights of its objective.
    pub(crate) weights: ObjectiveWeights,
    /// Thresholds derived from the weights.
    pub(crate) thresholds: Thresholds,
}

/// Schedules generations onto endpoints. Owns all scheduling state.
pub struct Decider<L>
where
    L: Lengths,
{
    pub(crate) settings: PolicySettings,
    pub(crate) lengths: L,
    pub(crate) endpoints: PrimaryMap<EndpointIx, EndpointView>,
    pub(crate) sequences: PrimaryMap<SequenceIx, Option<Sequence>>,
    pub(crate) free: Vec<SequenceIx>,
    pub(crate) by_generation: HashMap<GenerationId, SequenceIx>,
    pub(crate) routes: HashMap<RouteIx, RouteView>,
    pub(crate) queue: FairQueue,
    pub(crate) tickets: HashMap<GenerationId, Ticket>,
    /// Number of interruptions of each generation that is between two attempts.
    pub(crate) interrupted: HashMap<GenerationId, u8>,
    pub(crate) prefixes: PrefixTable,
    /// Number of hosts that place on the same endpoints, this one included.
    pub(crate) sharing_hosts: u32,
    /// True when other hosts send their placements to this one.
    pub(crate) receives_peer_placements: bool,
    /// Forecast per token of memory, averaged over this host's own sequences.
    pub(crate) per_token: PerTokenForecast,
    pub(crate) poison: PoisonTable,
    pub(crate) retry_budgets: RetryBudgets,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) shed: Vec<Refused>,
    pub(crate) heads: Vec<Ticket>,
    pub(crate) candidates: Vec<EndpointIx>,
}

impl<L> Decider<L>
where
    L: Lengths,
{
    /// Creates a decider without endpoints.
    pub fn new(settings: PolicySettings, lengths: L, seed: u64) -> Self {
        Self {
            settings,
            lengths,
            endpoints: PrimaryMap::new(),
            sequences: PrimaryMap::with_capacity(4096),
            free: Vec::with_capacity(4096),
            by_generation: HashMap::with_capacity(4096),
            routes: HashMap::new(),
            queue: FairQueue::default(),
            tickets: HashMap::new(),
            interrupted: HashMap::new(),
            prefixes: PrefixTable::default(),
            sharing_hosts: 1,
            receives_peer_placements: false,
            per_token: PerTokenForecast::default(),
            poison: PoisonTable::default(),
            retry_budgets: RetryBudgets::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            shed: Vec::new(),
            heads: Vec::with_capacity(HEADS_PER_ROUND),
            candidates: Vec::with_capacity(256),
        }
    }

    /// Adds an endpoint.
    pub fn add_endpoint(
        &mut self,
        capacity: u32,
        max_sequences: u32,
        distance: Distance,
    ) -> EndpointIx {
        self.endpoints.push(EndpointView::new(capacity, max_sequences, distance))
    }

    /// Returns the state of an endpoint.
    pub fn endpoint(&self, endpoint: EndpointIx) -> &EndpointView {
        &self.endpoints[endpoint]
    }

    /// Returns the mutable state of an endpoint, for example to mark it as draining.
    pub fn endpoint_mut(&mut self, endpoint: EndpointIx) -> &mut EndpointView {
        &mut self.endpoints[endpoint]
    }

    /// Sets the endpoints that may serve a route and the weights of its objective.
    pub fn set_route(
        &mut self,
        route: RouteIx,
        mut endpoints: Vec<EndpointIx>,
        weights: ObjectiveWeights,
    ) {
        endpoints.sort_unstable();
        let thresholds = self.settings.thresholds(&weights);
        self.routes.insert(route, RouteView { endpoints, weights, thresholds });
    }

    pub(crate) fn route_endpoints(&self, route: RouteIx) -> &[EndpointIx] {
        self.routes.get(&route).map_or(&[], |view| &view.endpoints)
    }

    /// Returns the weights and thresholds of a route.
    pub(crate) fn route_objective(&self, route: RouteIx) -> (ObjectiveWeights, Thresholds) {
        let default = || {
            let weights = ObjectiveWeights::default();
            (weights, self.settings.thresholds(&weights))
        };
        self.routes.get(&route).map_or_else(default, |view| (view.weights, view.thresholds))
    }

    /// Sets the number of hosts that place on the same endpoints, this one included.
    pub fn set_sharing_hosts(&mut self, sharing_hosts: u32) {
        self.sharing_hosts = sharing_hosts.max(1);
    }

    /// Sets the fair-queueing weight of an organisation.
    pub fn set_weight(&mut self, organisation: OrganisationIx, weight: Weight) {
        self.queue.set_weight(organisation, weight);
    }

    /// Returns the length-estimate class of an organisation and route.
    pub fn class(&mut self, key: ClassKey) -> ClassIx {
        self.lengths.class(key)
    }

    /// Returns the length estimates.
    pub fn lengths(&self) -> &L {
        &self.lengths
    }

    /// Returns the number of queued generations.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of placed generations that have not ended.
    pub fn running(&self) -> usize {
        self.by_generation.len()
    }

    /// Places, queues or refuses a new attempt of a generation.
    pub fn place(&mut self, request: SchedulingRequest, now: Instant) -> Decision {
        if self.poison.is_refused(request.fingerprint, now) {
            return refused(request.generation, RefuseReason::Poison);
        }
        let is_retry = request.avoid.is_some();
        if !is_retry {
            self.retry_budgets.deposit(request.organisation, request.route);
        }
        if (self.queue.is_empty() || is_retry)
            && let Some(placed) = self.try_place(&request, now, now)
        {
            self.queue.charge(request.organisation, placed.expected_tokens);
            return Decision::Placed(placed);
        }
        if !self.has_eligible_endpoint(&request, now) {
            return refused(request.generation, RefuseReason::NoEndpoint(NO_ENDPOINT_RETRY_AFTER));
        }
        self.enqueue(request, now)
    }

    /// Withdraws a retry from the budget of the organisation and route. Returns false when none is
    /// left. Continuing a generation with delivered tokens is free, because refusing it would waste
    /// the work already done.
    pub fn try_withdraw_retry(&mut self, request: &SchedulingRequest) -> bool {
        request.delivered > 0
            || self.retry_budgets.try_withdraw(request.organisation, request.route)
    }

    pub(crate) fn has_eligible_endpoint(&self, request: &SchedulingRequest, now: Instant) -> bool {
        let candidates = self.route_endpoints(request.route);
        candidates.iter().any(|endpoint| self.endpoints[*endpoint].is_eligible(now))
    }

    fn enqueue(&mut self, request: SchedulingRequest, now: Instant) -> Decision {
        let wait = self.expected_wait(now);
        if wait > self.settings.max_wait || self.queue.len() >= self.settings.max_waiting {
            return self.shed_for(request, now, wait);
        }
        self.push_waiting(request, now);
        Decision::Waiting
    }

    fn push_waiting(&mut self, request: SchedulingRequest, now: Instant) {
        let expected_tokens = self.expected_tokens(&request) + request.prompt_tokens;
        let ticket = self.queue.push(QueuedRequest { request, expected_tokens, queued_at: now });
        self.tickets.insert(request.generation, ticket);
    }

    /// Sheds load: queues the request, then refuses the newest low-priority generation of the
    /// organisation with the most queued tokens, which may be the new generation itself.
    fn shed_for(&mut self, request: SchedulingRequest, now: Instant, wait: Duration) -> Decision {
        self.push_waiting(request, now);
        let Some(ticket) = self.queue.shed_candidate() else { return Decision::Waiting };
        let Some(victim) = self.queue.remove(ticket) else { return Decision::Waiting };
        self.tickets.remove(&victim.request.generation);
        let reason = RefuseReason::Overloaded(wait.max(Duration::from_secs(1)));
        if victim.request.generation == request.generation {
            return refused(request.generation, reason);
        }
        self.shed.push(Refused { generation: victim.request.generation, reason });
        Decision::Waiting
    }

    /// Returns the expected time to drain the queue, at the current decode rate of the engines and
    /// with this host's share of it.
    pub fn expected_wait(&self, now: Instant) -> Duration {
        if self.queue.is_empty() {
            return Duration::ZERO;
        }
        let usable = self.endpoints.values().filter(|view| view.is_usable(now));
        let rates = usable.map(|view| view.running() as f32 / view.step_seconds);
        let share = rates.sum::<f32>() / self.sharing_hosts as f32;
        if share < 1.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(self.queue.expected_tokens() as f64 / f64::from(share))
    }

    pub(crate) fn expected_tokens(&self, request: &SchedulingRequest) -> u32 {
        let residual =
            self.lengths.mean_residual(request.class, request.oracle_length, request.delivered);
        let remaining = request.max_tokens.saturating_sub(request.delivered);
        (residual as u32).min(remaining)
    }

    /// Returns the memory forecast of a request that has generated `generated` tokens so far.
    pub(crate) fn forecast(&self, request: &SchedulingRequest, generated: u32) -> Forecast {
        let kv = request.prompt_tokens + generated;
        Forecast::of_sequence(kv, |horizon| {
            let to = generated + horizon;
            if to > request.max_tokens {
                return 0.0;
            }
            self.lengths.continuation_probability(
                request.class,
                request.oracle_length,
                generated,
                to,
            )
        })
    }

    pub(crate) fn insert_sequence(&mut self, sequence: Sequence) -> SequenceIx {
        match self.free.pop() {
            Some(ix) => {
                self.sequences[ix] = Some(sequence);
                ix
            }
            None => self.sequences.push(Some(sequence)),
        }
    }

    /// Records that a generation has `tokens` tokens. Returns true when it must migrate.
    pub fn progress(&mut self, generation: GenerationId, tokens: u32, now: Instant) -> bool {
        let Some(ix) = self.by_generation.get(&generation) else { return false };
        let Some(sequence) = &mut self.sequences[*ix] else { return false };
        let before = sequence.generated;
        if tokens > before {
            let elapsed = now.saturating_duration_since(sequence.reported_at).as_secs_f32();
            let per_token = elapsed / (tokens - before) as f32;
            sequence.generated = tokens;
            sequence.reported_at = now;
            self.endpoints[sequence.endpoint].observe_step(per_token);
            self.lengths.advance(sequence.request.class, before, tokens);
        }
        sequence.migrating
    }

    /// Records the end of a placed or queued generation. Returns crash counts to send to other
    /// hosts.
    pub fn end(&mut self, generation: GenerationId, end: EndKind, now: Instant) -> Vec<CrashCount> {
        if let Some(ticket) = self.tickets.remove(&generation) {
            self.queue.remove(ticket);
        }
        let Some(sequence) = self.remove_sequence(generation, now) else { return Vec::new() };
        let endpoint = sequence.endpoint;
        match end {
            EndKind::Finished => {
                self.lengths.end(sequence.request.class, sequence.generated);
                self.poison.clear_finished(sequence.request.fingerprint);
                self.endpoints[endpoint].record_success();
            }
            EndKind::NotRun => self.endpoints[endpoint].record_failure(now),
            EndKind::Lost => {
                self.record_interruption(&sequence);
                return self.attribute_endpoint_loss(&sequence, now);
            }
            EndKind::Migrated => self.record_interruption(&sequence),
            EndKind::Cancelled => {}
        }
        Vec::new()
    }

    /// Counts an interruption, which applies to the next attempt.
    fn record_interruption(&mut self, sequence: &Sequence) {
        if self.interrupted.len() >= MAX_INTERRUPTED {
            self.interrupted.clear();
        }
        let count = sequence.interruptions.saturating_add(1);
        self.interrupted.insert(sequence.request.generation, count);
    }

    fn remove_sequence(&mut self, generation: GenerationId, now: Instant) -> Option<Sequence> {
        let ix = self.by_generation.remove(&generation)?;
        let sequence = self.sequences[ix].take()?;
        self.free.push(ix);
        let suspect = self.poison.crashes(sequence.request.fingerprint, now) > 0;
        let view = &mut self.endpoints[sequence.endpoint];
        view.sequences.retain(|other| *other != ix);
        view.forecast.subtract(&sequence.forecast);
        view.record_ended(EndedSequence {
            placed_at: sequence.placed_at,
            ended_at: now,
            kv: sequence.kv(),
        });
        view.crash_suspects = view.crash_suspects.saturating_sub(u32::from(suspect));
        if view.sequences.is_empty() {
            view.forecast = Forecast::default();
            view.crash_suspects = 0;
        }
        Some(sequence)
    }

    /// Records the loss of an endpoint and attributes the crash to the requests that ran there.
    ///
    /// Every generation that ran on the endpoint reports the loss separately. Only the first report
    /// attributes the crash, so that it is counted once.
    fn attribute_endpoint_loss(&mut self, lost: &Sequence, now: Instant) -> Vec<CrashCount> {
        self.endpoints[lost.endpoint].record_failure(now);
        if lost.crash_attributed {
            return Vec::new();
        }
        let mut running = vec![lost.request.fingerprint];
        for position in 0..self.endpoints[lost.endpoint].sequences.len() {
            let ix = self.endpoints[lost.endpoint].sequences[position];
            let Some(sequence) = &mut self.sequences[ix] else { continue };
            sequence.crash_attributed = true;
            running.push(sequence.request.fingerprint);
        }
        running.sort_unstable();
        running.dedup();
        self.prefixes.remove_endpoint(lost.endpoint);
        self.poison.attribute_crash(&running, now)
    }

    /// Records a crash count received from another host.
    pub fn record_crash_count(&mut self, count: CrashCount, now: Instant) {
        self.poison.record(count, now);
    }

    /// Records that an endpoint cached a prefix.
    pub fn record_cached_prefix(&mut self, prefix: u64, endpoint: EndpointIx, now: Instant) {
        self.prefixes.insert(prefix, endpoint, now);
    }
}

fn refused(generation: GenerationId, reason: RefuseReason) -> Decision {
    Decision::Refused(Refused { generation, reason })
}
