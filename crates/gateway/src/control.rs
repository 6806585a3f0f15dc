//! The narrow interface to the decision core.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use camphorloft_config::CheckedSet;
use camphorloft_types::prelude::*;

/// The object set in force.
#[derive(Debug)]
pub struct ServingSet {
    /// Version.
    pub version: ConfigVersion,
    /// The objects.
    pub set: CheckedSet,
}

/// Digest of a request, equal for equal prompts on one route of one organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

/// A request for a place to run an attempt.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The set under which organisation and route were resolved.
    pub serving: Arc<ServingSet>,
    /// Generation.
    pub generation: GenerationId,
    /// Attempt to place.
    pub attempt: Attempt,
    /// Organisation.
    pub organisation: OrganisationIx,
    /// Route.
    pub route: RouteIx,
    /// Estimated tokens of the prompt, without the delivered prefix.
    pub prompt_tokens: TokenCount,
    /// Tokens that were delivered already.
    pub delivered: TokenCount,
    /// Longest output, in tokens.
    pub max_tokens: TokenCount,
    /// Identity of the shared prompt prefix.
    pub prefix: u64,
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// Endpoint that just failed and should not be chosen.
    pub avoid: Option<EndpointName>,
}

/// A place to run an attempt.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Endpoint.
    pub endpoint: EndpointName,
    /// Address of the engine.
    pub addr: SocketAddr,
    /// Priority to give to the engine.
    pub priority: i32,
    /// When it was decided.
    pub decided_at: Instant,
}

/// Refusal of a request that was not run.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Stable code.
    pub code: &'static str,
    /// What happened and what the caller can do.
    pub detail: String,
    /// When the caller may try again.
    pub retry_after: Option<Duration>,
}

/// What to do with a running attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Directive {
    /// Go on.
    Continue,
    /// Stop the attempt and ask for another place, because memory runs out where it is.
    Move,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The last token was received.
    Finished,
    /// The engine refused the attempt without running it.
    NotRun,
    /// The engine lost the attempt, as after a crash.
    EngineLost,
    /// The attempt was not started because too much time passed since it was placed.
    Expired,
    /// The attempt was stopped to be moved.
    Moved,
    /// The caller left.
    CallerLeft,
}

/// A promise whose breach is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// Tokens are delivered once and in order.
    TokenOrder,
    /// A stream belongs to the generation that its caller asked for.
    OwnAnswer,
    /// A request reported as not run was not sent to an endpoint.
    NotRunWasNotRun,
    /// A call with an effect is dispatched at most once.
    EffectAtMostOnce,
    /// No new work goes to an endpoint that is leaving.
    NoWorkToLeaving,
    /// The version in force never decreases.
    ConfigMonotonic,
}

/// Every invariant.
pub const INVARIANTS: [Invariant; 6] = [
    Invariant::TokenOrder,
    Invariant::OwnAnswer,
    Invariant::NotRunWasNotRun,
    Invariant::EffectAtMostOnce,
    Invariant::NoWorkToLeaving,
    Invariant::ConfigMonotonic,
];

impl Invariant {
    /// Returns the label of the metric.
    pub fn as_str(self) -> &'static str {
        match self {
            Invariant::TokenOrder => "token_order",
            Invariant::OwnAnswer => "own_answer",
            Invariant::NotRunWasNotRun => "not_run_was_not_run",
            Invariant::EffectAtMostOnce => "effect_at_most_once",
            Invariant::NoWorkToLeaving => "no_work_to_leaving",
            Invariant::ConfigMonotonic => "config_monotonic",
        }
    }
}

/// The decision core as the gateway sees it.
pub trait Control: Send + Sync + 'static {
    /// Returns the object set in force, or `None` before one is known.
    fn serving(&self) -> Option<Arc<ServingSet>>;

    /// Returns true while new requests are accepted.
    fn is_accepting(&self) -> bool;

    /// Returns true while a balancer should send new requests. Goes off before
    /// [`Control::is_accepting`] does.
    fn is_ready(&self) -> bool;

    /// Waits for a place to run an attempt.
    ///
    /// # Errors
    ///
    /// Returns the refusal to give to the caller.
    fn place(&self, request: PlacementRequest) -> Result<Placement, Refusal>;

    /// Reports that an attempt has generated `tokens` in all, its prefix included. Returns what
    /// to do with it.
    fn report_progress(&self, generation: GenerationId, tokens: TokenCount) -> Directive;

    /// Reports the end of an attempt that was placed.
    fn end_attempt(&self, generation: GenerationId, attempt: Attempt, end: AttemptEnd);

    /// Reports how a request ended, once per request.
    fn end_request(&self, organisation: OrganisationIx, outcome: Outcome);

    /// Reports the breach of an invariant.
    fn violated(&self, invariant: Invariant, detail: &str);

    /// Returns true when the process of a host that started then is known to be alive.
    fn is_process_alive(&self, host: &HostName, started_ms: u64) -> bool;

    /// Returns the metrics as text.
    fn metrics(&self) -> String;

    /// Returns the state of a named view as JSON, for operators.
    fn view(&self, name: &str) -> Option<String>;

    /// Starts a graceful shutdown.
    fn drain(&self);
}
