//! The decision core, a `stakker` actor.
//!
//! The actor owns the decider and the registry, replies to the gateway and takes the time from the
//! actor runtime. It does no I/O.

use std::collections::{HashMap, HashSet};
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use camphorloft_config::object::Priority;
use camphorloft_decide::decider::{Decider, EndKind};
use camphorloft_decide::decision::{Decision, Placed, RefuseReason, Refused, TickOutput};
use camphorloft_decide::endpoint_view::Report;
use camphorloft_decide::lengths::{ClassKey, LearnedLengths};
use camphorloft_decide::model_placement::ModelPlanner;
use camphorloft_decide::poison::CrashCount;
use camphorloft_decide::policy_settings::PolicySettings;
use camphorloft_decide::sequence::SchedulingRequest;
use camphorloft_engine::load_report::LoadReport;
use camphorloft_gateway::control::{
    AttemptEnd, Invariant, Placement, PlacementRequest, Refusal, ServingSet,
};
use camphorloft_peer::wire::WirePlacement;
use camphorloft_types::prelude::*;
use camphorloft_types::rendezvous;
use slog::{Logger, info, warn};
use stakker::{CX, after};

use crate::core_client::SharedState;
use crate::core_thread::CoreMessage;
use crate::endpoint_subset::EndpointSubset;
use crate::load_poller::PolledEndpoints;
use crate::registry::{ENDPOINT_DIGEST_KEY, Registry};
use crate::settings::Settings;

/// Interval between two ticks of the decider.
const TICK: Duration = Duration::from_millis(20);

/// Maximum number of tokens that one generation adds to the demand for its model.
const MAX_DEMAND_TOKENS: u32 = 1000;

/// Inputs to [`Core::init`].
pub struct CoreSetup {
    /// Settings of the host.
    pub settings: Settings,
    /// State shared with the gateway.
    pub shared: Arc<SharedState>,
    /// Endpoints whose load reports are read.
    pub polled: PolledEndpoints,
    /// Log.
    pub log: Logger,
}

/// A placement request without a reply so far.
pub(crate) struct PendingPlacement {
    attempt: Attempt,
    reply: SyncSender<Result<Placement, Refusal>>,
}

/// The decision core.
pub struct Core {
    pub(crate) setup: CoreSetup,
    pub(crate) decider: Decider<LearnedLengths>,
    pub(crate) planner: ModelPlanner,
    pub(crate) subset: EndpointSubset,
    pub(crate) registry: Registry,
    pub(crate) serving: Option<Arc<ServingSet>>,
    /// Addresses that the platform's host list marks as draining.
    pub(crate) draining_addresses: HashSet<String>,
    pub(crate) waiting: HashMap<GenerationId, PendingPlacement>,
    /// Latest attempt of each generation that this core placed.
    pub(crate) attempts: HashMap<GenerationId, Attempt>,
    pub(crate) output: TickOutput,
}

impl Core {
    /// Starts the actor.
    pub fn init(cx: CX![], setup: CoreSetup) -> Option<Self> {
        after!(TICK, [cx], tick());
        let seed = rendezvous::score("decider", setup.settings.host.as_str());
        let lengths = LearnedLengths::default();
        let (own, region) = (setup.settings.host.clone(), setup.settings.region.clone());
        let subset = EndpointSubset::new(own, region);
        Some(Self {
            setup,
            decider: Decider::new(PolicySettings::default(), lengths, seed),
            planner: ModelPlanner::new(cx.now()),
            subset,
            registry: Registry::default(),
            serving: None,
            draining_addresses: HashSet::new(),
            waiting: HashMap::new(),
            attempts: HashMap::new(),
            output: TickOutput::default(),
        })
    }

    /// Handles a message.
    pub fn handle(&mut self, cx: CX![], message: CoreMessage) {
        let now = cx.now();
        match message {
            CoreMessage::Place(request, reply) => self.place(&request, reply, now),
            CoreMessage::Progress(generation, tokens) => {
                let must_migrate = self.decider.progress(generation, tokens.0, now);
                self.set_migration(generation, must_migrate);
            }
            CoreMessage::EndAttempt(generation, attempt, end) => {
                self.end_attempt(generation, attempt, end, now);
            }
            CoreMessage::Config(serving, source) => self.configure(serving, &source),
            CoreMessage::Load(endpoint, report, made_at) => {
                self.record_load_report(endpoint, &report, made_at, now);
            }
            CoreMessage::LoadFailed(endpoint) => {
                self.decider.endpoint_mut(endpoint).record_failure(now)
            }
            CoreMessage::CacheEvents(endpoint, events) => {
                for prefix in events.prefixes {
                    self.decider.record_cached_prefix(prefix, endpoint, now);
                }
            }
            CoreMessage::CrashCount(count) => self.decider.record_crash_count(count, now),
            CoreMessage::PlanModels(reply) => {
                // The model controller may have stopped.
                let _ = reply.send(self.plan_models(now));
            }
            CoreMessage::LiveHosts(others) => self.update_live_hosts(&others),
            CoreMessage::Placements(placements) => {
                for placement in placements {
                    // An unknown endpoint belongs to another version of the object set.
                    if let Some(endpoint) = self.registry.endpoint_by_digest(placement.endpoint) {
                        self.decider.record_peer_placement(endpoint, placement.kv, now);
                    }
                }
            }
            CoreMessage::DrainingAddresses(addresses) => {
                self.draining_addresses = addresses;
                self.update_draining();
            }
            CoreMessage::View(name, reply) => {
                // The receiver is gone if the thread that requested the view has stopped.
                let _ = reply.send(self.view(&name, now));
            }
            CoreMessage::Stop => {}
        }
    }

