//! What is decided, with the inputs that decided it.

use std::fmt;
use std::time::Duration;

use camphorloft_types::prelude::*;

/// A place for a generation, with the inputs that decided it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placed {
    /// Generation.
    pub generation: GenerationId,
    /// Endpoint.
    pub endpoint: EndpointIx,
    /// Priority to give to the engine.
    pub priority: i32,
    /// Probability of overflow with the generation, as forecast.
    pub risk: f32,
    /// Score of the endpoint; the smallest won.
    pub score: f32,
    /// Endpoints that were compared.
    pub compared: u32,
    /// Endpoints among them that were not usable.
    pub unusable: u32,
    /// Memory that it holds at the start, in tokens.
    pub kv: u32,
    /// Expected length, in tokens.
    pub expected_tokens: u32,
    /// True when the endpoint is believed to hold the prompt's prefix.
    pub prefix_hit: bool,
    /// Time that the generation waited.
    pub waited: Duration,
}

/// Why a generation was refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RefuseReason {
    /// Its request crashed endpoints before.
    Poison,
    /// More work waits than can be served in time. Tells when to come back.
    Overloaded(Duration),
    /// No endpoint of the route is usable. Tells when to come back.
    NoEndpoint(Duration),
    /// The retry budget of the organisation and route is spent.
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
    /// Why.
    pub reason: RefuseReason,
}

/// A decided move.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Migration {
    /// Generation.
    pub generation: GenerationId,
    /// Where it runs.
    pub from: EndpointIx,
    /// Probability that memory overflows there soon.
    pub risk: f32,
}

/// The immediate answer to an ask.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// The generation may start.
    Placed(Placed),
    /// The generation waits; a later tick places or refuses it.
    Waiting,
    /// The generation is refused.
    Refused(Refused),
}

/// Decisions of one tick. The vectors are reused.
#[derive(Clone, Debug, Default)]
pub struct TickOutput {
    /// Generations that may start.
    pub placed: Vec<Placed>,
    /// Generations that are refused.
    pub refused: Vec<Refused>,
    /// Generations that must move. Each is also told by the answer to its next progress report.
    pub migrations: Vec<Migration>,
}

impl TickOutput {
    /// Empties the vectors and keeps their memory.
    pub fn clear(&mut self) {
        self.placed.clear();
        self.refused.clear();
        self.migrations.clear();
    }
}
