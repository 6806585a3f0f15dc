//! What the relay has to know of one route.

use std::fmt;
use std::time::Duration;

use camphorloft_types::prelude::*;

/// How a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryMode {
    /// Any number of endpoints may run it.
    Idempotent,
    /// At most one endpoint may run it.
    AtMostOnce,
    /// Its answer is a stream of events; at most one endpoint may run it from the start.
    Stream {
        /// True when another endpoint may go on after the last event.
        resumable: bool,
    },
}

impl RetryMode {
    /// Returns true when a request whose outcome is unknown may be sent again.
    ///
    /// ```
    /// use camphorloft_serving::prelude::RetryMode;
    /// assert!(RetryMode::Stream { resumable: true }.is_retryable());
    /// assert!(!RetryMode::AtMostOnce.is_retryable());
    /// ```
    pub fn is_retryable(self) -> bool {
        matches!(self, RetryMode::Idempotent | RetryMode::Stream { resumable: true })
    }

    /// Returns true when the answer is a stream of events.
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

/// A service of a route, with the share of the route's requests that it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Service.
    pub service: ServiceIx,
    /// Weight relative to the other targets.
    pub weight: Weight,
}

/// A checked route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: RouteName,
    /// Host header that it answers to, in lower case.
    pub authority: Box<str>,
    /// Beginning of the paths that it answers to. Begins and ends with a slash.
    pub prefix: Box<str>,
    /// How its requests may be repeated.
    pub retry_mode: RetryMode,
    /// Longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// Time within which an answer counts as on time; for a stream, its first event.
    pub latency_objective: Duration,
    /// Longest pause between events that counts as on time.
    pub gap_objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services and their weights; at least one.
    pub targets: Vec<Target>,
    /// Endpoints to which one request may be sent; at least 1.
    pub max_sends: u32,
    /// True when no key is needed.
    pub public: bool,
}

impl Route {
    /// Chooses a service in proportion to the weights. `draw` is uniform in 0 to 1.
    pub fn choose_target(&self, draw: f64) -> ServiceIx {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight.0)).sum();
        let mut left = draw * total as f64;
        for target in &self.targets {
            left -= f64::from(target.weight.0);
            if left < 0.0 {
                return target.service;
            }
        }
        self.targets[self.targets.len() - 1].service
    }
}
