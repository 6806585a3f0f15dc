//! Speed of an endpoint, estimated from what it states and from what hosts observe.
//!
//! Handles a service whose endpoints differ persistently (machines of different speeds) and
//! transiently (a part of them is slowed by its neighbours for some hundred milliseconds). Speed is
//! expressed as slowness: the factor by which work takes longer than usual.
//!
//! An endpoint may state its slowness with or without the persistent part. Both cases lead to the
//! same estimate: the usual stated figure is the persistent part or about 1, and the difference
//! between that and what hosts observe is learnt for all endpoints of the service.

use std::time::{Duration, Instant};

use crate::service_speed::ServiceSpeed;
use crate::slowness_samples::{Quantile, SlownessSamples, UsualSlowness};

/// Time in which a stated figure loses its weight: endpoints are slowed by their neighbours for
/// about this long.
const TRANSIENT_DURATION: Duration = Duration::from_millis(600);
/// Ratio of a stated figure to the usual one from which the endpoint counts as slowed. Noise stays
/// below.
const SLOWED_RATIO: f64 = 1.5;
/// Confidence in a first stated figure that is lower than those of the other endpoints.
const LOW_FIGURE_CONFIDENCE: f64 = 0.9;
/// Interval between two requests for the slowness of an endpoint, longer than its neighbours usually
/// slow it.
const PROBE_INTERVAL: Duration = Duration::from_millis(700);
/// Maximum number of requests of this host for the slowness of an endpoint. One that states none is not
/// asked for ever.
const MAX_PROBES: u32 = 6;
/// Uncertainty of the slowness that is observed in one period, as a fraction: mostly whether the engine
/// prefilled a prompt.
const OBSERVATION_SPREAD: f64 = 0.2;
/// Uncertainty of the slowness of an endpoint of which nothing is known, as a fraction.
const UNKNOWN_SPREAD: f64 = 0.4;
/// Number of periods from which a usual slowness counts as well known.
const MIN_PERIODS: u32 = 3;

/// Speed of an endpoint, estimated from what it states and from what hosts observe.
#[derive(Clone, Debug, Default)]
pub struct SpeedEstimate {
    stated: SlownessSamples,
    observed: SlownessSamples,
    /// What other hosts know.
    peers_stated: UsualSlowness,
    peers_observed: UsualSlowness,
    /// Latest stated slowness and when it was valid.
    latest: Option<(f64, Instant)>,
    /// Number of periods that were known when this host last told the others what it observed.
    announced_periods: u32,
    /// Number of times that this host asked the endpoint for its slowness.
    probes: u32,
    /// When this host last asked the endpoint for its slowness.
    probed_at: Option<Instant>,
}

impl SpeedEstimate {
    /// Records the stated duration of work as of `as_of`, in percent of the usual one. A figure older
    /// than the latest one, and zero, are ignored.
    pub fn record_stated(&mut self, percent: u32, as_of: Instant) {
        if percent == 0 || self.latest.is_some_and(|(_, at)| at > as_of) {
            return;
        }
        let slowness = f64::from(percent) / 100.0;
        self.stated.record(slowness, Quantile::Third, as_of);
        self.latest = Some((slowness, as_of));
    }

    /// Records the ratio of an observed duration to the usual one.
    pub fn record_observed(&mut self, slowness: f64, now: Instant) {
        self.observed.record(slowness, Quantile::Median, now);
    }

    /// Records what another host knows of the usual figure and of the usual observed slowness.
    pub fn record_peer(&mut self, stated: UsualSlowness, observed: UsualSlowness) {
        self.peers_stated = stated.or_better(self.peers_stated);
        self.peers_observed = observed.or_better(self.peers_observed);
    }

    /// Records the figure that another host received last. Returns false if it is not newer than the
    /// latest known one.
    pub fn record_peer_figure(&mut self, percent: u32, as_of: Instant) -> bool {
        let is_newer = percent > 0 && self.latest.is_none_or(|(_, at)| as_of > at);
        if is_newer {
            self.latest = Some((f64::from(percent) / 100.0, as_of));
        }
        is_newer
    }

    /// Returns the latest stated figure, in percent, and when it was valid.
    pub fn latest_figure(&self) -> Option<(u32, Instant)> {
        self.latest.map(|(slowness, at)| ((slowness * 100.0).round() as u32, at))
    }

    /// Returns the usual stated slowness, as far as it is known on any host.
    pub fn stated(&self) -> UsualSlowness {
        self.stated.usual().or_better(self.peers_stated)
    }

