//! Replays a load on several hosts with common engines in virtual time, with the admission of each
//! generation on its own or from the queues of the hosts.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use camphorloft_dispatch::admission_queue::engines_left_to_others;
use camphorloft_dispatch::prelude::*;
use camphorloft_dispatch::{admission, admission_queue};
use camphorloft_types::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::common;
use crate::engine_model::{Engine, STEP, Sequence, Workload};

/// Interval between reclaims, and the notice of each.
const RECLAIM: (Duration, Duration) = (Duration::from_millis(3_300), Duration::from_millis(1_800));
/// Fraction of the engines that is reclaimed each time.
const RECLAIMED_FRACTION: f64 = 1.0 / 6.0;
/// Time from the end of an engine until its replacement joins.
const REPLACED_AFTER: Duration = Duration::from_millis(2_500);
/// Interval between reports, and their age on arrival.
const REPORTS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(100));
/// Interval between statements about queues.
const STATEMENTS: Duration = Duration::from_millis(200);
/// Time between two attempts of a generation that is admitted on its own.
const ADMISSION_INTERVAL: Duration = Duration::from_millis(40);
/// Memory of an engine, in tokens.
const KV_CAPACITY: u32 = 26_869;
/// Longest pause of a stream that is in time.
const MAX_PAUSE: Duration = Duration::from_millis(180);
/// The clients' estimate is raised by this factor, as hosts do.
const EXPECTED_FACTOR: f64 = 1.25;

/// A kind of requests of one organisation.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub workload: Workload,
    pub priority: u8,
    pub timeout: Duration,
    pub organisation: &'static str,
    /// Bursts: interval, duration and multiple of the rate.
    pub burst: (Duration, Duration, f64),
}

/// A load to replay.
#[derive(Clone, Debug)]
pub struct Load {
    pub kinds: Vec<Kind>,
    pub engines: usize,
    pub hosts: usize,
    pub length: Duration,
    /// Whether hosts use their queues.
    pub prioritised: bool,
}

/// What became of the requests of a kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcomes {
    pub on_time: u32,
    pub late: u32,
    pub lost: u32,
    pub refusals: u32,
}

impl Outcomes {
    pub fn add(&mut self, other: &Self) {
        self.on_time += other.on_time;
        self.late += other.late;
        self.lost += other.lost;
        self.refusals += other.refusals;
    }

    fn share(&self, count: f64) -> f64 {
        count / f64::from((self.on_time + self.late + self.lost).max(1))
    }

    pub fn on_time_share(&self) -> f64 {
        self.share(f64::from(self.on_time))
    }

    pub fn served_share(&self) -> f64 {
        self.share(f64::from(self.on_time + self.late))
    }

    /// Returns the mean worth of a request, if a late one is worth a quarter.
    pub fn worth(&self) -> f64 {
        self.share(f64::from(self.on_time) + 0.25 * f64::from(self.late))
    }
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Client {
    kind: usize,
    tokens: u32,
    /// When the client first sent it.
    sent: Instant,
    /// When this host received it.
    arrived: Instant,
    has_retried: bool,
    tried_at: Instant,
}

/// State of a started stream beyond that of its sequence, by call.
#[derive(Clone, Copy, Debug)]
struct Stream {
    kind: usize,
    host: usize,
    sent: Instant,
    is_late: bool,
}

struct SimulatedHost {
    fleet: Fleet,
    queue: AdmissionQueue<Client>,
    waiting: Vec<Client>,
}

struct SimulatedEngine {
    engine: Engine,
    /// Index of the stream of each sequence.
    streams: Vec<usize>,
    ends_at: Option<Instant>,
}

/// A replay.
pub struct Replay {
    load: Load,
    now: Instant,
    start: Instant,
    rng: Pcg64Mcg,
    hosts: Vec<SimulatedHost>,
    engines: BTreeMap<String, SimulatedEngine>,
    started: u32,
    replacements: Vec<Instant>,
    reports: VecDeque<(Instant, Instant, String, LoadReport)>,
    retries: Vec<(Instant, Client)>,
    streams: Vec<Stream>,
    pub outcomes: Vec<Outcomes>,
    /// Retry delays of refused clients, with their priorities.
    pub delays: Vec<(u8, Duration)>,
    /// Refusals while under half of the memory was in use and nothing waited.
    pub wrong_refusals: u32,
}

/// A decision to start, with the engine.
struct Started {
    client: Client,
    host: usize,
    endpoint: EndpointIx,
    run: RunId,
}

struct ReplayEngines<'a> {
    fleet: &'a mut Fleet,
    rng: &'a mut Pcg64Mcg,
    completions: Completions,
    now: Instant,
    runs: Vec<RunId>,
    excluded: Vec<EndpointIx>,
}

