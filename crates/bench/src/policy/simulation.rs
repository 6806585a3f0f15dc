//! Discrete-event simulation of a placement policy on model engines, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use camphorloft_standins::engine_model::{EngineModel, Load, SequenceId, StepEvent, Submission};

use super::arrivals::Arrival;
use super::metrics::Metrics;
use super::workload::Workload;

/// Interval between ticks of a policy.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between progress reports of a generation.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a token after which a relay reports progress again, so that the policy can migrate
/// its generation.
const STREAM_SILENCE: Duration = Duration::from_millis(750);
/// Time after the last arrival in which the remaining generations can finish.
const DRAIN_DURATION: Duration = Duration::from_secs(120);

/// The state of a generation that is visible to a policy. Only the oracle may read
/// `output_tokens`.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Index in the list of arrivals.
    pub ix: usize,
    /// Index of its organisation.
    pub organisation: usize,
    /// Index of its class.
    pub class: usize,
    /// Scheduling priority.
    pub priority: u8,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Identifier of the shared prefix.
    pub prefix: u64,
    /// Number of tokens delivered so far.
    pub delivered: u32,
    /// Number of output tokens, for the oracle.
    pub output_tokens: u32,
    /// Engine of the previous attempt, if that attempt was lost or migrated.
    pub previous_engine: Option<usize>,
}

/// The state of an engine that is visible to a policy.
#[derive(Clone, Copy, Debug)]
pub struct EngineState {
    /// True while the engine accepts work.
    pub up: bool,
    /// The last load report.
    pub reported: Load,
}

/// A generation that the policy starts.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// Index of the request.
    pub request: usize,
    /// Index of the engine.
    pub engine: usize,
    /// Scheduling priority on the engine.
    pub priority: i32,
    /// Number of KV tokens at the start: the prompt and the output delivered so far.
    pub kv: u32,
}

/// Decisions that a policy makes in a tick.
#[derive(Clone, Debug, Default)]
pub struct Decisions {
    /// Generations to start.
    pub starts: Vec<Start>,
    /// Indices of the refused requests.
    pub refused: Vec<usize>,
}

/// A placement policy.
pub trait Placer {
    /// Places a generation that has no engine. Returns the generations to start immediately.
    fn place(&mut self, request: &Request, engines: &[EngineState]) -> Vec<Start>;

    /// Records the end of an attempt.
    fn ended(&mut self, request: &Request, engine: usize);

    /// Records the end of an attempt whose engine was lost.
    fn lost(&mut self, request: &Request, engine: usize) {
        self.ended(request, engine);
    }

    /// Records the end of an attempt whose generation is migrated.
    fn migrated(&mut self, request: &Request, engine: usize) {
        self.ended(request, engine);
    }

    /// Records progress. Returns true when the generation must be migrated.
    fn progress(&mut self, _request: &Request) -> bool {
        false
    }

    /// Records a load report.
    fn report(&mut self, _engine: usize, _load: &Load, _age: Duration) {}

    /// Records a placement by another host.
    fn record_peer_placement(&mut self, _engine: usize, _kv: u32) {}

    /// Makes the decisions that depend on time, once per tick.
    fn tick(&mut self, _out: &mut Decisions) {}

    /// Sets the current time. Called before any other method at that time.
    fn set_now(&mut self, _now: Instant) {}
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Step(usize),
    Tick,
    CollectReports,
    DeliverReports(usize),
    LoseEngines(usize),
    RestoreEngines(usize),
}

struct Engine {
    model: EngineModel,
    state: EngineState,
    stepping: bool,
}

struct Attempt {
    engine: usize,
    sequence: SequenceId,
}

/// A simulation of one policy with one list of arrivals.
pub struct Simulation<'a, P>
where
    P: Placer,
{
    workload: &'a Workload,
    placer: P,
    origin: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    order: u64,
    engines: Vec<Engine>,
    states: Vec<EngineState>,
    requests: Vec<Request>,
    attempts: Vec<Option<Attempt>>,
    last_token_at: Vec<Duration>,
    request_by_sequence: Vec<usize>,
    reports: Vec<Vec<Load>>,
    next_progress_at: Duration,
    open: usize,
    metrics: Metrics,
    step_events: Vec<StepEvent>,
}

