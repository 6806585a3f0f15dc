//! Drives a policy against engines in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use camphorloft_standins::engine_model::{EngineModel, Load, SequenceId, StepEvent, Submission};

use super::arrivals::Arrival;
use super::metrics::Metrics;
use super::workload::Workload;

/// Time between two ticks of a policy.
const TICK: Duration = Duration::from_millis(50);
/// Time between two progress reports of a generation.
const PROGRESS: Duration = Duration::from_millis(250);
/// Silence after which a relay looks at its stream anew and can be told to move.
const SILENCE: Duration = Duration::from_millis(750);
/// Time after the last arrival in which generations may end.
const DRAIN: Duration = Duration::from_secs(120);

/// A generation as the policy sees it. Only the oracle may read `output_tokens`.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Position in the list of arrivals.
    pub ix: usize,
    /// Position of its organisation.
    pub organisation: usize,
    /// Position of its class.
    pub class: usize,
    /// Scheduling priority.
    pub priority: u8,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Identity of the shared prefix.
    pub prefix: u64,
    /// Tokens delivered so far.
    pub delivered: u32,
    /// Tokens of the output, for the oracle.
    pub output_tokens: u32,
    /// Engine that it just left, if any.
    pub left: Option<usize>,
}

/// An engine as the policy sees it.
#[derive(Clone, Copy, Debug)]
pub struct EngineState {
    /// True while the engine takes work.
    pub up: bool,
    /// The last report.
    pub reported: Load,
}

/// A generation that the policy starts.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// Position of the request.
    pub request: usize,
    /// Position of the engine.
    pub engine: usize,
    /// Priority for the engine.
    pub priority: i32,
    /// Tokens of the prompt and of the delivered prefix.
    pub kv: u32,
}

/// Decisions of a tick.
#[derive(Clone, Debug, Default)]
pub struct Decisions {
    /// Generations to start.
    pub starts: Vec<Start>,
    /// Requests that are refused.
    pub refused: Vec<usize>,
}

/// A policy.
pub trait Placer {
    /// Takes a generation that needs an engine. Returns the starts that follow at once.
    fn arrive(&mut self, request: &Request, engines: &[EngineState]) -> Vec<Start>;

    /// Takes the end of an attempt.
    fn ended(&mut self, request: &Request, engine: usize);

    /// Takes the end of an attempt by the loss of its engine.
    fn lost(&mut self, request: &Request, engine: usize) {
        self.ended(request, engine);
    }

    /// Takes the stop of an attempt that is moved.
    fn moved(&mut self, request: &Request, engine: usize) {
        self.ended(request, engine);
    }

    /// Takes progress. Returns true when the generation must move.
    fn progress(&mut self, _request: &Request) -> bool {
        false
    }

    /// Takes a report.
    fn report(&mut self, _engine: usize, _load: &Load, _age: Duration) {}

    /// Takes a placement of another host.
    fn hear_placement(&mut self, _engine: usize, _kv: u32) {}

    /// Lets the policy act on the passage of time.
    fn tick(&mut self, _out: &mut Decisions) {}

    /// Tells the time, before any other call at that time.
    fn set_now(&mut self, _now: Instant) {}
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Step(usize),
    Tick,
    TakeReports,
    DeliverReports(usize),
    LoseEngines(usize),
    ReturnEngines(usize),
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

/// A run of one policy on one list of arrivals.
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
    token_at: Vec<Duration>,
    by_sequence: Vec<usize>,
    reports: Vec<Vec<Load>>,
    progress_at: Duration,
    open: usize,
    metrics: Metrics,
    pending: Vec<StepEvent>,
}

