//! Engines in virtual time, for tests that replay a load.

use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;

/// Duration of a simulation step.
pub const STEP: Duration = Duration::from_millis(20);
/// Prefill speed of an engine and generation speed for one sequence, in tokens per second.
const PREFILL_SPEED: f64 = 7_000.0;
const GENERATION_SPEED: f64 = 95.0;

/// A kind of generations.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Arrivals per second.
    pub rate: f64,
    /// Length of a prompt, in tokens.
    pub prompt: u32,
    /// Median length of an output, in tokens.
    pub tokens: u32,
    /// Time in which the first event is due.
    pub due: Duration,
}

/// A generation at an engine.
pub struct Sequence {
    /// Run at its host.
    pub run: RunId,
    pub workload: Workload,
    pub arrived: Instant,
    pub prefill_tokens: f64,
    pub generated: f64,
    /// Length of its output.
    pub tokens: u32,
    /// Time for which it was interrupted after its first event.
    pub paused: Duration,
}

impl Sequence {
    pub fn new(run: RunId, workload: Workload, arrived: Instant, tokens: u32) -> Self {
        Self {
            run,
            workload,
            arrived,
            prefill_tokens: f64::from(workload.prompt),
            generated: 0.0,
            tokens,
            paused: Duration::ZERO,
        }
    }

    pub fn kv_tokens(&self) -> u32 {
        self.workload.prompt + self.generated as u32
    }

    pub fn is_complete(&self) -> bool {
        self.generated >= f64::from(self.tokens)
    }

    /// Returns true if it holds memory.
    fn has_started(&self) -> bool {
        self.prefill_tokens < f64::from(self.kv_tokens())
    }
}

/// An engine that prefills one prompt after the other and generates for all that are complete.
pub struct Engine {
    pub sequences: Vec<Sequence>,
    /// Memory, in tokens. Beyond it, the engine preempts the newest sequences.
    pub kv_capacity: u32,
}

impl Default for Engine {
    fn default() -> Self {
        Self { sequences: Vec::new(), kv_capacity: u32::MAX }
    }
}

impl Engine {
    pub fn used(&self) -> u32 {
        let started = self.sequences.iter().filter(|s| s.has_started());
        started.map(Sequence::kv_tokens).sum()
    }

    /// Advances by a step. Calls `first` for each sequence whose first event is generated.
    pub fn step<First>(&mut self, mut first: First)
    where
        First: FnMut(&Sequence),
    {
        let mut budget = PREFILL_SPEED * STEP.as_secs_f64();
        let mut used = 0_u32;
        for s in &mut self.sequences {
            if s.generated > 0.0 && s.prefill_tokens > 0.0 {
                s.paused += STEP;
            }
            if used.saturating_add(s.kv_tokens()) > self.kv_capacity {
                // Its prompt and output are prefilled again once there is memory.
                s.prefill_tokens = f64::from(s.kv_tokens());
                continue;
            }
            used += s.kv_tokens();
            if s.prefill_tokens > 0.0 {
                let prefilled = budget.min(s.prefill_tokens);
                s.prefill_tokens -= prefilled;
                budget -= prefilled;
                if s.prefill_tokens <= 0.0 && s.generated == 0.0 {
                    first(s);
                }
            } else {
                s.generated += GENERATION_SPEED * STEP.as_secs_f64();
            }
        }
    }

    /// Returns the report that it would send now.
    pub fn report(&self) -> LoadReport {
        let waiting: Vec<&Sequence> = self.sequences.iter().filter(|s| !s.has_started()).collect();
        LoadReport {
            used_tokens: self.used(),
            running: (self.sequences.len() - waiting.len()) as u32,
            waiting: waiting.len() as u32,
            next_tokens: waiting.first().map_or(0, |s| s.kv_tokens()),
            ..LoadReport::default()
        }
    }
}
