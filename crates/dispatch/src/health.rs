//! How often an endpoint fails, learned from its answers.
//!
//! Answers the load of endpoints that fail part of their requests while their health probe is
//! good, that hang, or that went dark: none of these shows in the endpoint list in time.

use std::time::{Duration, Instant};

/// Time in which an observation loses half of its weight. Several requests of each kind reach an
/// endpoint in this time in today's deployments.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Share of failures that is assumed before anything was observed.
const PRIOR_FAILURES: f64 = 0.05;
/// Weight of that assumption, in observations.
const PRIOR_WEIGHT: f64 = 4.0;
/// Time for which an endpoint that refuses connections is left alone at first. Doubles each time.
const FIRST_BACKOFF: Duration = Duration::from_millis(400);
/// Longest such time; an endpoint is replaced or restarted within seconds.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// How often an endpoint fails.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: f64,
    total: f64,
    observed_at: Option<Instant>,
    connect_failures: u32,
    backoff_until: Option<Instant>,
}

impl Health {
    fn decay(&self, now: Instant) -> f64 {
        let Some(at) = self.observed_at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    fn observe(&mut self, failures: f64, now: Instant) {
        let decay = self.decay(now);
        self.failures = self.failures * decay + failures;
        self.total = self.total * decay + 1.0;
        self.observed_at = Some(now);
    }

    /// Takes an answer of the endpoint's own, good or bad.
    pub fn record_answer(&mut self, good: bool, now: Instant) {
        self.observe(if good { 0.0 } else { 1.0 }, now);
        self.connect_failures = 0;
        self.backoff_until = None;
    }

    /// Takes the lack of an answer: the connection broke or the answer is overdue.
    pub fn record_no_answer(&mut self, now: Instant) {
        self.observe(1.0, now);
    }

    /// Takes a connection that could not be made.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.observe(1.0, now);
        let doublings = self.connect_failures.min(8);
        self.connect_failures += 1;
        self.backoff_until = Some(now + (FIRST_BACKOFF * (1 << doublings)).min(MAX_BACKOFF));
    }

    /// Returns the estimated share of requests that fail.
    ///
    /// ```
    /// use camphorloft_dispatch::health::Health;
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let mut health = Health::default();
    /// let before = health.failure_rate(now);
    /// health.unanswered(now);
    /// assert!(health.failure_rate(now) > before);
    /// // Old failures are forgiven, so that an endpoint that recovered is tried again.
    /// let later = now + Duration::from_secs(60);
    /// assert!((health.failure_rate(later) - before).abs() < 0.01);
    /// ```
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let decay = self.decay(now);
        let failures = self.failures * decay + PRIOR_FAILURES * PRIOR_WEIGHT;
        failures / (self.total * decay + PRIOR_WEIGHT)
    }

    /// Returns true while the endpoint is left alone because it could not be reached.
    pub fn is_backed_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }
}
