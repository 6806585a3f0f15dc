//! Engines that generate in steps, in virtual time.

use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;

use crate::common;

/// Duration of a step, addition to it for each sequence and for a chunk of a prompt, in milliseconds.
const STEP_MS: (f64, f64, f64) = (7.0, 0.12, 8.0);
/// Prompt tokens prefilled in a step.
const CHUNK_TOKENS: u32 = 112;

/// Arrivals of one kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Workload {
    /// Arrivals per second.
    pub rate: f64,
    pub prompt: u32,
    /// Usual number of tokens generated.
    pub tokens: u32,
    /// Objective of the first event.
    pub due: Duration,
}

/// A generation at an engine.
#[derive(Clone, Debug)]
pub struct Sequence {
    /// Host that placed it.
    pub host: usize,
    pub run: RunId,
    pub workload: Workload,
    pub arrived: Instant,
    /// Tokens to generate.
    pub tokens: u32,
    pub prefill_tokens: u32,
    pub generated: u32,
    pub first_event_at: Option<Instant>,
    pub last_event_at: Option<Instant>,
    pub longest_gap: Duration,
    /// Whether it was preempted.
    pub preempted: bool,
    /// Whether the engine has begun to prefill it.
    pub started: bool,
    /// Beginning of the host's window of observation: last event, its number, and whether the engine
    /// seemed to prefill a prompt.
    pub window: Option<(Instant, u32, Option<bool>)>,
}

impl Sequence {
    pub fn new(host: usize, run: RunId, workload: Workload, tokens: u32, arrived: Instant) -> Self {
        Self {
            host,
            run,
            workload,
            arrived,
            tokens,
            prefill_tokens: workload.prompt,
            generated: 0,
            first_event_at: None,
            last_event_at: None,
            longest_gap: Duration::ZERO,
            preempted: false,
            started: false,
            window: None,
        }
    }

    pub fn kv_tokens(&self) -> u32 {
        self.workload.prompt + self.generated
    }

    pub fn is_finished(&self) -> bool {
        self.generated >= self.tokens
    }

    fn generate(&mut self, tokens_per_event: u32, at: Instant) {
        self.generated += 1;
        if !self.generated.is_multiple_of(tokens_per_event) && !self.is_finished() {
            return;
        }
        self.first_event_at.get_or_insert(at);
        if let Some(last) = self.last_event_at {
            self.longest_gap = self.longest_gap.max(at - last);
        }
        self.last_event_at = Some(at);
    }
}

/// An engine that prefills one prompt after the other and generates for all that are complete.
#[derive(Clone, Debug)]
pub struct Engine {
    pub sequences: Vec<Sequence>,
    /// Factor by which its steps take longer.
    pub slowness: f64,
    /// When its current step began.
    step_at: Instant,
}

impl Engine {
    pub fn new(now: Instant) -> Self {
        Self { sequences: Vec::new(), slowness: 1.0, step_at: now }
    }

    pub fn used(&self) -> u32 {
        self.sequences.iter().filter(|s| s.started).map(Sequence::kv_tokens).sum()
    }

    pub fn report(&self) -> LoadReport {
        let waiting: Vec<&Sequence> = self.sequences.iter().filter(|s| !s.started).collect();
        LoadReport {
            used_tokens: self.used(),
            running: (self.sequences.len() - waiting.len()) as u32,
            waiting: waiting.len() as u32,
            next_tokens: waiting.first().map_or(0, |s| s.kv_tokens()),
            ..LoadReport::default()
        }
    }

    /// Runs until `now`. Returns the sequences that finished.
    pub fn run_until(&mut self, now: Instant) -> Vec<Sequence> {
        let mut finished = Vec::new();
        loop {
            self.start_waiting();
            let generating = self.sequences.iter().filter(|s| s.started && s.prefill_tokens == 0);
            let prefill = self.sequences.iter().position(|s| s.started && s.prefill_tokens > 0);
            let chunk = if prefill.is_some() { STEP_MS.2 } else { 0.0 };
            let step_ms = STEP_MS.0 + STEP_MS.1 * generating.count() as f64 + chunk;
            let end = self.step_at + Duration::from_secs_f64(step_ms * self.slowness / 1e3);
            if end > now {
                return finished;
            }
            self.step_at = end;
            let tokens_per_event = common::engine().tokens_per_event;
            for s in self.sequences.iter_mut().filter(|s| s.started && s.prefill_tokens == 0) {
                s.generate(tokens_per_event, end);
            }
            if let Some(prefill) = prefill {
                let left = &mut self.sequences[prefill].prefill_tokens;
                *left = left.saturating_sub(CHUNK_TOKENS);
            }
            finished.extend(self.sequences.extract_if(.., |s| s.is_finished()));
        }
    }

    /// Starts the first waiting sequences that memory has room for, and preempts the latest one if it
    /// has not.
    fn start_waiting(&mut self) {
        let spec = common::engine();
        while self.used() > spec.kv_capacity.0
            && let Some(s) = self.sequences.iter_mut().rfind(|s| s.started)
        {
            s.started = false;
            s.preempted = true;
            s.prefill_tokens = s.kv_tokens();
        }
        let mut used = self.used();
        let running = self.sequences.iter().filter(|s| s.started).count();
        let free_slots = (spec.slots as usize).saturating_sub(running);
        for s in self.sequences.iter_mut().filter(|s| !s.started).take(free_slots) {
            if used + s.kv_tokens() > spec.kv_capacity.0 {
                return;
            }
            used += s.kv_tokens();
            s.started = true;
        }
    }
}
