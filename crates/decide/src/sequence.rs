//! Scheduling requests and placed generations.

use std::time::Instant;

use camphorloft_types::prelude::*;
use cranelift_entity::entity_impl;

use crate::forecast::Forecast;
use crate::lengths::ClassIx;

/// Index of a placed generation.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SequenceIx(u32);
entity_impl!(SequenceIx, "sequence");

/// A request to place an attempt of a generation.
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
    /// True output length for oracle experiments; ignored by learned estimates.
    pub oracle_length: u32,
    /// Tokens of the prompt, without the delivered prefix.
    pub prompt_tokens: u32,
    /// Output tokens already delivered.
    pub delivered: u32,
    /// Largest number of output tokens, including delivered ones.
    pub max_tokens: u32,
    /// Identifier of the shared prompt prefix; 0 for none.
    pub prefix: u64,
    /// Digest of the request, the same in each of its attempts.
    pub fingerprint: u64,
    /// Scheduling class of the route; higher classes are served first.
    pub priority: u8,
    /// Endpoint not to use: the one where the last attempt failed or from which the generation
    /// migrates.
    pub avoid: Option<EndpointIx>,
}

/// A placed generation.
#[derive(Clone, Copy, Debug)]
pub struct Sequence {
    /// The scheduling request.
    pub request: SchedulingRequest,
    /// Endpoint that runs it.
    pub endpoint: EndpointIx,
    /// Generated tokens as last reported, including those delivered by earlier attempts.
    pub generated: u32,
    /// When progress was last reported.
    pub reported_at: Instant,
    /// When it was placed.
    pub placed_at: Instant,
    /// Its share of the forecast of the endpoint.
    pub forecast: Forecast,
    /// Number of earlier attempts that migrated or lost their endpoint.
    pub interruptions: u8,
    /// True when a migration is decided but not yet done.
    pub migrating: bool,
    /// True when another generation reported the loss of the endpoint, so that the crash is already
    /// attributed.
    pub crash_attributed: bool,
}

impl Sequence {
    /// Returns the KV memory that it holds, in tokens.
    pub fn kv(&self) -> u32 {
        self.request.prompt_tokens + self.generated
    }
}
