//! Speed of an endpoint, estimated from what it states and from what hosts observe.
//!
//! Handles a service whose endpoints differ persistently (machines of different speeds) and
//! transiently (a part of them is slowed by its neighbours for some hundred milliseconds). Speed is
//! expressed as slowness: the factor by which work takes longer than usual.
//!
//! An endpoint may state its slowness with or without the persistent part. Both cases lead to the
//! same estimate: the median of the stated figures is the persistent part or about 1, and the
//! difference between that and what hosts observe is learnt for all endpoints of the service.

use std::time::{Duration, Instant};

use crate::service_speed::ServiceSpeed;
use crate::slowness_samples::SlownessSamples;

/// Time in which a stated figure loses its weight: endpoints are slowed by their neighbours for
/// about this long.
const TRANSIENT_DURATION: Duration = Duration::from_millis(600);
/// Ratio of a stated figure to the median from which the endpoint counts as slowed. Noise stays
/// below.
const SLOWED_RATIO: f64 = 1.5;

/// Speed of an endpoint, estimated from what it states and from what hosts observe.
#[derive(Clone, Debug, Default)]
pub struct SpeedEstimate {
    stated: SlownessSamples,
    observed: SlownessSamples,
    /// Latest stated slowness and when it was valid.
    latest: Option<(f64, Instant)>,
}

impl SpeedEstimate {
    /// Records the stated duration of work as of `as_of`, in percent of the usual one. A figure older
    /// than the latest one, and zero, are ignored.
    pub fn record_stated(&mut self, percent: u32, as_of: Instant) {
        if percent == 0 || self.latest.is_some_and(|(_, at)| at > as_of) {
            return;
        }
        let slowness = f64::from(percent) / 100.0;
        self.stated.record(slowness, as_of);
        self.latest = Some((slowness, as_of));
    }

    /// Records the ratio of an observed duration to the usual one.
    pub fn record_observed(&mut self, slowness: f64, now: Instant) {
        self.observed.record(slowness, now);
    }

    /// Returns the persistent slowness: the factor by which work takes longer than usual while no
    /// neighbour slows the endpoint.
    ///
    /// ```
    /// use camphorloft_dispatch::service_speed::ServiceSpeed;
    /// use camphorloft_dispatch::speed::SpeedEstimate;
    /// use std::time::{Duration, Instant};
    /// let mut speed = SpeedEstimate::default();
    /// let service = ServiceSpeed::default();
    /// assert_eq!(speed.slowness(&service), 1.0);
    /// let start = Instant::now();
    /// for ix in 0..5 {
    ///     speed.record_observed(1.8, start + Duration::from_millis(300 * ix));
    /// }
    /// assert!((1.7..1.9).contains(&speed.slowness(&service)));
    /// ```
    pub fn slowness(&self, service: &ServiceSpeed) -> f64 {
        let expected = self.ln_stated() + service.ln_unstated();
        let weight = self.observed.confidence();
        (expected + (self.observed.ln_median() - expected) * weight).exp()
    }

    /// Returns the confidence in the persistent slowness, from 0 to 1.
    pub fn confidence(&self) -> f64 {
        self.observed.confidence()
    }

    /// Returns the logarithm of the part of the persistent slowness that the endpoint states.
    fn ln_stated(&self) -> f64 {
        self.stated.ln_median() * self.stated.confidence()
    }

    /// Returns the logarithm of the persistent slowness that the endpoint does not state, if both
    /// parts are known well.
    pub(crate) fn ln_unstated(&self) -> Option<f64> {
        const MIN_PERIODS: usize = 3;
        let known = self.stated.len().min(self.observed.len()) >= MIN_PERIODS;
        known.then(|| self.observed.ln_median() - self.stated.ln_median())
    }

    /// Returns the factor by which the latest stated figure exceeds the endpoint's usual one, if any.
    pub fn stated_ratio(&self) -> Option<f64> {
        self.latest.map(|(slowness, _)| slowness / self.ln_stated().exp())
    }

    /// Returns true if a ratio of a stated figure to the usual one means that neighbours slow the
    /// endpoint.
    pub(crate) fn is_slowed(ratio: f64) -> bool {
        ratio >= SLOWED_RATIO
    }

    /// Returns the probability that neighbours slow the endpoint now: as last stated, but the older
    /// that is, the closer to the average of the service.
    pub fn slowed_probability(&self, service: &ServiceSpeed, now: Instant) -> f64 {
        let usual = service.slowed_share();
        let Some(((_, at), ratio)) = self.latest.zip(self.stated_ratio()) else { return usual };
        let age = now.saturating_duration_since(at).as_secs_f64();
        let weight = (1.0 - age / TRANSIENT_DURATION.as_secs_f64()).max(0.0);
        let stated = if Self::is_slowed(ratio) { 1.0 } else { 0.0 };
        usual + (stated - usual) * weight
    }

    /// Returns the age of the latest stated figure.
    pub fn stated_age(&self, now: Instant) -> Option<Duration> {
        self.latest.map(|(_, at)| now.saturating_duration_since(at))
    }
}
