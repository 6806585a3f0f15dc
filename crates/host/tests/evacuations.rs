//! A starting host is not ready before it knows which zones are evacuated, and the state that hosts send
//! each other is small.

mod common;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_host::context::Host;
use camphorloft_host::peer_convert::evacuations_to_wire;
use camphorloft_serving::prelude::*;
use prost::Message;

/// Bytes that the state of the evacuations adds to a registry state.
fn added_bytes(evacuations: &Evacuations) -> usize {
    let without = common::state(u64::MAX, 150);
    let mut with = without.clone();
    with.evacuations = Some(evacuations_to_wire(evacuations));
    with.encoded_len() - without.encoded_len()
}

fn evacuations(number: u64, zones: &[&str]) -> Evacuations {
    Evacuations {
        revision: Revision { era: RegistryEra(1), number },
        zones: zones.iter().map(|zone| zone.parse().unwrap()).collect(),
    }
}

fn host_with_an_endpoint(now: Instant) -> Rc<Host<(), ()>> {
    let host = common::host("h1", "north");
    let limits =
        RawLimits { max_head_bytes: 1, max_body_bytes: 1, head_timeout_ms: 1, idle_timeout_ms: 1 };
    let serving = ServingSet::try_from(RawServing { version: 1, limits, ..RawServing::default() });
    let mut state = host.state.borrow_mut();
    state.serving = Some(Rc::new(serving.unwrap()));
    state.fleet.upsert(common::entry("e1", "north-a"), now, &mut Vec::new());
    drop(state);
    host
}

#[test]
fn starting_host_is_ready_before_it_knows_the_evacuations() {
    let now = Instant::now();
    let host = host_with_an_endpoint(now);
    host.first_version_at.set(Some(now));
    assert!(!host.is_ready());
    host.apply_evacuations(&evacuations(7, &[]), "host", now);
    assert!(host.is_ready());
}

#[test]
fn starting_host_is_never_ready_in_an_outage() {
    let Some(earlier) = Instant::now().checked_sub(Duration::from_secs(2)) else { return };
    let host = host_with_an_endpoint(earlier);
    host.first_version_at.set(Some(earlier));
    assert!(host.is_ready());
}

/// Deployments without evacuations and limits of cold endpoints are served as before.
#[test]
fn paused_host_waits_although_nothing_can_have_changed() {
    let (now, secs) = (Instant::now(), Duration::from_secs);
    let host = host_with_an_endpoint(now);
    host.tick(0, now);
    host.tick(1, now + secs(4));
    assert!(!host.must_wait(now + secs(4)));
    host.waits_after_pause.set(true);
    assert!(host.must_wait(now + secs(4)));
    assert!(!host.must_wait(now + Duration::from_millis(4_600)));
}

/// Every host receives the state five times a second.
#[test]
fn state_of_the_evacuations_is_large() {
    assert!(added_bytes(&evacuations(3_000_000, &[])) <= 10);
    assert!(added_bytes(&evacuations(3_000_000, &["edge-north-a"])) <= 30);
}

#[test]
fn gauge_counts_other_zones_than_the_evacuated_ones() {
    let now = Instant::now();
    let host = host_with_an_endpoint(now);
    let apply = |number, zones: &[&str]| {
        host.apply_evacuations(&evacuations(number, zones), "registry", now);
        host.metrics.evacuated_zones.get()
    };
    assert_eq!(apply(7, &["north-a"]), 1);
    assert_eq!(apply(9, &["north-a", "south-a"]), 2);
    assert_eq!(apply(8, &[]), 2, "an older state");
    assert_eq!(apply(10, &["south-a"]), 1);
    let usable = |host: &Host<(), ()>| -> BTreeSet<bool> {
        host.state.borrow().fleet.iter().map(|(_, endpoint)| endpoint.is_usable(now)).collect()
    };
    assert_eq!(usable(&host), [true].into());
    assert_eq!(apply(11, &["north-a"]), 1);
    assert_eq!(usable(&host), [false].into());
}
