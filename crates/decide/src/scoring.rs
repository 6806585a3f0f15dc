//! Scores endpoints for one generation.

use crate::endpoint_view::{Distance, EndpointView};
use crate::forecast::{Forecast, HORIZONS};
use crate::policy_settings::{ObjectiveWeights, PolicySettings};

/// Expected cost of an overflow, in seconds.
const OVERFLOW_SECONDS: f32 = 4.0;
/// Weight of an overflow at a distant horizon, before which generations can still be migrated.
const LATER_OVERFLOW_WEIGHT: f32 = 0.3;
/// Expected cost of each sequence that waits in the engine, in seconds.
const ENGINE_WAIT_SECONDS: f32 = 0.5;
/// Steps of a generation over which the slowdown by other running sequences is counted.
const BATCH_STEPS: f32 = 40.0;
/// Cost of another availability zone of the region, in seconds.
const CROSS_ZONE_SECONDS: f32 = 0.004;
/// Cost of another region, in seconds. Traffic between regions is billed by volume.
const CROSS_REGION_SECONDS: f32 = 0.6;

/// Load that a generation would add to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct AddedLoad<'a> {
    /// Memory forecast of the generation.
    pub forecast: &'a Forecast,
    /// Tokens to prefill if no prefix is cached.
    pub prompt_tokens: u32,
    /// True when the endpoint likely caches the prefix.
    pub prefix_hit: bool,
}

/// Score of one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Score {
    /// Probability of a near-term overflow with the generation added.
    pub risk: f32,
    /// Expected cost, in seconds.
    pub seconds: f32,
}

/// Returns the probability that an endpoint with `extra` added overflows within the first
/// `horizons` horizons.
pub fn overflow_risk(
    view: &EndpointView,
    extra: &Forecast,
    settings: &PolicySettings,
    horizons: usize,
) -> f32 {
    total_forecast(view).overflow(extra, view.capacity as f32 * settings.usable_memory, horizons)
}

/// Returns the forecast of all sequences known to run on an endpoint.
fn total_forecast(view: &EndpointView) -> Forecast {
    let mut total = view.forecast;
    if view.peer_running > 0 {
        total.add(&view.peer_forecast);
    }
    total
}

/// Scores an endpoint for the added load.
pub fn score(
    view: &EndpointView,
    load: &AddedLoad<'_>,
    settings: &PolicySettings,
    weights: &ObjectiveWeights,
) -> Score {
    let total = total_forecast(view);
    let capacity = view.capacity as f32 * settings.usable_memory;
    let (near, later) = total.overflows(load.forecast, capacity, settings.local_horizons);
    let overflow =
        near + LATER_OVERFLOW_WEIGHT * (later + peak_utilisation(view, &total, load.forecast));
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

/// Returns the largest expected memory utilisation over all horizons.
fn peak_utilisation(view: &EndpointView, total: &Forecast, extra: &Forecast) -> f32 {
    let capacity = view.capacity.max(1) as f32;
    let means = (0..HORIZONS.len()).map(|ix| total.mean[ix] + extra.mean[ix]);
    means.fold(0.0, f32::max) / capacity
}
