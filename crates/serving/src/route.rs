//! The configuration of one route.

use std::fmt;
use std::time::Duration;

use camphorloft_types::prelude::*;

use crate::residency::Residency;

/// How a request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryMode {
    /// The request may run on any number of endpoints.
    Idempotent,
    /// The request may run on at most one endpoint.
    AtMostOnce,
    /// The response is a stream of events. At most one endpoint may run the request from its start.
    Stream {
        /// True when another endpoint may resume the stream after its last event.
        resumable: bool,
    },
}

impl RetryMode {
    /// Returns true when a request with an unknown outcome may be retried.
    ///
    /// ```
    /// use camphorloft_serving::prelude::RetryMode;
    /// assert!(RetryMode::Stream { resumable: true }.is_retryable());
    /// assert!(!RetryMode::AtMostOnce.is_retryable());
    /// ```
    pub fn is_retryable(self) -> bool {
        matches!(self, RetryMode::Idempotent | RetryMode::Stream { resumable: true })
    }

    /// Returns true when the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RetryMode::Stream { .. })
    }
}

impl fmt::Display for RetryMode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RetryMode::Idempotent => "idempotent",
            RetryMode::AtMostOnce => "at_most_once",
            RetryMode::Stream { resumable: false } => "stream",
            RetryMode::Stream { resumable: true } => "resumable_stream",
        })
    }
}

/// A service of a route and its share of the route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Service.
    pub service: ServiceIx,
    /// Weight relative to the other targets.
    pub weight: Weight,
}

/// A verified route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: RouteName,
    /// Value of the Host header that the route matches, in lower case.
    pub authority: Box<str>,
    /// Path prefix that the route matches. Starts and ends with a slash.
    pub prefix: Box<str>,
    /// How its requests may be retried.
    pub retry_mode: RetryMode,
    /// Timeout of a request from its arrival. Clients may set a shorter one.
    pub timeout: Duration,
    /// Target latency of a response; for a stream, of its first event.
    pub latency_objective: Duration,
    /// Target for the longest pause between events of a stream.
    pub gap_objective: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services that the route sends requests to, with their weights; at least one.
    pub targets: Vec<Target>,
    /// Maximum number of endpoints that one request may be sent to; at least 1.
    pub max_sends: u32,
    /// True when clients need no key.
    pub public: bool,
    /// Regions in which its requests may be processed.
    pub residency: Residency,
}

impl Route {
    /// Chooses a service with a probability proportional to its weight. `draw` is a uniform random
    /// number in `[0, 1)`.
    pub fn choose_target(&self, draw: f64) -> ServiceIx {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight.0)).sum();
        let mut remaining = draw * total as f64;
        for target in &self.targets {
            remaining -= f64::from(target.weight.0);
            if remaining < 0.0 {
                return target.service;
            }
        }
        self.targets[self.targets.len() - 1].service
    }
}
