//! Selects an engine for a generation.
//!
//! Output lengths are unknown in advance and memory can fill up during decoding, so the cost of an
//! engine includes the expected peak memory use of its sequences, its pending prefill and its
//! failure rate.
//!
//! While most memory is in use, few engines have capacity. Without a cost for lateness these
//! engines would receive more prompts than they can prefill in time.

use std::time::{Duration, Instant};

use camphorloft_serving::prelude::EngineSpec;
use rand::Rng;

use crate::candidates::Candidates;
use crate::choice::{Choice, cheapest};
use crate::distance::Distance;
use crate::endpoint::Endpoint;
use crate::expected_gaps::ExpectedGaps;
use crate::load::{EngineLoad, PREFILL_TOKENS_PER_SECOND};
use crate::pool::Pool;
use crate::uneven_speed::UnevenSpeed;

/// Memory use, as a fraction, above which contention has a cost. Less than 1 because output lengths
/// are estimates.
const CONTENDED_FILL: f64 = 0.95;
/// Cost in milliseconds of an engine whose whole memory is expected to be used, relative to one at
/// [`CONTENDED_FILL`].
const FULL_MS: f64 = 4000.0;
/// Fraction of the time until the first event is due that prefill may take. The rest covers errors
/// of the estimate: reports are half a second old, and peer updates arrive late.
const MAX_PREFILL_FRACTION: f64 = 0.5;
/// Cost in milliseconds of each millisecond of prefill beyond that fraction. When the prefill ends
/// just as the event is due, this is about the cost of an engine without free memory: either loses
/// most of the value of one generation.
const LATENESS_FACTOR: f64 = 4.0;
/// Cost of each concurrent sequence, in milliseconds: it lengthens every step, and the prefill of
/// its prompt delays the tokens of all sequences.
const CONCURRENT_SEQUENCE_MS: f64 = 40.0;
/// Cost of an engine in another region, in milliseconds: network latency, billed traffic, and late
/// updates about the placements made by the hosts of that region.
const CROSS_REGION_MS: f64 = 900.0;
/// The same for a long generation on an engine that keeps the gap target: the latency of the network
/// counts once, and no pause on the way is as long as those of a slow engine.
const CROSS_REGION_LONG_MS: f64 = 150.0;
/// Expected tokens from which a generation counts as long in this respect.
const LONG_TOKENS: f64 = 200.0;
/// Random part of the cost of an engine in another region, in milliseconds. Without it, hosts of
/// several regions would select the same engine before they receive each other's updates.
const CROSS_REGION_JITTER_MS: f64 = 600.0;
/// Cost of an engine in another zone of the region, in milliseconds.
const CROSS_ZONE_MS: f64 = 20.0;
/// Cost of each millisecond of an engine's remaining warm-up, in milliseconds: the part of that
/// time that a generation is expected to lose there.
const WARMUP_FACTOR: f64 = 0.3;
/// Cost of a failed generation, in milliseconds.
const FAILURE_MS: f64 = 6000.0;
/// Maximum random part of a cost, in milliseconds, so that hosts with the same information do not
/// all select the same engine.
const JITTER_MS: f64 = 250.0;

/// Tokens that a generation is expected to get in a second on a busy engine. Steps of a full engine
/// take 10 to 18 ms in current deployments.
const BUSY_TOKENS_PER_SECOND: f64 = 70.0;

/// Token requirements of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenDemand {
    /// Tokens in the KV cache at its start.
    pub kv_tokens: u32,
    /// Tokens among them that the engine has to prefill.
    pub prefill_tokens: u32,
    /// Expected number of output tokens.
    pub expected: u32,
}

impl TokenDemand {
    /// Returns the time that its prefill takes on an otherwise idle engine.
    pub fn prefill_time(&self) -> Duration {
        let prefill_tokens = f64::from(self.prefill_tokens);
        Duration::from_secs_f64(prefill_tokens / PREFILL_TOKENS_PER_SECOND)
    }

    /// Returns the time that its prefill takes on an engine that is prefilling another prompt too.
    pub fn busy_prefill_time(&self) -> Duration {
        self.prefill_time() * 2
    }

