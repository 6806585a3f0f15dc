//! Replays in virtual time a service whose machines differ in speed: a quarter of them is fast
//! persistently, and neighbours slow a seventh of all for 600 ms at a time. Demand comes in bursts, a
//! sixth of the engines is reclaimed every few seconds, and several hosts place with late reports.

#[expect(dead_code, reason = "the other tests use the rest")]
mod common;
#[path = "common/engines.rs"]
mod engines;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_dispatch::{admission, reclaim};
use camphorloft_serving::prelude::Residency;
use camphorloft_types::prelude::EndpointIx;
use common::{call, engine, entry, service};
use engines::{Engine, Sequence, Workload};
use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Duration of a step of the replay, which is shorter than a step of an engine.
const STEP: Duration = Duration::from_millis(10);
const LENGTH: Duration = Duration::from_secs(40);
/// Engines, of which every fourth is fast, and how long work takes on these and on the others.
const ENGINES: usize = 48;
const FAST_EVERY: usize = 4;
const SLOWNESS: (f64, f64) = (0.55, 1.2);
/// Interval after which neighbours slow other engines, their share, and how much longer work takes.
const NEIGHBOURS: (Duration, f64, f64) = (Duration::from_millis(600), 0.15, 2.5);
const LONG: Workload =
    Workload { rate: 23.2, prompt: 3_000, tokens: 752, due: Duration::from_millis(1_800) };
const SHORT: Workload =
    Workload { rate: 26.1, prompt: 2_550, tokens: 8, due: Duration::from_millis(1_500) };
/// Interval and length of bursts of long generations, and how many times as many as on average arrive
/// in them and between them.
const BURST: (Duration, Duration, (f64, f64)) =
    (Duration::from_secs(11), Duration::from_secs(5), (1.6, 0.5));
/// Interval between reclaims, their notice, and the engines reclaimed each time.
const RECLAIM: (Duration, Duration, usize) =
    (Duration::from_millis(3_300), Duration::from_millis(1_800), 8);
/// Duration of a copy of the KV cache of a generation.
const COPY: Duration = Duration::from_millis(160);
/// Time from a reclaim until replacement engines join.
const REPLACED_AFTER: Duration = Duration::from_millis(2_500);
/// Interval between reports, and their age on arrival.
const REPORTS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(450));
/// Time in which placements reach the other hosts.
const PEER_DELAY: Duration = Duration::from_millis(40);
/// Target for pauses between events.
const GAP_TARGET: Duration = Duration::from_millis(180);
/// Interval in which hosts observe a stream.
const OBSERVED: Duration = Duration::from_millis(400);

/// What the fourth figure of the load of an endpoint contains.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stated {
    Nothing,
    /// What its neighbours cause.
    Transient,
    /// That, and the speed of the machine.
    All,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    long_in_time: u32,
    long_late: u32,
    short_in_time: u32,
    short_late: u32,
    refused: u32,
    lost: u32,
    preempted: u32,
}

impl Counts {
    /// Returns the value that clients received, relative to all generations in time. A late stream
    /// is worth a seventh.
    fn value(&self) -> f64 {
        let long = f64::from(self.long_in_time) + f64::from(self.long_late) / 7.0;
        let short = f64::from(self.short_in_time);
        let all = self.long_in_time + self.long_late + self.short_in_time + self.short_late;
        (long + short) / f64::from(all + self.refused + self.lost)
    }
}

struct Waiting {
    host: usize,
    workload: Workload,
    tokens: u32,
    arrived: Instant,
}

struct Machine {
    engine: Engine,
    slowness: f64,
    slowed: bool,
    leaves_at: Option<Instant>,
}

/// A message to a host.
enum Message {
    Report(LoadReport, Instant),
    Speed(PeerSlowness),
    Placement(u32, u32),
}

struct Replay {
    stated: Stated,
    start: Instant,
    /// Draws what happens to the hosts: the same for each way to place.
    world: Pcg64Mcg,
    /// Draws of the hosts, and noise.
    rng: Pcg64Mcg,
    hosts: Vec<Fleet>,
    machines: BTreeMap<String, Machine>,
    /// Messages in transit: arrival time, sender, endpoint.
    messages: Vec<(Instant, Option<usize>, String, Message)>,
    joins: Vec<Instant>,
    joined: usize,
    calls: usize,
    counts: Counts,
}

impl Replay {
    fn new(stated: Stated, hosts: usize, seed: u64) -> Self {
        let start = Instant::now();
        let new_host = |_| {
            let mut fleet = Fleet::new(common::locality("n-a"));
            fleet.set_gap_target(&service(), Some(GAP_TARGET));
            fleet
        };
        let mut replay = Self {
            stated,
            start,
            world: Pcg64Mcg::seed_from_u64(seed),
            rng: Pcg64Mcg::seed_from_u64(!seed),
            hosts: (0..hosts).map(new_host).collect(),
            machines: BTreeMap::new(),
            messages: Vec::new(),
            joins: Vec::new(),
            joined: 0,
            calls: 0,
            counts: Counts::default(),
        };
        (0..ENGINES).for_each(|_| replay.join(start));
        replay
    }

