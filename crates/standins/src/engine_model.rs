//! Continuous batching with a KV memory budget, in virtual time.
//!
//! A step admits waiting sequences while memory allows, prefills them and decodes one token for
//! each running sequence. When memory runs out in the middle of decoding, the sequence of the
//! lowest priority that arrived last is preempted and its cache is recomputed later.

use std::time::Duration;

/// Identifies a sequence within one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SequenceId(pub u64);

/// Costs and limits of an engine.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineLimits {
    /// KV memory, in tokens.
    pub kv_tokens: u32,
    /// Largest batch, in sequences.
    pub max_batch: u32,
    /// Fixed time of a step, in microseconds.
    pub step_micros: u64,
    /// Time added to a step per running sequence, in microseconds.
    pub sequence_micros: u64,
    /// Time to prefill one token that is not cached, in microseconds.
    pub prefill_micros: u64,
    /// Memory of the prefix cache, in tokens.
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
    /// Identity of the sequence.
    pub id: SequenceId,
    /// Tokens of the prompt, including any delivered prefix.
    pub prompt_tokens: u32,
    /// Identity of the shared prompt prefix; 0 for none.
    pub prefix: u64,
    /// Tokens of the shared prefix.
    pub prefix_tokens: u32,
    /// Tokens to generate. Only the engine knows it.
    pub output_tokens: u32,
    /// Larger is served first and preempted last.
    pub priority: i32,
}

/// What happened to a sequence in one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepEvent {
    /// One token was decoded.
    Token(SequenceId),
    /// The last token was decoded in this step.
    Finished(SequenceId),
    /// The sequence lost its memory and waits again.
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

    /// Ascending order is the order of preemption.
    fn rank(&self) -> (i32, std::cmp::Reverse<u64>) {
        (self.submission.priority, std::cmp::Reverse(self.arrival))
    }
}

/// A load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// KV memory in use, in tokens.
    pub kv_used: u32,
    /// Sequences that decode.
    pub running: u32,
    /// Sequences that wait for memory.
    pub waiting: u32,
    /// Prompt tokens of the waiting sequences.
    pub waiting_tokens: u32,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    limits: EngineLimits,
    running: Vec<Sequence>,
    waiting: Vec<Sequence>,
    arrivals: u64,
    kv_used: u32,
    /// Cached prefixes with their tokens, least recently used first.
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

    /// Returns the load at this instant.
    pub fn load(&self) -> Load {
        Load {
            kv_used: self.kv_used,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            waiting_tokens: self.waiting.iter().map(Sequence::kv_tokens).sum(),
        }
    }

    /// Returns true when no sequence runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Returns the identities of the cached prefixes.
    pub fn cached_prefixes(&self) -> impl Iterator<Item = u64> + '_ {
        self.prefixes.iter().map(|(prefix, _)| *prefix)
    }

    /// Queues a sequence.
    pub fn submit(&mut self, submission: Submission) {
        self.arrivals += 1;
        self.waiting.push(Sequence { submission, arrival: self.arrivals, generated: 0 });
    }

    /// Removes a sequence and frees its memory. Returns false when it is not known.
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

    /// Removes every sequence and forgets the cache, as a crash does. Returns the lost ones.
    pub fn crash(&mut self) -> Vec<SequenceId> {
        let lost = self.running.drain(..).chain(self.waiting.drain(..));
        let lost = lost.map(|s| s.submission.id).collect();
        self.kv_used = 0;
        self.prefixes.clear();
        lost
    }

    /// Runs one step and returns its time and events. An idle engine takes no time.
    pub fn step(&mut self) -> (Duration, &[StepEvent]) {
        self.events.clear();
        let prefill = self.admit();
        self.make_room();
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

    /// Admits waiting sequences while memory allows. Returns the tokens to prefill.
    fn admit(&mut self) -> u32 {
        if self.waiting.is_empty() {
            return 0;
        }
        self.waiting.sort_by_key(|s| std::cmp::Reverse(s.rank()));
        let mut prefill = 0;
        while let Some(next) = self.waiting.first() {
            let needed = next.kv_tokens() + 1;
            let room = self.kv_used + needed <= self.limits.kv_tokens;
            if !room || self.running.len() as u32 >= self.limits.max_batch {
                break;
            }
            let sequence = self.waiting.remove(0);
            prefill += sequence.kv_tokens() - self.use_prefix(&sequence.submission);
            self.kv_used += sequence.kv_tokens();
            self.running.push(sequence);
        }
        prefill
    }

    /// Looks up and refreshes a prefix. Returns the tokens that need no prefill.
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

    /// Preempts sequences until each running one can grow by a token.
    fn make_room(&mut self) {
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
