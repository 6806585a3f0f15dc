//! The context that owns all state of the decisions.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;
use cranelift_entity::PrimaryMap;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::decision::{Decision, Placed, RefuseReason, Refused, TickOutput};
use crate::endpoint_view::{
    AnnouncedPlacement, Distance, EndedSequence, EndpointView, ForeignLoad, Report,
};
use crate::fair_queue::{FairQueue, Ticket, Waiting};
use crate::forecast::{Forecast, HORIZONS};
use crate::lengths::{ClassIx, ClassKey, Lengths};
use crate::poison::{Blame, PoisonTable};
use crate::policy_settings::{ObjectiveWeights, PolicySettings, Thresholds};
use crate::prefix_table::PrefixTable;
use crate::retry_budget::RetryBudgets;
use crate::scoring::{Load, score};
use crate::sequence::{Ask, Sequence, SequenceIx};
use crate::typical_forecast::TypicalForecast;

/// Organisations whose next generation is tried per tick round.
const HEADS_PER_ROUND: usize = 16;
/// Generations placed per tick at most.
const PLACED_PER_TICK: usize = 256;
/// Expected length up to which a generation may overtake an overdue one, in tokens.
const SHORT_TOKENS: u32 = 96;
/// Wait told to a caller when no endpoint is usable.
const NO_ENDPOINT_RETRY: Duration = Duration::from_secs(2);
/// Mean age that a report gains until the next one replaces it.
const HALF_REPORT_INTERVAL: Duration = Duration::from_millis(125);
/// Endpoints that are compared at least.
const MIN_CANDIDATES: usize = 3;
/// Generations between two attempts that are remembered.
const MAX_INTERRUPTED: usize = 10_000;
/// Probability of overflow up to which a generation with delivered tokens is placed: it must not
/// stall behind ones that have not begun.
const CONTINUE_RISK: f32 = 0.6;

/// How a placed generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The last token was generated.
    Finished,
    /// The endpoint refused it.
    NotRun,
    /// The endpoint lost it.
    Lost,
    /// It was moved away as decided.
    Moved,
    /// It was cancelled.
    Cancelled,
}

/// What is known of one route.
#[derive(Clone, Debug)]
struct RouteView {
    /// Endpoints that may serve it, ascending.
    endpoints: Vec<EndpointIx>,
    /// Weights of its objective.
    weights: ObjectiveWeights,
    /// Thresholds that follow from the weights.
    thresholds: Thresholds,
}

/// All state of the decisions.
pub struct Decider<L>
where
    L: Lengths,
{
    pub(crate) settings: PolicySettings,
    pub(crate) lengths: L,
    pub(crate) endpoints: PrimaryMap<EndpointIx, EndpointView>,
    pub(crate) sequences: PrimaryMap<SequenceIx, Option<Sequence>>,
    free: Vec<SequenceIx>,
    by_generation: HashMap<GenerationId, SequenceIx>,
    routes: HashMap<RouteIx, RouteView>,
    queue: FairQueue,
    tickets: HashMap<GenerationId, Ticket>,
    /// Interruptions of generations that are between two attempts.
    interrupted: HashMap<GenerationId, u8>,
    prefixes: PrefixTable,
    /// Hosts that place on the same endpoints.
    pub(crate) sharers: u32,
    hears_placements: bool,
    /// Forecast of a token of memory of this host's own sequences.
    pub(crate) typical: TypicalForecast,
    poison: PoisonTable,
    retries: RetryBudgets,
    pub(crate) rng: Pcg64Mcg,
    shed: Vec<Refused>,
    heads: Vec<Ticket>,
    candidates: Vec<EndpointIx>,
}

