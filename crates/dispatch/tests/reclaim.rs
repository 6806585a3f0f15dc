//! Engines that are reclaimed at short notice while they run several long generations.

mod common;

use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_dispatch::reclaim;
use camphorloft_serving::prelude::Residency;
use camphorloft_types::prelude::*;
use common::{call, engine, entry, find, fleet, work};
use proptest::prelude::*;

/// Starts generations on the first endpoint, then lists it as draining. Returns the runs.
fn drain_first(fleet: &mut Fleet, kv_tokens: &[u32], now: Instant) -> Vec<Run> {
    let from = find(fleet, "e0");
    for (ix, kv_tokens) in kv_tokens.iter().enumerate() {
        fleet.start_run(from, &call(ix), work(*kv_tokens, 2_000), now);
    }
    let draining = EndpointEntry { draining: true, ..entry("e0", "n-a", 1) };
    fleet.upsert(draining, now, &mut Vec::new());
    fleet.get(from).unwrap().runs.clone()
}

/// Decides about a run that may be processed in any region.
fn decide(fleet: &Fleet, from: EndpointIx, run: &Run, now: Instant) -> ReclaimDecision {
    let reclaimed = ReclaimedRun { run, tried: &[], residency: &Residency::UNRESTRICTED };
    reclaim::decide(fleet, &engine(), from, &reclaimed, now)
}

/// Decides and plans the migrations of all runs, round by round. Returns the plans.
fn plan_all(fleet: &mut Fleet, runs: &[Run], now: Instant) -> Vec<PlannedMigration> {
    let from = find(fleet, "e0");
    let mut runs: Vec<&Run> = runs.iter().collect();
    runs.sort_by_key(|run| reclaim::start_round(run));
    let mut plans = Vec::new();
    for run in runs {
        if let ReclaimDecision::Migrate { to, duration } = decide(fleet, from, run, now) {
            plans.push(fleet.plan_migration(run.id.0, (from, to), run.kv_tokens(), duration, now));
        }
    }
    plans
}

#[test]
fn migrations_fit_into_the_notice_and_do_not_overlap() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a", "n-a", "n-a", "n-b", "s-a"], now);
    let runs = drain_first(&mut fleet, &[4_200, 3_100, 3_600, 2_900, 3_300], now);
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
    assert!(plans.iter().all(|plan| plan.to != remote), "another region is not a destination");
}

#[test]
fn smaller_generations_migrate_first_when_not_all_fit() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a", "n-a", "n-a", "n-a"], now);
    let kv_tokens = [6_500, 6_000, 5_500, 2_500, 2_400, 2_300];
    let runs = drain_first(&mut fleet, &kv_tokens, now);
    let plans = plan_all(&mut fleet, &runs, now);
    let migrated: Vec<u64> = plans.iter().map(|plan| plan.key).collect();
    for small in &runs[3..] {
        assert!(migrated.contains(&small.id.0), "{small:?} was not migrated");
    }
    assert!(plans.len() < kv_tokens.len(), "not all fit");
}

#[test]
fn full_engines_are_not_destinations() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a", "n-a"], now);
    let to = find(&fleet, "e1");
    for ix in 0..8 {
        fleet.start_run(to, &call(100 + ix), work(3_200, 500), now);
    }
    let runs = drain_first(&mut fleet, &[3_000], now);
    let decision = decide(&fleet, find(&fleet, "e0"), &runs[0], now);
    let reasons = NoDestination { full: 1, ..NoDestination::default() };
    assert_eq!(decision, ReclaimDecision::NoDestination(reasons));
}

#[test]
fn a_generation_that_ends_in_time_is_not_migrated() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a", "n-a"], now);
    let from = find(&fleet, "e0");
    fleet.start_run(from, &call(0), work(3_000, 60), now);
    fleet.upsert(EndpointEntry { draining: true, ..entry("e0", "n-a", 1) }, now, &mut Vec::new());
    let run = fleet.get(from).unwrap().runs[0].clone();
    assert_eq!(decide(&fleet, from, &run, now), ReclaimDecision::Finish);
}

/// On an engine that also prefills prompts a token takes up to 15 ms, so a generation can end later
/// than its engine even if it would be in time at full speed.
#[test]
fn a_generation_that_ends_just_after_its_engine_is_migrated() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a", "n-a"], now);
    let from = find(&fleet, "e0");
    fleet.start_run(from, &call(0), work(3_000, 100), now);
    fleet.upsert(EndpointEntry { draining: true, ..entry("e0", "n-a", 1) }, now, &mut Vec::new());
    let run = fleet.get(from).unwrap().runs[0].clone();
    let decision = decide(&fleet, from, &run, now);
    assert!(matches!(decision, ReclaimDecision::Migrate { .. }), "{decision:?}");
}

/// Sequences may have ended since the report; an engine without capacity refuses the copy itself.
#[test]
fn an_engine_estimated_as_just_full_is_a_destination() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a", "n-a"], now);
    let to = find(&fleet, "e1");
    for ix in 0..7 {
        fleet.start_run(to, &call(100 + ix), work(3_300, 500), now);
    }
    let runs = drain_first(&mut fleet, &[3_000], now);
    let decision = decide(&fleet, find(&fleet, "e0"), &runs[0], now);
    assert!(
        matches!(decision, ReclaimDecision::Migrate { to: chosen, .. } if chosen == to),
        "{decision:?}"
    );
}

