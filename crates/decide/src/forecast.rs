//! Memory of an engine at a few horizons, and the probability of overflow.
//!
//! All sequences of an engine advance by one token a step, so a horizon in steps is a horizon in
//! tokens for each of them. At horizon `h` a sequence that holds `k` tokens now holds `k + h` with
//! the probability that it continues that far, and nothing otherwise. Sums of means and variances
//! over the running set give a normal approximation of the memory at that horizon.

/// Horizons, in steps.
pub const HORIZONS: [u32; 12] = [1, 24, 64, 128, 224, 352, 512, 736, 1024, 1440, 2048, 3072];

/// Standard deviation of what the forecast leaves out, such as progress not yet reported, as a
/// part of the capacity.
const MODEL_ERROR: f32 = 0.01;

/// Mean and variance of memory at each horizon, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// Means.
    pub mean: [f32; HORIZONS.len()],
    /// Variances.
    pub variance: [f32; HORIZONS.len()],
}

impl Forecast {
    /// Builds the forecast of one sequence that holds `kv` tokens. `continues(h)` is the
    /// probability that it generates `h` more tokens.
    pub fn of_sequence<ContinuationProbability>(kv: u32, continues: ContinuationProbability) -> Self
    where
        ContinuationProbability: Fn(u32) -> f32,
    {
        let mut forecast = Self::default();
        for (ix, horizon) in HORIZONS.iter().enumerate() {
            let alive = continues(*horizon);
            let size = (kv + horizon) as f32;
            forecast.mean[ix] = alive * size;
            forecast.variance[ix] = alive * (1.0 - alive) * size * size;
        }
        forecast
    }

    /// Adds another forecast.
    pub fn add(&mut self, other: &Self) {
        for ix in 0..HORIZONS.len() {
            self.mean[ix] += other.mean[ix];
            self.variance[ix] += other.variance[ix];
        }
    }

    /// Adds another forecast several times, as of independent sequences like it.
    pub fn add_scaled(&mut self, other: &Self, times: f32) {
        for ix in 0..HORIZONS.len() {
            self.mean[ix] += other.mean[ix] * times;
            self.variance[ix] += other.variance[ix] * times;
        }
    }

    /// Subtracts a forecast that was added before.
    pub fn subtract(&mut self, other: &Self) {
        for ix in 0..HORIZONS.len() {
            self.mean[ix] = (self.mean[ix] - other.mean[ix]).max(0.0);
            self.variance[ix] = (self.variance[ix] - other.variance[ix]).max(0.0);
        }
    }

    /// Returns the probability that memory exceeds `capacity` at the worst horizon among the
    /// first `horizons`, with `extra` added.
    ///
    /// ```
    /// use camphorloft_decide::forecast::{Forecast, HORIZONS};
    /// let one = Forecast::of_sequence(100, |_| 0.5);
    /// let none = Forecast::default();
    /// assert!(one.overflow(&none, 100_000.0, HORIZONS.len()) < 0.01);
    /// assert!(one.overflow(&one, 50.0, HORIZONS.len()) > 0.5);
    /// ```
    pub fn overflow(&self, extra: &Self, capacity: f32, horizons: usize) -> f32 {
        let mut worst = f32::NEG_INFINITY;
        for ix in 0..horizons {
            let mean = self.mean[ix] + extra.mean[ix];
            let variance = self.variance[ix] + extra.variance[ix];
            let error = capacity * MODEL_ERROR;
            let deviation = (variance + error * error).sqrt();
            worst = worst.max((mean - capacity) / deviation);
        }
        normal_cdf(worst)
    }
}

impl Forecast {
    /// Returns the probability that memory exceeds `capacity` within the first `near` horizons and
    /// within all, with `extra` added.
    pub fn overflows(&self, extra: &Self, capacity: f32, near: usize) -> (f32, f32) {
        let error = capacity * MODEL_ERROR;
        let (mut worst_near, mut worst) = (f32::NEG_INFINITY, f32::NEG_INFINITY);
        for ix in 0..HORIZONS.len() {
            let excess = self.mean[ix] + extra.mean[ix] - capacity;
            let variance = self.variance[ix] + extra.variance[ix];
            worst = worst.max(excess / (variance + error * error).sqrt());
            if ix + 1 == near {
                worst_near = worst;
            }
        }
        (normal_cdf(worst_near), normal_cdf(worst))
    }
}

/// Logistic approximation of the standard normal distribution function; its error is below 0.01.
fn normal_cdf(z: f32) -> f32 {
    const SLOPE: f32 = 1.702;
    1.0 / (1.0 + (-SLOPE * z).exp())
}
