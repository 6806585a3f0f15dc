//! Requests that may be processed only in some regions, while the endpoints of these regions change.

mod common;

use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_dispatch::{admission, generation, plain, reclaim, residency};
use camphorloft_serving::prelude::Residency;
use common::{call, engine, entry, find, fleet, service, work};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const DEMAND: TokenDemand = TokenDemand { kv_tokens: 1_000, prefill_tokens: 1_000, expected: 200 };

fn only(region: &str) -> Residency {
    Residency::restricted_to([region.parse().unwrap()])
}

fn candidates(residency: &Residency) -> Candidates<'_> {
    Candidates { residency, ..Candidates::default() }
}

fn rng() -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(7)
}

/// Restricted requests go to the nearest endpoint, or to one whose region is not known.
#[test]
fn placements_leave_the_allowed_regions() {
    let now = Instant::now();
    let fleet = fleet(&["n-a", "n-b", "s-a", "nowhere"], now);
    let (mut rng, name, spec) = (rng(), service(), engine());
    let pool = Pool { fleet: &fleet, service: &name, spec: &spec };
    let residency = only("south");
    let candidates = candidates(&residency);
    for _ in 0..50 {
        let choice = plain::choose(&fleet, &name, &candidates, now, &mut rng).unwrap();
        assert_eq!((choice.endpoint, choice.unusable), (find(&fleet, "e2"), 3));
        let due = Duration::from_secs(2);
        let choice = generation::choose(&pool, &DEMAND, &candidates, due, now, &mut rng).unwrap();
        assert_eq!(choice.endpoint, find(&fleet, "e2"));
    }
    let tried = [find(&fleet, "e2")];
    let candidates = Candidates { tried: &tried, ..candidates };
    assert!(plain::choose(&fleet, &name, &candidates, now, &mut rng).is_none());
}

/// The replayed load: bursts of calls with failures. Without a restriction, and with one that allows all
/// regions, each call is placed as by a host that knows no restrictions.
#[test]
fn placements_without_a_restriction_change() {
    let now = Instant::now();
    let all = Residency::restricted_to(["north", "south"].map(|region| region.parse().unwrap()));
    let replay = |residency: Option<&Residency>| -> Vec<Choice> {
        let mut fleet = fleet(&["n-a", "n-b", "s-a", "s-a", "n-a"], now);
        let (mut rng, name) = (rng(), service());
        let place = |number: u64| {
            let at = now + Duration::from_millis(number / 8 * 40);
            let candidates = match residency {
                Some(residency) => {
                    let checked = residency::check(&fleet, &name, residency, &mut rng);
                    assert_eq!(checked, Ok(()));
                    candidates(residency)
                }
                None => Candidates::default(),
            };
            let choice = plain::choose(&fleet, &name, &candidates, at, &mut rng).unwrap();
            let endpoint = fleet.get_mut(choice.endpoint).unwrap();
            endpoint.health.record_answer(!number.is_multiple_of(7), at);
            endpoint.record_service_time(Duration::from_millis(20 + number % 50));
            choice
        };
        (0..500).map(place).collect()
    };
    let expected = replay(None);
    assert_eq!(replay(Some(&Residency::UNRESTRICTED)), expected);
    assert_eq!(replay(Some(&all)), expected);
}

/// An entry that moves its endpoint to another zone leaves its region as it was.
#[test]
fn endpoint_keeps_the_region_of_an_earlier_entry() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a"], now);
    let region = |fleet: &Fleet| {
        let endpoint = fleet.get(find(fleet, "e0")).unwrap();
        endpoint.region.as_ref().map(ToString::to_string)
    };
    assert_eq!(region(&fleet).as_deref(), Some("north"));
    fleet.upsert(entry("e0", "s-a", 1), now, &mut Vec::new());
    assert_eq!(region(&fleet).as_deref(), Some("south"));
    fleet.upsert(entry("e0", "nowhere", 1), now, &mut Vec::new());
    assert_eq!(region(&fleet), None);
}

