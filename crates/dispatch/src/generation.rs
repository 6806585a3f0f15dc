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
use crate::service_speed::ServiceSpeed;

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
/// Cost of a stream of which a pause exceeds the target, in milliseconds: it loses six sevenths of
/// what a generation is worth, which is the cost of one that is not served in time.
const LATE_STREAM_MS: f64 = 3400.0;
/// Cost of each millisecond by which a prefill delays each stream that runs at the engine, in
/// milliseconds: the stream holds memory for longer.
const DELAYED_STREAM_FACTOR: f64 = 0.1;
/// Part of the mean rate of prompts that any engine is expected to receive, however few it received
/// recently.
const MIN_PROMPT_RATE_FRACTION: f64 = 0.2;
/// Maximum random part of a cost, in milliseconds, so that hosts with the same information do not
/// all select the same engine.
const JITTER_MS: f64 = 250.0;

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
    let uneven = UnevenSpeed::new(pool, now);
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
        Distance::Remote => CROSS_REGION_MS,
    };
    let failures = endpoint.health.failure_rate(now) * FAILURE_MS;
    prefill + late + contention + concurrent + warmup + network + failures
}

/// Cost of uneven speed of the engines of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnevenSpeed<'a> {
    service: &'a ServiceSpeed,
    tokens_per_event: u32,
    /// Mean rate of prompts at an engine, per second.
    mean_prompts_per_s: f64,
}

impl<'a> UnevenSpeed<'a> {
    /// Returns `None` if no engine of the service stated its speed recently.
    pub(crate) fn new(pool: &Pool<'a>, now: Instant) -> Option<Self> {
        let service = pool.fleet.stated_speed(pool.service, now)?;
        let ready = pool.fleet.of_service(pool.service).filter(|(_, endpoint)| endpoint.is_ready());
        let (engines, prompts) = ready.fold((0.0, 0.0), |(engines, prompts), (_, endpoint)| {
            (engines + 1.0, prompts + endpoint.load.prompts_per_s(now))
        });
        let mean_prompts_per_s = prompts / f64::max(engines, 1.0);
        Some(Self { service, tokens_per_event: pool.spec.tokens_per_event, mean_prompts_per_s })
    }

    /// Returns the expected pauses on an engine with one more sequence.
    pub(crate) fn gaps(
        &self,
        endpoint: &Endpoint,
        load: &EngineLoad,
        now: Instant,
    ) -> ExpectedGaps {
        let sequences = load.sequences.saturating_add(1);
        ExpectedGaps::new(endpoint, self.service, self.tokens_per_event, sequences, now)
    }

    /// Returns the probability that a generation becomes late on an engine.
    pub(crate) fn late_probability(
        &self,
        endpoint: &Endpoint,
        gaps: &ExpectedGaps,
        demand: &TokenDemand,
        now: Instant,
    ) -> f64 {
        let min_rate = self.mean_prompts_per_s * MIN_PROMPT_RATE_FRACTION;
        let rate = endpoint.load.prompts_per_s(now).max(min_rate);
        let events = f64::from(demand.expected) / f64::from(self.tokens_per_event.max(1));
        gaps.late_within_stream(events, f64::from(demand.kv_tokens), rate)
    }

    /// Returns the cost of the streams that become late: the generation itself, and those that run at
    /// the engine and that its prefill delays.
    fn late_streams_ms(
        &self,
        endpoint: &Endpoint,
        load: &EngineLoad,
        gaps: &ExpectedGaps,
        demand: &TokenDemand,
        now: Instant,
    ) -> f64 {
        let own = self.late_probability(endpoint, gaps, demand, now);
        let pending_ms = gaps.prefill_duration_ms(f64::from(load.prefill_tokens));
        let prefill_tokens = f64::from(load.prefill_tokens) + f64::from(demand.prefill_tokens);
        let prefill_ms = gaps.prefill_duration_ms(prefill_tokens);
        // Streams that the pending prefill makes late lose nothing more.
        let newly_late =
            gaps.late_within_prefill(prefill_ms) - gaps.late_within_prefill(pending_ms);
        // Others are late already, or will be, because of other prompts.
        let streams = f64::from(load.sequences);
        let events = f64::from(load.growth)
            / f64::max(streams, 1.0)
            / f64::from(self.tokens_per_event.max(1));
        let rate = endpoint.load.prompts_per_s(now);
        let in_time = 1.0 - gaps.late_within_stream(events, f64::from(demand.prefill_tokens), rate);
        let delayed = (prefill_ms - pending_ms) * (1.0 - gaps.usual_ms / gaps.prefill_ms);
        own * LATE_STREAM_MS
            + streams * newly_late * in_time * LATE_STREAM_MS
            + streams * delayed * DELAYED_STREAM_FACTOR
    }
}
