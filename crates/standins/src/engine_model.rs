//! Simulates continuous batching with a KV memory budget, in virtual time.
//!
//! A step admits waiting sequences while memory allows, prefills them and decodes one token of
//! each running sequence. When the memory does not suffice for the next tokens, the latest arrival
//! among the sequences of the lowest priority is preempted. Its KV cache is recomputed when it is
//! admitted again.

use std::time::Duration;

/// Identifies a sequence within one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SequenceId(pub u64);

/// Step times and limits of an engine.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineLimits {
    /// Capacity of the KV memory, in tokens.
    pub kv_tokens: u32,
    /// Maximum batch size, in sequences.
    pub max_batch: u32,
    /// Fixed duration of a step, in microseconds.
    pub step_micros: u64,
    /// Duration added to a step per running sequence, in microseconds.
    pub sequence_micros: u64,
    /// Duration of the prefill of one token that is not cached, in microseconds.
    pub prefill_micros: u64,
    /// Capacity of the prefix cache, in tokens.
    pub prefix_cache_tokens: u32,
}

impl Default for EngineLimits {
    fn default() -> Self {
        Self {
            kv_tokens: 24_000,
            max_batch: 96,
            step_micros: 16_000,
            sequence_micros: 180,
            prefill_micros: 40,
            prefix_cache_tokens: 6_000,
        }
    }
}

/// A sequence as submitted.
#[derive(Clone, Copy, Debug)]
pub struct Submission {
    /// Identifier of the sequence.
    pub id: SequenceId,
    /// Length of the prompt in tokens, including any text delivered by an earlier attempt.
    pub prompt_tokens: u32,
    /// Identifier of the shared prompt prefix; 0 for none.
    pub prefix: u64,
    /// Length of the shared prefix, in tokens.
    pub prefix_tokens: u32,
    /// Number of tokens to generate, which is known only to the engine.
    pub output_tokens: u32,
    /// Scheduling priority; a larger value is admitted first and preempted last.
    pub priority: i32,
}

/// Event of one sequence in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepEvent {
    /// One token was decoded.
    Token(SequenceId),
    /// The last token was decoded.
    Finished(SequenceId),
    /// The sequence was preempted: its memory was freed and it waits again.
    Preempted(SequenceId),
}

#[derive(Clone, Copy, Debug)]
struct Sequence {
    submission: Submission,
    arrival: u64,
    generated: u32,
}

impl Sequence {
    fn kv_tokens(&self) -> u32 {
        self.submission.prompt_tokens + self.generated
    }

    /// Returns the sort key of preemption; the lowest is preempted first and admitted last.
    fn rank(&self) -> (i32, std::cmp::Reverse<u64>) {
        (self.submission.priority, std::cmp::Reverse(self.arrival))
    }
}

/// Load of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// KV memory in use, in tokens.
    pub kv_used: u32,
    /// Sequences that are decoding.
    pub running: u32,
    /// Sequences that are waiting for memory.
    pub waiting: u32,
    /// Prompt tokens of the waiting sequences.
    pub waiting_tokens: u32,
}

/// Model of one engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    limits: EngineLimits,
    running: Vec<Sequence>,
    waiting: Vec<Sequence>,
    arrivals: u64,
    kv_used: u32,
    /// Cached prefixes with their lengths in tokens, least recently used first.
    prefixes: Vec<(u64, u32)>,
    events: Vec<StepEvent>,
}

