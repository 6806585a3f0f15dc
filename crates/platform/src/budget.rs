//! Rate limiter for all platform calls of a host, with priority classes.
//!
//! The platform sustains several hundred writes and about two thousand reads per second for all
//! hosts together. Each host is limited to its share, and each class must leave a reserve for the
//! more important classes.

use std::time::{Duration, Instant};

/// Class of a platform call, most important first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallClass {
    /// Claims and their outcomes.
    Claim,
    /// Leases.
    Lease,
    /// Configuration.
    Config,
    /// Everything else.
    Statistics,
}

impl CallClass {
    /// Returns the number of tokens that the class must leave in the bucket for the more important
    /// classes.
    fn reserve(self) -> f64 {
        match self {
            CallClass::Claim => 0.0,
            CallClass::Lease => 1.0,
            CallClass::Config => 2.0,
            CallClass::Statistics => 4.0,
        }
    }
}

/// A token bucket in which each class leaves a reserve for the more important classes.
#[derive(Clone, Debug)]
pub struct CallBudget {
    per_second: f64,
    burst: f64,
    tokens: f64,
    refilled: Instant,
}

impl CallBudget {
    /// Creates a full bucket that holds up to `burst` tokens and is refilled at a rate of
    /// `per_second`.
    ///
    /// ```
    /// use camphorloft_platform::budget::{CallBudget, CallClass};
    /// use std::time::Instant;
    /// let now = Instant::now();
    /// let mut budget = CallBudget::new(1.0, 2.0, now);
    /// assert!(!budget.try_take(CallClass::Statistics, now));
    /// assert!(budget.try_take(CallClass::Claim, now));
    /// ```
    pub fn new(per_second: f64, burst: f64, now: Instant) -> Self {
        Self { per_second, burst, tokens: burst, refilled: now }
    }

    /// Changes the rate, for example when the number of hosts changes.
    pub fn set_rate(&mut self, per_second: f64, now: Instant) {
        self.refill(now);
        self.per_second = per_second;
    }

    /// Takes a token and returns true if the class is allowed to.
    pub fn try_take(&mut self, class: CallClass, now: Instant) -> bool {
        self.refill(now);
        let allowed = self.tokens >= 1.0 + class.reserve();
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    /// Returns the duration until the class may take a token.
    pub fn wait(&mut self, class: CallClass, now: Instant) -> Duration {
        self.refill(now);
        let missing = (1.0 + class.reserve() - self.tokens).max(0.0);
        Duration::from_secs_f64(missing / self.per_second)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.burst);
        self.refilled = now.max(self.refilled);
    }
}
