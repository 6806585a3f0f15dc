//! How memory develops that other hosts hold.
//!
//! Of sequences of other hosts only number and memory are known. Their memory is expected to
//! develop as that of this host's own sequences does. Taking the mean size and the mean survival
//! apart would be wrong: large sequences live longer than small ones.

use crate::forecast::{Forecast, HORIZONS};

/// Weight of a new observation.
const SMOOTHING_FACTOR: f32 = 0.02;
/// Mean of the later horizons before anything was observed: half of the memory is kept.
const INITIAL_MEAN: f32 = 0.8;
/// Variance for a token of memory before anything was observed.
const INITIAL_VARIANCE: f32 = 300.0;
/// Horizon by which the age of a report is bridged.
const AGE_HORIZON: usize = 1;

/// Forecast for each token of memory that is in use now.
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
    /// Takes the forecast of the own sequences on one endpoint.
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

    /// Returns the forecast for each token that was in use `steps` ago.
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