impl EngineModel {
    /// Builds an idle engine.
    pub fn new(limits: EngineLimits) -> Self {
        Self {
            limits,
            running: Vec::new(),
            waiting: Vec::new(),
            arrivals: 0,
            kv_used: 0,
            prefixes: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Returns the limits of the engine.
    pub fn limits(&self) -> &EngineLimits {
        &self.limits
    }

    /// Returns the current load.
    pub fn load(&self) -> Load {
        Load {
            kv_used: self.kv_used,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            waiting_tokens: self.waiting.iter().map(Sequence::kv_tokens).sum(),
        }
    }

    /// Returns true when no sequence is running or waiting.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Returns the identifiers of the cached prefixes.
    pub fn cached_prefixes(&self) -> impl Iterator<Item = u64> + '_ {
        self.prefixes.iter().map(|(prefix, _)| *prefix)
    }

    /// Queues a sequence.
    pub fn submit(&mut self, submission: Submission) {
        self.arrivals += 1;
        self.waiting.push(Sequence { submission, arrival: self.arrivals, generated: 0 });
    }

    /// Removes a sequence and frees its memory. Returns false when there is no such sequence.
    pub fn cancel(&mut self, id: SequenceId) -> bool {
        if let Some(ix) = self.waiting.iter().position(|s| s.submission.id == id) {
            self.waiting.remove(ix);
            return true;
        }
        let Some(ix) = self.running.iter().position(|s| s.submission.id == id) else {
            return false;
        };
        let sequence = self.running.swap_remove(ix);
        self.kv_used -= sequence.kv_tokens();
        true
    }

    /// Removes all sequences and clears the prefix cache, as a crash does. Returns the removed
    /// sequences.
    pub fn crash(&mut self) -> Vec<SequenceId> {
        let lost = self.running.drain(..).chain(self.waiting.drain(..));
        let lost = lost.map(|s| s.submission.id).collect();
        self.kv_used = 0;
        self.prefixes.clear();
        lost
    }

    /// Runs one step and returns its duration and events. The step of an idle engine has no
    /// duration.
    pub fn step(&mut self) -> (Duration, &[StepEvent]) {
        self.events.clear();
        let prefill = self.admit();
        self.preempt_until_fits();
        let batch = self.running.len() as u64;
        self.decode();
        if batch == 0 && prefill == 0 {
            return (Duration::ZERO, &self.events);
        }
        let micros = self.limits.step_micros
            + self.limits.sequence_micros * batch
            + self.limits.prefill_micros * u64::from(prefill);
        (Duration::from_micros(micros), &self.events)
    }

    /// Admits waiting sequences while memory and the batch size allow. Returns the number of tokens
    /// to prefill.
    fn admit(&mut self) -> u32 {
        if self.waiting.is_empty() {
            return 0;
        }
        self.waiting.sort_by_key(|s| std::cmp::Reverse(s.rank()));
        let mut prefill = 0;
        while let Some(next) = self.waiting.first() {
            let needed = next.kv_tokens() + 1;
            let fits = self.kv_used + needed <= self.limits.kv_tokens;
            if !fits || self.running.len() as u32 >= self.limits.max_batch {
                break;
            }
            let sequence = self.waiting.remove(0);
            prefill += sequence.kv_tokens() - self.use_prefix(&sequence.submission);
            self.kv_used += sequence.kv_tokens();
            self.running.push(sequence);
        }
        prefill
    }

    /// Marks a prefix as most recently used and adds it to the cache when it is absent. Returns the
    /// number of cached tokens, which need no prefill.
    fn use_prefix(&mut self, submission: &Submission) -> u32 {
        if submission.prefix == 0 {
            return 0;
        }
        let tokens = submission.prefix_tokens;
        let found = self.prefixes.iter().position(|(prefix, _)| *prefix == submission.prefix);
        if let Some(ix) = found {
            let entry = self.prefixes.remove(ix);
            self.prefixes.push(entry);
            return tokens.min(submission.prompt_tokens);
        }
        self.prefixes.push((submission.prefix, tokens));
        let mut total: u32 = self.prefixes.iter().map(|(_, t)| t).sum();
        while total > self.limits.prefix_cache_tokens {
            total -= self.prefixes.remove(0).1;
        }
        0
    }

    /// Preempts sequences until each remaining one can grow by a token.
    fn preempt_until_fits(&mut self) {
        while self.kv_used + self.running.len() as u32 > self.limits.kv_tokens {
            let victim = (0..self.running.len()).min_by_key(|ix| self.running[*ix].rank());
            let Some(ix) = victim else { return };
            let sequence = self.running.swap_remove(ix);
            self.kv_used -= sequence.kv_tokens();
            self.events.push(StepEvent::Preempted(sequence.submission.id));
            self.waiting.push(sequence);
        }
    }

    fn decode(&mut self) {
        let mut ix = 0;
        while ix < self.running.len() {
            let sequence = &mut self.running[ix];
            sequence.generated += 1;
            self.kv_used += 1;
            let id = sequence.submission.id;
            if sequence.generated < sequence.submission.output_tokens {
                self.events.push(StepEvent::Token(id));
                ix += 1;
                continue;
            }
            self.events.push(StepEvent::Finished(id));
            let done = self.running.swap_remove(ix);
            self.kv_used -= done.kv_tokens();
        }
    }
}
