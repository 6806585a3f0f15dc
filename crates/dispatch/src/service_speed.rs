//! What the endpoints of one service have in common in speed.

use std::time::{Duration, Instant};

use crate::speed::SpeedEstimate;

/// Time for which speed counts in placements after an endpoint of the service stated it.
const STATED_VALIDITY: Duration = Duration::from_secs(10);
/// Weight of a new sample in the moving averages of the share of slowed endpoints and of their
/// slowness. All endpoints together state some hundred figures a second.
const SLOWED_WEIGHT: f64 = 0.01;
/// Weight of a new sample in the moving average of the slowness that endpoints do not state.
const UNSTATED_WEIGHT: f64 = 0.05;
/// Assumed share of endpoints that neighbours slow, before figures are known.
const INITIAL_SLOWED_SHARE: f64 = 0.1;
/// Assumed factor by which neighbours slow an endpoint, before figures are known.
const INITIAL_SLOWED_FACTOR: f64 = 2.5;
/// Assumed deviation of the slowness that endpoints do not state, as a fraction, before any is known.
const INITIAL_UNSTATED_SPREAD: f64 = 0.3;
/// Largest assumed factor by which neighbours slow an endpoint.
const MAX_SLOWED_FACTOR: f64 = 6.0;

/// What the endpoints of one service have in common in speed.
#[derive(Clone, Copy, Debug)]
pub struct ServiceSpeed {
    stated_at: Option<Instant>,
    gap_target: Option<Duration>,
    /// Logarithm of the mean persistent slowness that endpoints state.
    ln_stated: f64,
    /// Logarithm of the mean slowness that endpoints do not state.
    ln_unstated: f64,
    /// Mean deviation from that.
    unstated_spread: f64,
    slowed_share: f64,
    slowed_factor: f64,
}

impl Default for ServiceSpeed {
    fn default() -> Self {
        Self {
            stated_at: None,
            gap_target: None,
            ln_stated: 0.0,
            ln_unstated: 0.0,
            unstated_spread: INITIAL_UNSTATED_SPREAD,
            slowed_share: INITIAL_SLOWED_SHARE,
            slowed_factor: INITIAL_SLOWED_FACTOR,
        }
    }
}

impl ServiceSpeed {
    /// Records that an endpoint stated its slowness, `ratio` times its usual figure. `ln_usual` is the
    /// logarithm of that, if it is known well.
    pub fn record_stated(&mut self, ratio: f64, ln_usual: Option<f64>, as_of: Instant) {
        self.record_stated_at(as_of);
        if let Some(ln_usual) = ln_usual {
            self.ln_stated += (ln_usual - self.ln_stated) * SLOWED_WEIGHT;
        }
        let slowed = SpeedEstimate::is_slowed(ratio);
        self.slowed_share += (f64::from(u8::from(slowed)) - self.slowed_share) * SLOWED_WEIGHT;
        if slowed {
            let ratio = ratio.min(MAX_SLOWED_FACTOR);
            self.slowed_factor += (ratio - self.slowed_factor) * SLOWED_WEIGHT.sqrt();
        }
    }

    /// Records that an endpoint stated its slowness, to this or another host.
    pub fn record_stated_at(&mut self, as_of: Instant) {
        self.stated_at = self.stated_at.max(Some(as_of));
    }

    /// Returns when an endpoint last stated its slowness.
    pub fn stated_at(&self) -> Option<Instant> {
        self.stated_at
    }

    /// Records the logarithm of the slowness that an endpoint has but does not state.
    pub fn record_unstated(&mut self, ln_slowness: f64) {
        let deviation = ln_slowness - self.ln_unstated;
        self.ln_unstated += deviation * UNSTATED_WEIGHT;
        self.unstated_spread += (deviation.abs() - self.unstated_spread) * UNSTATED_WEIGHT;
    }

    /// Sets the shortest target for pauses between events on the routes of the service.
    pub fn set_gap_target(&mut self, target: Option<Duration>) {
        self.gap_target = target;
    }

    /// Returns the shortest target for pauses between events on the routes of the service.
    pub fn gap_target(&self) -> Option<Duration> {
        self.gap_target
    }

    /// Returns true if an endpoint stated its slowness recently, so that speed counts in placements.
    pub fn is_stated(&self, now: Instant) -> bool {
        self.stated_at.is_some_and(|at| now.saturating_duration_since(at) <= STATED_VALIDITY)
    }

    /// Returns the logarithm of the mean persistent slowness that endpoints state.
    pub(crate) fn ln_stated(&self) -> f64 {
        self.ln_stated
    }

    /// Returns the mean deviation of the slowness that endpoints do not state, as a fraction.
    pub(crate) fn unstated_spread(&self) -> f64 {
        self.unstated_spread
    }

    /// Returns the logarithm of the mean slowness that endpoints do not state.
    pub(crate) fn ln_unstated(&self) -> f64 {
        self.ln_unstated
    }

    /// Returns the share of the endpoints that neighbours slow at any time.
    pub fn slowed_share(&self) -> f64 {
        self.slowed_share
    }

    /// Returns the factor by which neighbours slow an endpoint on average.
    pub(crate) fn mean_factor(&self) -> f64 {
        1.0 + self.slowed_share * (self.slowed_factor - 1.0)
    }

    /// Returns the factor by which neighbours slow an endpoint.
    pub fn slowed_factor(&self) -> f64 {
        self.slowed_factor
    }
}
