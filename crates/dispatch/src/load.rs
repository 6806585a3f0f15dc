//! Load of an endpoint, estimated from reports and from the requests this host sent.

use std::time::{Duration, Instant};

use crate::generation::TokenDemand;
use crate::run::Run;

/// Age at which a report expires; several reports normally arrive in this time.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);
/// Half-life of the weight of a load hint.
const HINT_HALF_LIFE: Duration = Duration::from_millis(400);
/// Generation speed for one sequence in a small batch, in tokens per second. Current engines take
/// at least 7 ms per token.
const TOKENS_PER_SECOND: f64 = 110.0;
/// Prefill speed alongside a small batch, in tokens per second: a chunk of 112 tokens in each step
/// of about 16 ms.
pub const PREFILL_TOKENS_PER_SECOND: f64 = 7000.0;
/// Expected remaining tokens of a generation of another host: about half of a long output in
/// current deployments.
const PEER_REMAINING_TOKENS: u32 = 500;

/// Maximum number of placements of other hosts that are known for one endpoint.
const MAX_PEER_PLACEMENTS: usize = 256;

/// Time for which no further copy is sent to an engine that refused one: a few sequences end there
/// in this time.
const REFUSED_COPY_BACKOFF: Duration = Duration::from_millis(500);

/// Time for which an estimate of an engine's slowness applies to its prefill.
const SLOWNESS_VALIDITY: Duration = Duration::from_secs(10);
/// Time in which a prompt loses most of its weight in the rate of prompts.
const PROMPT_RATE_PERIOD: Duration = Duration::from_secs(4);
/// Time after the expected end of a prefill in which it may still be in progress: the estimate lacks
/// placements that other hosts have just made.
const PREFILL_MARGIN: Duration = Duration::from_millis(100);

/// Load of an endpoint as attached to a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadHint {
    /// Requests in progress.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Maximum concurrent requests.
    pub slots: u32,
    /// Duration of work at this moment in percent of the usual one, if stated.
    pub pace_percent: Option<u32>,
}

/// Load report of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Memory that cannot be freed, in tokens.
    pub used_tokens: u32,
    /// Sequences running.
    pub running: u32,
    /// Sequences waiting.
    pub waiting: u32,
    /// Prompt tokens of the first waiting sequence.
    pub next_tokens: u32,
    /// True when the engine is draining: it accepts no new work and shuts down soon.
    pub draining: bool,
    /// Time until the engine shuts down, relative to the report, if known.
    pub shutdown_in: Option<Duration>,
}

/// A value with the time at which it was valid.
#[derive(Clone, Debug)]
struct Observed<Item> {
    item: Item,
    /// Time at which the value was valid.
    as_of: Instant,
}

/// A placement announced by another host.
#[derive(Clone, Copy, Debug)]
struct PeerPlacement {
    /// When the announcement was received.
    at: Instant,
    kv_tokens: u32,
    /// Tokens that it is expected to generate.
    expected: u32,
    /// When it is expected to have ended, if its output is known. Short ones end before the next report.
    ends_at: Option<Instant>,
}

/// Load of an endpoint.
#[derive(Clone, Debug, Default)]
pub struct Load {
    report: Option<Observed<LoadReport>>,
    hint: Option<Observed<LoadHint>>,
    /// Requests of this host in progress when the hint was received.
    own_at_hint: u32,
    /// Placements announced by other hosts and not yet covered by a report: time of receipt and
    /// tokens.
    peer_placements: Vec<PeerPlacement>,
    /// Prompt tokens pending prefill.
    pending_prefill: Option<Observed<f64>>,
    /// Factor by which the engine's prefill takes longer than usual.
    slowness: Option<Observed<f64>>,
    /// Prompts placed there, each with a weight that decays.
    recent_prompts: Option<Observed<f64>>,
    /// When the engine last refused a copy for lack of capacity.
    refused_copy_at: Option<Instant>,
}

/// Estimated current load of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Sequences running or waiting.
    pub sequences: u32,
    /// Memory in use, in tokens.
    pub used: u32,
    /// Tokens that the sequences are still expected to generate.
    pub growth: u32,
    /// Prompt tokens pending prefill.
    pub prefill_tokens: u32,
}

