//! Compares endpoints for one generation.

use crate::endpoint_view::{Distance, EndpointView};
use crate::forecast::{Forecast, HORIZONS};
use crate::policy_settings::{ObjectiveWeights, PolicySettings};

/// Seconds that an overflow is expected to cost.
const OVERFLOW_SECONDS: f32 = 4.0;
/// Weight of an overflow that is far away, since generations can be moved until then.
const LATER_OVERFLOW_WEIGHT: f32 = 0.3;
/// Seconds that a sequence waiting in the engine is expected to cost.
const ENGINE_WAIT_SECONDS: f32 = 0.5;
/// Part of a step that each further sequence adds, weighed over a whole generation.
const BATCH_STEPS: f32 = 40.0;
/// Seconds that another availability zone costs.
const CROSS_ZONE_SECONDS: f32 = 0.004;
/// Seconds that another region costs; its traffic is paid by volume.
const CROSS_REGION_SECONDS: f32 = 0.6;

/// What a generation brings to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct AddedLoad<'a> {
    /// Its forecast.
    pub forecast: &'a Forecast,
    /// Tokens that must be prefilled when no prefix is cached.
    pub prompt_tokens: u32,
    /// True when the endpoint is believed to hold the prefix.
    pub prefix_hit: bool,
}

/// The comparison of one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Score {
    /// Probability of overflow with the generation.
    pub risk: f32,
    /// Expected cost, in seconds.
    pub seconds: f32,
}

/// Returns the probability that an endpoint overflows with `extra` added, over `horizons`.
pub fn overflow_risk(
    view: &EndpointView,
    extra: &Forecast,
    settings: &PolicySettings,
    horizons: usize,
) -> f32 {
    total_forecast(view).overflow(extra, view.capacity as f32 * settings.usable_memory, horizons)
}

/// Returns the forecast of all that is known to run on an endpoint.
fn total_forecast(view: &EndpointView) -> Forecast {
    let mut total = view.forecast;
    if view.peer_running > 0 {
        total.add(&view.peer_forecast);
    }
    total
}

/// Scores an endpoint.
pub fn score(
    view: &EndpointView,
    load: &AddedLoad<'_>,
    settings: &PolicySettings,
    weights: &ObjectiveWeights,
) -> Score {
    let total = total_forecast(view);
    let capacity = view.capacity as f32 * settings.usable_memory;
    let (near, later) = total.overflows(load.forecast, capacity, settings.local_horizons);
    let overflow = near + LATER_OVERFLOW_WEIGHT * (later + peak_fill(view, &total, load.forecast));
    let mut seconds = overflow * OVERFLOW_SECONDS * (weights.stall + weights.preemption) / 2.0;
    let batch = view.running() as f32 * settings.sequence_seconds;
    seconds += batch * BATCH_STEPS * weights.gap;
    seconds += view.engine_waiting as f32 * ENGINE_WAIT_SECONDS;
    if !load.prefix_hit {
        seconds += load.prompt_tokens as f32 * settings.prefill_seconds;
    }
    seconds += match view.distance {
        Distance::Zone => 0.0,
        Distance::Region => CROSS_ZONE_SECONDS,
        Distance::Remote => CROSS_REGION_SECONDS,
    };
    Score { risk: near, seconds }
}

/// Returns the largest expected share of memory in use over all horizons.
fn peak_fill(view: &EndpointView, total: &Forecast, extra: &Forecast) -> f32 {
    let capacity = view.capacity.max(1) as f32;
    let means = (0..HORIZONS.len()).map(|ix| total.mean[ix] + extra.mean[ix]);
    means.fold(0.0, f32::max) / capacity
}
