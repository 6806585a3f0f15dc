//! Failure rate of an endpoint, estimated from its responses.
//!
//! Detects endpoints that fail some of their requests while their health probe succeeds, that hang,
//! or that become unreachable: the endpoint list shows none of these in time.

use std::time::{Duration, Instant};

/// Half-life of the weight of an observation. In current deployments several requests of each kind
/// reach an endpoint in this time.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Assumed failure rate before the first observation.
const PRIOR_FAILURES: f64 = 0.05;
/// Weight of that assumption, in observations.
const PRIOR_WEIGHT: f64 = 4.0;
/// Backoff after the first failure to connect. Doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
/// Maximum backoff; an endpoint is replaced or restarted within seconds.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Failure statistics of an endpoint.
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

    /// Records a response produced by the endpoint itself. `success` is false for an error.
    pub fn record_answer(&mut self, success: bool, now: Instant) {
        self.observe(if success { 0.0 } else { 1.0 }, now);
        self.connect_failures = 0;
        self.backoff_until = None;
    }

    /// Records a missing response: the connection broke or the response is overdue.
    pub fn record_no_answer(&mut self, now: Instant) {
        self.observe(1.0, now);
    }

    /// Records a failure to connect.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.observe(1.0, now);
        let doublings = self.connect_failures.min(8);
        self.connect_failures += 1;
        self.backoff_until = Some(now + (INITIAL_BACKOFF * (1 << doublings)).min(MAX_BACKOFF));
    }

    /// Withdraws the recorded failures to connect, which the endpoint did not cause.
    pub fn clear_unreachable(&mut self) {
        self.connect_failures = 0;
        self.backoff_until = None;
    }

    /// Returns the estimated fraction of requests that fail.
    ///
    /// ```
    /// use camphorloft_dispatch::health::Health;
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let mut health = Health::default();
    /// let initial = health.failure_rate(now);
    /// health.record_no_answer(now);
    /// assert!(health.failure_rate(now) > initial);
    /// // The weight of old failures decays, so that an endpoint that recovered is used again.
    /// let later = now + Duration::from_secs(60);
    /// assert!((health.failure_rate(later) - initial).abs() < 0.01);
    /// ```
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let decay = self.decay(now);
        let failures = self.failures * decay + PRIOR_FAILURES * PRIOR_WEIGHT;
        failures / (self.total * decay + PRIOR_WEIGHT)
    }

    /// Returns true during the backoff after a failure to connect.
    pub fn is_backed_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }
}
