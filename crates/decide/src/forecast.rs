//! Forecast of the memory of an engine at fixed horizons, and the probability of overflow.
//!
//! All sequences of an engine advance by one token per step, so a horizon in steps is a horizon in
//! tokens for each of them. At horizon `h`, a sequence that now holds `k` tokens holds `k + h` with
//! the probability that it continues that far, and none otherwise. The sums of means and variances
//! over all running sequences give a normal approximation of the memory at that horizon.

/// Forecast horizons, in steps.
pub const HORIZONS: [u32; 12] = [1, 24, 64, 128, 224, 352, 512, 736, 1024, 1440, 2048, 3072];

/// Standard deviation of effects outside the model, such as progress not yet reported, as a
/// fraction of the capacity.
const MODEL_ERROR: f32 = 0.01;

/// Mean and variance of the memory in use at each horizon.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// Means, in tokens.
    pub mean: [f32; HORIZONS.len()],
    /// Variances, in tokens squared.
    pub variance: [f32; HORIZONS.len()],
}

impl Forecast {
    /// Returns the forecast of one sequence that holds `kv` tokens. `continues(h)` returns the
    /// probability that it generates at least `h` more tokens.
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

    /// Adds another forecast multiplied by `times`, as for independent sequences of the same
    /// distribution.
    pub fn add_scaled(&mut self, other: &Self, times: f32) {
        for ix in 0..HORIZONS.len() {
            self.mean[ix] += other.mean[ix] * times;
            self.variance[ix] += other.variance[ix] * times;
        }
    }

    /// Subtracts a forecast that was added earlier.
    pub fn subtract(&mut self, other: &Self) {
        for ix in 0..HORIZONS.len() {
            self.mean[ix] = (self.mean[ix] - other.mean[ix]).max(0.0);
            self.variance[ix] = (self.variance[ix] - other.variance[ix]).max(0.0);
        }
    }

    /// Returns the probability that memory with `extra` added exceeds `capacity` tokens, at the
    /// worst of the first `horizons` horizons.
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
    /// Returns the probabilities that memory with `extra` added exceeds `capacity` tokens, at the
    /// worst of the first `near` horizons and at the worst of all.
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

/// Logistic approximation of the standard normal distribution function, with an error below 0.01.
fn normal_cdf(z: f32) -> f32 {
    const SLOPE: f32 = 1.702;
    1.0 / (1.0 + (-SLOPE * z).exp())
}