impl<'a, P> Simulation<'a, P>
where
    P: Placer,
{
    /// Creates a simulation.
    pub fn new(workload: &'a Workload, arrivals: &[Arrival], placer: P) -> Self {
        let idle = EngineState { up: true, reported: Load::default() };
        let engines = workload.engine_limits().into_iter().map(|limits| Engine {
            model: EngineModel::new(limits),
            state: idle,
            stepping: false,
        });
        let engines: Vec<Engine> = engines.collect();
        let requests = arrivals.iter().enumerate().map(|(ix, arrival)| Request {
            ix,
            organisation: arrival.organisation,
            class: arrival.class,
            priority: workload.classes[arrival.class].priority,
            prompt_tokens: arrival.prompt_tokens,
            prefix: arrival.prefix,
            delivered: 0,
            output_tokens: arrival.output_tokens,
            previous_engine: None,
        });
        let mut simulation = Self {
            workload,
            placer,
            origin: Instant::now(),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            order: 0,
            states: engines.iter().map(|engine| engine.state).collect(),
            engines,
            requests: requests.collect(),
            attempts: arrivals.iter().map(|_| None).collect(),
            last_token_at: vec![Duration::ZERO; arrivals.len()],
            request_by_sequence: Vec::new(),
            reports: Vec::new(),
            next_progress_at: Duration::ZERO,
            open: arrivals.len(),
            metrics: Metrics::new(workload, arrivals),
            step_events: Vec::new(),
        };
        for (ix, arrival) in arrivals.iter().enumerate() {
            simulation.schedule(arrival.at, Event::Arrive(ix));
        }
        simulation.schedule(TICK_INTERVAL, Event::Tick);
        simulation.schedule(Duration::ZERO, Event::CollectReports);
        for (ix, loss) in workload.engine_losses.iter().enumerate() {
            simulation.schedule(Duration::from_secs_f64(loss.at_seconds), Event::LoseEngines(ix));
        }
        simulation
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    /// Runs until every generation has ended or the drain duration has passed.
    pub fn run(mut self) -> Metrics {
        let end = Duration::from_secs_f64(self.workload.duration_seconds) + DRAIN_DURATION;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end || self.open == 0 {
                break;
            }
            self.now = at;
            self.placer.set_now(self.origin + at);
            self.handle(event);
        }
        self.metrics.finish(self.open);
        self.metrics
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(ix) => self.place(ix),
            Event::Step(engine) => self.step(engine),
            Event::Tick => self.tick(),
            Event::CollectReports => self.collect_reports(),
            Event::DeliverReports(ix) => self.deliver_reports(ix),
            Event::LoseEngines(ix) => self.lose_engines(ix),
            Event::RestoreEngines(ix) => self.restore_engines(ix),
        }
    }

    fn place(&mut self, ix: usize) {
        let starts = self.placer.place(&self.requests[ix], &self.states);
        self.start_all(&starts);
    }

    fn start_all(&mut self, starts: &[Start]) {
        for start in starts {
            self.start(start);
        }
    }

    fn start(&mut self, start: &Start) {
        let request = self.requests[start.request];
        let sequence = SequenceId(self.request_by_sequence.len() as u64);
        self.request_by_sequence.push(start.request);
        self.last_token_at[start.request] = self.now;
        self.attempts[start.request] = Some(Attempt { engine: start.engine, sequence });
        let class = &self.workload.classes[request.class];
        let engine = &mut self.engines[start.engine];
        engine.model.submit(Submission {
            id: sequence,
            prompt_tokens: request.prompt_tokens + request.delivered,
            prefix: request.prefix,
            prefix_tokens: class.prefix_tokens,
            output_tokens: request.output_tokens - request.delivered,
            priority: start.priority,
        });
        if !engine.stepping {
            engine.stepping = true;
            self.schedule(self.now, Event::Step(start.engine));
        }
    }

    fn step(&mut self, ix: usize) {
        let engine = &mut self.engines[ix];
        let (busy, events) = engine.model.step();
        if busy.is_zero() {
            engine.stepping = false;
            return;
        }
        self.step_events.clear();
        self.step_events.extend_from_slice(events);
        let used = engine.model.load().kv_used;
        let share = f64::from(used) / f64::from(engine.model.limits().kv_tokens);
        self.metrics.occupancy(self.now, share, busy);
        let done_at = self.now + busy;
        let events = std::mem::take(&mut self.step_events);
        for event in &events {
            self.apply(*event, ix, done_at);
        }
        self.step_events = events;
        self.schedule(done_at, Event::Step(ix));
    }

    fn apply(&mut self, event: StepEvent, engine: usize, at: Duration) {
        let (StepEvent::Token(id) | StepEvent::Finished(id) | StepEvent::Preempted(id)) = event;
        let ix = self.request_by_sequence[id.0 as usize];
        if matches!(event, StepEvent::Preempted(_)) {
            self.metrics.preempted(ix, self.now);
            return;
        }
        self.requests[ix].delivered += 1;
        self.last_token_at[ix] = at;
        self.metrics.token(ix, at);
        if matches!(event, StepEvent::Finished(_)) {
            self.attempts[ix] = None;
            self.open -= 1;
            self.metrics.finished(ix, at);
            self.placer.ended(&self.requests[ix], engine);
        }
    }

    fn tick(&mut self) {
        if self.now >= self.next_progress_at {
            self.report_progress();
            self.next_progress_at = self.now + PROGRESS_INTERVAL;
        }
        let mut decisions = Decisions::default();
        self.placer.tick(&mut decisions);
        self.start_all(&decisions.starts);
        for ix in &decisions.refused {
            self.open -= 1;
            self.metrics.refused(*ix);
        }
        self.schedule(self.now + TICK_INTERVAL, Event::Tick);
    }

    fn report_progress(&mut self) {
        for ix in 0..self.requests.len() {
            let Some(attempt) = &self.attempts[ix] else { continue };
            let (engine, sequence) = (attempt.engine, attempt.sequence);
            let since_token = self.now.saturating_sub(self.last_token_at[ix]);
            if since_token >= PROGRESS_INTERVAL && since_token < STREAM_SILENCE {
                continue;
            }
            if self.placer.progress(&self.requests[ix]) {
                self.engines[engine].model.cancel(sequence);
                self.attempts[ix] = None;
                self.metrics.migrated(ix, self.now);
                self.placer.migrated(&self.requests[ix], engine);
                self.requests[ix].previous_engine = Some(engine);
                self.place(ix);
            }
        }
    }

    fn collect_reports(&mut self) {
        let loads = self.engines.iter().map(|engine| engine.model.load()).collect();
        self.reports.push(loads);
        let lag = Duration::from_millis(self.workload.report_lag_ms);
        self.schedule(self.now + lag, Event::DeliverReports(self.reports.len() - 1));
        let interval = Duration::from_millis(self.workload.report_interval_ms);
        self.schedule(self.now + interval, Event::CollectReports);
    }

    fn deliver_reports(&mut self, ix: usize) {
        let lag = Duration::from_millis(self.workload.report_lag_ms);
        for engine in 0..self.engines.len() {
            let load = self.reports[ix][engine];
            self.states[engine].reported = load;
            if self.states[engine].up {
                self.placer.report(engine, &load, lag);
            }
        }
    }

    fn lose_engines(&mut self, ix: usize) {
        let loss = self.workload.engine_losses[ix];
        for engine in 0..loss.engines as usize {
            self.states[engine].up = false;
            for id in self.engines[engine].model.crash() {
                let request = self.request_by_sequence[id.0 as usize];
                self.attempts[request] = None;
                self.metrics.lost(request);
                self.placer.lost(&self.requests[request], engine);
                self.requests[request].previous_engine = Some(engine);
                self.place(request);
            }
        }
        let restore_at = self.now + Duration::from_secs_f64(loss.for_seconds);
        self.schedule(restore_at, Event::RestoreEngines(ix));
    }

    fn restore_engines(&mut self, ix: usize) {
        for engine in 0..self.workload.engine_losses[ix].engines as usize {
            self.states[engine].up = true;
        }
    }
}
