//! Replays many hosts that place on the same engines, and endpoints that fail in the middle of it.

mod common;

use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_dispatch::{admission, generation, plain};
use common::{call, engine, entry, find, fleet, service, work};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const DEMAND: TokenDemand = TokenDemand { kv_tokens: 3_000, prefill_tokens: 3_000, expected: 800 };
/// Time in which the first event of a long generation is due today.
const DUE: Duration = Duration::from_millis(1_800);

fn rng() -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(20_261_204)
}

/// Prompts arrive faster than reports: each placement that is heard counts at once, so that no
/// engine gets two more prompts than another.
#[test]
fn placements_that_are_heard_spread_prompts_evenly() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a", "n-a", "n-b", "n-b"], now);
    let mut rng = rng();
    let mut counts = [0_i32; 4];
    for ix in 0..12 {
        let (service, spec) = (service(), engine());
        let pool = Pool { fleet: &fleet, service: &service, spec: &spec };
        let choice = generation::choose(&pool, &DEMAND, &[], DUE, now, &mut rng).unwrap();
        counts[choice.endpoint.as_u32() as usize] += 1;
        if ix % 3 == 0 {
            fleet.start_run(
                choice.endpoint,
                &call(ix),
                0,
                work(DEMAND.kv_tokens, DEMAND.expected),
                now,
            );
        } else {
            let endpoint = fleet.get_mut(choice.endpoint).unwrap();
            endpoint.load.record_peer_placement(DEMAND.kv_tokens, DEMAND.prefill_tokens, now);
        }
    }
    let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
    assert!(most - least <= 1, "prompts by engine: {counts:?}");
}

/// A report that is older than the placements does not make an engine look idle.
#[test]
fn placements_count_until_a_report_covers_them() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a", "n-a"], now);
    let busy = find(&fleet, "e0");
    for _ in 0..3 {
        fleet.get_mut(busy).unwrap().load.record_peer_placement(
            DEMAND.kv_tokens,
            DEMAND.prefill_tokens,
            now,
        );
    }
    let later = now + Duration::from_millis(300);
    let old = LoadReport::default();
    fleet.record_report(busy, old, now - Duration::from_millis(100));
    let load = fleet.get(busy).unwrap().load.engine(&[], later);
    assert_eq!(load.sequences, 3);
    assert!(load.used >= 3 * DEMAND.kv_tokens);
    fleet.record_report(busy, old, later);
    assert_eq!(fleet.get(busy).unwrap().load.engine(&[], later).sequences, 0);
}

/// Engines join all the time while others are reclaimed: a host whose duty a new engine is not leaves
/// the first reports to the host whose duty it is.
#[test]
fn an_engine_that_just_joined_lacks_no_report() {
    let missed = Duration::from_millis(1_900);
    let now = Instant::now();
    let mut fleet = fleet(&["n-a"], now);
    let ix = find(&fleet, "e0");
    let lacks = |fleet: &Fleet, at: Instant| fleet.get(ix).unwrap().lacks_report(missed, at);
    assert!(!lacks(&fleet, now));
    assert!(lacks(&fleet, now + missed * 2));
    fleet.record_report(ix, LoadReport::default(), now + missed);
    assert!(!lacks(&fleet, now + missed * 2));
    assert!(lacks(&fleet, now + missed * 3));
}

