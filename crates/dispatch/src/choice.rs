//! An endpoint that was chosen, with the inputs that decided it.

use std::time::Duration;

use camphorloft_types::prelude::EndpointIx;

/// An endpoint that was chosen, with the inputs that decided it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Endpoint.
    pub endpoint: EndpointIx,
    /// Expected cost, in milliseconds; the smallest won.
    pub cost_ms: f64,
    /// Estimated share of requests that fail there.
    pub failure_share: f64,
    /// Expected share of the engine's memory at the peak; 0 for a plain service.
    pub fill: f64,
    /// Prompt tokens that the engine still has to read; 0 for a plain service.
    pub unread: u32,
    /// Sequences that run or wait there; for a plain service, requests of this host.
    pub sequences: u32,
    /// Age of the load report that was used, if any.
    pub report_age: Option<Duration>,
    /// Endpoints that were compared.
    pub compared: u32,
    /// Endpoints of the service that could not be used.
    pub unusable: u32,
}

/// Keeps the cheapest of the endpoints offered.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cheapest {
    best: Option<Choice>,
    compared: u32,
    pub(crate) unusable: u32,
}

impl Cheapest {
    pub(crate) fn offer(&mut self, choice: Choice) {
        self.compared += 1;
        if self.best.is_none_or(|best| choice.cost_ms < best.cost_ms) {
            self.best = Some(choice);
        }
    }

    pub(crate) fn finish(self) -> Option<Choice> {
        self.best.map(|best| Choice { compared: self.compared, unusable: self.unusable, ..best })
    }
}
