//! Forecast of the memory held by sequences of other hosts.
//!
//! Only the number and the memory of these sequences are known. Their memory is assumed to develop
//! like that of this host's own sequences, averaged per token. Averaging size and survival
//! separately would be wrong, because large sequences survive longer than small ones.

use crate::forecast::{Forecast, HORIZONS};

/// Weight of a new observation in the moving average.
const SMOOTHING_FACTOR: f32 = 0.02;
/// Initial mean at all horizons, as a fraction of the memory in use now.
const INITIAL_MEAN: f32 = 0.8;
/// Initial variance per token of memory, at all horizons.
const INITIAL_VARIANCE: f32 = 300.0;
/// Index of the horizon used to extrapolate over the age of a report.
const AGE_HORIZON: usize = 1;

/// Forecast per token of memory in use now.
#[derive(Clone, Copy, Debug)]
pub struct PerTokenForecast {
    per_token: Forecast,
}

impl Default for PerTokenForecast {
    fn default() -> Self {
        let mean = [INITIAL_MEAN; HORIZONS.len()];
        let variance = [INITIAL_VARIANCE; HORIZONS.len()];
        Self { per_token: Forecast { mean, variance } }
    }
}

impl PerTokenForecast {
    /// Adds the forecast of this host's own sequences on one endpoint to the moving average.
    pub fn observe(&mut self, own: &Forecast) {
        let now = own.mean[0];
        if now < 1.0 {
            return;
        }
        for ix in 0..HORIZONS.len() {
            self.per_token.mean[ix] +=
                (own.mean[ix] / now - self.per_token.mean[ix]) * SMOOTHING_FACTOR;
            self.per_token.variance[ix] +=
                (own.variance[ix] / now - self.per_token.variance[ix]) * SMOOTHING_FACTOR;
        }
    }

    /// Returns the forecast per token of memory that was in use `steps` steps ago.
    pub fn after_steps(&self, steps: u32) -> Forecast {
        let part = steps as f32 / HORIZONS[AGE_HORIZON] as f32;
        let change = self.per_token.mean[AGE_HORIZON].max(0.1).powf(part);
        let mut forecast = Forecast::default();
        forecast.add_scaled(&self.per_token, change);
        for variance in &mut forecast.variance {
            *variance += self.per_token.variance[AGE_HORIZON] * part;
        }
        forecast
    }
}