    /// Returns its expected duration on a busy engine.
    pub fn busy_duration(&self) -> Duration {
        let output = f64::from(self.expected) / BUSY_TOKENS_PER_SECOND;
        self.busy_prefill_time() + Duration::from_secs_f64(output)
    }
}

/// Returns the expected peak memory use of an engine with a generation added, as a fraction.
pub fn expected_fill(load: &EngineLoad, demand: &TokenDemand, spec: &EngineSpec) -> f64 {
    // Sequences do not all peak at once: on average half of the growth coincides.
    const COINCIDENT_GROWTH: f64 = 0.5;
    let growth = (f64::from(load.growth) + f64::from(demand.expected)) * COINCIDENT_GROWTH;
    (f64::from(load.used) + f64::from(demand.kv_tokens) + growth)
        / f64::from(spec.kv_capacity.0.max(1))
}

/// Selects an engine for a generation whose first event is due after `due`.
pub fn choose<Draws>(
    pool: &Pool<'_>,
    demand: &TokenDemand,
    candidates: &Candidates<'_>,
    due: Duration,
    now: Instant,
    rng: &mut Draws,
) -> Option<Choice>
where
    Draws: Rng,
{
    let uneven = UnevenSpeed::new(pool, demand, now);
    cheapest(pool.fleet, pool.service, candidates, now, |ix, endpoint| {
        let load = endpoint.load.estimate_engine_load(&endpoint.runs, now);
        let fill = expected_fill(&load, demand, pool.spec);
        let jitter = match endpoint.distance {
            Distance::Zone | Distance::Region => JITTER_MS,
            Distance::Remote => CROSS_REGION_JITTER_MS,
        };
        let gaps = uneven.as_ref().map(|uneven| uneven.gaps(endpoint, &load, now));
        let mut cost = expected_cost_ms(endpoint, &load, fill, gaps.as_ref(), demand, due, now);
        if let (Some(uneven), Some(gaps)) = (&uneven, &gaps) {
            cost += uneven.late_streams_ms(endpoint, &load, gaps, demand, now);
        }
        Choice {
            endpoint: ix,
            cost_ms: cost + jitter * rng.random::<f64>(),
            failure_rate: endpoint.health.failure_rate(now),
            fill,
            prefill_tokens: load.prefill_tokens,
            sequences: load.sequences,
            report_age: endpoint.load.report(now).map(|(_, age)| age),
            gaps,
            delay: Duration::ZERO,
            compared: 0,
            unusable: 0,
        }
    })
}

fn expected_cost_ms(
    endpoint: &Endpoint,
    load: &EngineLoad,
    fill: f64,
    gaps: Option<&ExpectedGaps>,
    demand: &TokenDemand,
    due: Duration,
    now: Instant,
) -> f64 {
    let prefill_tokens = f64::from(load.prefill_tokens) + f64::from(demand.prefill_tokens);
    let prefill = match gaps {
        Some(gaps) => gaps.prefill_duration_ms(prefill_tokens),
        None => prefill_tokens / PREFILL_TOKENS_PER_SECOND * 1e3,
    };
    let contention = (fill - CONTENDED_FILL).max(0.0) / (1.0 - CONTENDED_FILL) * FULL_MS;
    let late =
        (prefill - due.as_secs_f64() * 1e3 * MAX_PREFILL_FRACTION).max(0.0) * LATENESS_FACTOR;
    let concurrent = f64::from(load.sequences) * CONCURRENT_SEQUENCE_MS;
    let warmup =
        endpoint.warm_at.saturating_duration_since(now).as_secs_f64() * 1e3 * WARMUP_FACTOR;
    let network = match endpoint.distance {
        Distance::Zone => 0.0,
        Distance::Region => CROSS_ZONE_MS,
        Distance::Remote if gaps.is_some_and(|gaps| gaps.keeps_target()) => {
            let long = (f64::from(demand.expected) / LONG_TOKENS).min(1.0);
            CROSS_REGION_MS + (CROSS_REGION_LONG_MS - CROSS_REGION_MS) * long
        }
        Distance::Remote => CROSS_REGION_MS,
    };
    let failures = endpoint.health.failure_rate(now) * FAILURE_MS;
    prefill + late + contention + concurrent + warmup + network + failures
}
