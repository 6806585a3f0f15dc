//! An endpoint that was chosen, with the inputs that decided it.

use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;

use crate::endpoint::Endpoint;
use crate::fleet::Fleet;

/// An endpoint that was chosen, with the inputs that decided it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Endpoint.
    pub endpoint: EndpointIx,
    /// Expected cost, in milliseconds; the smallest won.
    pub cost_ms: f64,
    /// Estimated share of requests that fail there.
    pub failure_rate: f64,
    /// Expected share of the engine's memory at the peak; 0 for a plain service.
    pub fill: f64,
    /// Prompt tokens that the engine still has to read; 0 for a plain service.
    pub prefill_tokens: u32,
    /// Sequences that run or wait there; for a plain service, requests of this host.
    pub sequences: u32,
    /// Age of the load report that was used, if any.
    pub report_age: Option<Duration>,
    /// Endpoints that were compared.
    pub compared: u32,
    /// Endpoints of the service that could not be used.
    pub unusable: u32,
}

/// Returns the cheapest of the endpoints of a service that can be used and are not in `tried`.
pub(crate) fn cheapest<Price>(
    fleet: &Fleet,
    service: &ServiceName,
    tried: &[EndpointIx],
    now: Instant,
    mut price: Price,
) -> Option<Choice>
where
    Price: FnMut(EndpointIx, &Endpoint) -> Choice,
{
    let mut best: Option<Choice> = None;
    let (mut compared, mut unusable) = (0, 0);
    for (ix, endpoint) in fleet.of_service(service) {
        if tried.contains(&ix) || !endpoint.is_usable(now) {
            unusable += 1;
            continue;
        }
        compared += 1;
        let choice = price(ix, endpoint);
        if best.is_none_or(|best| choice.cost_ms < best.cost_ms) {
            best = Some(choice);
        }
    }
    best.map(|best| Choice { compared, unusable, ..best })
}