impl<L> Decider<L>
where
    L: Lengths,
{
    /// Builds a decider without endpoints.
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
            sharers: 1,
            hears_placements: false,
            typical: TypicalForecast::default(),
            poison: PoisonTable::default(),
            retries: RetryBudgets::default(),
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

    /// Returns the view of an endpoint.
    pub fn endpoint(&self, endpoint: EndpointIx) -> &EndpointView {
        &self.endpoints[endpoint]
    }

    /// Changes the view of an endpoint, for example when the host list shows it as leaving.
    pub fn endpoint_mut(&mut self, endpoint: EndpointIx) -> &mut EndpointView {
        &mut self.endpoints[endpoint]
    }

    /// Sets the endpoints that may serve a route, and its objective.
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
    pub fn set_sharers(&mut self, sharers: u32) {
        self.sharers = sharers.max(1);
    }

    /// Sets the weight of an organisation.
    pub fn set_weight(&mut self, organisation: OrganisationIx, weight: Weight) {
        self.queue.set_weight(organisation, weight);
    }

    /// Returns the class of length estimates of an organisation and route.
    pub fn class(&mut self, key: ClassKey) -> ClassIx {
        self.lengths.class(key)
    }

    /// Returns the length estimates.
    pub fn lengths(&self) -> &L {
        &self.lengths
    }

    /// Returns the number of generations that wait for a place.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of generations that were placed and run.
    pub fn running(&self) -> usize {
        self.by_generation.len()
    }

    /// Decides about a new attempt of a generation.
    pub fn place(&mut self, ask: Ask, now: Instant) -> Decision {
        if self.poison.is_refused(ask.fingerprint, now) {
            return refused(ask.generation, RefuseReason::Poison);
        }
        let is_retry = ask.avoid.is_some();
        if !is_retry {
            self.retries.earn(ask.organisation, ask.route);
        }
        if (self.queue.is_empty() || is_retry)
            && let Some(placed) = self.try_place(&ask, now, now)
        {
            self.queue.charge(ask.organisation, placed.expected_tokens);
            return Decision::Placed(placed);
        }
        if !self.has_hopeful_endpoint(&ask, now) {
            return refused(ask.generation, RefuseReason::NoEndpoint(NO_ENDPOINT_RETRY));
        }
        self.enqueue(ask, now)
    }

    /// Takes a retry from the budget of an organisation and route. A continuation of delivered
    /// tokens needs none: giving it up would lose work that was already paid for.
    pub fn may_retry(&mut self, ask: &Ask) -> bool {
        ask.delivered > 0 || self.retries.try_spend(ask.organisation, ask.route)
    }

    fn has_hopeful_endpoint(&self, ask: &Ask, now: Instant) -> bool {
        let candidates = self.route_endpoints(ask.route);
        candidates.iter().any(|endpoint| self.endpoints[*endpoint].is_hopeful(now))
    }

    fn enqueue(&mut self, ask: Ask, now: Instant) -> Decision {
        let wait = self.expected_wait(now);
        if wait > self.settings.max_wait || self.queue.len() >= self.settings.max_waiting {
            return self.shed_for(ask, now, wait);
        }
        self.push_waiting(ask, now);
        Decision::Waiting
    }

    fn push_waiting(&mut self, ask: Ask, now: Instant) {
        let expected = self.expected_tokens(&ask) + ask.prompt_tokens;
        let ticket = self.queue.push(Waiting { ask, expected, since: now });
        self.tickets.insert(ask.generation, ticket);
    }

    /// Makes room in overload: refuses the newest low-priority work of the organisation that
    /// waits for the most, which may be the new generation itself.
    fn shed_for(&mut self, ask: Ask, now: Instant, wait: Duration) -> Decision {
        self.push_waiting(ask, now);
        let Some(ticket) = self.queue.shed_candidate() else { return Decision::Waiting };
        let Some(victim) = self.queue.remove(ticket) else { return Decision::Waiting };
        self.tickets.remove(&victim.ask.generation);
        let reason = RefuseReason::Overloaded(wait.max(Duration::from_secs(1)));
        if victim.ask.generation == ask.generation {
            return refused(ask.generation, reason);
        }
        self.shed.push(Refused { generation: victim.ask.generation, reason });
        Decision::Waiting
    }

    /// Returns the time in which the waiting work is served, at the rate at which the engines
    /// decode now and with this host's share of it.
    pub fn expected_wait(&self, now: Instant) -> Duration {
        if self.queue.is_empty() {
            return Duration::ZERO;
        }
        let usable = self.endpoints.values().filter(|view| view.is_usable(now));
        let rates = usable.map(|view| view.running() as f32 / view.step_seconds);
        let share = rates.sum::<f32>() / self.sharers as f32;
        if share < 1.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(self.queue.expected_tokens() as f64 / f64::from(share))
    }

    fn expected_tokens(&self, ask: &Ask) -> u32 {
        let residual = self.lengths.mean_residual(ask.class, ask.hint, ask.delivered);
        let left = ask.max_tokens.saturating_sub(ask.delivered);
        (residual as u32).min(left)
    }

    /// Returns the forecast of a generation that holds `kv` tokens after `generated`.
    pub(crate) fn forecast(&self, ask: &Ask, generated: u32) -> Forecast {
        let kv = ask.prompt_tokens + generated;
        Forecast::of_sequence(kv, |horizon| {
            let to = generated + horizon;
            if to > ask.max_tokens {
                return 0.0;
            }
            self.lengths.continues(ask.class, ask.hint, generated, to)
        })
    }

    /// Places a generation if an endpoint is acceptable.
    fn try_place(&mut self, ask: &Ask, now: Instant, since: Instant) -> Option<Placed> {
        let forecast = self.forecast(ask, ask.delivered);
        let (endpoint, mut placed) = self.best_endpoint(ask, &forecast, now)?;
        placed.expected_tokens = self.expected_tokens(ask);
        placed.waited = now.saturating_duration_since(since);
        self.start(ask, endpoint, forecast, now);
        Some(placed)
    }

    /// Compares candidates and returns the cheapest acceptable one.
    fn best_endpoint(
        &mut self,
        ask: &Ask,
        forecast: &Forecast,
        now: Instant,
    ) -> Option<(EndpointIx, Placed)> {
        self.choose_candidates(ask, now);
        let suspect = self.poison.crashes(ask.fingerprint, now) > 0;
        let (weights, thresholds) = self.route_objective(ask.route);
        let fresh = ask.delivered == 0;
        let risk_limit = if fresh { thresholds.admit_risk } else { CONTINUE_RISK };
        if fresh && self.pool_risk(forecast, now) > thresholds.pool_risk {
            return None;
        }
        let mut best: Option<Placed> = None;
        let mut unusable = 0;
        for endpoint in &self.candidates {
            let view = &self.endpoints[*endpoint];
            let kept_apart = suspect && view.suspects > 0;
            if !view.is_usable(now) || kept_apart || ask.avoid == Some(*endpoint) {
                unusable += 1;
                continue;
            }
            let prefix_hit = self.prefixes.endpoints(ask.prefix, now).any(|e| e == *endpoint);
            let prompt_tokens = ask.prompt_tokens + ask.delivered;
            let load = Load { forecast, prompt_tokens, prefix_hit };
            let score = score(view, &load, &self.settings, &weights);
            let acceptable = score.risk <= risk_limit
                && view.engine_waiting == 0
                && view.running() < view.max_sequences;
            let alone = view.running() == 0;
            if !acceptable && !alone {
                continue;
            }
            if best.is_none_or(|best| score.seconds < best.score) {
                best = Some(Placed {
                    generation: ask.generation,
                    endpoint: *endpoint,
                    priority: self.engine_priority(ask),
                    risk: score.risk,
                    score: score.seconds,
                    compared: self.candidates.len() as u32,
                    unusable: 0,
                    kv: prompt_tokens,
                    expected_tokens: 0,
                    prefix_hit,
                    waited: Duration::ZERO,
                });
            }
        }
        best.map(|best| (best.endpoint, Placed { unusable, ..best }))
    }

    /// Returns the priority for the engine: a generation that was interrupted is preempted after
    /// the others of its class.
    fn engine_priority(&self, ask: &Ask) -> i32 {
        const LEVELS: i32 = 8;
        let interruptions = self.interrupted.get(&ask.generation).copied().unwrap_or(0);
        i32::from(ask.priority) * LEVELS + i32::from(interruptions).min(LEVELS - 1)
    }

    /// Returns the probability that the candidates overflow together with `forecast` added.
    ///
    /// Generations move between engines, so far ahead it is the memory of all of them that
    /// counts; its relative deviation is much smaller than that of one engine.
    fn pool_risk(&self, forecast: &Forecast, now: Instant) -> f32 {
        let mut total = Forecast::default();
        let mut capacity = 0.0;
        let guessed = if self.hears_placements { 0 } else { self.sharers - 1 };
        let others = guessed as f32;
        for endpoint in &self.candidates {
            let view = &self.endpoints[*endpoint];
            if view.is_usable(now) {
                total.add(&view.forecast);
                total.add(&view.foreign);
                total.add_scaled(&view.unreported, others);
                capacity += view.capacity as f32 * self.settings.usable_memory;
            }
        }
        total.overflow(forecast, capacity, HORIZONS.len())
    }

    /// Chooses the endpoints to compare: all when they are few, else a sample and those that are
    /// believed to hold the prefix.
    fn choose_candidates(&mut self, ask: &Ask, now: Instant) {
        self.candidates.clear();
        let Some(RouteView { endpoints: all, .. }) = self.routes.get(&ask.route) else { return };
        if all.len() <= self.settings.candidates {
            self.candidates.extend_from_slice(all);
            return self.thin_candidates();
        }
        for _ in 0..self.settings.candidates {
            self.candidates.push(all[self.rng.random_range(0..all.len())]);
        }
        for endpoint in self.prefixes.endpoints(ask.prefix, now) {
            if all.binary_search(&endpoint).is_ok() {
                self.candidates.push(endpoint);
            }
        }
    }

    /// Keeps a random half of the candidates when other hosts place on them too: hosts that all
    /// compare the same endpoints by the same reports would all choose the same one.
    fn thin_candidates(&mut self) {
        if self.sharers <= 1 || self.hears_placements {
            return;
        }
        let keep = (self.candidates.len().div_ceil(2)).max(MIN_CANDIDATES);
        while self.candidates.len() > keep {
            let ix = self.rng.random_range(0..self.candidates.len());
            self.candidates.swap_remove(ix);
        }
    }

    fn start(&mut self, ask: &Ask, endpoint: EndpointIx, forecast: Forecast, now: Instant) {
        let interruptions = self.interrupted.remove(&ask.generation).unwrap_or(0);
        let sequence = Sequence {
            ask: *ask,
            endpoint,
            generated: ask.delivered,
            reported_at: now,
            placed_at: now,
            forecast,
            interruptions,
            moving: false,
            blamed: false,
        };
        let suspect = self.poison.crashes(ask.fingerprint, now) > 0;
        let ix = self.insert_sequence(sequence);
        let view = &mut self.endpoints[endpoint];
        view.sequences.push(ix);
        view.forecast.add(&forecast);
        view.unreported.add(&forecast);
        view.suspects += u32::from(suspect);
        self.prefixes.insert(ask.prefix, endpoint, now);
        self.by_generation.insert(ask.generation, ix);
    }

    fn insert_sequence(&mut self, sequence: Sequence) -> SequenceIx {
        match self.free.pop() {
            Some(ix) => {
                self.sequences[ix] = Some(sequence);
                ix
            }
            None => self.sequences.push(Some(sequence)),
        }
    }

    /// Takes a progress report. Returns true when the generation must move.
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
            self.lengths.advance(sequence.ask.class, before, tokens);
        }
        sequence.moving
    }

    /// Takes the end of a placed or waiting generation. Returns blame to tell to other hosts.
    pub fn end(&mut self, generation: GenerationId, end: EndKind, now: Instant) -> Vec<Blame> {
        if let Some(ticket) = self.tickets.remove(&generation) {
            self.queue.remove(ticket);
        }
        let Some(sequence) = self.remove_sequence(generation, now) else { return Vec::new() };
        let endpoint = sequence.endpoint;
        match end {
            EndKind::Finished => {
                self.lengths.end(sequence.ask.class, sequence.generated);
                self.poison.finished(sequence.ask.fingerprint);
                self.endpoints[endpoint].succeeded();
            }
            EndKind::NotRun => self.endpoints[endpoint].failed(now),
            EndKind::Lost => {
                self.note_interruption(&sequence);
                return self.endpoint_lost(&sequence, now);
            }
            EndKind::Moved => self.note_interruption(&sequence),
            EndKind::Cancelled => {}
        }
        Vec::new()
    }

    /// Remembers an interruption until the next attempt starts.
    fn note_interruption(&mut self, sequence: &Sequence) {
        if self.interrupted.len() >= MAX_INTERRUPTED {
            self.interrupted.clear();
        }
        let count = sequence.interruptions.saturating_add(1);
        self.interrupted.insert(sequence.ask.generation, count);
    }

    fn remove_sequence(&mut self, generation: GenerationId, now: Instant) -> Option<Sequence> {
        let ix = self.by_generation.remove(&generation)?;
        let sequence = self.sequences[ix].take()?;
        self.free.push(ix);
        let suspect = self.poison.crashes(sequence.ask.fingerprint, now) > 0;
        let view = &mut self.endpoints[sequence.endpoint];
        view.sequences.retain(|other| *other != ix);
        view.forecast.subtract(&sequence.forecast);
        view.note_ended(EndedSequence {
            placed_at: sequence.placed_at,
            ended_at: now,
            kv: sequence.kv(),
        });
        view.suspects = view.suspects.saturating_sub(u32::from(suspect));
        if view.sequences.is_empty() {
            view.forecast = Forecast::default();
            view.suspects = 0;
        }
        Some(sequence)
    }

    /// Takes the loss of an endpoint, once per crash: the generations that ran there together
    /// report it one by one, and the first report blames for all of them.
    fn endpoint_lost(&mut self, lost: &Sequence, now: Instant) -> Vec<Blame> {
        self.endpoints[lost.endpoint].failed(now);
        if lost.blamed {
            return Vec::new();
        }
        let mut running = vec![lost.ask.fingerprint];
        for position in 0..self.endpoints[lost.endpoint].sequences.len() {
            let ix = self.endpoints[lost.endpoint].sequences[position];
            let Some(sequence) = &mut self.sequences[ix] else { continue };
            sequence.blamed = true;
            running.push(sequence.ask.fingerprint);
        }
        running.sort_unstable();
        running.dedup();
        self.prefixes.forget(lost.endpoint);
        self.poison.endpoint_crashed(&running, now)
    }

    /// Takes blame that another host found.
    pub fn learn_blame(&mut self, blame: Blame, now: Instant) {
        self.poison.learn(blame, now);
    }

    /// Takes the announcement that an endpoint cached a prefix.
    pub fn learn_prefix(&mut self, prefix: u64, endpoint: EndpointIx, now: Instant) {
        self.prefixes.insert(prefix, endpoint, now);
    }

    /// Takes a load report that was made at `made_at`.
    pub fn report(
        &mut self,
        endpoint: EndpointIx,
        report: &Report,
        made_at: Instant,
        now: Instant,
    ) {
        let mut own_running = 0;
        let mut own_kv = 0;
        let mut unreported = Forecast::default();
        for ix in &self.endpoints[endpoint].sequences {
            let Some(sequence) = &self.sequences[*ix] else { continue };
            if sequence.placed_at <= made_at {
                own_running += 1;
                own_kv += sequence.kv();
            } else {
                unreported.add(&sequence.forecast);
            }
        }
        for ended in &self.endpoints[endpoint].ended {
            if ended.placed_at <= made_at && ended.ended_at > made_at {
                own_running += 1;
                own_kv += ended.kv;
            }
        }
        let running = (report.running + report.waiting).saturating_sub(own_running);
        let kv = (report.kv_used + report.waiting_tokens).saturating_sub(own_kv);
        let age = now.saturating_duration_since(made_at) + HALF_REPORT_INTERVAL;
        let steps = age.as_secs_f32() / self.endpoints[endpoint].step_seconds;
        let forecast = self.foreign_forecast(running, kv, steps as u32);
        let foreign = ForeignLoad { running, forecast };
        let view = &mut self.endpoints[endpoint];
        view.take_report(report, &foreign, now);
        view.unreported = unreported;
        let announced = std::mem::take(&mut view.announced);
        for later in announced.into_iter().filter(|placement| placement.heard_at > made_at) {
            view.hear(later);
        }
    }

    /// Takes a placement of `kv` tokens that another host told of just now.
    pub fn hear_placement(&mut self, endpoint: EndpointIx, kv: u32, now: Instant) {
        let root = self.lengths.root();
        let continues = |horizon| self.lengths.continues(root, 0, 0, horizon);
        let forecast = Forecast::of_sequence(kv, continues);
        self.endpoints[endpoint].hear(AnnouncedPlacement { heard_at: now, forecast });
    }

    /// Tells whether other hosts announce their placements, so that they need not be guessed.
    pub fn set_hears_placements(&mut self, hears: bool) {
        self.hears_placements = hears;
    }

    /// Forecasts sequences of other hosts, of which only number and memory were known `steps` ago:
    /// their memory is expected to develop as that of this host's own sequences does.
    fn foreign_forecast(&self, running: u32, kv: u32, steps: u32) -> Forecast {
        let mut forecast = Forecast::default();
        if running > 0 {
            forecast.add_scaled(&self.typical.later(steps), kv as f32);
        }
        forecast
    }

    /// Places, refuses and moves generations. To be called every 20 to 100 milliseconds.
    pub fn tick(&mut self, now: Instant, out: &mut TickOutput) {
        out.clear();
        self.refresh_forecasts(now);
        self.rebalance(now, out);
        self.place_waiting(now, out);
        self.refuse_hopeless(now, out);
        out.refused.append(&mut self.shed);
    }

    fn place_waiting(&mut self, now: Instant, out: &mut TickOutput) {
        let overdue = self.queue.overdue(now, self.settings.overtake_limit);
        let blocked = overdue.is_some_and(|ticket| !self.place_ticket(ticket, now, out));
        let mut heads = std::mem::take(&mut self.heads);
        let mut progress = true;
        while progress && out.placed.len() < PLACED_PER_TICK {
            progress = false;
            self.queue.heads(HEADS_PER_ROUND, &mut heads);
            for ticket in &heads {
                let expected = self.queue.get(*ticket).map_or(0, |waiting| waiting.expected);
                if blocked && expected > SHORT_TOKENS {
                    continue;
                }
                if self.place_ticket(*ticket, now, out) {
                    progress = true;
                    break;
                }
            }
        }
        self.heads = heads;
    }

    fn place_ticket(&mut self, ticket: Ticket, now: Instant, out: &mut TickOutput) -> bool {
        let Some(waiting) = self.queue.get(ticket).copied() else { return false };
        let Some(placed) = self.try_place(&waiting.ask, now, waiting.since) else { return false };
        self.queue.serve(ticket);
        self.tickets.remove(&waiting.ask.generation);
        out.placed.push(placed);
        true
    }

    /// Refuses generations whose routes lost their last endpoint, and poison found meanwhile.
    fn refuse_hopeless(&mut self, now: Instant, out: &mut TickOutput) {
        let no_endpoint = RefuseReason::NoEndpoint(NO_ENDPOINT_RETRY);
        let hopeless: Vec<(Ticket, GenerationId, RefuseReason)> = self
            .queue
            .iter()
            .filter_map(|(ticket, waiting)| {
                let ask = &waiting.ask;
                let reason = if self.poison.is_refused(ask.fingerprint, now) {
                    RefuseReason::Poison
                } else if !self.has_hopeful_endpoint(ask, now) {
                    no_endpoint
                } else {
                    return None;
                };
                Some((ticket, ask.generation, reason))
            })
            .collect();
        for (ticket, generation, reason) in hopeless {
            self.queue.remove(ticket);
            self.tickets.remove(&generation);
            out.refused.push(Refused { generation, reason });
        }
    }
}

fn refused(generation: GenerationId, reason: RefuseReason) -> Decision {
    Decision::Refused(Refused { generation, reason })
}
