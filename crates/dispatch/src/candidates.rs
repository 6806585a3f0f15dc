//! Restricts the endpoints that a request may be sent to.

use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;

use crate::endpoint::Endpoint;

/// Restricts the endpoints that a request may be sent to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Candidates<'a> {
    /// Endpoints that are excluded because they were tried.
    pub tried: &'a [EndpointIx],
    /// Software version that began the stream and alone can continue it; `None` for a request that
    /// starts anew.
    pub software: Option<&'a SoftwareVersion>,
    /// Maximum delay of the request at an endpoint that limits requests.
    pub max_delay: Duration,
}

impl Candidates<'_> {
    /// Returns true if the request may be sent to a usable endpoint, regardless of the delay.
    pub(crate) fn admits(&self, ix: EndpointIx, endpoint: &Endpoint, now: Instant) -> bool {
        let can_continue = self.software.is_none_or(|began| endpoint.entry.has_software(began));
        can_continue && !self.tried.contains(&ix) && endpoint.is_usable(now)
    }
}
