//! Rate of requests that an endpoint accepts from all hosts together.

use std::time::{Duration, Instant};

use camphorloft_types::prelude::RequestRate;

/// Rate of requests that an endpoint accepts from all hosts together, as last stated.
#[derive(Clone, Debug, Default)]
pub struct RequestLimit {
    rate: Option<RequestRate>,
    as_of: Option<Instant>,
}

impl RequestLimit {
    /// Returns the limit in force, if any.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Returns the age of the last statement, if any.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.as_of.map(|at| now.saturating_duration_since(at))
    }

    /// Records what the endpoint stated at `as_of`; `None` means that it has no limit. A statement
    /// older than the last one is ignored. Returns true if the limit changed.
    ///
    /// ```
    /// use camphorloft_dispatch::request_limit::RequestLimit;
    /// use std::time::{Duration, Instant};
    /// let (now, rate) = (Instant::now(), "2.5".parse().unwrap());
    /// let mut limit = RequestLimit::default();
    /// assert!(limit.record(Some(rate), now));
    /// assert!(!limit.record(None, now - Duration::from_millis(1)));
    /// assert_eq!(limit.rate(), Some(rate));
    /// assert!(limit.record(None, now));
    /// ```
    pub fn record(&mut self, rate: Option<RequestRate>, as_of: Instant) -> bool {
        if self.as_of.is_some_and(|known| as_of < known) {
            return false;
        }
        self.as_of = Some(as_of);
        let changed = self.rate != rate;
        self.rate = rate;
        changed
    }
}
