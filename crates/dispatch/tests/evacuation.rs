//! Zones that are evacuated while datagrams are lost, late, repeated and reordered, and while the registry
//! is restored.

mod common;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_dispatch::{generation, plain, reclaim};
use camphorloft_serving::prelude::Residency;
use camphorloft_types::prelude::*;
use common::{call, engine, entry, find, fleet, service, work};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

fn state(era: u64, number: u64, zones: &[&str]) -> Evacuations {
    Evacuations {
        revision: Revision { era: RegistryEra(era), number },
        zones: zones.iter().map(|zone| zone.parse().unwrap()).collect(),
    }
}

fn zones(fleet: &Fleet) -> Vec<String> {
    fleet.evacuations().zones().iter().map(ToString::to_string).collect()
}

/// Returns the endpoints that calls and generations are placed on.
fn placed(fleet: &Fleet, now: Instant) -> BTreeSet<EndpointIx> {
    let (mut rng, spec, name) = (StdRng::seed_from_u64(1), engine(), service());
    let pool = Pool { fleet, service: &name, spec: &spec };
    let demand = TokenDemand { kv_tokens: 900, prefill_tokens: 900, expected: 100 };
    let candidates = Candidates { max_delay: Duration::from_secs(1), ..Candidates::default() };
    let due = Duration::from_secs(4);
    let mut found = BTreeSet::new();
    for _ in 0..100 {
        let calls = plain::choose(fleet, &name, &candidates, now, &mut rng);
        let generations = generation::choose(&pool, &demand, &candidates, due, now, &mut rng);
        found.extend(calls.into_iter().chain(generations).map(|choice| choice.endpoint));
    }
    found
}

#[test]
fn requests_are_placed_in_an_evacuated_zone() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a", "n-b", "s-a"], now);
    let (near, other) = (find(&fleet, "e0"), find(&fleet, "e1"));
    assert!(placed(&fleet, now).contains(&near));
    assert!(fleet.set_evacuations(&state(0, 10, &["n-a"]), now));
    assert!(!placed(&fleet, now).contains(&near));
    assert!(placed(&fleet, now).contains(&other));
    // An endpoint that starts there meanwhile, and one that is listed again.
    let mut changes = Vec::new();
    fleet.upsert(entry("e9", "n-a", 1), now, &mut changes);
    fleet.upsert(entry("e0", "n-a", 1), now, &mut changes);
    assert!(!placed(&fleet, now).contains(&find(&fleet, "e9")));
    assert!(!placed(&fleet, now).contains(&near));
    assert!(fleet.set_evacuations(&state(0, 11, &[]), now));
    assert!(placed(&fleet, now).contains(&near), "usable again at once");
}

/// An engine of another zone drains; the nearest destination of its generation is in the evacuated zone.
#[test]
fn generation_migrates_into_an_evacuated_zone() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a", "n-a", "n-b"], now);
    let from = find(&fleet, "e0");
    fleet.start_run(from, &call(1), work(900, 4_000), now);
    fleet.mark_draining(from, now, &mut Vec::new());
    let decide = |fleet: &Fleet| {
        let run = &fleet.get(from).unwrap().runs[0];
        let reclaimed = ReclaimedRun { run, tried: &[], residency: &Residency::UNRESTRICTED };
        reclaim::decide(fleet, &engine(), from, &reclaimed, now)
    };
    let (same_zone, other_zone) = (find(&fleet, "e1"), find(&fleet, "e2"));
    assert!(matches!(decide(&fleet), ReclaimDecision::Migrate { to, .. } if to == same_zone));
    fleet.set_evacuations(&state(0, 10, &["n-a"]), now);
    assert!(matches!(decide(&fleet), ReclaimDecision::Migrate { to, .. } if to == other_zone));
}

#[test]
fn late_and_repeated_states_bring_an_evacuation_back() {
    let now = Instant::now();
    let history = [
        state(0, 10, &[]),
        state(0, 12, &["n-a"]),
        state(0, 15, &["n-a", "s-a"]),
        state(0, 19, &["s-a"]),
        state(0, 22, &["n-b"]),
    ];
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut arriving: Vec<&Evacuations> = history.iter().chain(&history[..4]).collect();
        arriving.shuffle(&mut rng);
        // Any of them may be lost but the last, which is sent again and again.
        arriving.truncate(5);
        arriving.insert(seed as usize % 5, &history[4]);
        let mut fleet = fleet(&["n-a", "n-b", "s-a"], now);
        let mut greatest = 0;
        for new in arriving {
            let changed = fleet.set_evacuations(new, now);
            assert!(!changed || new.revision.number > greatest);
            greatest = greatest.max(new.revision.number);
        }
        assert_eq!(zones(&fleet), ["n-b"]);
    }
}

