//! Simulates the peak load of the larger current deployments in virtual time: long and short
//! generations on the engines of one region while a sixth of them is replaced every few seconds.

#[expect(dead_code, reason = "the other tests use the rest")]
mod common;
#[path = "common/engine_model.rs"]
mod engine_model;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use camphorloft_dispatch::admission;
use camphorloft_dispatch::prelude::*;
use common::{call, engine, entry, service};
use engine_model::{Engine, STEP, Sequence, Workload};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Duration of the simulation.
const LENGTH: Duration = Duration::from_secs(60);
/// Engines of one region in current deployments.
const ENGINES: usize = 15;
/// Arrivals of a region, in generations per second: a third of all arrivals at the daily peak, plus
/// a tenth.
const ARRIVALS: [Workload; 2] = [
    Workload { rate: 10.3, prompt: 3_000, tokens: 600, due: Duration::from_millis(1_800) },
    Workload { rate: 11.5, prompt: 2_200, tokens: 10, due: Duration::from_millis(1_500) },
];
/// Interval between reclaims, and the number of engines reclaimed each time.
const RECLAIM: (Duration, usize) = (Duration::from_millis(3_300), 3);
/// Time from a reclaim until replacement engines join.
const REPLACED_AFTER: Duration = Duration::from_secs(4);
/// Interval between reports, and their age on arrival.
const REPORTS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(400));
/// Required fraction of first events that are on time.
const ON_TIME: f64 = 0.95;

/// A generation waiting at the host.
struct Waiting {
    workload: Workload,
    tokens: u32,
    arrived: Instant,
}

#[derive(Default)]
struct Simulation {
    engines: BTreeMap<String, Engine>,
    /// When replacements of the reclaimed engines join.
    reclaimed: Vec<Instant>,
    /// Reports in transit: arrival time, time at which they were valid, engine.
    reports: Vec<(Instant, Instant, String, LoadReport)>,
    on_time: u32,
    late: u32,
    refused: u32,
    started: u32,
    calls: usize,
}

impl Simulation {
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
            self.reports.push((now + REPORTS.1, now, name.clone(), engine.report()));
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

    /// Requests admission. Returns true if the generation continues to wait.
    fn keeps_waiting(
        &mut self,
        fleet: &mut Fleet,
        waiting: &Waiting,
        now: Instant,
        rng: &mut Pcg64Mcg,
    ) -> bool {
        let workload = waiting.workload;
        let demand = TokenDemand {
            kv_tokens: workload.prompt,
            prefill_tokens: workload.prompt,
            expected: workload.tokens,
        };
        let (service, spec) = (service(), engine());
        let pool = Pool { fleet, service: &service, spec: &spec };
        match admission::admit(
            &pool,
            &demand,
            &Candidates::default(),
            (waiting.arrived, workload.due),
            now,
            rng,
        ) {
            Admission::Wait => return true,
            Admission::Refuse { .. } => self.refused += 1,
            Admission::Start(choice) => {
                let name = fleet.get(choice.endpoint).unwrap().entry.name.to_string();
                let work = common::work(workload.prompt, workload.tokens);
                self.calls += 1;
                let run = fleet.start_run(choice.endpoint, &call(self.calls), work, now);
                self.engines.get_mut(&name).unwrap().sequences.push(Sequence::new(
                    run,
                    workload,
                    waiting.arrived,
                    waiting.tokens,
                ));
            }
        }
        false
    }

    fn step(&mut self, fleet: &mut Fleet, now: Instant) {
        let (mut on_time, mut late) = (0, 0);
        for (name, engine) in &mut self.engines {
            engine.step(|s| match now - s.arrived <= s.workload.due {
                true => on_time += 1,
                false => late += 1,
            });
            let ix = fleet.find(&name.parse().unwrap()).unwrap();
            engine.sequences.retain(|s| {
                fleet.record_progress(ix, s.run, s.generated as u32);
                if s.is_complete() {
                    fleet.end_run(ix, s.run);
                }
                !s.is_complete()
            });
        }
        self.on_time += on_time;
        self.late += late;
    }
}

/// Simulates the arrivals of one seed.
fn simulate(seed: u64) -> Simulation {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let start = Instant::now();
    let mut fleet = Fleet::new(common::locality("n-a"));
    let mut simulation = Simulation::default();
    (0..ENGINES).for_each(|_| simulation.join(&mut fleet, start));
    let mut waiting: Vec<Waiting> = Vec::new();
    let (mut next_reclaim, mut next_report) = (start + RECLAIM.0, start);
    let mut now = start;
    while now < start + LENGTH {
        now += STEP;
        if now >= next_reclaim {
            next_reclaim += RECLAIM.0;
            simulation.reclaim(&mut fleet, now, &mut rng);
        }
        let replaced = simulation.reclaimed.iter().filter(|at| **at <= now).count();
        simulation.reclaimed.retain(|at| *at > now);
        (0..replaced).for_each(|_| simulation.join(&mut fleet, now));
        if now >= next_report {
            next_report += REPORTS.0;
            simulation.report_all(now);
        }
        simulation.deliver_reports(&mut fleet, now);
        for workload in ARRIVALS {
            if rng.random_bool(workload.rate * STEP.as_secs_f64()) {
                // Actual output lengths vary by an order of magnitude around the hint.
                let tokens = f64::from(workload.tokens) * 10_f64.powf(rng.random_range(-0.5..0.5));
                waiting.push(Waiting { workload, tokens: tokens as u32, arrived: now });
            }
        }
        waiting.retain(|waiting| simulation.keeps_waiting(&mut fleet, waiting, now, &mut rng));
        simulation.step(&mut fleet, now);
    }
    simulation
}

/// Few engines have capacity while prompts arrive at over half of the combined prefill speed.
#[test]
fn first_events_are_on_time_while_engines_are_replaced() {
    let simulations = [1, 2, 3].map(simulate);
    let sum = |count: fn(&Simulation) -> u32| simulations.iter().map(count).sum::<u32>();
    let (on_time, late, refused) = (sum(|s| s.on_time), sum(|s| s.late), sum(|s| s.refused));
    let share = f64::from(on_time) / f64::from(on_time + late + refused);
    assert!(share >= ON_TIME, "{share:.3}: {on_time} on time, {late} late, {refused} refused");
}
