//! Replays engines that are reclaimed at short notice while they run several long generations.

mod common;

use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_dispatch::reclaim;
use camphorloft_types::prelude::*;
use common::{call, engine, entry, find, fleet, work};
use proptest::prelude::*;

/// Runs generations on the first endpoint and lets it leave. Returns the runs.
fn draining(fleet: &mut Fleet, kv_tokens: &[u32], now: Instant) -> Vec<Run> {
    let from = find(fleet, "e0");
    for (ix, kv_tokens) in kv_tokens.iter().enumerate() {
        fleet.start_run(from, &call(ix), ix as u64, work(*kv_tokens, 2_000), now);
    }
    let draining = EndpointEntry { draining: true, ..entry("e0", "n-a", 1) };
    fleet.upsert(draining, now, &mut Vec::new());
    fleet.get(from).unwrap().runs.clone()
}

/// Decides and plans the moves of all runs, in their turns. Returns the plans.
fn plan_all(fleet: &mut Fleet, runs: &[Run], now: Instant) -> Vec<PlannedMigration> {
    let from = find(fleet, "e0");
    let mut runs: Vec<&Run> = runs.iter().collect();
    runs.sort_by_key(|run| reclaim::start_round(run));
    let mut plans = Vec::new();
    for run in runs {
        if let ReclaimDecision::Migrate { to, duration } =
            reclaim::decide(fleet, &engine(), from, run, &[], now)
        {
            plans.push(fleet.plan_migration(run.id.0, (from, to), run.kv_tokens(), duration, now));
        }
    }
    plans
}

#[test]
fn moves_fit_into_the_notice_and_do_not_overlap() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a", "n-a", "n-a", "n-b", "s-a"], now);
    let runs = draining(&mut fleet, &[4_200, 3_100, 3_600, 2_900, 3_300], now);
    let plans = plan_all(&mut fleet, &runs, now);
    assert_eq!(plans.len(), 5, "five copies of under 0.24 s fit into 1.5 s");
    let shutdown_at = reclaim::shutdown_at(fleet.get(find(&fleet, "e0")).unwrap(), now);
    for (ix, plan) in plans.iter().enumerate() {
        assert!(plan.end < shutdown_at);
        for other in &plans[ix + 1..] {
            assert!(other.start >= plan.end, "copies of one engine queue on its link");
        }
    }
    let remote = find(&fleet, "e4");
    assert!(plans.iter().all(|plan| plan.to != remote), "another region is too far");
}

#[test]
fn smaller_generations_go_first_when_not_all_fit() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a", "n-a", "n-a", "n-a"], now);
    let kv_tokens = [6_500, 6_000, 5_500, 2_500, 2_400, 2_300];
    let runs = draining(&mut fleet, &kv_tokens, now);
    let plans = plan_all(&mut fleet, &runs, now);
    let moved: Vec<u64> = plans.iter().map(|plan| plan.key).collect();
    for small in &runs[3..] {
        assert!(moved.contains(&small.id.0), "{small:?} was not moved");
    }
    assert!(plans.len() < kv_tokens.len(), "not all fit");
}

#[test]
fn full_engines_are_no_destination() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a", "n-a"], now);
    let to = find(&fleet, "e1");
    for ix in 0..8 {
        fleet.start_run(to, &call(100 + ix), 0, work(3_200, 500), now);
    }
    let runs = draining(&mut fleet, &[3_000], now);
    let decision = reclaim::decide(&fleet, &engine(), find(&fleet, "e0"), &runs[0], &[], now);
    let reasons = NoDestination { full: 1, ..NoDestination::default() };
    assert_eq!(decision, ReclaimDecision::NoDestination(reasons));
}

#[test]
fn a_generation_that_ends_in_time_is_left_alone() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a", "n-a"], now);
    let from = find(&fleet, "e0");
    fleet.start_run(from, &call(0), 0, work(3_000, 60), now);
    fleet.upsert(EndpointEntry { draining: true, ..entry("e0", "n-a", 1) }, now, &mut Vec::new());
    let run = fleet.get(from).unwrap().runs[0].clone();
    assert_eq!(reclaim::decide(&fleet, &engine(), from, &run, &[], now), ReclaimDecision::Finish);
}

