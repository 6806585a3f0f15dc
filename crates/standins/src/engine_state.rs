//! State of the engine stand-in, and the tokens of its generations.

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

/// Delay of a load report.
pub(crate) const REPORT_LAG: Duration = Duration::from_millis(200);
/// One in this many cache events is dropped.
pub(crate) const CACHE_EVENT_GAP: u32 = 16;

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Tokens of one generation as far as they were decoded.
#[derive(Default)]
pub(crate) struct Progress {
    pub(crate) events: Vec<String>,
    pub(crate) finished: Option<Instant>,
    pub(crate) lost: bool,
    pub(crate) readers: u32,
    pub(crate) reader_left: Option<Instant>,
}

pub(crate) struct Generation {
    pub(crate) sequence: SequenceId,
    /// Ordinal of the first token of this attempt within the generation.
    pub(crate) base: u32,
    pub(crate) progress: Mutex<Progress>,
    pub(crate) changed: Condvar,
}

/// What the model needs to write the next token of a sequence.
pub(crate) struct Writing {
    pub(crate) generation: Arc<Generation>,
    pub(crate) chain: u64,
    pub(crate) salt: u64,
    pub(crate) offset: u32,
    pub(crate) poison: bool,
    /// Start of the chain of the prompt.
    pub(crate) start: u64,
    pub(crate) truncated: bool,
}

pub(crate) struct State {
    pub(crate) model: EngineModel,
    pub(crate) writing: HashMap<SequenceId, Writing>,
    pub(crate) generations: HashMap<String, Arc<Generation>>,
    pub(crate) reports: VecDeque<(Instant, LoadReport)>,
    pub(crate) cache_events: Vec<u64>,
    pub(crate) known_prefixes: BTreeSet<u64>,
    pub(crate) models: Vec<String>,
    pub(crate) fencing: FencingToken,
    pub(crate) next_sequence: u64,
    pub(crate) incarnation: u64,
    pub(crate) preemptions: u64,
    pub(crate) draining: bool,
    pub(crate) down_until: Option<Instant>,
    pub(crate) frozen_until: Option<Instant>,
    pub(crate) reclaim_at: Option<Instant>,
    pub(crate) silenced: u64,
    pub(crate) record: EngineRecord,
    pub(crate) rng: Pcg64Mcg,
}

/// What an experiment checks afterwards.
#[derive(Clone, Debug, Default)]
pub struct EngineRecord {
    /// Attempts taken, by the chain start of their prompt.
    pub started: HashMap<u64, u32>,
    /// Crashes by the chain start of the prompt that caused them.
    pub poisoned: HashMap<u64, u32>,
    /// Instants at which work was offered after the engine began to drain.
    pub offered_while_draining: Vec<Instant>,
    /// When the engine began to drain.
    pub draining_since: Option<Instant>,
    /// Orders that were carried out.
    pub orders: Vec<ModelCommand>,
}

impl State {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        Self {
            model: EngineModel::new(settings.limits),
            writing: HashMap::new(),
            generations: HashMap::new(),
            reports: VecDeque::new(),
            cache_events: Vec::new(),
            known_prefixes: BTreeSet::new(),
            models: settings.models.clone(),
            fencing: FencingToken(0),
            next_sequence: 0,
            incarnation: 1,
            preemptions: 0,
            draining: false,
            down_until: None,
            frozen_until: None,
            reclaim_at: None,
            silenced: 0,
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

    pub(crate) fn lose_everything(&mut self) {
        self.model.crash();
        for (_, generation) in self.generations.drain() {
            lock(&generation.progress).lost = true;
            generation.changed.notify_all();
        }
        self.writing.clear();
        self.known_prefixes.clear();
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

    /// Returns the newest report that is older than the lag, as a real engine's scrape would.
    pub(crate) fn lagged_report(&mut self) -> LoadReport {
        while self.reports.len() > 1 && self.reports[1].0.elapsed() >= REPORT_LAG {
            self.reports.pop_front();
        }
        let Some((at, report)) = self.reports.front() else { return LoadReport::default() };
        LoadReport { age_ms: at.elapsed().as_millis() as u64, ..report.clone() }
    }

    pub(crate) fn publish_cache_events(&mut self) {
        let cached: BTreeSet<u64> = self.model.cached_prefixes().collect();
        for prefix in cached.difference(&self.known_prefixes) {
            if self.rng.random_ratio(CACHE_EVENT_GAP - 1, CACHE_EVENT_GAP) {
                self.cache_events.push(*prefix);
            }
        }
        self.known_prefixes = cached;
    }
}

impl State {
    /// Appends the token of an event to its generation. Returns true when the prompt is poison.
    pub(crate) fn publish(&mut self, event: StepEvent) -> bool {
        let (id, finished) = match event {
            StepEvent::Preempted(_) => {
                self.preemptions += 1;
                return false;
            }
            StepEvent::Token(id) => (id, false),
            StepEvent::Finished(id) => (id, true),
        };
        let Some(writing) = self.writing.get_mut(&id) else { return false };
        if writing.poison {
            *self.record.poisoned.entry(writing.start).or_default() += 1;
            return true;
        }
        let event = writing.next_event(finished);
        let generation = writing.generation.clone();
        let mut progress = lock(&generation.progress);
        progress.events.push(event);
        if finished {
            progress.finished = Some(Instant::now());
            self.writing.remove(&id);
        }
        drop(progress);
        generation.changed.notify_all();
        false
    }
}

impl Writing {
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
