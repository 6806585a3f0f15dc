//! State of the engine stand-in and the output of its generations.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use camphorloft_engine::command::ModelCommand;
use camphorloft_engine::completion::{Choice, Chunk};
use camphorloft_engine::load_report::LoadReport;
use camphorloft_types::prelude::FencingToken;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::engine::EngineSettings;
use crate::engine_model::{EngineModel, SequenceId, StepEvent};
use crate::text_model::{chain_next, chain_start, sample};

/// Delay of load reports.
pub(crate) const REPORT_LAG: Duration = Duration::from_millis(200);
/// One cache event out of this many is dropped, on average.
pub(crate) const CACHE_EVENTS_PER_LOSS: u32 = 16;

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Output of one attempt so far, and its readers.
#[derive(Default)]
pub(crate) struct Progress {
    pub(crate) events: Vec<String>,
    pub(crate) finished: Option<Instant>,
    /// True when the attempt was cancelled or lost in a crash.
    pub(crate) lost: bool,
    pub(crate) readers: u32,
    /// Time at which a reader last disconnected.
    pub(crate) last_disconnect: Option<Instant>,
}

pub(crate) struct Generation {
    pub(crate) sequence: SequenceId,
    /// Ordinal of the first token of this attempt within the generation.
    pub(crate) base: u32,
    pub(crate) progress: Mutex<Progress>,
    pub(crate) changed: Condvar,
}

/// Data from which the tokens of a sequence are generated.
pub(crate) struct SequenceOutput {
    pub(crate) generation: Arc<Generation>,
    /// Chained digest up to the last generated token.
    pub(crate) chain: u64,
    pub(crate) salt: u64,
    pub(crate) offset: u32,
    pub(crate) poison: bool,
    /// Chained digest of the prompt, which identifies it in the record.
    pub(crate) start: u64,
    pub(crate) truncated: bool,
}

pub(crate) struct State {
    pub(crate) model: EngineModel,
    pub(crate) outputs: HashMap<SequenceId, SequenceOutput>,
    pub(crate) generations: HashMap<String, Arc<Generation>>,
    pub(crate) reports: VecDeque<(Instant, LoadReport)>,
    pub(crate) cache_events: Vec<u64>,
    /// Cached prefixes at the last publication of cache events.
    pub(crate) previous_prefixes: BTreeSet<u64>,
    pub(crate) models: Vec<String>,
    pub(crate) fencing: FencingToken,
    pub(crate) next_sequence: u64,
    pub(crate) incarnation: u64,
    pub(crate) preemptions: u64,
    pub(crate) draining: bool,
    pub(crate) down_until: Option<Instant>,
    pub(crate) frozen_until: Option<Instant>,
    pub(crate) reclaim_at: Option<Instant>,
    /// Number of `SilenceStreams` faults.
    pub(crate) silence_count: u64,
    pub(crate) record: EngineRecord,
    pub(crate) rng: Pcg64Mcg,
}

/// Record that tests and benchmarks check after a run.
#[derive(Clone, Debug, Default)]
pub struct EngineRecord {
    /// Number of attempts started, by the chained digest of their prompt.
    pub started: HashMap<u64, u32>,
    /// Number of crashes, by the chained digest of the poison prompt.
    pub poison_crashes: HashMap<u64, u32>,
    /// Times at which requests arrived while the engine was draining.
    pub received_while_draining: Vec<Instant>,
    /// Time at which draining started.
    pub draining_since: Option<Instant>,
    /// Commands that were applied.
    pub commands: Vec<ModelCommand>,
}

