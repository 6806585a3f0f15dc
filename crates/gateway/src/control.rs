//! Interface between the gateway and the decision core.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use camphorloft_config::CheckedSet;
use camphorloft_types::prelude::*;

/// The configuration objects in force.
#[derive(Debug)]
pub struct ServingSet {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Checked objects of that version.
    pub set: CheckedSet,
}

/// Digest of a request: the same for equal prompts on one route of one organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

/// Request to place an attempt on an endpoint.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// Configuration against which organisation and route were resolved.
    pub serving: Arc<ServingSet>,
    /// Generation of the attempt.
    pub generation: GenerationId,
    /// Attempt to place.
    pub attempt: Attempt,
    /// Organisation of the client.
    pub organisation: OrganisationIx,
    /// Route of the request.
    pub route: RouteIx,
    /// Estimated number of prompt tokens, without the delivered prefix.
    pub prompt_tokens: TokenCount,
    /// Number of tokens already delivered.
    pub delivered: TokenCount,
    /// Maximum length of the output, in tokens.
    pub max_tokens: TokenCount,
    /// Identifier of the shared prompt prefix.
    pub prefix: u64,
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// Endpoint of the attempt that just failed or was stopped, which should not be chosen.
    pub avoid: Option<EndpointName>,
}

/// Endpoint chosen for an attempt.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// Address of the engine.
    pub addr: SocketAddr,
    /// Scheduling priority to send to the engine.
    pub priority: i32,
    /// When the placement was decided.
    pub decided_at: Instant,
}

/// Refusal to place an attempt.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Stable code, for example `overloaded`.
    pub code: &'static str,
    /// What happened and what the client can do.
    pub detail: String,
    /// Time after which the client may retry.
    pub retry_after: Option<Duration>,
}

/// Instruction for a running attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Directive {
    /// Continue the attempt.
    Continue,
    /// Stop the attempt and place the next one elsewhere, because its engine is running out of
    /// memory.
    Migrate,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The last token was received.
    Finished,
    /// The engine did not run the attempt.
    NotRun,
    /// The engine lost the attempt, for example in a crash.
    EngineLost,
    /// The attempt was not started because its placement had expired.
    Expired,
    /// The attempt was stopped for a migration.
    Migrated,
    /// The client disconnected.
    ClientDisconnected,
}

/// An invariant whose violations are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// Each token is delivered once and in order.
    TokenOrder,
    /// A stream belongs to the generation that its client requested.
    ResponseOwnership,
    /// A request reported as not run was not sent to an endpoint.
    NotRunNeverSent,
    /// A call that is not idempotent is dispatched at most once.
    EffectAtMostOnce,
    /// No new work is sent to a draining endpoint.
    NoWorkToDraining,
    /// The configuration version in force never decreases.
    ConfigMonotonic,
}

/// All invariants.
pub const INVARIANTS: [Invariant; 6] = [
    Invariant::TokenOrder,
    Invariant::ResponseOwnership,
    Invariant::NotRunNeverSent,
    Invariant::EffectAtMostOnce,
    Invariant::NoWorkToDraining,
    Invariant::ConfigMonotonic,
];

impl Invariant {
    /// Returns the label of the invariant in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Invariant::TokenOrder => "token_order",
            Invariant::ResponseOwnership => "own_answer",
            Invariant::NotRunNeverSent => "not_run_was_not_run",
            Invariant::EffectAtMostOnce => "effect_at_most_once",
            Invariant::NoWorkToDraining => "no_work_to_leaving",
            Invariant::ConfigMonotonic => "config_monotonic",
        }
    }
}

/// Operations of the decision core that the gateway uses.
pub trait Control: Send + Sync + 'static {
    /// Returns the configuration in force, or `None` before a version is known.
    fn serving(&self) -> Option<Arc<ServingSet>>;

    /// Returns true while new requests are accepted.
    fn is_accepting(&self) -> bool;

    /// Returns true while a load balancer should send new requests. Turns false before
    /// [`Control::is_accepting`] does.
    fn is_ready(&self) -> bool;

    /// Places an attempt on an endpoint, waiting until one is available.
    ///
    /// # Errors
    ///
    /// Returns the refusal to report to the client.
    fn place(&self, request: PlacementRequest) -> Result<Placement, Refusal>;

    /// Reports that an attempt has generated `tokens` in total, including its delivered prefix.
    /// Returns the instruction for the attempt.
    fn report_progress(&self, generation: GenerationId, tokens: TokenCount) -> Directive;

    /// Reports the end of a placed attempt.
    fn end_attempt(&self, generation: GenerationId, attempt: Attempt, end: AttemptEnd);

    /// Reports the outcome of a request, once per request.
    fn end_request(&self, organisation: OrganisationIx, outcome: Outcome);

    /// Reports the violation of an invariant.
    fn report_violation(&self, invariant: Invariant, detail: &str);

    /// Returns true when the process of `host` that started at `started_ms`, in milliseconds since
    /// the epoch, is known to be alive.
    fn is_process_alive(&self, host: &HostName, started_ms: u64) -> bool;

    /// Returns the metrics in the Prometheus text format.
    fn metrics(&self) -> String;

    /// Returns the state of a named view as JSON, for operators.
    fn view(&self, name: &str) -> Option<String>;

    /// Starts a graceful shutdown.
    fn drain(&self);
}
