//! Placement from many hosts on the same engines, and endpoints that fail meanwhile.

mod common;

use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_dispatch::{admission, generation, plain};
use camphorloft_types::prelude::RequestFeature;
use common::{call, engine, entry, find, fleet, service, work};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const DEMAND: TokenDemand = TokenDemand { kv_tokens: 3_000, prefill_tokens: 3_000, expected: 800 };
/// Objective for the first event of a long generation in current deployments.
const DUE: Duration = Duration::from_millis(1_800);

fn rng() -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(20_261_204)
}

/// Prompts arrive faster than reports. Each placement received from a peer counts at once, so that
/// the numbers of prompts per engine differ by at most one.
#[test]
fn peer_placements_spread_prompts_evenly() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a", "n-a", "n-b", "n-b"], now);
    let mut rng = rng();
    let mut counts = [0_i32; 4];
    for ix in 0..12 {
        let (service, spec) = (service(), engine());
        let pool = Pool { fleet: &fleet, service: &service, spec: &spec };
        let choice =
            generation::choose(&pool, &DEMAND, &Candidates::default(), DUE, now, &mut rng).unwrap();
        counts[choice.endpoint.as_u32() as usize] += 1;
        if ix % 3 == 0 {
            fleet.start_run(
                choice.endpoint,
                &call(ix),
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

/// A report older than the placements does not make an engine appear idle.
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
    let load = fleet.get(busy).unwrap().load.estimate_engine_load(&[], later);
    assert_eq!(load.sequences, 3);
    assert!(load.used >= 3 * DEMAND.kv_tokens);
    fleet.record_report(busy, old, later);
    assert_eq!(fleet.get(busy).unwrap().load.estimate_engine_load(&[], later).sequences, 0);
}

/// Engines join continuously while others are reclaimed. A host that is not the assigned poller of
/// a new engine leaves the first reports to the host that is.
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

/// During a burst with few engines left, a generation waits for capacity and starts when there is
/// some. It is refused with a retry delay when its first event can no longer be on time.
#[test]
fn a_burst_waits_then_is_refused_with_a_retry_delay() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a"], now);
    let only = find(&fleet, "e0");
    for ix in 0..12 {
        fleet.start_run(only, &call(ix), work(DEMAND.kv_tokens, DEMAND.expected), now);
    }
    let objective = Duration::from_millis(1_800);
    let mut rng = rng();
    let mut admit = |fleet: &Fleet, now: Instant, arrived_at: Instant| {
        let arrival = (arrived_at, objective);
        let (service, spec) = (service(), engine());
        let pool = Pool { fleet, service: &service, spec: &spec };
        admission::admit(&pool, &DEMAND, &Candidates::default(), arrival, now, &mut rng)
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

/// An endpoint that fails nearly half of its calls while its health probe succeeds receives few of
/// them.
#[test]
fn a_partially_failing_endpoint_receives_few_calls() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a", "n-b", "n-b"], now);
    let failing = find(&fleet, "e0");
    let mut rng = rng();
    let mut to_failing = 0;
    for ix in 0..200_u32 {
        let at = now + Duration::from_millis(u64::from(ix) * 20);
        let choice =
            plain::choose(&fleet, &service(), &Candidates::default(), at, &mut rng).unwrap();
        let is_failing = choice.endpoint == failing;
        to_failing += u32::from(is_failing);
        let success = !is_failing || ix % 9 >= 4;
        fleet.get_mut(choice.endpoint).unwrap().health.record_answer(success, at);
    }
    assert!(to_failing < 200 / 4, "{to_failing} of 200 calls");
}

/// An endpoint that recovered receives calls again without any probe.
#[test]
fn a_recovered_endpoint_is_tried_again() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a", "n-b"], now);
    let ix = find(&fleet, "e0");
    for _ in 0..5 {
        fleet.get_mut(ix).unwrap().health.record_unreachable(now);
    }
    let mut rng = rng();
    let other = plain::choose(&fleet, &service(), &Candidates::default(), now, &mut rng).unwrap();
    assert_ne!(other.endpoint, ix);
    let later = now + Duration::from_secs(30);
    // Both cost about the same by now, so that the random part of the cost decides.
    let tried = (0..20).any(|_| {
        plain::choose(&fleet, &service(), &Candidates::default(), later, &mut rng).unwrap().endpoint
            == ix
    });
    assert!(tried);
}

/// An index in use by a run never refers to another endpoint.
#[test]
fn an_index_is_not_reused_while_a_run_holds_it() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a"], now);
    let ix = find(&fleet, "e0");
    let run = fleet.start_run(ix, &call(0), RunWork::Plain, now);
    let mut changes = Vec::new();
    // The same name with another start time is another process.
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

/// Requests that fail just before a crash are suspects; those on an engine known to be draining are
/// not.
#[test]
fn only_failures_on_ready_endpoints_are_suspects() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a", "n-a"], now);
    let (crashed, draining) = (find(&fleet, "e0"), find(&fleet, "e1"));
    fleet.get_mut(crashed).unwrap().record_broken_request(&Rc::from([RequestFeature(7)]), now);
    assert_eq!(fleet.get_mut(crashed).unwrap().take_crash_suspects(now), [RequestFeature(7)]);
    fleet.upsert(EndpointEntry { draining: true, ..entry("e1", "n-a", 1) }, now, &mut Vec::new());
    fleet.get_mut(draining).unwrap().record_broken_request(&Rc::from([RequestFeature(8)]), now);
    assert!(fleet.get_mut(draining).unwrap().take_crash_suspects(now).is_empty());
}