    fn join(&mut self, now: Instant) {
        self.joined += 1;
        let name = format!("e{}", self.joined);
        for fleet in &mut self.hosts {
            fleet.upsert(entry(&name, "n-a", 1), now, &mut Vec::new());
        }
        let is_fast = self.joined.is_multiple_of(FAST_EVERY);
        let slowness = if is_fast { SLOWNESS.0 } else { SLOWNESS.1 };
        let engine = Engine::new(now);
        self.machines.insert(name, Machine { engine, slowness, slowed: false, leaves_at: None });
    }

    fn change_neighbours(&mut self) {
        for machine in self.machines.values_mut() {
            machine.slowed = self.world.random_bool(NEIGHBOURS.1);
            let transient = if machine.slowed { NEIGHBOURS.2 } else { 1.0 };
            machine.engine.slowness = transient * machine.slowness;
        }
    }

    fn pace_percent(&mut self, name: &str) -> Option<u32> {
        let machine = self.machines.get(name)?;
        let transient = if machine.slowed { NEIGHBOURS.2 } else { 1.0 };
        let slowness = match self.stated {
            Stated::Nothing => return None,
            Stated::Transient => transient,
            Stated::All => transient * machine.slowness,
        };
        let noise = self.rng.random_range(0.85..1.15);
        Some((slowness * noise * 100.0) as u32)
    }

    fn send(&mut self, at: Instant, from: Option<usize>, name: &str, message: Message) {
        self.messages.push((at, from, name.to_owned(), message));
    }