/// In a burst with engines gone, a generation waits for room, starts when there is some, and is
/// refused with a time to come back when its first event can no longer be on time.
#[test]
fn a_burst_waits_then_is_refused_with_a_time() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a"], now);
    let only = find(&fleet, "e0");
    for ix in 0..12 {
        fleet.start_run(only, &call(ix), 0, work(DEMAND.kv_tokens, DEMAND.expected), now);
    }
    let objective = Duration::from_millis(1_800);
    let mut rng = rng();
    let mut admit = |fleet: &Fleet, now: Instant, arrived_at: Instant| {
        let begun = (arrived_at, objective);
        let (service, spec) = (service(), engine());
        let pool = Pool { fleet, service: &service, spec: &spec };
        admission::admit(&pool, &DEMAND, &[], begun, now, &mut rng)
    };
    assert_eq!(admit(&fleet, now, now), Admission::Wait);
    let late = now + objective;
    match admit(&fleet, late, now) {
        Admission::Refuse { reason: RefuseReason::NoCapacity, retry_after } => {
            assert!(retry_after > Duration::ZERO);
        }
        other => panic!("{other:?}"),
    }
    let runs: Vec<RunId> = fleet.get(only).unwrap().runs.iter().map(|run| run.id).collect();
    for run in &runs[..8] {
        fleet.end_run(only, *run);
    }
    assert!(matches!(admit(&fleet, now, now), Admission::Start(_)));
}

/// An endpoint that fails nearly half of its calls while its probe is good gets few of them.
#[test]
fn a_grey_endpoint_is_avoided_by_its_answers() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a", "n-b", "n-b"], now);
    let grey = find(&fleet, "e0");
    let mut rng = rng();
    let mut to_grey = 0;
    for ix in 0..200_u32 {
        let at = now + Duration::from_millis(u64::from(ix) * 20);
        let choice = plain::choose(&fleet, &service(), &[], at, &mut rng).unwrap();
        let is_grey = choice.endpoint == grey;
        to_grey += u32::from(is_grey);
        let good = !is_grey || ix % 9 >= 4;
        fleet.get_mut(choice.endpoint).unwrap().health.record_answer(good, at);
    }
    assert!(to_grey < 200 / 4, "{to_grey} of 200 calls");
}

/// An endpoint that recovered is tried again without any probe.
#[test]
fn a_recovered_endpoint_is_tried_again() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a", "n-b"], now);
    let ix = find(&fleet, "e0");
    for _ in 0..5 {
        fleet.get_mut(ix).unwrap().health.record_unreachable(now);
    }
    let mut rng = rng();
    let other = plain::choose(&fleet, &service(), &[], now, &mut rng).unwrap();
    assert_ne!(other.endpoint, ix);
    let later = now + Duration::from_secs(30);
    // Both cost about the same by now, so that the random part of the cost decides.
    let tried = (0..20)
        .any(|_| plain::choose(&fleet, &service(), &[], later, &mut rng).unwrap().endpoint == ix);
    assert!(tried);
}

/// An index that a run holds never names another endpoint.
#[test]
fn an_index_is_not_reused_while_a_run_holds_it() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a"], now);
    let ix = find(&fleet, "e0");
    let run = fleet.start_run(ix, &call(0), 0, RunWork::Plain, now);
    let mut changes = Vec::new();
    // The same name with another start is another process.
    fleet.upsert(entry("e0", "n-a", 2), now, &mut changes);
    let restarted = find(&fleet, "e0");
    assert_ne!(restarted, ix);
    assert_eq!(changes, [FleetChange::Removed(ix), FleetChange::Joined(restarted)]);
    let later = now + Duration::from_secs(60);
    fleet.purge_removed(Duration::from_secs(10), later);
    assert!(fleet.get(ix).is_some());
    fleet.end_run(ix, run);
    fleet.purge_removed(Duration::from_secs(10), later);
    assert!(fleet.get(ix).is_none());
}

/// Requests that broke off just before a crash are suspects; those on an engine that was known to
/// leave are not.
#[test]
fn only_unannounced_breaks_are_suspects() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a", "n-a"], now);
    let (crashed, left) = (find(&fleet, "e0"), find(&fleet, "e1"));
    fleet.get_mut(crashed).unwrap().record_broken_request(7, now);
    assert_eq!(fleet.get_mut(crashed).unwrap().take_crash_suspects(now), [7]);
    fleet.upsert(EndpointEntry { draining: true, ..entry("e1", "n-a", 1) }, now, &mut Vec::new());
    fleet.get_mut(left).unwrap().record_broken_request(8, now);
    assert!(fleet.get_mut(left).unwrap().take_crash_suspects(now).is_empty());
}