/// On an engine that also reads prompts a token takes up to 15 ms.
#[test]
fn a_generation_that_ends_just_after_its_engine_is_moved() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a", "n-a"], now);
    let from = find(&fleet, "e0");
    fleet.start_run(from, &call(0), 0, work(3_000, 100), now);
    fleet.upsert(EndpointEntry { draining: true, ..entry("e0", "n-a", 1) }, now, &mut Vec::new());
    let run = fleet.get(from).unwrap().runs[0].clone();
    let decision = reclaim::decide(&fleet, &engine(), from, &run, &[], now);
    assert!(matches!(decision, ReclaimDecision::Migrate { .. }), "{decision:?}");
}

/// Sequences end while the report that shows them is on its way; the engine itself knows.
#[test]
fn an_engine_that_is_estimated_to_be_just_full_is_asked() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a", "n-a"], now);
    let to = find(&fleet, "e1");
    for ix in 0..7 {
        fleet.start_run(to, &call(100 + ix), 0, work(3_300, 500), now);
    }
    let runs = draining(&mut fleet, &[3_000], now);
    let decision = reclaim::decide(&fleet, &engine(), find(&fleet, "e0"), &runs[0], &[], now);
    assert!(
        matches!(decision, ReclaimDecision::Migrate { to: chosen, .. } if chosen == to),
        "{decision:?}"
    );
}

#[test]
fn an_engine_that_leaves_does_not_return_by_an_older_entry() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a"], now);
    let ix = find(&fleet, "e0");
    let report = LoadReport { draining: true, ..LoadReport::default() };
    assert!(fleet.record_report(ix, report, now));
    let mut changes = Vec::new();
    fleet.upsert(entry("e0", "n-a", 1), now, &mut changes);
    assert!(!fleet.get(ix).unwrap().is_usable(now));
    assert!(changes.is_empty());
}

#[test]
fn lists_agree_when_a_report_told_of_the_leaving_first() {
    let now = Instant::now();
    let (mut told_by_list, mut told_by_report) = (fleet(&["n-a"], now), fleet(&["n-a"], now));
    let ix = find(&told_by_report, "e0");
    told_by_report.record_report(ix, LoadReport { draining: true, ..LoadReport::default() }, now);
    let draining = EndpointEntry { draining: true, ..entry("e0", "n-a", 1) };
    told_by_list.upsert(draining, now, &mut Vec::new());
    assert_eq!(told_by_list.list_digest(), told_by_report.list_digest());
}

/// A move of the property below: when it is planned, its engines and its length, in milliseconds.
type Draw = (u64, u32, u32, u64);

proptest! {
    /// Hosts plan without knowing of the plans of the last few milliseconds. Once all plans are
    /// heard, no two copies use one link at the same time.
    #[test]
    fn crossing_plans_end_up_apart(
        draws in prop::collection::vec((0_u64..10, 0_u32..3, 3_u32..6, 50_u64..300), 2..8),
    ) {
        let start = Instant::now();
        let ms = Duration::from_millis;
        let mut settled = MigrationPlans::default();
        let mut pending: Vec<PlannedMigration> = Vec::new();
        for (key, (at, from, to, duration)) in draws.iter().enumerate() {
            let (from, to) = (EndpointIx::from_u32(*from), EndpointIx::from_u32(*to));
            // Each host plans as if it were alone.
            let own = MigrationPlans::default().plan(key as u64, from, to, ms(*duration), start + ms(*at));
            pending.push(own);
        }
        for plan in &pending {
            settled.record(*plan, start);
        }
        let draws: &[Draw] = &draws;
        for _ in 0..draws.len() * draws.len() {
            for plan in &mut pending {
                if let Some(later) = settled.postpone(plan, start) {
                    *plan = later;
                }
            }
        }
        for (ix, plan) in pending.iter().enumerate() {
            for other in &pending[ix + 1..] {
                let shares = [plan.from, plan.to]
                    .iter()
                    .any(|engine| *engine == other.from || *engine == other.to);
                let apart = plan.end <= other.start || other.end <= plan.start;
                prop_assert!(!shares || apart, "{plan:?} and {other:?}");
            }
        }
    }
}