impl Engines<Client> for ReplayEngines<'_> {
    fn admit(&mut self, work: &QueuedWork, _: &Client, terms: &AdmissionTerms) -> Admission {
        let (service, spec) = (common::service(), common::engine());
        let pool = Pool { fleet: self.fleet, service: &service, spec: &spec };
        let candidates = Candidates::default();
        let admission = admission_queue::admit(
            &pool,
            work,
            &candidates,
            terms.excluded(&self.excluded),
            terms,
            self.now,
            self.rng,
        );
        if let Admission::Start(choice) = admission {
            let call = common::call(0);
            let (run, _) = self.fleet.reserve_run(choice.endpoint, &call, &work.demand, self.now);
            self.runs.push(run);
        }
        admission
    }

    fn freed_per_second(&mut self) -> f64 {
        let (service, spec) = (common::service(), common::engine());
        let pool = Pool { fleet: self.fleet, service: &service, spec: &spec };
        self.completions.freed_per_second(&pool, self.now)
    }

    fn draw(&mut self) -> f64 {
        self.rng.random()
    }
}

impl Replay {
    /// Replays a load.
    pub fn run(load: Load, seed: u64) -> Self {
        let start = Instant::now();
        let host = |_| SimulatedHost {
            fleet: Fleet::new(common::locality("n-a")),
            queue: AdmissionQueue::default(),
            waiting: Vec::new(),
        };
        let mut replay = Self {
            hosts: (0..load.hosts).map(host).collect(),
            outcomes: vec![Outcomes::default(); load.kinds.len()],
            now: start,
            start,
            rng: Pcg64Mcg::seed_from_u64(seed),
            engines: BTreeMap::new(),
            started: 0,
            replacements: Vec::new(),
            reports: VecDeque::new(),
            retries: Vec::new(),
            streams: Vec::new(),
            delays: Vec::new(),
            wrong_refusals: 0,
            load,
        };
        (0..replay.load.engines).for_each(|_| replay.join());
        let (mut reclaim_at, mut report_at, mut state_at) = (start + RECLAIM.0, start, start);
        while replay.now < start + replay.load.length {
            replay.now += STEP;
            if replay.now >= reclaim_at {
                reclaim_at += RECLAIM.0;
                replay.reclaim();
            }
            if replay.now >= report_at {
                report_at += REPORTS.0;
                replay.report();
            }
            if replay.now >= state_at {
                state_at += STATEMENTS;
                replay.state_queues();
            }
            replay.replace();
            replay.deliver_reports();
            replay.arrive();
            replay.admit();
            replay.step();
        }
        replay
    }

    fn join(&mut self) {
        self.started += 1;
        let name = format!("e{}", self.started);
        for host in &mut self.hosts {
            host.fleet.upsert(common::entry(&name, "n-a", 1), self.now, &mut Vec::new());
        }
        let engine = SimulatedEngine {
            engine: Engine { kv_capacity: KV_CAPACITY, ..Engine::default() },
            streams: Vec::new(),
            ends_at: None,
        };
        self.engines.insert(name, engine);
    }

