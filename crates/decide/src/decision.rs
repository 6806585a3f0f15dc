//! Scheduling decisions, with the inputs that led to them.

use std::fmt;
use std::time::Duration;

use camphorloft_types::prelude::*;

/// The placement of a generation, with the inputs that led to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placed {
    /// Generation.
    pub generation: GenerationId,
    /// Endpoint.
    pub endpoint: EndpointIx,
    /// Priority to pass to the engine.
    pub priority: i32,
    /// Forecast probability that the endpoint overflows with the generation.
    pub risk: f32,
    /// Expected cost of the endpoint, in seconds; the lowest of all acceptable ones.
    pub score: f32,
    /// Number of endpoints compared.
    pub compared: u32,
    /// Number of those that were not usable.
    pub unusable: u32,
    /// KV memory that the generation needs at the start, in tokens.
    pub kv: u32,
    /// Expected number of further output tokens.
    pub expected_tokens: u32,
    /// True when the endpoint likely caches the prompt prefix.
    pub prefix_hit: bool,
    /// Time that the generation spent in the queue.
    pub waited: Duration,
}

/// Why a generation was refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RefuseReason {
    /// The request has crashed endpoints.
    Poison,
    /// More work is queued than can be served in time. Holds the retry delay.
    Overloaded(Duration),
    /// No endpoint of the route is usable. Holds the retry delay.
    NoEndpoint(Duration),
    /// The retry budget of the organisation and route is exhausted.
    RetryBudget,
}

impl fmt::Display for RefuseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RefuseReason::Poison => "poison",
            RefuseReason::Overloaded(_) => "overloaded",
            RefuseReason::NoEndpoint(_) => "no_endpoint",
            RefuseReason::RetryBudget => "retry_budget",
        })
    }
}

/// A refused generation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refused {
    /// Generation.
    pub generation: GenerationId,
    /// Reason of the refusal.
    pub reason: RefuseReason,
}

/// A decided migration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Migration {
    /// Generation.
    pub generation: GenerationId,
    /// Endpoint that it leaves.
    pub from: EndpointIx,
    /// Probability that the endpoint overflows within the migration horizons.
    pub risk: f32,
}

/// The immediate result of a scheduling request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// The generation may start.
    Placed(Placed),
    /// The generation is queued; a later tick places or refuses it.
    Waiting,
    /// The generation is refused.
    Refused(Refused),
}

/// Decisions of one tick. The vectors are reused between ticks.
#[derive(Clone, Debug, Default)]
pub struct TickOutput {
    /// Generations that may start.
    pub placed: Vec<Placed>,
    /// Generations that are refused.
    pub refused: Vec<Refused>,
    /// Generations that must migrate. [`Decider::progress`] also returns true for each of them.
    ///
    /// [`Decider::progress`]: crate::decider::Decider::progress
    pub migrations: Vec<Migration>,
}

impl TickOutput {
    /// Clears the vectors and keeps their capacity.
    pub fn clear(&mut self) {
        self.placed.clear();
        self.refused.clear();
        self.migrations.clear();
    }
}