/// The copy is older than the evacuation, and revisions are assigned again.
#[test]
fn restoration_ends_an_evacuation_before_the_operator_can_write_it_again() {
    let now = Instant::now();
    let secs = Duration::from_secs;
    let mut fleet = fleet(&["n-a", "n-b"], now);
    fleet.set_evacuations(&state(0, 50, &["n-a"]), now);
    assert!(!fleet.set_evacuations(&state(1, 20, &[]), now));
    assert_eq!(zones(&fleet), ["n-a"]);
    // A late state of the earlier era changes nothing.
    assert!(!fleet.set_evacuations(&state(0, 60, &["n-b"]), now));
    // The operator writes it again in time; its removal then counts at once.
    assert!(!fleet.set_evacuations(&state(1, 23, &["n-a"]), now + secs(2)));
    assert!(!fleet.expire_evacuations(now + secs(6)));
    assert!(fleet.set_evacuations(&state(1, 26, &[]), now + secs(7)));
    assert!(zones(&fleet).is_empty());
    // Nobody writes the next one again.
    fleet.set_evacuations(&state(1, 29, &["n-b"]), now + secs(8));
    fleet.set_evacuations(&state(2, 20, &[]), now + secs(9));
    assert!(!fleet.expire_evacuations(now + secs(13)));
    assert!(fleet.expire_evacuations(now + secs(14)));
    assert!(fleet.get(find(&fleet, "e1")).unwrap().is_usable(now + secs(14)));
}

/// Two hosts with different views of who reads the registry receive states of two readers, of which one
/// reads late. Whichever view lasts, both end with the same zones.
#[test]
fn two_readers_disagree() {
    let now = Instant::now();
    let (early, late) = (state(0, 30, &[]), state(0, 33, &["n-a"]));
    let mut views = [fleet(&["n-a", "n-b"], now), fleet(&["n-a", "n-b"], now)];
    for round in 0..10 {
        views[round % 2].set_evacuations(&early, now);
        views[(round + 1) % 2].set_evacuations(&late, now);
    }
    for fleet in &views {
        assert_eq!(zones(fleet), ["n-a"]);
    }
}

/// A paused host finds old datagrams of the time before the evacuation when it wakes.
#[test]
fn paused_host_relies_on_what_arrived_during_the_pause() {
    let (start, ms) = (Instant::now(), Duration::from_millis);
    for paused in [1_000, 3_000, 10_000] {
        let mut pauses = PauseDetector::default();
        assert!(!pauses.must_wait(start), "no tick yet");
        pauses.record_tick(start);
        let woke_at = start + ms(paused);
        // A request is sent before the first tick.
        assert!(pauses.must_wait(woke_at) && pauses.was_paused_since(start, woke_at));
        pauses.record_registry_state(woke_at);
        assert!(pauses.must_wait(woke_at));
        pauses.record_tick(woke_at);
        pauses.record_registry_state(woke_at + ms(20));
        assert!(pauses.must_wait(woke_at + ms(20)));
        pauses.record_registry_state(woke_at + ms(200));
        assert!(!pauses.must_wait(woke_at + ms(200)));
        assert!(!pauses.was_paused_since(woke_at, woke_at + ms(200)));
    }
}

/// In an outage of the registry and without other hosts there is nothing to wait for.
#[test]
fn paused_host_that_hears_of_nothing_waits_for_ever() {
    let (start, ms) = (Instant::now(), Duration::from_millis);
    let mut pauses = PauseDetector::default();
    pauses.record_tick(start);
    assert!(pauses.record_tick(start + ms(700)).is_none(), "a busy process");
    assert!(pauses.record_tick(start + ms(2_700)).is_some());
    assert!(pauses.must_wait(start + ms(2_800)));
    assert!(!pauses.must_wait(start + ms(3_200)));
}