    fn reclaim(&mut self) {
        let count = (self.load.engines as f64 * RECLAIMED_FRACTION).round() as usize;
        for _ in 0..count {
            let staying: Vec<String> = self
                .engines
                .iter()
                .filter(|(_, e)| e.ends_at.is_none())
                .map(|(name, _)| name.clone())
                .collect();
            let name = &staying[self.rng.random_range(0..staying.len())];
            self.engines.get_mut(name).unwrap().ends_at = Some(self.now + RECLAIM.1);
            for host in &mut self.hosts {
                let ix = common::find(&host.fleet, name);
                host.fleet.mark_draining(ix, self.now, &mut Vec::new());
            }
        }
    }

    /// Ends the reclaimed engines. Their sequences continue elsewhere where there is memory.
    fn replace(&mut self) {
        let ended = self.engines.iter().filter(|(_, e)| e.ends_at.is_some_and(|at| at <= self.now));
        let ended: Vec<String> = ended.map(|(name, _)| name.clone()).collect();
        for name in ended {
            let mut engine = self.engines.remove(&name).unwrap();
            self.replacements.push(self.now + REPLACED_AFTER);
            for (stream, mut sequence) in engine.streams.drain(..).zip(engine.engine.sequences) {
                let host = &mut self.hosts[self.streams[stream].host];
                host.fleet.end_run(common::find(&host.fleet, &name), sequence.run);
                let staying = self.engines.iter_mut().filter(|(_, e)| e.ends_at.is_none());
                let (to, target) = staying.min_by_key(|(_, e)| e.engine.used()).unwrap();
                if target.engine.used() + sequence.kv_tokens() > KV_CAPACITY {
                    self.outcomes[self.streams[stream].kind].lost += 1;
                    continue;
                }
                let work = common::work(sequence.kv_tokens(), sequence.workload.tokens);
                let ix = common::find(&host.fleet, to);
                sequence.run = host.fleet.start_run(ix, &common::call(stream), work, self.now);
                target.engine.sequences.push(sequence);
                target.streams.push(stream);
            }
            for host in &mut self.hosts {
                host.fleet.remove(&name.parse().unwrap(), self.now, &mut Vec::new());
                host.fleet.purge_removed(Duration::ZERO, self.now);
            }
        }
        let due = self.replacements.iter().filter(|at| **at <= self.now).count();
        self.replacements.retain(|at| *at > self.now);
        (0..due).for_each(|_| self.join());
    }

    fn report(&mut self) {
        for (name, engine) in &self.engines {
            let report = engine.engine.report();
            self.reports.push_back((self.now + REPORTS.1, self.now, name.clone(), report));
        }
    }

    fn deliver_reports(&mut self) {
        while self.reports.front().is_some_and(|(at, ..)| *at <= self.now) {
            let (_, as_of, name, report) = self.reports.pop_front().unwrap();
            for host in &mut self.hosts {
                if let Some(ix) = host.fleet.find(&name.parse().unwrap()) {
                    host.fleet.record_report(ix, report, as_of);
                }
            }
        }
    }

    /// Tells every host what waits at the others.
    fn state_queues(&mut self) {
        let states: Vec<_> = self.hosts.iter().map(|host| host.queue.state()).collect();
        for (from, state) in states.into_iter().enumerate() {
            let Some(state) = state else { continue };
            for (ix, host) in self.hosts.iter_mut().enumerate() {
                if ix != from {
                    host.queue.peers.record(from as u32, state, self.now);
                }
            }
        }
    }

