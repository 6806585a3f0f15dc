//! Cost of uneven speed of the engines of a service.
//!
//! Handles long generations on engines of which some are too slow, at times, to keep the target for
//! pauses between events. A generation costs more where it is expected to become late, where its
//! prefill makes running streams late, and on the engines that keep the target if it does not need
//! one of these.

use std::time::Instant;

use crate::endpoint::Endpoint;
use crate::expected_gaps::ExpectedGaps;
use crate::generation::TokenDemand;
use crate::load::EngineLoad;
use crate::pool::Pool;
use crate::service_speed::ServiceSpeed;

/// Cost of a stream of which a pause exceeds the target, in milliseconds: it loses six sevenths of
/// what a generation is worth. An engine whose memory will be full costs two thirds as much, since not
/// every generation there is preempted.
const LATE_STREAM_MS: f64 = 6000.0;
/// Cost of each millisecond by which a prefill delays each stream that runs at the engine, in
/// milliseconds: the stream holds memory for longer.
const DELAYED_STREAM_FACTOR: f64 = 0.1;
/// Cost of a generation that could be in time on other engines, on an engine that keeps the target
/// where others do not, in milliseconds: it takes memory and prefill from a generation that could not.
const SCARCE_ENGINE_MS: f64 = 700.0;
/// Cost of each millisecond for which a generation is expected to run, in milliseconds: engines are
/// replaced about every 20 s, and most late streams of fast engines had migrated.
const LIFE_FACTOR: f64 = 0.1;
/// Sequences that an engine is assumed to run when engines are compared in general.
const TYPICAL_SEQUENCES: u32 = 6;
/// Part of the mean rate of prompts that any engine is expected to receive, however few it received
/// recently.
const MIN_PROMPT_RATE_FRACTION: f64 = 0.2;
/// Rate of prompts that an engine of an idle service is expected to receive, per second: demand may rise
/// within the life of a stream.
const MIN_PROMPTS_PER_S: f64 = 0.1;

/// Cost of uneven speed of the engines of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnevenSpeed<'a> {
    service: &'a ServiceSpeed,
    tokens_per_event: u32,
    /// Mean rate of prompts at an engine, per second.
    mean_prompts_per_s: f64,
    /// Probability that the generation becomes late on an engine that does not keep the target, on
    /// average; `None` unless there are such engines and others.
    late_elsewhere: Option<f64>,
}

impl<'a> UnevenSpeed<'a> {
    /// Returns `None` if no engine of the service stated its speed recently.
    pub(crate) fn new(pool: &Pool<'a>, demand: &TokenDemand, now: Instant) -> Option<Self> {
        let service = pool.fleet.stated_speed(pool.service, now)?;
        let ready = || pool.fleet.of_service(pool.service).map(|(_, e)| e).filter(|e| e.is_ready());
        let prompts: f64 = ready().map(|endpoint| endpoint.load.prompts_per_s(now)).sum();
        let mean_prompts_per_s = prompts / f64::max(ready().count() as f64, 1.0);
        let tokens_per_event = pool.spec.tokens_per_event;
        let mut uneven =
            Self { service, tokens_per_event, mean_prompts_per_s, late_elsewhere: None };
        let (mut keeping, mut others, mut late) = (0, 0, 0.0);
        for endpoint in ready() {
            let load = EngineLoad { sequences: TYPICAL_SEQUENCES, ..EngineLoad::default() };
            let gaps = uneven.gaps(endpoint, &load, now);
            if gaps.keeps_target() {
                keeping += 1;
            } else {
                others += 1;
                late += uneven.late_probability(endpoint, &gaps, demand, now);
            }
        }
        uneven.late_elsewhere = (keeping > 0 && others > 0).then(|| late / f64::from(others));
        Some(uneven)
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

    fn events(&self, demand: &TokenDemand) -> f64 {
        f64::from(demand.expected) / f64::from(self.tokens_per_event.max(1))
    }

    /// Returns the probability that a generation becomes late on an engine.
    pub(crate) fn late_probability(
        &self,
        endpoint: &Endpoint,
        gaps: &ExpectedGaps,
        demand: &TokenDemand,
        now: Instant,
    ) -> f64 {
        let min_rate = self.mean_prompts_per_s * MIN_PROMPT_RATE_FRACTION + MIN_PROMPTS_PER_S;
        let rate = endpoint.load.prompts_per_s(now).max(min_rate);
        gaps.late_within_stream(self.events(demand), f64::from(demand.kv_tokens), rate)
    }

    /// Returns the expected time until a generation ends at an engine that also prefills prompts, in
    /// seconds.
    pub(crate) fn finish_secs(
        &self,
        endpoint: &Endpoint,
        demand: &TokenDemand,
        now: Instant,
    ) -> f64 {
        let load = endpoint.load.estimate_engine_load(&endpoint.runs, now);
        let gaps = self.gaps(endpoint, &load, now);
        self.events(demand) * gaps.mean_prefill_ms() / 1e3
    }

    /// Returns the cost of the streams that become late: the generation itself, and those that run at
    /// the engine and that its prefill delays.
    pub(crate) fn late_streams_ms(
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
        // Engines that keep the target are left to the generations that need them.
        let occupied = match self.late_elsewhere {
            Some(late) if gaps.keeps_target() => (1.0 - late) * SCARCE_ENGINE_MS,
            _ => 0.0,
        };
        let life_ms = self.events(demand) * gaps.usual_ms;
        own * LATE_STREAM_MS
            + life_ms * LIFE_FACTOR
            + occupied
            + streams * newly_late * in_time * LATE_STREAM_MS
            + streams * delayed * DELAYED_STREAM_FACTOR
    }
}
