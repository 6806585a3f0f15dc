//! Replays the worst load of today's larger deployments in virtual time: long and short generations
//! on the engines of one region while a sixth of them is replaced every few seconds.

#[expect(dead_code, reason = "the other replays use the rest")]
mod common;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use camphorloft_dispatch::admission;
use camphorloft_dispatch::prelude::*;
use common::{call, engine, entry, service};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time between two steps of the replay.
const STEP: Duration = Duration::from_millis(20);
/// Length of the replay.
const LENGTH: Duration = Duration::from_secs(60);
/// Engines of one region today.
const ENGINES: usize = 15;
/// Arrivals of a region, in generations per second: a third of all at the peak of the day's wave, and
/// a tenth more.
const ARRIVALS: [Kind; 2] = [
    Kind { rate: 10.3, prompt: 3_000, tokens: 600, due: Duration::from_millis(1_800) },
    Kind { rate: 11.5, prompt: 2_200, tokens: 10, due: Duration::from_millis(1_500) },
];
/// Time between two reclaims, and the engines that each takes.
const RECLAIM: (Duration, usize) = (Duration::from_millis(3_300), 3);
/// Time from a reclaim until other engines take the place of those reclaimed.
const REPLACED_AFTER: Duration = Duration::from_secs(4);
/// Time between two reports, and their age when they arrive.
const REPORTS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(400));
/// Speed at which an engine reads prompts and generates for one sequence, in tokens per second.
const READ: f64 = 7_000.0;
const GENERATE: f64 = 95.0;
/// Part of the first events that are on time, as the users ask for it.
const ON_TIME: f64 = 0.95;

#[derive(Clone, Copy)]
struct Kind {
    rate: f64,
    prompt: u32,
    tokens: u32,
    due: Duration,
}

/// A generation that waits at the host.
struct Waiting {
    kind: Kind,
    tokens: u32,
    arrived: Instant,
}

/// A generation at an engine.
struct Sequence {
    run: RunId,
    kind: Kind,
    arrived: Instant,
    prefill_tokens: f64,
    made: f64,
    tokens: u32,
}

/// An engine that reads one prompt after the other and generates for all that are read.
#[derive(Default)]
struct Engine {
    sequences: Vec<Sequence>,
}

impl Engine {
    fn used(&self) -> u32 {
        let kv_tokens = |s: &Sequence| s.kind.prompt + s.made as u32;
        self.sequences.iter().map(kv_tokens).sum()
    }

    /// Goes on for a step. Calls `first` with the wait of each first event.
    fn step(&mut self, now: Instant, mut first: impl FnMut(Kind, Duration)) {
        let mut reads = READ * STEP.as_secs_f64();
        for s in &mut self.sequences {
            if s.prefill_tokens > 0.0 {
                let read = reads.min(s.prefill_tokens);
                s.prefill_tokens -= read;
                reads -= read;
                if s.prefill_tokens <= 0.0 {
                    first(s.kind, now - s.arrived);
                }
            } else {
                s.made += GENERATE * STEP.as_secs_f64();
            }
        }
    }
}

#[derive(Default)]
struct Replay {
    engines: BTreeMap<String, Engine>,
    /// When engines take the place of those that were reclaimed.
    reclaimed: Vec<Instant>,
    /// Reports on their way: when they arrive, when they were true, of which engine.
    reports: Vec<(Instant, Instant, String, LoadReport)>,
    on_time: u32,
    late: u32,
    refused: u32,
    started: u32,
    calls: usize,
}

impl Replay {
    fn join(&mut self, fleet: &mut Fleet, now: Instant) {
        self.started += 1;
        let name = format!("e{}", self.started);
        fleet.upsert(entry(&name, "n-a", 1), now, &mut Vec::new());
        self.engines.insert(name, Engine::default());
    }

    fn reclaim(&mut self, fleet: &mut Fleet, now: Instant, rng: &mut Pcg64Mcg) {
        for _ in 0..RECLAIM.1 {
            let at = rng.random_range(0..self.engines.len());
            let name = self.engines.keys().nth(at).unwrap().clone();
            self.engines.remove(&name);
            fleet.remove(&name.parse().unwrap(), now, &mut Vec::new());
            self.reclaimed.push(now + REPLACED_AFTER);
        }
    }

    fn report_all(&mut self, now: Instant) {
        for (name, engine) in &self.engines {
            let prefill_tokens = |s: &&Sequence| s.prefill_tokens >= f64::from(s.kind.prompt);
            let waiting = engine.sequences.iter().filter(prefill_tokens).count() as u32;
            let report = LoadReport {
                used_tokens: engine.used(),
                running: engine.sequences.len() as u32 - waiting,
                waiting,
                next_tokens: engine
                    .sequences
                    .iter()
                    .find(prefill_tokens)
                    .map_or(0, |s| s.kind.prompt),
                ..LoadReport::default()
            };
            self.reports.push((now + REPORTS.1, now, name.clone(), report));
        }
    }