/// Counts that an endpoint reports are not checked when they arrive.
#[test]
fn load_report_with_large_counts_overflows() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a"], now);
    let ix = find(&fleet, "e0");
    let report = LoadReport {
        used_tokens: u32::MAX,
        running: u32::MAX,
        waiting: u32::MAX,
        next_tokens: u32::MAX,
        ..LoadReport::default()
    };
    fleet.record_report(ix, report, now);
    fleet.start_run(ix, &call(0), work(u32::MAX, u32::MAX), now);
    let (service, spec) = (service(), engine());
    let pool = Pool { fleet: &fleet, service: &service, spec: &spec };
    let demand = TokenDemand { kv_tokens: u32::MAX, prefill_tokens: u32::MAX, expected: u32::MAX };
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let candidates = Candidates::default();
    let _ = generation::choose(&pool, &demand, &candidates, DUE, now, &mut rng);
    let _ = admission::admit(&pool, &demand, &candidates, (now, DUE), now, &mut rng);
    let _ = plain::choose(&fleet, &service, &candidates, now, &mut rng);
}

fn report(running: u32, draining: bool) -> LoadReport {
    LoadReport { running, draining, ..LoadReport::default() }
}

/// Two hosts poll one engine while each takes the other for lost. Both send their reports to all hosts, where they arrive in any order: the later one counts, whoever sent it,
/// and no report takes draining back.
#[test]
fn older_report_of_a_second_poller_replaces_the_newer_one() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let mut fleet = fleet(&["n-a"], now);
    let ix = fleet.find(&"e0".parse().unwrap()).expect("an endpoint");
    fleet.record_report(ix, report(9, false), at(500));
    fleet.record_report(ix, report(1, false), at(400));
    let load = |fleet: &Fleet| {
        let endpoint = fleet.get(ix).expect("an endpoint");
        endpoint.load.estimate_engine_load(&endpoint.runs, at(600)).sequences
    };
    assert_eq!(load(&fleet), 9);
    assert!(fleet.record_report(ix, report(9, true), at(600)));
    assert!(!fleet.record_report(ix, report(9, true), at(600)), "the same report again");
    fleet.record_report(ix, report(0, false), at(700));
    assert!(fleet.get(ix).is_some_and(|endpoint| !endpoint.is_ready()));
}