#[test]
fn an_older_entry_does_not_undo_draining() {
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

/// Guards against an endpoint that is used again because the announcement that it joined arrives after
/// the one that it left.
#[test]
fn endpoint_that_left_is_listed_again_by_a_late_announcement() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a"], now);
    let mut changes = Vec::new();
    fleet.remove(&"e0".parse().unwrap(), now, &mut changes);
    changes.clear();
    let later = now + Duration::from_secs(1);
    fleet.upsert_announced(entry("e0", "n-a", 1), later, &mut changes);
    assert!(changes.is_empty());
    assert!(fleet.find(&"e0".parse().unwrap()).is_none());
    // The registry itself lists an endpoint again that had missed heartbeats, and a new process is
    // another endpoint.
    fleet.upsert(entry("e0", "n-a", 1), later, &mut changes);
    assert_eq!(changes.len(), 1);
    fleet.remove(&"e0".parse().unwrap(), later, &mut changes);
    fleet.upsert_announced(entry("e0", "n-a", 2), later, &mut changes);
    assert!(fleet.find(&"e0".parse().unwrap()).is_some());
}

/// Guards against updates about an endpoint that are ignored because it was removed and listed again.
#[test]
fn endpoint_listed_again_is_not_found_after_its_first_slot_was_freed() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a"], now);
    let mut changes = Vec::new();
    fleet.remove(&"e0".parse().unwrap(), now, &mut changes);
    fleet.upsert(entry("e0", "n-a", 1), now, &mut changes);
    fleet.purge_removed(Duration::from_secs(10), now + Duration::from_secs(11));
    let digest = entry("e0", "n-a", 1).digest();
    assert_eq!(fleet.find_digest(digest), fleet.find(&"e0".parse().unwrap()));
}

#[test]
fn list_digests_agree_when_a_report_shows_draining_first() {
    let now = Instant::now();
    let (mut from_list, mut from_report) = (fleet(&["n-a"], now), fleet(&["n-a"], now));
    let ix = find(&from_report, "e0");
    from_report.record_report(ix, LoadReport { draining: true, ..LoadReport::default() }, now);
    let draining = EndpointEntry { draining: true, ..entry("e0", "n-a", 1) };
    from_list.upsert(draining, now, &mut Vec::new());
    assert_eq!(from_list.list_digest(), from_report.list_digest());
}

/// A migration of the property below: when it is planned, its two engines and its duration. Times
/// are in milliseconds.
type PlanParams = (u64, u32, u32, u64);

proptest! {
    /// Hosts plan without knowing the plans of the last few milliseconds. Once all plans are
    /// received, no two copies use one link at the same time.
    #[test]
    fn concurrent_plans_settle_without_overlap(
        params in prop::collection::vec((0_u64..10, 0_u32..3, 3_u32..6, 50_u64..300), 2..8),
    ) {
        let start = Instant::now();
        let ms = Duration::from_millis;
        let mut settled = MigrationPlans::default();
        let mut pending: Vec<PlannedMigration> = Vec::new();
        for (key, (at, from, to, duration)) in params.iter().enumerate() {
            let (from, to) = (EndpointIx::from_u32(*from), EndpointIx::from_u32(*to));
            // Each host plans without knowing the others' plans.
            let own = MigrationPlans::default().plan(key as u64, from, to, ms(*duration), start + ms(*at));
            pending.push(own);
        }
        for plan in &pending {
            settled.record(*plan, start);
        }
        let params: &[PlanParams] = &params;
        for _ in 0..params.len() * params.len() {
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
                let disjoint = plan.end <= other.start || other.end <= plan.start;
                prop_assert!(!shares || disjoint, "{plan:?} and {other:?}");
            }
        }
    }
}

/// What engines of two versions generate does not fit together.
#[test]
fn generation_migrates_to_an_engine_of_another_software_version() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a"], now);
    let other = EndpointEntry { software: Some("v2".parse().unwrap()), ..entry("e1", "n-a", 1) };
    fleet.upsert(other, now, &mut Vec::new());
    let runs = drain_first(&mut fleet, &[3_000], now);
    let from = find(&fleet, "e0");
    let decision = decide(&fleet, from, &runs[0], now);
    let reasons = NoDestination { other_version: 1, ..NoDestination::default() };
    assert_eq!(decision, ReclaimDecision::NoDestination(reasons));
    fleet.upsert(entry("e2", "n-a", 1), now, &mut Vec::new());
    let same = find(&fleet, "e2");
    let decision = decide(&fleet, from, &runs[0], now);
    assert!(matches!(decision, ReclaimDecision::Migrate { to, .. } if to == same));
}

#[test]
fn plans_of_a_distant_host_contain_its_round_trips() {
    // Without them the next migration begins before the final copy, which then waits behind its first copy
    // and lengthens the pause of the stream.
    let now = Instant::now();
    let duration = |zone: &str| {
        let mut fleet = fleet(&[zone, zone], now);
        let from = find(&fleet, "e0");
        fleet.start_run(from, &call(0), work(3_000, 2_000), now);
        fleet.mark_draining(from, now, &mut Vec::new());
        let source = fleet.get(from).unwrap();
        match decide(&fleet, from, &source.runs[0], now) {
            ReclaimDecision::Migrate { duration, .. } => (duration, source.connect_time()),
            other => panic!("no migration in {zone}: {other:?}"),
        }
    };
    let (near, near_round_trip) = duration("n-a");
    let (far, far_round_trip) = duration("s-a");
    assert!(far - near >= (far_round_trip - near_round_trip) * 2, "{near:?}, {far:?}");
}