    fn arrive(&mut self) {
        let elapsed = self.now - self.start;
        let mut clients = Vec::new();
        for (ix, kind) in self.load.kinds.iter().enumerate() {
            let (interval, duration, factor) = kind.burst;
            let phase = elapsed.as_secs_f64() % interval.as_secs_f64();
            let is_burst = phase >= interval.as_secs_f64() - duration.as_secs_f64();
            let rate = kind.workload.rate * if is_burst { factor } else { 1.0 };
            let mean = rate * STEP.as_secs_f64();
            // Arrivals of a step: at most four.
            let count = (0..4).filter(|_| self.rng.random_bool(mean / 4.0)).count();
            for _ in 0..count {
                let spread = 10_f64.powf(self.rng.random_range(-0.4..0.4));
                let tokens = f64::from(kind.workload.tokens) * spread;
                clients.push(Client {
                    kind: ix,
                    tokens: tokens as u32,
                    sent: self.now,
                    arrived: self.now,
                    has_retried: false,
                    tried_at: self.start,
                });
            }
        }
        let now = self.now;
        for (_, client) in self.retries.extract_if(.., |(at, _)| *at <= now) {
            clients.push(Client { arrived: now, has_retried: true, ..client });
        }
        for client in clients {
            let host = self.rng.random_range(0..self.hosts.len());
            let work = self.work(&client);
            match self.load.prioritised {
                true => drop(self.hosts[host].queue.push(work, client)),
                false => self.hosts[host].waiting.push(client),
            }
        }
    }

    fn work(&self, client: &Client) -> QueuedWork {
        let kind = &self.load.kinds[client.kind];
        let demand = TokenDemand {
            kv_tokens: kind.workload.prompt,
            prefill_tokens: kind.workload.prompt,
            expected: (f64::from(kind.workload.tokens) * EXPECTED_FACTOR) as u32,
        };
        QueuedWork {
            resumes: false,
            priority: kind.priority,
            organisation: Some(kind.organisation.parse().unwrap()),
            arrived_at: client.arrived,
            objective: kind.workload.due,
            deadline: client.sent + kind.timeout,
            demand,
            first_event: demand.prefill_time(),
            duration: demand.busy_duration(),
            body_bytes: 0,
            is_restricted: false,
        }
    }

    fn admit(&mut self) {
        let mut started = Vec::new();
        let mut refused = Vec::new();
        for ix in 0..self.hosts.len() {
            let host = &mut self.hosts[ix];
            let completions = host.queue.completions;
            let (service, spec) = (common::service(), common::engine());
            let pool = Pool { fleet: &host.fleet, service: &service, spec: &spec };
            let waiting = host.queue.peers.waiting_hosts(self.now);
            let excluded = engines_left_to_others(&pool, waiting, &mut self.rng);
            let mut engines = ReplayEngines {
                excluded,
                fleet: &mut host.fleet,
                rng: &mut self.rng,
                completions,
                now: self.now,
                runs: Vec::new(),
            };
            let decided = host.queue.pass(&mut engines, self.now);
            let mut runs = engines.runs.into_iter();
            for (client, admission) in decided {
                match admission {
                    Admission::Start(choice) => started.push(Started {
                        client,
                        host: ix,
                        endpoint: choice.endpoint,
                        run: runs.next().unwrap(),
                    }),
                    Admission::Refuse { retry_after, .. } => refused.push((client, retry_after)),
                    Admission::Wait => unreachable!("a decision"),
                }
            }
            for client in std::mem::take(&mut self.hosts[ix].waiting) {
                self.admit_alone(ix, client, &mut started, &mut refused);
            }
        }
        for start in started {
            self.start(start);
        }
        for (client, retry_after) in refused {
            self.refuse(client, retry_after);
        }
    }

    /// Requests admission as without a queue.
    fn admit_alone(
        &mut self,
        ix: usize,
        mut client: Client,
        started: &mut Vec<Started>,
        refused: &mut Vec<(Client, Duration)>,
    ) {
        let work = self.work(&client);
        let host = &mut self.hosts[ix];
        if self.now < client.tried_at + ADMISSION_INTERVAL {
            host.waiting.push(client);
            return;
        }
        client.tried_at = self.now;
        let (service, spec) = (common::service(), common::engine());
        let pool = Pool { fleet: &host.fleet, service: &service, spec: &spec };
        let arrival = (client.arrived, work.objective);
        let candidates = Candidates::default();
        match admission::admit(&pool, &work.demand, &candidates, arrival, self.now, &mut self.rng) {
            Admission::Wait => host.waiting.push(client),
            Admission::Refuse { retry_after, .. } => refused.push((client, retry_after)),
            Admission::Start(choice) => {
                let call = common::call(0);
                let (run, _) =
                    host.fleet.reserve_run(choice.endpoint, &call, &work.demand, self.now);
                started.push(Started { client, host: ix, endpoint: choice.endpoint, run });
            }
        }
    }