    /// Advances the decider's timers and sends its decisions.
    pub fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        let now = cx.now();
        let mut output = std::mem::take(&mut self.output);
        self.decider.tick(now, &mut output);
        for placed in &output.placed {
            self.reply_placed(placed, now);
        }
        for refused in &output.refused {
            self.reply_refused(refused);
        }
        for migration in &output.migrations {
            info!(self.setup.log, "move";
                "generation" => %migration.generation,
                "from" => %self.registry.endpoint(migration.from).name,
                "risk" => migration.risk);
            self.count("move");
            self.set_migration(migration.generation, true);
        }
        self.output = output;
        let metrics = &self.setup.shared.metrics;
        metrics.running.set(self.decider.running() as i64);
        metrics.waiting.set(self.decider.waiting() as i64);
    }

    fn count(&self, kind: &str) {
        self.setup.shared.metrics.decisions.with_label_values(&[kind]).inc();
    }

    fn set_migration(&self, generation: GenerationId, must_migrate: bool) {
        let mut migrations =
            self.setup.shared.migrations.lock().unwrap_or_else(PoisonError::into_inner);
        if must_migrate {
            migrations.insert(generation);
        } else {
            migrations.remove(&generation);
        }
    }

    fn place(
        &mut self,
        request: &PlacementRequest,
        reply: SyncSender<Result<Placement, Refusal>>,
        now: Instant,
    ) {
        let scheduling = self.scheduling_request(request);
        let model = &request.serving.set.routes[request.route].model;
        self.planner.record_demand(model, request.max_tokens.0.min(MAX_DEMAND_TOKENS), now);
        let generation = request.generation;
        let is_retry = request.attempt > Attempt(0);
        self.waiting.insert(generation, PendingPlacement { attempt: request.attempt, reply });
        if is_retry && !self.decider.try_withdraw_retry(&scheduling) {
            let reason = RefuseReason::RetryBudget;
            return self.reply_refused(&Refused { generation, reason });
        }
        match self.decider.place(scheduling, now) {
            Decision::Placed(placed) => self.reply_placed(&placed, now),
            Decision::Refused(refused) => self.reply_refused(&refused),
            Decision::Waiting => self.count("wait"),
        }
    }

    /// Translates the names of the request's object set version to stable indices.
    fn scheduling_request(&mut self, request: &PlacementRequest) -> SchedulingRequest {
        let set = &request.serving.set;
        let route = &set.routes[request.route];
        let organisation = &set.organisations[request.organisation].name;
        let route_key = rendezvous::score("route", route.name.as_str());
        let organisation_route = rendezvous::score(organisation.as_str(), route.name.as_str());
        SchedulingRequest {
            generation: request.generation,
            organisation: self.registry.organisations.intern(organisation),
            route: self.registry.routes.intern(&route.name),
            class: self.decider.class(ClassKey { organisation_route, route: route_key }),
            oracle_length: 0,
            prompt_tokens: request.prompt_tokens.0,
            delivered: request.delivered.0,
            max_tokens: request.max_tokens.0,
            prefix: request.prefix,
            fingerprint: request.fingerprint.0,
            priority: priority_level(route.priority),
            avoid: request.avoid.as_ref().and_then(|name| self.registry.endpoint_ix(name)),
        }
    }

    fn reply_placed(&mut self, placed: &Placed, now: Instant) {
        let endpoint = self.registry.endpoint(placed.endpoint);
        info!(self.setup.log, "place";
            "generation" => %placed.generation,
            "endpoint" => %endpoint.name,
            "risk" => placed.risk,
            "score_seconds" => placed.score,
            "compared" => placed.compared,
            "unusable" => placed.unusable,
            "expected_tokens" => placed.expected_tokens,
            "prefix_hit" => placed.prefix_hit,
            "priority" => placed.priority,
            "waited_ms" => placed.waited.as_millis() as u64,
            "report_age_ms" => self.decider.endpoint(placed.endpoint).report_age(now)
                .map_or(-1, |age| age.as_millis() as i64));
        let view = self.decider.endpoint(placed.endpoint);
        if view.listed_draining || view.draining {
            let detail = format!("endpoint {} is draining", endpoint.name);
            self.setup.shared.record_violation(
                &self.setup.log,
                Invariant::NoWorkToDraining,
                &detail,
            );
        }
        let digest = rendezvous::score(ENDPOINT_DIGEST_KEY, endpoint.name.as_str());
        self.setup.shared.announce_placement(WirePlacement {
            endpoint: digest,
            kv: placed.kv,
            unread: placed.kv,
            ..WirePlacement::default()
        });
        let placement = Placement {
            endpoint: endpoint.name.clone(),
            addr: endpoint.addr,
            priority: placed.priority,
            decided_at: now,
        };
        self.count("place");
        self.set_migration(placed.generation, false);
        let Some(pending) = self.waiting.remove(&placed.generation) else { return };
        self.attempts.insert(placed.generation, pending.attempt);
        if pending.reply.send(Ok(placement)).is_err() {
            self.decider.end(placed.generation, EndKind::Cancelled, now);
        }
    }

    fn reply_refused(&mut self, refused: &Refused) {
        warn!(self.setup.log, "refuse";
            "generation" => %refused.generation, "reason" => %refused.reason);
        self.count("refuse");
        let Some(pending) = self.waiting.remove(&refused.generation) else { return };
        // The receiver is gone if the thread that requested the placement has stopped.
        let _ = pending.reply.send(Err(refusal(refused.reason)));
    }

    fn end_attempt(
        &mut self,
        generation: GenerationId,
        attempt: Attempt,
        end: AttemptEnd,
        now: Instant,
    ) {
        if self.attempts.get(&generation) != Some(&attempt) {
            return;
        }
        self.attempts.remove(&generation);
        self.set_migration(generation, false);
        let (kind, label) = match end {
            AttemptEnd::Finished => (EndKind::Finished, "finished"),
            AttemptEnd::NotRun => (EndKind::NotRun, "not_run"),
            AttemptEnd::EngineLost => (EndKind::Lost, "engine_lost"),
            AttemptEnd::Expired => (EndKind::Cancelled, "expired"),
            AttemptEnd::Migrated => (EndKind::Migrated, "moved"),
            AttemptEnd::ClientDisconnected => (EndKind::Cancelled, "caller_left"),
        };
        self.setup.shared.metrics.attempts.with_label_values(&[label]).inc();
        for crash_count in self.decider.end(generation, kind, now) {
            self.log_attributed_crash(&crash_count);
            self.setup.shared.gossip_crash_count(crash_count);
        }
    }

    fn log_attributed_crash(&self, crash_count: &CrashCount) {
        warn!(self.setup.log, "blame";
            "fingerprint" => format!("{:016x}", crash_count.fingerprint),
            "crashes" => crash_count.crashes);
        self.count("blame");
    }

    fn record_load_report(
        &mut self,
        endpoint: EndpointIx,
        report: &LoadReport,
        made_at: Instant,
        now: Instant,
    ) {
        self.setup.shared.metrics.load_reports.inc();
        self.record_loaded_models(endpoint, &report.models);
        let report = Report {
            kv_used: report.kv_used,
            kv_tokens: report.kv_tokens,
            running: report.running,
            waiting: report.waiting,
            waiting_tokens: report.waiting_tokens,
            draining: report.draining,
        };
        self.decider.report(endpoint, &report, made_at, now);
    }
}

fn priority_level(priority: Priority) -> u8 {
    match priority {
        Priority::Low => 0,
        Priority::Normal => 1,
        Priority::High => 2,
    }
}

/// Returns the error response for a refused generation.
fn refusal(reason: RefuseReason) -> Refusal {
    let (status, code, detail, retry_after) = match reason {
        RefuseReason::Poison => {
            (422, "poison_request", "the request crashed the endpoints that ran it", None)
        }
        RefuseReason::Overloaded(wait) => {
            (429, "overloaded", "more work waits than can be served in time", Some(wait))
        }
        RefuseReason::NoEndpoint(wait) => {
            (503, "no_endpoint", "no endpoint of the route is usable", Some(wait))
        }
        RefuseReason::RetryBudget => {
            let wait = Duration::from_secs(2);
            (503, "retry_budget", "too many attempts failed lately", Some(wait))
        }
    };
    Refusal { status, code, detail: detail.to_owned(), retry_after }
}
