//! Chooses an engine for a generation.
//!
//! Answers long outputs of unknown length on engines whose memory fills in the middle of decoding:
//! an engine is priced by the memory that its sequences are expected to need at their peak, by
//! the prompts that it still has to read, and by how often it fails.
//!
//! Answers also prompts that arrive while most memory is taken: the engines with room are few, and
//! without a price for lateness they would collect more prompts than they read in time.

use std::time::{Duration, Instant};

use camphorloft_serving::prelude::EngineSpec;
use camphorloft_types::prelude::*;
use rand::Rng;

use crate::choice::{Choice, cheapest};
use crate::distance::Distance;
use crate::endpoint::Endpoint;
use crate::load::{EngineLoad, PREFILL_TOKENS_PER_SECOND};
use crate::pool::Pool;

/// Share of the memory from which an engine is crowded: lengths are estimates.
const CONTENDED_FILL: f64 = 0.95;
/// Cost of an engine whose whole memory is expected to be needed, above one that is not crowded,
/// in milliseconds.
const FULL_MS: f64 = 4000.0;
/// Part of the time until the first event is due that reading the prompts may take. The rest is for
/// what the estimate misses: reports are half a second old, and hosts hear late of each other.
const MAX_PREFILL_FRACTION: f64 = 0.5;
/// Cost of each millisecond of reading beyond that, in milliseconds. At the time when the event is
/// due it adds up to about the cost of an engine that has no memory left: both lose most of the
/// worth of one generation.
const LATENESS_FACTOR: f64 = 4.0;
/// Cost of each sequence beside which a generation runs, in milliseconds: every step takes longer,
/// and a prompt that is read delays the tokens of all.
const CONCURRENT_SEQUENCE_MS: f64 = 40.0;
/// Cost of an engine in another region, in milliseconds: the way there, bytes paid by volume, and
/// the placements of its own hosts, of which this host hears late.
const CROSS_REGION_MS: f64 = 900.0;
/// Random part of the cost of an engine in another region, in milliseconds: hosts of other regions
/// would choose the same one before they hear of each other.
const CROSS_REGION_JITTER_MS: f64 = 600.0;
/// Cost of an engine in another zone of the region, in milliseconds.
const CROSS_ZONE_MS: f64 = 20.0;
/// Part of the time for which an engine says that it is still slow that a generation loses there.
const WARMUP_FACTOR: f64 = 0.3;
/// Cost of a generation that fails, in milliseconds.
const FAILURE_MS: f64 = 6000.0;
/// Random part of a cost, so that hosts with the same view do not all choose the same engine.
const JITTER_MS: f64 = 250.0;

/// What a generation needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenDemand {
    /// Tokens that it holds at its start.
    pub kv_tokens: u32,
    /// Tokens among them that the engine has to read.
    pub prefill_tokens: u32,
    /// Tokens that it is expected to generate.
    pub expected: u32,
}

/// Returns the expected share of an engine's memory at the peak, with a generation added.
pub fn expected_fill(load: &EngineLoad, demand: &TokenDemand, spec: &EngineSpec) -> f64 {
    // Sequences do not all peak at once: on average half of the growth coincides.
    const COINCIDENT_GROWTH: f64 = 0.5;
    let growth = f64::from(load.growth + demand.expected) * COINCIDENT_GROWTH;
    (f64::from(load.used + demand.kv_tokens) + growth) / f64::from(spec.memory.0.max(1))
}

/// Chooses an engine for a generation whose first event is due after `due`, other than those in
/// `tried`.
pub fn choose<Draws>(
    pool: &Pool<'_>,
    demand: &TokenDemand,
    tried: &[EndpointIx],
    due: Duration,
    now: Instant,
    rng: &mut Draws,
) -> Option<Choice>
where
    Draws: Rng,
{
    cheapest(pool.fleet, pool.service, tried, now, |ix, endpoint| {
        let load = endpoint.load.engine(&endpoint.runs, now);
        let fill = expected_fill(&load, demand, pool.spec);
        let jitter = match endpoint.distance {
            Distance::Zone | Distance::Region => JITTER_MS,
            Distance::Remote => CROSS_REGION_JITTER_MS,
        };
        let cost = expected_cost_ms(endpoint, &load, fill, demand, due, now);
        Choice {
            endpoint: ix,
            cost_ms: cost + jitter * rng.random::<f64>(),
            failure_rate: endpoint.health.failure_rate(now),
            fill,
            prefill_tokens: load.prefill_tokens,
            sequences: load.sequences,
            report_age: endpoint.load.report(now).map(|(_, age)| age),
            compared: 0,
            unusable: 0,
        }
    })
}

fn expected_cost_ms(
    endpoint: &Endpoint,
    load: &EngineLoad,
    fill: f64,
    demand: &TokenDemand,
    due: Duration,
    now: Instant,
) -> f64 {
    let prefill =
        f64::from(load.prefill_tokens + demand.prefill_tokens) / PREFILL_TOKENS_PER_SECOND * 1e3;
    let contention = (fill - CONTENDED_FILL).max(0.0) / (1.0 - CONTENDED_FILL) * FULL_MS;
    let late =
        (prefill - due.as_secs_f64() * 1e3 * MAX_PREFILL_FRACTION).max(0.0) * LATENESS_FACTOR;
    let concurrent = f64::from(load.sequences) * CONCURRENT_SEQUENCE_MS;
    let warmup =
        endpoint.warm_at.saturating_duration_since(now).as_secs_f64() * 1e3 * WARMUP_FACTOR;
    let network = match endpoint.distance {
        Distance::Zone => 0.0,
        Distance::Region => CROSS_ZONE_MS,
        Distance::Remote => CROSS_REGION_MS,
    };
    let failures = endpoint.health.failure_rate(now) * FAILURE_MS;
    prefill + late + contention + concurrent + warmup + network + failures
}