/// The replayed load: requests for one region keep arriving while its endpoints are reclaimed one after
/// the other and replaced. Each is placed there or refused at once, and none waits for the others.
#[test]
fn requests_wait_while_their_region_has_no_endpoint() {
    let mut now = Instant::now();
    let mut fleet = fleet(&["n-a", "n-b", "s-a", "s-a"], now);
    let (mut rng, name, spec) = (rng(), service(), engine());
    let residency = only("south");
    let mut refused = 0;
    for step in 0..300 {
        now += Duration::from_millis(20);
        match step {
            50 | 100 => {
                let number = step / 50 + 1;
                let entry = entry(&format!("e{number}"), "s-a", 1);
                fleet.upsert(EndpointEntry { draining: true, ..entry }, now, &mut Vec::new());
            }
            200 => fleet.upsert(entry("e9", "s-a", 1), now, &mut Vec::new()),
            _ => {}
        }
        let has_endpoint = !(100..200).contains(&step);
        let checked = residency::check(&fleet, &name, &residency, &mut rng);
        assert_eq!(checked.is_ok(), has_endpoint, "step {step}");
        match checked {
            Ok(()) => {
                let pool = Pool { fleet: &fleet, service: &name, spec: &spec };
                let arrival = (now, Duration::from_secs(4));
                let admitted = admission::admit(
                    &pool,
                    &DEMAND,
                    &candidates(&residency),
                    arrival,
                    now,
                    &mut rng,
                );
                let Admission::Start(choice) = admitted else { panic!("{admitted:?}") };
                let region = fleet.get(choice.endpoint).unwrap().region.as_ref();
                assert!(residency.allows_place(region));
            }
            Err(refusal) => {
                refused += 1;
                assert_eq!(refusal.as_str(), "no_endpoint_in_region");
                let retry_after = refusal.retry_after().unwrap().as_secs_f64();
                assert!((1.5..=3.0).contains(&retry_after), "{retry_after} s");
            }
        }
        assert_eq!(residency::check(&fleet, &name, &Residency::UNRESTRICTED, &mut rng), Ok(()));
    }
    assert_eq!(refused, 100);
}

/// A client returns again and again although no endpoint can ever serve it.
#[test]
fn request_without_an_allowed_region_is_told_to_return() {
    let fleet = fleet(&["n-a", "s-a"], Instant::now());
    let nowhere = Residency::restricted_to([]);
    let refusal = residency::check(&fleet, &service(), &nowhere, &mut rng()).unwrap_err();
    assert_eq!(refusal, ResidencyRefusal::NoAllowedRegion);
    assert_eq!((refusal.as_str(), refusal.retry_after()), ("no_allowed_region", None));
    let unknown = residency::check(&fleet, &service(), &only("mars"), &mut rng()).unwrap_err();
    assert_eq!(unknown.as_str(), "no_endpoint_in_region");
}

/// Busy and failing endpoints of the region may serve the request in time, so that it waits.
#[test]
fn request_is_refused_at_once_while_an_endpoint_of_its_region_fails() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a", "s-a"], now);
    let ix = find(&fleet, "e1");
    for _ in 0..5 {
        fleet.get_mut(ix).unwrap().health.record_unreachable(now);
    }
    assert!(!fleet.get(ix).unwrap().is_usable(now));
    assert_eq!(residency::check(&fleet, &service(), &only("south"), &mut rng()), Ok(()));
}

#[test]
fn migrations_leave_the_allowed_regions() {
    let now = Instant::now();
    let mut fleet = fleet(&["n-a", "n-a", "n-b"], now);
    let from = find(&fleet, "e0");
    fleet.start_run(from, &call(0), work(3_000, 2_000), now);
    fleet.upsert(EndpointEntry { draining: true, ..entry("e0", "n-a", 1) }, now, &mut Vec::new());
    let run = fleet.get(from).unwrap().runs[0].clone();
    let decide = |residency: &Residency| {
        let reclaimed = ReclaimedRun { run: &run, tried: &[], residency };
        reclaim::decide(&fleet, &engine(), from, &reclaimed, now)
    };
    assert!(matches!(decide(&only("north")), ReclaimDecision::Migrate { .. }));
    let reasons = NoDestination { other_region: 2, ..NoDestination::default() };
    assert_eq!(decide(&only("south")), ReclaimDecision::NoDestination(reasons));
}
