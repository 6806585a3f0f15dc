//! Replays crashes of several endpoints, of which a host does not notice all at once.

#[expect(dead_code, reason = "the other tests use the rest")]
mod common;

use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_dispatch::reachability::witnesses;
use common::{find, fleet};

/// Guards against a crash that is not attributed, because the nearest endpoints crashed before, and only those are
/// asked whether the host is cut off.
#[test]
fn nearer_endpoints_that_crashed_are_the_only_witnesses() {
    let start = Instant::now();
    let now = start + Duration::from_secs(4);
    let mut fleet = fleet(&["n-a", "n-a", "n-a", "n-a", "s-a", "n-b"], start);
    let endpoints = ["e0", "e1", "e2", "e3", "e4", "e5"].map(|name| find(&fleet, name));
    let [crashed, near, nearer, nearest, remote, reached_before] = endpoints;
    for ix in [near, nearer, nearest] {
        fleet.get_mut(ix).unwrap().record_connect_time(Duration::ZERO);
    }
    let reached = [(remote, 3), (reached_before, 2), (crashed, 3), (nearest, 1)];
    for (ix, seconds) in reached {
        fleet.get_mut(ix).unwrap().reached_at = Some(start + Duration::from_secs(seconds));
    }
    let mut reachability = Reachability::default();
    assert_eq!(witnesses(&fleet, &reachability, crashed, now), [remote, reached_before, nearest]);
    // Whether it failed before or after another endpoint was reached makes no difference.
    let digest = |ix| fleet.get(ix).unwrap().digest;
    reachability.record_failed(digest(reached_before), 6, now, now);
    reachability.record_reached(digest(nearest), now);
    reachability.record_failed(digest(remote), 5, now, now);
    assert_eq!(witnesses(&fleet, &reachability, crashed, now), [nearest, near, nearer]);
}

/// Guards against a host that counts as cut off whenever it tries two crashed endpoints one after the other. The
/// failures to connect to these were withdrawn each time, so that it used them again.
#[test]
fn crashed_endpoints_cut_the_host_off_again_and_again() {
    let now = Instant::now();
    let [first, second, sound, other] = [1, 2, 3, 4];
    let mut reachability = Reachability::default();
    assert!(!reachability.record_failed(first, 4, now, now));
    // Two at the same time may be the links.
    assert!(reachability.record_failed(second, 4, now, now));
    assert!(reachability.record_reached(sound, now).is_some());
    for endpoint in [first, second, first] {
        assert!(!reachability.record_failed(endpoint, 2, now, now));
    }
    assert!(!reachability.is_cut_off());
    // The links are judged by the endpoints that were up.
    assert!(!reachability.record_failed(sound, 2, now, now));
    assert!(reachability.record_failed(other, 2, now, now));
    assert!(reachability.record_reached(sound, now).is_some());
    // With one left that was up, its failure alone may be the links.
    assert!(reachability.record_failed(sound, 1, now, now));
    assert!(reachability.record_reached(first, now).is_some());
    assert!(!reachability.is_down(first), "it is back");
}