    fn deliver_reports(&mut self, fleet: &mut Fleet, now: Instant) {
        self.reports.retain(|(at, as_of, name, report)| {
            if *at > now {
                return true;
            }
            if let Some(ix) = fleet.find(&name.parse().unwrap()) {
                fleet.record_report(ix, *report, *as_of);
            }
            false
        });
    }

    /// Asks for an engine. Returns true when the generation goes on waiting.
    fn is_kept_waiting(
        &mut self,
        fleet: &mut Fleet,
        waiting: &Waiting,
        now: Instant,
        rng: &mut Pcg64Mcg,
    ) -> bool {
        let kind = waiting.kind;
        let demand = TokenDemand {
            kv_tokens: kind.prompt,
            prefill_tokens: kind.prompt,
            expected: kind.tokens,
        };
        let (service, spec) = (service(), engine());
        let pool = Pool { fleet, service: &service, spec: &spec };
        match admission::admit(&pool, &demand, &[], (waiting.arrived, kind.due), now, rng) {
            Admission::Wait => return true,
            Admission::Refuse { .. } => self.refused += 1,
            Admission::Start(choice) => {
                let name = fleet.get(choice.endpoint).unwrap().entry.name.to_string();
                let work = common::work(kind.prompt, kind.tokens);
                self.calls += 1;
                let run = fleet.start_run(choice.endpoint, &call(self.calls), 0, work, now);
                self.engines.get_mut(&name).unwrap().sequences.push(Sequence {
                    run,
                    kind,
                    arrived: waiting.arrived,
                    prefill_tokens: f64::from(kind.prompt),
                    made: 0.0,
                    tokens: waiting.tokens,
                });
            }
        }
        false
    }

    fn step(&mut self, fleet: &mut Fleet, now: Instant) {
        let (mut on_time, mut late) = (0, 0);
        for (name, engine) in &mut self.engines {
            engine.step(now, |kind, wait| match wait <= kind.due {
                true => on_time += 1,
                false => late += 1,
            });
            let ix = fleet.find(&name.parse().unwrap()).unwrap();
            engine.sequences.retain(|s| {
                fleet.record_progress(ix, s.run, s.made as u32);
                let goes_on = s.made < f64::from(s.tokens);
                if !goes_on {
                    fleet.end_run(ix, s.run);
                }
                goes_on
            });
        }
        self.on_time += on_time;
        self.late += late;
    }
}

/// Plays the arrivals of one seed.
fn replay(seed: u64) -> Replay {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let start = Instant::now();
    let mut fleet = Fleet::new(common::locality("n-a"));
    let mut replay = Replay::default();
    (0..ENGINES).for_each(|_| replay.join(&mut fleet, start));
    let mut waiting: Vec<Waiting> = Vec::new();
    let (mut next_reclaim, mut next_report) = (start + RECLAIM.0, start);
    let mut now = start;
    while now < start + LENGTH {
        now += STEP;
        if now >= next_reclaim {
            next_reclaim += RECLAIM.0;
            replay.reclaim(&mut fleet, now, &mut rng);
        }
        let replaced = replay.reclaimed.iter().filter(|at| **at <= now).count();
        replay.reclaimed.retain(|at| *at > now);
        (0..replaced).for_each(|_| replay.join(&mut fleet, now));
        if now >= next_report {
            next_report += REPORTS.0;
            replay.report_all(now);
        }
        replay.deliver_reports(&mut fleet, now);
        for kind in ARRIVALS {
            if rng.random_bool(kind.rate * STEP.as_secs_f64()) {
                // Outputs differ by an order of magnitude around the hint.
                let tokens = f64::from(kind.tokens) * 10_f64.powf(rng.random_range(-0.5..0.5));
                waiting.push(Waiting { kind, tokens: tokens as u32, arrived: now });
            }
        }
        waiting.retain(|waiting| replay.is_kept_waiting(&mut fleet, waiting, now, &mut rng));
        replay.step(&mut fleet, now);
    }
    replay
}

/// Few engines have room while prompts arrive at over half of the speed at which all can be read.
#[test]
fn first_events_are_on_time_while_engines_are_replaced() {
    let replays = [1, 2, 3].map(replay);
    let sum = |count: fn(&Replay) -> u32| replays.iter().map(count).sum::<u32>();
    let (on_time, late, refused) = (sum(|r| r.on_time), sum(|r| r.late), sum(|r| r.refused));
    let share = f64::from(on_time) / f64::from(on_time + late + refused);
    assert!(share >= ON_TIME, "{share:.3}: {on_time} on time, {late} late, {refused} refused");
}