impl State {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        Self {
            model: EngineModel::new(settings.limits),
            outputs: HashMap::new(),
            generations: HashMap::new(),
            reports: VecDeque::new(),
            cache_events: Vec::new(),
            previous_prefixes: BTreeSet::new(),
            models: settings.models.clone(),
            fencing: FencingToken(0),
            next_sequence: 0,
            incarnation: 1,
            preemptions: 0,
            draining: false,
            down_until: None,
            frozen_until: None,
            reclaim_at: None,
            silence_count: 0,
            record: EngineRecord::default(),
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
        }
    }

    pub(crate) fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }

    pub(crate) fn is_frozen(&self) -> bool {
        self.frozen_until.is_some_and(|until| Instant::now() < until)
    }

    pub(crate) fn start_draining(&mut self, now: Instant) {
        self.draining = true;
        self.record.draining_since = Some(now);
    }

    pub(crate) fn abort_all(&mut self) {
        self.model.crash();
        for (_, generation) in self.generations.drain() {
            lock(&generation.progress).lost = true;
            generation.changed.notify_all();
        }
        self.outputs.clear();
        self.previous_prefixes.clear();
        self.incarnation += 1;
    }

    pub(crate) fn report_load(&mut self) {
        let load = self.model.load();
        let report = LoadReport {
            kv_used: load.kv_used,
            kv_tokens: self.model.limits().kv_tokens,
            running: load.running,
            waiting: load.waiting,
            waiting_tokens: load.waiting_tokens,
            preemptions: self.preemptions,
            draining: self.draining,
            models: self.models.clone(),
            age_ms: 0,
            incarnation: self.incarnation,
        };
        self.reports.push_back((Instant::now(), report));
    }

    /// Returns the newest report that is older than the delay, as scraping a real engine would, or
    /// the oldest kept one when none is.
    pub(crate) fn lagged_report(&mut self) -> LoadReport {
        while self.reports.len() > 1 && self.reports[1].0.elapsed() >= REPORT_LAG {
            self.reports.pop_front();
        }
        let Some((at, report)) = self.reports.front() else { return LoadReport::default() };
        LoadReport { age_ms: at.elapsed().as_millis() as u64, ..report.clone() }
    }

    pub(crate) fn publish_cache_events(&mut self) {
        let cached: BTreeSet<u64> = self.model.cached_prefixes().collect();
        for prefix in cached.difference(&self.previous_prefixes) {
            if self.rng.random_ratio(CACHE_EVENTS_PER_LOSS - 1, CACHE_EVENTS_PER_LOSS) {
                self.cache_events.push(*prefix);
            }
        }
        self.previous_prefixes = cached;
    }
}

impl State {
    /// Appends the token of an event to its generation. Returns true when the prompt crashes the
    /// engine.
    pub(crate) fn publish(&mut self, event: StepEvent) -> bool {
        let (id, finished) = match event {
            StepEvent::Preempted(_) => {
                self.preemptions += 1;
                return false;
            }
            StepEvent::Token(id) => (id, false),
            StepEvent::Finished(id) => (id, true),
        };
        let Some(output) = self.outputs.get_mut(&id) else { return false };
        if output.poison {
            *self.record.poison_crashes.entry(output.start).or_default() += 1;
            return true;
        }
        let event = output.next_event(finished);
        let generation = output.generation.clone();
        let mut progress = lock(&generation.progress);
        progress.events.push(event);
        if finished {
            progress.finished = Some(Instant::now());
            self.outputs.remove(&id);
        }
        drop(progress);
        generation.changed.notify_all();
        false
    }
}

impl SequenceOutput {
    pub(crate) fn paced(prompt: &str) -> Self {
        let start = chain_start(prompt);
        let generation = Arc::new(Generation {
            sequence: SequenceId(0),
            base: 0,
            progress: Mutex::default(),
            changed: Condvar::new(),
        });
        Self {
            generation,
            chain: start,
            salt: 0,
            offset: 0,
            poison: false,
            start,
            truncated: false,
        }
    }

    pub(crate) fn next_event(&mut self, finished: bool) -> String {
        let text = sample(self.chain, self.salt);
        self.chain = chain_next(self.chain, &text);
        let reason = if self.truncated { "length" } else { "stop" };
        let chunk = Chunk {
            object: "text_completion".to_owned(),
            offset: self.offset,
            chain: format!("{:016x}", self.chain),
            choices: vec![Choice {
                index: 0,
                text,
                finish_reason: finished.then(|| reason.to_owned()),
            }],
        };
        self.offset += 1;
        format!("data: {}\n\n", serde_json::to_string(&chunk).unwrap_or_default())
    }
}