    fn poll(&mut self, now: Instant) {
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            let report = self.machines[&name].engine.report();
            self.send(now + REPORTS.1, None, &name, Message::Report(report, now));
            if self.stated != Stated::Nothing {
                self.ask_and_share(&name, now);
            }
        }
    }

    /// Lets the poller of an engine ask for its speed if it does not know it well, and share what it
    /// knows.
    fn ask_and_share(&mut self, name: &str, now: Instant) {
        let poller = name.bytes().map(usize::from).sum::<usize>() % self.hosts.len();
        let percent = self.pace_percent(name).unwrap();
        let fleet = &mut self.hosts[poller];
        let ix = fleet.find(&name.parse().unwrap()).unwrap();
        let speed = &mut fleet.get_mut(ix).unwrap().speed;
        if speed.wants_probe(now) {
            speed.record_probe(now);
            fleet.record_stated_pace(ix, percent, now);
        }
        let known = Message::Speed(known(&fleet.get(ix).unwrap().speed, now));
        self.send(now + PEER_DELAY, Some(poller), name, known);
    }

    fn deliver(&mut self, now: Instant) {
        let due: Vec<_> = self.messages.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, from, name, message) in due {
            let name = name.parse().unwrap();
            for (host, fleet) in self.hosts.iter_mut().enumerate() {
                let Some(ix) = fleet.find(&name).filter(|_| from != Some(host)) else { continue };
                match &message {
                    Message::Report(report, as_of) => {
                        fleet.record_report(ix, *report, *as_of);
                    }
                    Message::Speed(known) => fleet.record_peer_slowness(ix, known, now),
                    Message::Placement(kv_tokens, prefill) => {
                        let endpoint = fleet.get_mut(ix).unwrap();
                        endpoint.load.record_peer_placement(*kv_tokens, *prefill, now);
                    }
                }
            }
        }
    }

    fn reclaim(&mut self, now: Instant) {
        let staying = self.machines.iter().filter(|(_, machine)| machine.leaves_at.is_none());
        let names: Vec<String> = staying.map(|(name, _)| name.clone()).collect();
        for ix in sample(&mut self.world, names.len(), RECLAIM.2) {
            let name = &names[ix];
            self.machines.get_mut(name).unwrap().leaves_at = Some(now + RECLAIM.1);
            let draining = EndpointEntry { draining: true, ..entry(name, "n-a", 1) };
            for fleet in &mut self.hosts {
                fleet.upsert(draining.clone(), now, &mut Vec::new());
                let ix = fleet.find(&name.parse().unwrap()).unwrap();
                fleet.get_mut(ix).unwrap().shutdown_at = Some(now + RECLAIM.1);
            }
            self.joins.push(now + REPLACED_AFTER);
        }
    }

    /// Migrates the generations of draining engines, one after the other, and removes the engines at
    /// the end of the notice.
    fn leave(&mut self, now: Instant) {
        let leaving = self.machines.iter().filter(|(_, m)| m.leaves_at.is_some());
        let names: Vec<String> = leaving.map(|(name, _)| name.clone()).collect();
        for name in names {
            let leaves_at = self.machines[&name].leaves_at.unwrap();
            let since = (now + RECLAIM.1 - leaves_at).as_millis();
            if since.is_multiple_of(COPY.as_millis()) {
                self.migrate_one(&name, now);
            }
            if now >= leaves_at {
                let machine = self.machines.remove(&name).unwrap();
                for fleet in &mut self.hosts {
                    fleet.remove(&name.parse().unwrap(), now, &mut Vec::new());
                }
                self.counts.lost += machine.engine.sequences.len() as u32;
            }
        }
    }

    /// Migrates the smallest generation of an engine that is to migrate.
    fn migrate_one(&mut self, from: &str, now: Instant) {
        let sequences = &mut self.machines.get_mut(from).unwrap().engine.sequences;
        sequences.sort_by_key(Sequence::kv_tokens);
        for position in 0..sequences.len() {
            let s = self.machines[from].engine.sequences[position].clone();
            let fleet = &mut self.hosts[s.host];
            let ix = fleet.find(&from.parse().unwrap()).unwrap();
            let run = fleet.run_mut(ix, s.run).unwrap().clone();
            let reclaimed =
                ReclaimedRun { run: &run, tried: &[], residency: &Residency::UNRESTRICTED };
            let decision = reclaim::decide(fleet, &engine(), ix, &reclaimed, now);
            let ReclaimDecision::Migrate { to, .. } = decision else { continue };
            if s.first_event_at.is_none() {
                continue;
            }
            let name = fleet.get(to).unwrap().entry.name.to_string();
            let destination = &mut self.machines.get_mut(&name).unwrap().engine;
            if destination.used() + s.kv_tokens() > engine().kv_capacity.0 {
                fleet.get_mut(to).unwrap().load.record_refused_copy(now);
                continue;
            }
            fleet.end_run(ix, s.run);
            let (kv_tokens, expected) = (s.kv_tokens(), run.expected_remaining());
            let work = RunWork::Generation { kv_tokens, prefill_tokens: 0, expected, generated: 0 };
            let run = fleet.start_run(to, &run.call, work, now);
            destination.sequences.push(Sequence { run, ..s });
            self.machines.get_mut(from).unwrap().engine.sequences.remove(position);
            let announced = Message::Placement(kv_tokens, 0);
            self.send(now + PEER_DELAY, Some(s.host), &name, announced);
            return;
        }
    }

    /// Requests admission. Returns true if the generation continues to wait.
    fn keeps_waiting(&mut self, waiting: &Waiting, now: Instant) -> bool {
        let Waiting { host, workload, tokens, arrived } = *waiting;
        let demand = TokenDemand {
            kv_tokens: workload.prompt,
            prefill_tokens: workload.prompt,
            expected: workload.tokens,
        };
        let (service, spec) = (service(), engine());
        let fleet = &mut self.hosts[host];
        let pool = Pool { fleet, service: &service, spec: &spec };
        let candidates = Candidates::default();
        let arrival = (arrived, workload.due);
        match admission::admit(&pool, &demand, &candidates, arrival, now, &mut self.rng) {
            Admission::Wait => return true,
            Admission::Refuse { .. } => self.counts.refused += 1,
            Admission::Start(choice) => {
                let name = fleet.get(choice.endpoint).unwrap().entry.name.to_string();
                self.calls += 1;
                let work = common::work(workload.prompt, workload.tokens);
                let run = fleet.start_run(choice.endpoint, &call(self.calls), work, now);
                let announced = Message::Placement(workload.prompt, workload.prompt);
                self.send(now + PEER_DELAY, Some(host), &name, announced);
                if let Some(percent) = self.pace_percent(&name) {
                    self.hosts[host].record_stated_pace(choice.endpoint, percent, now);
                }
                let machine = self.machines.get_mut(&name).unwrap();
                machine.engine.sequences.push(Sequence::new(host, run, workload, tokens, arrived));
            }
        }
        false
    }

    fn run_engines(&mut self, now: Instant) {
        let mut announced = Vec::new();
        for (name, machine) in &mut self.machines {
            let endpoint = name.parse().unwrap();
            for s in machine.engine.run_until(now) {
                let fleet = &mut self.hosts[s.host];
                let ix = fleet.find(&endpoint).unwrap();
                fleet.end_run(ix, s.run);
                self.counts.record(&s);
            }
            for s in &mut machine.engine.sequences {
                let fleet = &mut self.hosts[s.host];
                let ix = fleet.find(&endpoint).unwrap();
                fleet.record_progress(ix, s.run, s.generated);
                observe(fleet, ix, s, now);
                let speed = &mut fleet.get_mut(ix).unwrap().speed;
                if self.stated != Stated::Nothing && speed.begin_announcement() {
                    let known = Message::Speed(known(speed, now));
                    announced.push((now + PEER_DELAY, Some(s.host), name.clone(), known));
                }
            }
        }
        self.messages.extend(announced);
    }

    fn arrive(&mut self, waiting: &mut Vec<Waiting>, now: Instant) {
        let at = (now - self.start).as_secs_f64() % BURST.0.as_secs_f64();
        let burst = if at < BURST.1.as_secs_f64() { BURST.2.0 } else { BURST.2.1 };
        for (workload, factor) in [(LONG, burst), (SHORT, 1.0)] {
            if self.world.random_bool(workload.rate * factor * STEP.as_secs_f64()) {
                let host = self.world.random_range(0..self.hosts.len());
                // Output lengths vary around the hint.
                let factor = 10_f64.powf(self.world.random_range(-0.2..0.2));
                let tokens = (f64::from(workload.tokens) * factor) as u32;
                waiting.push(Waiting { host, workload, tokens, arrived: now });
            }
        }
    }

    fn run(mut self) -> Counts {
        let mut now = self.start;
        let mut waiting: Vec<Waiting> = Vec::new();
        let [mut next_reclaim, mut next_report, mut next_neighbours] = [now; 3];
        next_reclaim += RECLAIM.0;
        while now < self.start + LENGTH {
            now += STEP;
            if now >= next_neighbours {
                next_neighbours += NEIGHBOURS.0;
                self.change_neighbours();
            }
            if now >= next_reclaim {
                next_reclaim += RECLAIM.0;
                self.reclaim(now);
            }
            let joins = self.joins.extract_if(.., |at| *at <= now).count();
            (0..joins).for_each(|_| self.join(now));
            if now >= next_report {
                next_report += REPORTS.0;
                self.poll(now);
            }
            self.deliver(now);
            self.arrive(&mut waiting, now);
            waiting.retain(|waiting| self.keeps_waiting(waiting, now));
            self.run_engines(now);
            self.leave(now);
        }
        self.counts
    }
}

