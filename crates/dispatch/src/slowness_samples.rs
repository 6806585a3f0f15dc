//! Recent samples of how slow an endpoint is.

use std::time::{Duration, Instant};

/// Number of periods that are kept. The median of as many is robust against a seventh of them being
/// two and a half times as slow.
const PERIODS: usize = 8;
/// Length of a period. Samples of one period count as one, because an endpoint's neighbours slow it
/// for several hundred milliseconds at a time.
const PERIOD: Duration = Duration::from_millis(300);
/// Smallest and largest accepted slowness. Anything beyond is a mistake or a stopped process.
const ACCEPTED: (f64, f64) = (0.25, 8.0);
/// Confidence in the median by number of periods, 0 to 1; the last value applies to more. A single
/// period may be one in which the endpoint's neighbours slowed it.
const CONFIDENCE: [f64; 4] = [0.0, 0.5, 0.8, 0.95];

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
    /// Logarithm of the median.
    ln_median: f64,
}

impl SlownessSamples {
    /// Records a sample. One that is not finite is ignored, and one beyond the accepted range is
    /// clamped.
    pub(crate) fn record(&mut self, slowness: f64, now: Instant) {
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
        self.ln_median = self.median().ln();
    }

    /// Returns the lower median of the periods: most of the time, an endpoint is not slowed.
    fn median(&self) -> f64 {
        let mut sorted = self.periods;
        // The periods in use end at the latest one.
        sorted.rotate_left((self.latest + 1) % PERIODS);
        let known = &mut sorted[PERIODS - self.len..];
        known.sort_unstable_by(f64::total_cmp);
        known[(known.len() - 1) / 2]
    }

    /// Returns the logarithm of the median; 0 if there are no samples.
    pub(crate) fn ln_median(&self) -> f64 {
        self.ln_median
    }

    /// Returns the confidence in the median, from 0 to 1.
    pub(crate) fn confidence(&self) -> f64 {
        CONFIDENCE[self.len.min(CONFIDENCE.len() - 1)]
    }

    /// Returns the number of periods with samples.
    pub(crate) fn len(&self) -> usize {
        self.len
    }
}