    /// Returns the usual observed slowness, as far as it is known on any host.
    pub fn observed(&self) -> UsualSlowness {
        self.observed.usual().or_better(self.peers_observed)
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
        let expected = self.ln_stated(service) + service.ln_unstated();
        let observed = self.observed();
        // The weight of the observations follows from their variance and that of the expectation.
        let variance = self.expected_spread(service).powi(2) * f64::from(observed.periods());
        let weight = variance / (variance + OBSERVATION_SPREAD * OBSERVATION_SPREAD);
        (expected + (observed.ln() - expected) * weight).exp()
    }

    /// Returns the uncertainty of the persistent slowness, as a fraction: that of what the endpoint
    /// does not state, until enough was observed, or more if it has stated little.
    pub fn uncertainty(&self, service: &ServiceSpeed) -> f64 {
        self.expected_spread(service) * (1.0 - self.observed().confidence())
    }

    /// Returns the uncertainty of the slowness that is expected without observations, as a fraction.
    fn expected_spread(&self, service: &ServiceSpeed) -> f64 {
        service.unstated_spread() + UNKNOWN_SPREAD * (1.0 - self.stated().confidence())
    }

    /// Returns the logarithm of the part of the persistent slowness that the endpoint states. As long
    /// as few figures are known, it lies between them and those of the other endpoints.
    fn ln_stated(&self, service: &ServiceSpeed) -> f64 {
        let others = service.ln_stated();
        let own = self.stated();
        let weight = match own.periods() {
            0 => 0.0,
            // Neighbours only slow an endpoint, so that a low figure is no coincidence.
            _ if own.ln() <= others => own.confidence().max(LOW_FIGURE_CONFIDENCE),
            _ => own.confidence(),
        };
        others + (own.ln() - others) * weight
    }

    /// Returns the logarithm of the persistent slowness that the endpoint states, if it is known well.
    pub(crate) fn ln_known_stated(&self) -> Option<f64> {
        let stated = self.stated();
        (stated.periods() >= MIN_PERIODS).then(|| stated.ln())
    }

    /// Returns the logarithm of the persistent slowness that the endpoint does not state, if both
    /// parts are known well.
    pub(crate) fn ln_unstated(&self) -> Option<f64> {
        let observed = self.observed();
        let observed = (observed.periods() >= MIN_PERIODS).then(|| observed.ln());
        Some(observed? - self.ln_known_stated()?)
    }

    /// Returns the factor by which the latest stated figure exceeds the endpoint's usual one, if any.
    pub fn stated_ratio(&self, service: &ServiceSpeed) -> Option<f64> {
        self.latest.map(|(slowness, _)| slowness / self.ln_stated(service).exp())
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
        let Some(((_, at), ratio)) = self.latest.zip(self.stated_ratio(service)) else {
            return usual;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        let weight = (1.0 - age / TRANSIENT_DURATION.as_secs_f64()).max(0.0);
        let stated = if Self::is_slowed(ratio) { 1.0 } else { 0.0 };
        usual + (stated - usual) * weight
    }

    /// Returns true if this host is the first to know the observed slowness well, as far as it knows, so
    /// that it should tell the others, and records that it does. Each of many hosts observes few of
    /// the streams of an engine.
    pub fn begin_announcement(&mut self) -> bool {
        let is_known = |usual: UsualSlowness| usual.periods() >= MIN_PERIODS;
        let own = self.observed.usual();
        let is_first = is_known(own) && !is_known(self.peers_observed);
        // The first statement may have been made while neighbours slowed the endpoint.
        let is_better = own.periods() > self.peers_observed.periods() && own.is_complete();
        let begins = (is_first || is_better) && own.periods() > self.announced_periods;
        if begins {
            self.announced_periods = own.periods();
        }
        begins
    }

    /// Returns true if the endpoint should be asked for its slowness: until its usual figure is known
    /// well, at intervals in which its neighbours change.
    pub fn wants_probe(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < PROBE_INTERVAL;
        let is_unknown = self.stated().periods() < MIN_PERIODS && self.probes < MAX_PROBES;
        is_unknown && !self.probed_at.is_some_and(is_recent)
    }

    /// Records that the endpoint is asked for its slowness.
    pub fn record_probe(&mut self, now: Instant) {
        self.probed_at = Some(now);
        self.probes += 1;
    }

    /// Returns the age of the latest stated figure.
    pub fn stated_age(&self, now: Instant) -> Option<Duration> {
        self.latest.map(|(_, at)| now.saturating_duration_since(at))
    }
}
