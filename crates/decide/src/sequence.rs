//! A generation that was placed.

use std::time::Instant;

use camphorloft_types::prelude::*;
use cranelift_entity::entity_impl;

use crate::forecast::Forecast;
use crate::lengths::ClassIx;

/// Index of a placed or waiting generation.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SequenceIx(u32);
entity_impl!(SequenceIx, "sequence");

/// What a caller of the decider asks a place for.
#[derive(Clone, Copy, Debug)]
pub struct SchedulingRequest {
    /// Generation.
    pub generation: GenerationId,
    /// Organisation, as a dense index that is stable across versions.
    pub organisation: OrganisationIx,
    /// Route, as a dense index that is stable across versions.
    pub route: RouteIx,
    /// Class of length estimates.
    pub class: ClassIx,
    /// Length that only an oracle knows.
    pub oracle_length: u32,
    /// Tokens of the prompt, without the delivered prefix.
    pub prompt_tokens: u32,
    /// Tokens that were delivered already.
    pub delivered: u32,
    /// Longest output.
    pub max_tokens: u32,
    /// Identity of the shared prompt prefix; 0 for none.
    pub prefix: u64,
    /// Digest of the request.
    pub fingerprint: u64,
    /// Scheduling class of the route; larger is served first.
    pub priority: u8,
    /// Endpoint that just failed the generation or that it moves away from.
    pub avoid: Option<EndpointIx>,
}

/// A generation that was placed.
#[derive(Clone, Copy, Debug)]
pub struct Sequence {
    /// What was asked.
    pub request: SchedulingRequest,
    /// Where it runs.
    pub endpoint: EndpointIx,
    /// Tokens generated as last reported, the delivered prefix included.
    pub generated: u32,
    /// When the report was made.
    pub reported_at: Instant,
    /// When it was placed.
    pub placed_at: Instant,
    /// Its part of the endpoint's forecast.
    pub forecast: Forecast,
    /// Times that it was moved or preempted.
    pub interruptions: u8,
    /// True when a move was decided and not yet carried out.
    pub migrating: bool,
    /// True when the loss of its endpoint was reported by another generation.
    pub crash_attributed: bool,
}

impl Sequence {
    /// Returns the memory that it holds, in tokens.
    pub fn kv(&self) -> u32 {
        self.request.prompt_tokens + self.generated
    }
}
