//! How busy an endpoint is, from reports and from what this host sent.

use std::time::{Duration, Instant};

use crate::run::Run;

/// Age at which a report no longer counts; reports come several times in this time.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);
/// Time in which what an answer said of the endpoint's load loses half of its weight.
const HINT_HALF_LIFE: Duration = Duration::from_millis(400);
/// Speed at which an engine generates for one sequence in a small batch, in tokens per second.
/// Today's engines take 7 ms and more for a token.
const TOKENS_PER_SECOND: f64 = 110.0;
/// Speed at which an engine reads prompts beside a small batch, in tokens per second: a chunk of
/// 112 tokens with each step of about 16 ms.
pub const PREFILL_TOKENS_PER_SECOND: f64 = 7000.0;
/// Tokens that a generation of another host is expected to go on for: about half of a long
/// output today.
const PEER_REMAINING_TOKENS: u32 = 500;

/// Time for which an engine that refused a copy is not asked again: sequences end there a few
/// times in it.
const REFUSED_COPY_BACKOFF: Duration = Duration::from_millis(500);

/// The load that an endpoint added to an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadHint {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it works on at a time.
    pub slots: u32,
}

/// What an engine reports of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Memory that cannot be freed, in tokens.
    pub used_tokens: u32,
    /// Sequences that run.
    pub running: u32,
    /// Sequences that wait.
    pub waiting: u32,
    /// Prompt tokens of the first one that waits.
    pub next_tokens: u32,
    /// True when it takes no new work and leaves soon.
    pub draining: bool,
    /// Time until it leaves, as of when the report was made, if it knows.
    pub shutdown_in: Option<Duration>,
}

/// A report with its age.
#[derive(Clone, Debug)]
struct Observed<Item> {
    item: Item,
    /// When what it says was true.
    as_of: Instant,
}

/// How busy an endpoint is.
#[derive(Clone, Debug, Default)]
pub struct Load {
    report: Option<Observed<LoadReport>>,
    hint: Option<Observed<LoadHint>>,
    /// Requests of this host when the hint was taken.
    own_at_hint: u32,
    /// Placements that other hosts told of and no report covers yet: when, and their tokens.
    peer_placements: Vec<(Instant, u32)>,
    /// Prompt tokens that were still to be read at a moment.
    prefill_tokens: Option<Observed<f64>>,
    /// When a copy was last refused for want of room.
    refused_copy_at: Option<Instant>,
}

/// Memory and work of an engine, as estimated for now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Sequences that run or wait.
    pub sequences: u32,
    /// Memory in use, in tokens.
    pub used: u32,
    /// Tokens that the sequences are still expected to generate.
    pub growth: u32,
    /// Prompt tokens that are still to be read.
    pub prefill_tokens: u32,
}

impl Load {
    /// Takes a report that was true at `as_of`.
    pub fn record_report(&mut self, report: LoadReport, as_of: Instant) {
        if self.report.as_ref().is_some_and(|known| known.as_of > as_of) {
            return;
        }
        self.peer_placements.retain(|(at, _)| *at > as_of);
        self.report = Some(Observed { item: report, as_of });
    }

    /// Takes the load that an answer carried.
    pub fn record_hint(&mut self, hint: LoadHint, own: u32, now: Instant) {
        self.hint = Some(Observed { item: hint, as_of: now });
        self.own_at_hint = own;
    }

    /// Takes a placement, of which `unread` tokens have to be read.
    pub fn record_placement(&mut self, prefill_tokens: u32, now: Instant) {
        let item = self.pending_prefill(now) + f64::from(prefill_tokens);
        self.prefill_tokens = Some(Observed { item, as_of: now });
    }

    /// Takes a placement of `held` tokens that another host told of.
    pub fn record_peer_placement(&mut self, kv_tokens: u32, prefill_tokens: u32, now: Instant) {
        const MAX_PEER_PLACEMENTS: usize = 256;
        self.record_placement(prefill_tokens, now);
        if self.peer_placements.len() < MAX_PEER_PLACEMENTS {
            self.peer_placements.push((now, kv_tokens));
        }
    }

    /// Takes that a copy was refused for want of room.
    pub fn record_refused_copy(&mut self, now: Instant) {
        self.refused_copy_at = Some(now);
    }

    /// Returns true for a while after a copy was refused.
    pub fn refused_copy_recently(&self, now: Instant) -> bool {
        self.refused_copy_at
            .is_some_and(|at| now.saturating_duration_since(at) < REFUSED_COPY_BACKOFF)
    }

    /// Returns the prompt tokens that are still to be read: those of the placements since, less
    /// what the engine reads in the meantime.
    pub fn pending_prefill(&self, now: Instant) -> f64 {
        let Some(prefill_tokens) = &self.prefill_tokens else { return 0.0 };
        let read = now.saturating_duration_since(prefill_tokens.as_of).as_secs_f64()
            * PREFILL_TOKENS_PER_SECOND;
        (prefill_tokens.item - read).max(0.0)
    }

    /// Returns the newest report that still counts, and its age.
    pub fn report(&self, now: Instant) -> Option<(&LoadReport, Duration)> {
        let observed = self.report.as_ref()?;
        let age = now.saturating_duration_since(observed.as_of);
        (age <= MAX_REPORT_AGE).then_some((&observed.item, age))
    }

    /// Returns the requests that other hosts have at the endpoint, estimated from its answers.
    pub fn peer_requests(&self, now: Instant) -> f64 {
        let Some(hint) = &self.hint else { return 0.0 };
        let age = now.saturating_duration_since(hint.as_of).as_secs_f64();
        let decay = 0.5_f64.powf(age / HINT_HALF_LIFE.as_secs_f64());
        let all = hint.item.running + hint.item.waiting;
        f64::from(all.saturating_sub(self.own_at_hint)) * decay
    }

    /// Estimates the load of an engine now: what it reported, grown by the age of the report, plus
    /// what this host and others sent since.
    pub fn engine(&self, own: &[Run], now: Instant) -> EngineLoad {
        let mut load = EngineLoad {
            prefill_tokens: self.pending_prefill(now) as u32,
            ..EngineLoad::default()
        };
        let mut reported_at = None;
        if let Some((report, age)) = self.report(now) {
            let grown = f64::from(report.running) * age.as_secs_f64() * TOKENS_PER_SECOND;
            load.sequences = report.running + report.waiting;
            load.used = report.used_tokens + report.next_tokens * report.waiting + grown as u32;
            load.prefill_tokens = load.prefill_tokens.max(report.next_tokens * report.waiting);
            load.growth = PEER_REMAINING_TOKENS * (report.running + report.waiting);
            reported_at = Some(now - age);
        }
        for run in own {
            if reported_at.is_some_and(|at| run.sent_at <= at) {
                load.growth = load.growth.saturating_sub(PEER_REMAINING_TOKENS);
            } else {
                load.sequences += 1;
                load.used += run.kv_tokens();
            }
            load.growth += run.expected_remaining();
        }
        for (_, kv_tokens) in &self.peer_placements {
            load.sequences += 1;
            load.used += kv_tokens;
            load.growth += PEER_REMAINING_TOKENS;
        }
        load
    }
}
