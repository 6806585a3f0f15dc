//! Expected pauses between the events of the streams of an engine.
//!
//! An engine runs all sequences in one batch. While a prompt is prefilled, each step also contains a
//! chunk of it, which lengthens the pauses of all streams there. A stream is late for good once a
//! single pause exceeds the target.

use std::time::{Duration, Instant};

use crate::endpoint::Endpoint;
use crate::service_speed::ServiceSpeed;

/// Duration of a step of an engine of usual speed, in milliseconds.
const STEP_MS: f64 = 7.0;
/// Addition to it for each sequence, in milliseconds.
const SEQUENCE_STEP_MS: f64 = 0.12;
/// Addition to it while a prompt is prefilled, in milliseconds.
const CHUNK_STEP_MS: f64 = 8.0;
/// Prompt tokens prefilled in one step.
const CHUNK_TOKENS: f64 = 112.0;
/// Time for which neighbours slow an endpoint, in milliseconds.
const SLOWED_MS: f64 = 600.0;
/// Uncertainty of an expected pause on a well known engine, as a fraction.
const MIN_UNCERTAINTY: f64 = 0.08;
/// Largest probability of a longer pause with which an engine counts as one that keeps the target.
const MAX_KEEPING_LATE: f64 = 0.35;

/// Returns the usual time between events, in milliseconds, on an engine that runs `sequences`.
///
/// ```
/// use camphorloft_dispatch::expected_gaps::usual_gap_ms;
/// assert!(usual_gap_ms(4, 7, true) > 1.8 * usual_gap_ms(4, 7, false));
/// ```
pub fn usual_gap_ms(tokens_per_event: u32, sequences: u32, prefills: bool) -> f64 {
    let chunk = if prefills { CHUNK_STEP_MS } else { 0.0 };
    let step = STEP_MS + SEQUENCE_STEP_MS * f64::from(sequences) + chunk;
    f64::from(tokens_per_event) * step
}

/// Expected pauses between the events of the streams of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedGaps {
    /// Persistent slowness of the engine.
    pub slowness: f64,
    /// Time between events without a prefill, in milliseconds.
    pub usual_ms: f64,
    /// Time between events during a prefill, in milliseconds.
    pub prefill_ms: f64,
    /// Duration of the prefill of one token, in milliseconds.
    pub token_ms: f64,
    /// Probability that neighbours slow the engine now.
    pub slowed_now: f64,
    /// Probability that neighbours slow the engine at another time.
    slowed_share: f64,
    /// Factor by which neighbours slow the engine.
    slowed_factor: f64,
    /// Probability that a pause exceeds the target in a period without and with a prefill, while
    /// neighbours do not slow the engine and while they do.
    usual_late: [f64; 2],
    prefill_late: [f64; 2],
}

impl ExpectedGaps {
    /// Estimates the pauses on an engine that will run `sequences`.
    pub fn new(
        endpoint: &Endpoint,
        service: &ServiceSpeed,
        tokens_per_event: u32,
        sequences: u32,
        now: Instant,
    ) -> Self {
        let slowness = endpoint.speed.slowness(service);
        let usual_ms = usual_gap_ms(tokens_per_event, sequences, false) * slowness;
        let prefill_ms = usual_gap_ms(tokens_per_event, sequences, true) * slowness;
        let token_ms = prefill_ms / f64::from(tokens_per_event.max(1)) / CHUNK_TOKENS;
        let slowed_factor = service.slowed_factor();
        let width = MIN_UNCERTAINTY + endpoint.speed.uncertainty(service);
        let target_ms = service.gap_target().map(|target| target.as_secs_f64() * 1e3);
        // The probability rises linearly around the target.
        let exceeds = |gap_ms: f64| match target_ms {
            Some(target) => ((gap_ms / target - 1.0) / (2.0 * width) + 0.5).clamp(0.0, 1.0),
            None => 0.0,
        };
        Self {
            slowness,
            usual_ms,
            prefill_ms,
            token_ms,
            slowed_now: endpoint.speed.slowed_probability(service, now),
            slowed_share: service.slowed_share(),
            slowed_factor,
            usual_late: [exceeds(usual_ms), exceeds(usual_ms * slowed_factor)],
            prefill_late: [exceeds(prefill_ms), exceeds(prefill_ms * slowed_factor)],
        }
    }

    /// Returns the mean time between events during prefills, in milliseconds.
    pub fn mean_prefill_ms(&self) -> f64 {
        self.prefill_ms * (1.0 + self.slowed_share * (self.slowed_factor - 1.0))
    }

    /// Returns the expected duration of the prefill of `tokens`, in milliseconds, from now.
    pub fn prefill_duration_ms(&self, tokens: f64) -> f64 {
        let unslowed = tokens * self.token_ms;
        let lost = 1.0 - 1.0 / self.slowed_factor.max(1.0);
        let now = (unslowed * (self.slowed_factor - 1.0)).min(SLOWED_MS * lost) * self.slowed_now;
        let later = unslowed * self.slowed_share * lost;
        unslowed + now + later
    }

    /// Returns the probability that a pause exceeds the target in a prefill that starts now and takes
    /// `duration_ms`.
    pub fn late_within_prefill(&self, duration_ms: f64) -> f64 {
        if duration_ms <= 0.0 {
            return 0.0;
        }
        let late = |slowed: f64| {
            self.prefill_late[0] + (self.prefill_late[1] - self.prefill_late[0]) * slowed
        };
        let in_time = (1.0 - late(self.slowed_now))
            * (1.0 - late(self.slowed_share)).powf(duration_ms / SLOWED_MS);
        1.0 - in_time
    }

    /// Returns the probability that a pause of a stream of `events` exceeds the target, if prompts of
    /// `prompt_tokens` begin to be prefilled there `prompts_per_s` times a second.
    pub fn late_within_stream(&self, events: f64, prompt_tokens: f64, prompts_per_s: f64) -> f64 {
        let prompt_ms =
            prompt_tokens * self.token_ms * (1.0 + self.slowed_share * (self.slowed_factor - 1.0));
        let busy = (prompts_per_s * prompt_ms / 1e3).min(1.0);
        let life_ms = events * (self.usual_ms + (self.prefill_ms - self.usual_ms) * busy);
        let mean = |late: [f64; 2]| late[0] + (late[1] - late[0]) * self.slowed_share;
        let per_prompt = 1.0 - (1.0 - mean(self.prefill_late)).powf(1.0 + prompt_ms / SLOWED_MS);
        let prompts = prompts_per_s * life_ms / 1e3;
        let usual = mean(self.usual_late) * life_ms / SLOWED_MS;
        1.0 - (-(prompts * per_prompt + usual)).exp()
    }

    /// Returns true if a pause is not expected to exceed the target even while neighbours slow the
    /// engine during a prefill.
    pub fn keeps_target(&self) -> bool {
        self.prefill_late[1] < MAX_KEEPING_LATE
    }

    /// Returns the expected time between events.
    pub fn expected_gap(&self) -> Duration {
        Duration::from_secs_f64(self.usual_ms / 1e3)
    }
}
