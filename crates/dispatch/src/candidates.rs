//! Restricts the endpoints that a request may be sent to.

use std::time::{Duration, Instant};

use camphorloft_serving::prelude::Residency;
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
    /// Regions in which the request may be processed.
    pub residency: &'a Residency,
    /// Maximum delay of the request at an endpoint that limits requests.
    pub max_delay: Duration,
}

impl Candidates<'_> {
    /// Returns true if the request may be sent to a usable endpoint, regardless of the delay.
    pub(crate) fn admits(&self, ix: EndpointIx, endpoint: &Endpoint, now: Instant) -> bool {
        let can_continue = self.software.is_none_or(|began| endpoint.entry.has_software(began));
        can_continue
            && self.residency.allows_place(endpoint.region.as_ref())
            && !self.tried.contains(&ix)
            && endpoint.is_usable(now)
    }
}