impl EngineLoad {
    fn add_sequence(&mut self, kv_tokens: u32) {
        self.sequences = self.sequences.saturating_add(1);
        self.used = self.used.saturating_add(kv_tokens);
    }
}

impl Load {
    /// Records a report that was valid at `as_of`. A report older than the current one is ignored.
    pub fn record_report(&mut self, report: LoadReport, as_of: Instant) {
        if self.report.as_ref().is_some_and(|known| known.as_of > as_of) {
            return;
        }
        self.peer_placements.retain(|placement| placement.at > as_of);
        self.report = Some(Observed { item: report, as_of });
    }

    /// Records the load attached to a response. `own` is the number of requests of this host in
    /// progress at the endpoint.
    pub fn record_hint(&mut self, hint: LoadHint, own: u32, now: Instant) {
        self.hint = Some(Observed { item: hint, as_of: now });
        self.own_at_hint = own;
    }

    /// Records a placement with `prefill_tokens` tokens to prefill.
    pub fn record_placement(&mut self, prefill_tokens: u32, now: Instant) {
        if prefill_tokens > 0 {
            let item = self.recent_prompts(now) + 1.0;
            self.recent_prompts = Some(Observed { item, as_of: now });
        }
        let item = self.pending_prefill(now) + f64::from(prefill_tokens);
        self.pending_prefill = Some(Observed { item, as_of: now });
    }

    /// Sets the factor by which the engine's prefill takes longer than usual. It applies for a few
    /// seconds.
    pub fn set_slowness(&mut self, slowness: f64, now: Instant) {
        let item = self.pending_prefill(now);
        if let Some(pending) = &mut self.pending_prefill
            && pending.as_of < now
        {
            *pending = Observed { item, as_of: now };
        }
        self.slowness = Some(Observed { item: slowness, as_of: now });
    }

    /// Returns the number of prompts that are placed on the engine per second.
    pub fn prompts_per_s(&self, now: Instant) -> f64 {
        self.recent_prompts(now) / PROMPT_RATE_PERIOD.as_secs_f64()
    }

    fn recent_prompts(&self, now: Instant) -> f64 {
        let Some(recent) = &self.recent_prompts else { return 0.0 };
        let age = now.saturating_duration_since(recent.as_of).as_secs_f64();
        recent.item * (-age / PROMPT_RATE_PERIOD.as_secs_f64()).exp()
    }

    /// Returns whether the engine prefills a prompt, or `None` while that is uncertain: about when a
    /// prefill is expected to end, and just after.
    pub fn prefills(&self, now: Instant) -> Option<bool> {
        let Some(pending) = &self.pending_prefill else { return Some(false) };
        let takes = pending.item / self.prefill_tokens_per_s(now);
        let ends_at = pending.as_of + Duration::from_secs_f64(takes.max(0.0));
        if now + PREFILL_MARGIN / 2 < ends_at {
            return Some(true);
        }
        (now > ends_at + PREFILL_MARGIN).then_some(false)
    }

    fn prefill_tokens_per_s(&self, now: Instant) -> f64 {
        let is_valid = |known: &&Observed<f64>| {
            now.saturating_duration_since(known.as_of) <= SLOWNESS_VALIDITY
        };
        let slowness = self.slowness.as_ref().filter(is_valid).map_or(1.0, |known| known.item);
        PREFILL_TOKENS_PER_SECOND / slowness
    }

    /// Records that a placement with `prefill_tokens` tokens to prefill was not sent.
    pub fn cancel_placement(&mut self, prefill_tokens: u32, now: Instant) {
        let item = (self.pending_prefill(now) - f64::from(prefill_tokens)).max(0.0);
        self.pending_prefill = Some(Observed { item, as_of: now });
    }

    /// Records a placement of `kv_tokens` tokens announced by another host.
    pub fn record_peer_placement(&mut self, kv_tokens: u32, prefill_tokens: u32, now: Instant) {
        self.record_placement(prefill_tokens, now);
        if self.peer_placements.len() < MAX_PEER_PLACEMENTS {
            let expected = PEER_REMAINING_TOKENS;
            self.peer_placements.push(PeerPlacement {
                at: now,
                kv_tokens,
                expected,
                ends_at: None,
            });
        }
    }