impl<'a, P> Simulation<'a, P>
where
    P: Placer,
{
    /// Builds a run.
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
            left: None,
        });
        let mut run = Self {
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
            token_at: vec![Duration::ZERO; arrivals.len()],
            by_sequence: Vec::new(),
            reports: Vec::new(),
            progress_at: Duration::ZERO,
            open: arrivals.len(),
            metrics: Metrics::new(workload, arrivals),
            pending: Vec::new(),
        };
        for (ix, arrival) in arrivals.iter().enumerate() {
            run.schedule(arrival.at, Event::Arrive(ix));
        }
        run.schedule(TICK, Event::Tick);
        run.schedule(Duration::ZERO, Event::TakeReports);
        for (ix, loss) in workload.engine_losses.iter().enumerate() {
            run.schedule(Duration::from_secs_f64(loss.at_seconds), Event::LoseEngines(ix));
        }
        run
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    /// Runs until every generation ended or the drain time has passed.
    pub fn run(mut self) -> Metrics {
        let end = Duration::from_secs_f64(self.workload.duration_seconds) + DRAIN;
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
            Event::Arrive(ix) => self.ask(ix),
            Event::Step(engine) => self.step(engine),
            Event::Tick => self.tick(),
            Event::TakeReports => self.take_reports(),
            Event::DeliverReports(ix) => self.deliver_reports(ix),
            Event::LoseEngines(ix) => self.lose_engines(ix),
            Event::ReturnEngines(ix) => self.return_engines(ix),
        }
    }

    fn ask(&mut self, ix: usize) {
        let starts = self.placer.arrive(&self.requests[ix], &self.states);
        self.start_all(&starts);
    }

    fn start_all(&mut self, starts: &[Start]) {
        for start in starts {
            self.start(start);
        }
    }

    fn start(&mut self, start: &Start) {
        let request = self.requests[start.request];
        let sequence = SequenceId(self.by_sequence.len() as u64);
        self.by_sequence.push(start.request);
        self.token_at[start.request] = self.now;
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
        self.pending.clear();
        self.pending.extend_from_slice(events);
        let used = engine.model.load().kv_used;
        let share = f64::from(used) / f64::from(engine.model.limits().kv_tokens);
        self.metrics.occupancy(self.now, share, busy);
        let done_at = self.now + busy;
        let events = std::mem::take(&mut self.pending);
        for event in &events {
            self.apply(*event, ix, done_at);
        }
        self.pending = events;
        self.schedule(done_at, Event::Step(ix));
    }

    fn apply(&mut self, event: StepEvent, engine: usize, at: Duration) {
        let (StepEvent::Token(id) | StepEvent::Finished(id) | StepEvent::Preempted(id)) = event;
        let ix = self.by_sequence[id.0 as usize];
        if matches!(event, StepEvent::Preempted(_)) {
            self.metrics.preempted(ix, self.now);
            return;
        }
        self.requests[ix].delivered += 1;
        self.token_at[ix] = at;
        self.metrics.token(ix, at);
        if matches!(event, StepEvent::Finished(_)) {
            self.attempts[ix] = None;
            self.open -= 1;
            self.metrics.finished(ix, at);
            self.placer.ended(&self.requests[ix], engine);
        }
    }

    fn tick(&mut self) {
        if self.now >= self.progress_at {
            self.report_progress();
            self.progress_at = self.now + PROGRESS;
        }
        let mut decisions = Decisions::default();
        self.placer.tick(&mut decisions);
        self.start_all(&decisions.starts);
        for ix in &decisions.refused {
            self.open -= 1;
            self.metrics.refused(*ix);
        }
        self.schedule(self.now + TICK, Event::Tick);
    }

    fn report_progress(&mut self) {
        for ix in 0..self.requests.len() {
            let Some(attempt) = &self.attempts[ix] else { continue };
            let (engine, sequence) = (attempt.engine, attempt.sequence);
            let silent = self.now.saturating_sub(self.token_at[ix]);
            if silent >= PROGRESS && silent < SILENCE {
                continue;
            }
            if self.placer.progress(&self.requests[ix]) {
                self.engines[engine].model.cancel(sequence);
                self.attempts[ix] = None;
                self.metrics.moved(ix, self.now);
                self.placer.moved(&self.requests[ix], engine);
                self.requests[ix].left = Some(engine);
                self.ask(ix);
            }
        }
    }

    fn take_reports(&mut self) {
        let loads = self.engines.iter().map(|engine| engine.model.load()).collect();
        self.reports.push(loads);
        let lag = Duration::from_millis(self.workload.report_lag_ms);
        self.schedule(self.now + lag, Event::DeliverReports(self.reports.len() - 1));
        let interval = Duration::from_millis(self.workload.report_interval_ms);
        self.schedule(self.now + interval, Event::TakeReports);
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
                let request = self.by_sequence[id.0 as usize];
                self.attempts[request] = None;
                self.metrics.lost(request);
                self.placer.lost(&self.requests[request], engine);
                self.requests[request].left = Some(engine);
                self.ask(request);
            }
        }
        let back = self.now + Duration::from_secs_f64(loss.for_seconds);
        self.schedule(back, Event::ReturnEngines(ix));
    }

    fn return_engines(&mut self, ix: usize) {
        for engine in 0..self.workload.engine_losses[ix].engines as usize {
            self.states[engine].up = true;
        }
    }
}
