//! Recent samples of how slow an endpoint is.

use std::time::{Duration, Instant};

/// Number of periods that are kept: several times as many as an endpoint is usually slowed for.
const PERIODS: usize = 8;
/// Length of a period. Samples of one period count as one, because an endpoint's neighbours slow it
/// for several hundred milliseconds at a time.
const PERIOD: Duration = Duration::from_millis(300);
/// Smallest and largest accepted slowness. Anything beyond is a mistake or a stopped process.
const ACCEPTED: (f64, f64) = (0.25, 8.0);
/// Confidence in the usual slowness by number of periods, 0 to 1; the last value applies to more. A single
/// period may be one in which the endpoint's neighbours slowed it.
const CONFIDENCE: [f64; 5] = [0.0, 0.5, 0.8, 0.9, 1.0];

/// Usual slowness of an endpoint, and how well it is known. Hosts send it to each other.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsualSlowness {
    /// Logarithm of the slowness; 0 if there are no samples.
    ln: f64,
    /// Number of periods with samples.
    periods: u32,
}

impl UsualSlowness {
    /// Returns the usual slowness of another host, in percent, known from samples in `periods`
    /// periods. It is clamped to the accepted range.
    pub fn from_percent(percent: u32, periods: u32) -> Self {
        let slowness = (f64::from(percent) / 100.0).clamp(ACCEPTED.0, ACCEPTED.1);
        Self { ln: slowness.ln(), periods: periods.min(PERIODS as u32) }
    }

    /// Returns the usual slowness in percent, if any is known.
    pub fn percent(&self) -> Option<u32> {
        (self.periods > 0).then(|| (self.ln.exp() * 100.0).round() as u32)
    }

    /// Returns the number of periods with samples.
    pub fn periods(&self) -> u32 {
        self.periods
    }

    /// Returns true if as many periods are known as are kept.
    pub(crate) fn is_complete(&self) -> bool {
        self.periods >= PERIODS as u32
    }

    /// Returns the logarithm of the slowness; 0 if there are no samples.
    pub(crate) fn ln(&self) -> f64 {
        self.ln
    }

    /// Returns the confidence, from 0 to 1.
    pub(crate) fn confidence(&self) -> f64 {
        CONFIDENCE[(self.periods as usize).min(CONFIDENCE.len() - 1)]
    }

    /// Returns the one that is known better, `self` if both are known equally well.
    pub(crate) fn or_better(self, other: Self) -> Self {
        if other.periods > self.periods { other } else { self }
    }
}

/// Recent samples of how slow an endpoint is: factors by which its work takes longer than usual.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlownessSamples {
    periods: [f64; PERIODS],
    /// Number of periods with samples.
    len: usize,
    /// Position of the latest period.
    latest: usize,
    /// When the latest period began.
    began_at: Option<Instant>,
    /// Samples in the latest period.
    in_period: f64,
    /// Logarithm of the quantile that [`Self::ln_usual`] returns.
    ln_usual: f64,
}

/// Quantile of the periods that counts as usual.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Quantile {
    /// The lower third, for exact samples: noise only raises them.
    Third,
    /// The lower median, for samples that may be too low as well as too high.
    Median,
}

impl Quantile {
    /// Returns the position in `len` sorted samples; the lowest one of two or three.
    fn position(self, len: usize) -> usize {
        match self {
            Quantile::Third => len.saturating_sub(1) / 3,
            Quantile::Median => len.saturating_sub(1) / 2,
        }
    }
}

impl SlownessSamples {
    /// Records a sample. One that is not finite is ignored, and one beyond the accepted range is
    /// clamped.
    pub(crate) fn record(&mut self, slowness: f64, usual: Quantile, now: Instant) {
        if !slowness.is_finite() {
            return;
        }
        let slowness = slowness.clamp(ACCEPTED.0, ACCEPTED.1);
        let same = |at: Instant| now.saturating_duration_since(at) < PERIOD;
        if self.began_at.is_some_and(same) {
            self.in_period += 1.0;
            let mean = &mut self.periods[self.latest];
            *mean += (slowness - *mean) / self.in_period;
        } else {
            self.latest = (self.latest + 1) % PERIODS;
            self.len = (self.len + 1).min(PERIODS);
            self.periods[self.latest] = slowness;
            self.began_at = Some(now);
            self.in_period = 1.0;
        }
        self.ln_usual = self.quantile(usual).ln();
    }

    fn quantile(&self, quantile: Quantile) -> f64 {
        let mut sorted = self.periods;
        // The periods in use end at the latest one.
        sorted.rotate_left((self.latest + 1) % PERIODS);
        let known = &mut sorted[PERIODS - self.len..];
        known.sort_unstable_by(f64::total_cmp);
        known[quantile.position(known.len())]
    }

    /// Returns the usual slowness.
    pub(crate) fn usual(&self) -> UsualSlowness {
        UsualSlowness { ln: self.ln_usual, periods: self.len as u32 }
    }
}