    fn start(&mut self, started: Started) {
        let Started { client, host, endpoint, run } = started;
        let workload = self.load.kinds[client.kind].workload;
        let demand = self.work(&client).demand;
        let name = self.hosts[host].fleet.get(endpoint).unwrap().entry.name.clone();
        for (ix, other) in self.hosts.iter_mut().enumerate() {
            if ix != host
                && let Some(ix) = other.fleet.find(&name)
                && let Some(endpoint) = other.fleet.get_mut(ix)
            {
                if self.load.prioritised {
                    endpoint.load.record_peer_generation(&demand, self.now);
                } else {
                    endpoint.load.record_peer_placement(workload.prompt, workload.prompt, self.now);
                }
            }
        }
        let engine = self.engines.get_mut(name.as_str()).unwrap();
        engine.streams.push(self.streams.len());
        engine.engine.sequences.push(Sequence::new(run, workload, client.sent, client.tokens));
        self.streams.push(Stream { kind: client.kind, host, sent: client.sent, is_late: false });
    }

    fn refuse(&mut self, client: Client, retry_after: Duration) {
        let kind = &self.load.kinds[client.kind];
        self.outcomes[client.kind].refusals += 1;
        self.delays.push((kind.priority, retry_after));
        let used: u32 = self.engines.values().map(|e| e.engine.used()).sum();
        let is_half_free = used < KV_CAPACITY * self.engines.len() as u32 / 2;
        let is_any_waiting = self.hosts.iter().any(|host| !host.queue.is_empty());
        self.wrong_refusals += u32::from(is_half_free && !is_any_waiting);
        let time_left = (client.sent + kind.timeout).saturating_duration_since(self.now);
        match !client.has_retried && retry_after <= time_left / 3 {
            true => self.retries.push((self.now + retry_after, client)),
            false => self.outcomes[client.kind].lost += 1,
        }
    }

    fn step(&mut self) {
        let now = self.now;
        for (name, simulated) in &mut self.engines {
            let SimulatedEngine { engine, streams, .. } = simulated;
            let all = &mut self.streams;
            let kinds = &self.load.kinds;
            engine.step(|_| {});
            for (sequence, stream) in engine.sequences.iter().zip(streams.iter()) {
                if sequence.prefill_tokens <= 0.0 && sequence.generated == 0.0 {
                    all[*stream].is_late = now > sequence.arrived + sequence.workload.due;
                }
            }
            let mut ix = 0;
            while ix < engine.sequences.len() {
                let stream = &all[streams[ix]];
                let host = &mut self.hosts[stream.host];
                let sequence = &engine.sequences[ix];
                let endpoint = common::find(&host.fleet, name);
                host.fleet.record_progress(endpoint, sequence.run, sequence.generated as u32);
                let timed_out = now >= stream.sent + kinds[stream.kind].timeout;
                if !sequence.is_complete() && !timed_out {
                    ix += 1;
                    continue;
                }
                let outcomes = &mut self.outcomes[stream.kind];
                let is_late = stream.is_late || sequence.paused > MAX_PAUSE;
                match (sequence.is_complete(), is_late) {
                    (true, false) => outcomes.on_time += 1,
                    (true, true) => outcomes.late += 1,
                    (false, _) => outcomes.lost += 1,
                }
                if let Some(run) = host.fleet.run_mut(endpoint, sequence.run) {
                    let (kv_tokens, sent_at) = (run.kv_tokens(), run.sent_at);
                    host.queue.completions.record(kv_tokens, now - sent_at, now);
                }
                host.fleet.end_run(endpoint, sequence.run);
                engine.sequences.remove(ix);
                streams.remove(ix);
            }
        }
    }
}