fn known(speed: &SpeedEstimate, now: Instant) -> PeerSlowness {
    let (stated, observed) = (speed.stated(), speed.observed());
    PeerSlowness { stated, observed, latest: speed.latest_figure(), stated_at: now }
}

/// Records the time between the events of a stream as its host observes it.
fn observe(fleet: &mut Fleet, ix: EndpointIx, s: &mut Sequence, now: Instant) {
    let Some(last) = s.last_event_at else { return };
    let prefills = fleet.get(ix).unwrap().load.prefills(now);
    let events = s.generated / engine().tokens_per_event;
    let (began_at, began_events, began_prefills) =
        *s.window.get_or_insert((last, events, prefills));
    if last < began_at + OBSERVED {
        return;
    }
    if let Some(prefills) = prefills.filter(|_| prefills == began_prefills) {
        let gap = (last - began_at) / (events - began_events).max(1);
        fleet.record_gap(ix, gap, engine().tokens_per_event, prefills, now);
    }
    s.window = Some((last, events, prefills));
}

impl Counts {
    fn record(&mut self, s: &Sequence) {
        let started = s.first_event_at.is_some_and(|at| at <= s.arrived + s.workload.due);
        let in_time = started && s.longest_gap <= GAP_TARGET;
        self.preempted += u32::from(s.preempted);
        let count = match (s.workload == LONG, in_time) {
            (true, true) => &mut self.long_in_time,
            (true, false) => &mut self.long_late,
            (false, true) => &mut self.short_in_time,
            (false, false) => &mut self.short_late,
        };
        *count += 1;
    }
}

impl Counts {
    fn late_share(&self) -> f64 {
        f64::from(self.long_late) / f64::from(self.long_in_time + self.long_late)
    }
}

/// Placements that ignore speed put long generations on slow machines, where a prefill makes pauses
/// longer than the target as soon as neighbours slow the machine. With many hosts, each of which sees
/// few of the streams, and late reports, all hosts could also choose the same fast machine at once, so
/// that its memory overflows.
#[test]
fn fewer_streams_are_late_on_machines_of_uneven_speed() {
    for hosts in [1, 8, 64] {
        let before = Replay::new(Stated::Nothing, hosts, 1).run();
        assert!(before.late_share() > 0.3, "{hosts} hosts: the load is too easy: {before:?}");
        for (stated, factor) in [(Stated::Transient, 0.85), (Stated::All, 0.7)] {
            let counts = Replay::new(stated, hosts, 1).run();
            let (late, value) = (counts.late_share(), counts.value());
            let case = format!("{hosts} hosts, {stated:?}: {value:.3}, {late:.3}, {counts:?}");
            println!("{case}");
            assert!(late < factor * before.late_share(), "{case}, before {before:?}");
            assert!(value > before.value(), "{case}, before {before:?}");
        }
    }
}