    /// Records a placement announced by another host, with its expected output.
    pub fn record_peer_generation(&mut self, demand: &TokenDemand, now: Instant) {
        self.record_placement(demand.prefill_tokens, now);
        self.peer_placements.retain(|placement| placement.ends_at.is_none_or(|at| now < at));
        if self.peer_placements.len() < MAX_PEER_PLACEMENTS {
            self.peer_placements.push(PeerPlacement {
                at: now,
                kv_tokens: demand.kv_tokens,
                expected: demand.expected,
                ends_at: Some(now + demand.busy_duration()),
            });
        }
    }

    /// Records that the engine refused a copy for lack of capacity.
    pub fn record_refused_copy(&mut self, now: Instant) {
        self.refused_copy_at = Some(now);
    }

    /// Returns true if the engine refused a copy recently.
    pub fn refused_copy_recently(&self, now: Instant) -> bool {
        self.refused_copy_at
            .is_some_and(|at| now.saturating_duration_since(at) < REFUSED_COPY_BACKOFF)
    }

    /// Returns the prompt tokens pending prefill: those of the recorded placements, less the
    /// estimated progress of the engine since.
    pub fn pending_prefill(&self, now: Instant) -> f64 {
        let Some(pending) = &self.pending_prefill else { return 0.0 };
        let since = now.saturating_duration_since(pending.as_of).as_secs_f64();
        let prefilled = since * self.prefill_tokens_per_s(now);
        (pending.item - prefilled).max(0.0)
    }

    /// Returns the latest report and its age, unless it has expired.
    pub fn report(&self, now: Instant) -> Option<(&LoadReport, Duration)> {
        let observed = self.report.as_ref()?;
        let age = now.saturating_duration_since(observed.as_of);
        (age <= MAX_REPORT_AGE).then_some((&observed.item, age))
    }

    /// Returns the time at which the latest report was valid, even if it has expired.
    pub fn last_report_at(&self) -> Option<Instant> {
        self.report.as_ref().map(|report| report.as_of)
    }

    /// Returns the estimated number of requests of other hosts in progress or waiting at the
    /// endpoint, from its load hints.
    pub fn peer_requests(&self, now: Instant) -> f64 {
        let Some(hint) = &self.hint else { return 0.0 };
        let age = now.saturating_duration_since(hint.as_of).as_secs_f64();
        let decay = 0.5_f64.powf(age / HINT_HALF_LIFE.as_secs_f64());
        let all = hint.item.running.saturating_add(hint.item.waiting);
        f64::from(all.saturating_sub(self.own_at_hint)) * decay
    }

    /// Estimates the current load of an engine: its last report, extrapolated by the age of the
    /// report, plus the work that this host and others have sent since.
    pub fn estimate_engine_load(&self, own: &[Run], now: Instant) -> EngineLoad {
        let mut load = EngineLoad {
            prefill_tokens: self.pending_prefill(now) as u32,
            ..EngineLoad::default()
        };
        let mut reported_at = None;
        if let Some((report, age)) = self.report(now) {
            let grown = f64::from(report.running) * age.as_secs_f64() * TOKENS_PER_SECOND;
            let waiting_tokens = report.next_tokens.saturating_mul(report.waiting);
            load.sequences = report.running.saturating_add(report.waiting);
            load.used =
                report.used_tokens.saturating_add(waiting_tokens).saturating_add(grown as u32);
            load.prefill_tokens = load.prefill_tokens.max(waiting_tokens);
            load.growth = PEER_REMAINING_TOKENS.saturating_mul(load.sequences);
            reported_at = Some(now - age);
        }
        for run in own {
            if reported_at.is_some_and(|at| run.sent_at <= at) {
                load.growth = load.growth.saturating_sub(PEER_REMAINING_TOKENS);
            } else {
                load.add_sequence(run.kv_tokens());
            }
            load.growth = load.growth.saturating_add(run.expected_remaining());
        }
        let open = |placement: &&PeerPlacement| placement.ends_at.is_none_or(|at| now < at);
        for placement in self.peer_placements.iter().filter(open) {
            load.add_sequence(placement.kv_tokens);
            load.growth = load.growth.saturating_add(placement.expected);
        }
        load
    }
}
