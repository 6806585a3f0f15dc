//! A host relies on another's knowledge of the registry only while it is fresh and the same.

use std::time::{Duration, Instant};

use camphorloft_host::peers::Peers;
use camphorloft_peer::wire::{WireEndpointChange, WireRegistryState};
use camphorloft_types::prelude::HostName;

fn peers() -> Peers {
    Peers::new("h1".parse().unwrap(), "north".parse().unwrap(), 8)
}

fn reader() -> HostName {
    "h2".parse().unwrap()
}

fn state(list_digest: u64, age_ms: u32) -> WireRegistryState {
    WireRegistryState { list_digest, list_age_ms: age_ms, version_age_ms: age_ms }
}

#[test]
fn silence_ends_the_reliance() {
    let (mut peers, now) = (peers(), Instant::now() + Duration::from_secs(10));
    assert!(!peers.list_is_told(now));
    peers.take_registry_state(&reader(), &state(7, 100), 7, now);
    assert!(peers.list_is_told(now) && peers.version_is_told(now));
    assert!(!peers.list_is_told(now + Duration::from_secs(2)));
    assert!(!peers.version_is_told(now + Duration::from_secs(5)));
}

#[test]
fn a_reader_that_lost_the_registry_is_not_relied_on() {
    let (mut peers, now) = (peers(), Instant::now() + Duration::from_secs(10));
    peers.take_registry_state(&reader(), &state(7, 5_000), 7, now);
    assert!(!peers.list_is_told(now) && !peers.version_is_told(now));
    assert!(peers.hears_reader(now));
    assert!(peers.reads_registry(true, now), "no other host is left to read");
}

#[test]
fn a_list_that_stays_different_is_read() {
    let (mut peers, now) = (peers(), Instant::now() + Duration::from_secs(10));
    peers.take_registry_state(&reader(), &state(7, 0), 8, now);
    assert!(peers.list_is_told(now), "changes may be on their way");
    let later = now + Duration::from_millis(1_200);
    peers.take_registry_state(&reader(), &state(7, 0), 8, later);
    assert!(!peers.list_is_told(later));
    peers.list_was_read();
    assert!(peers.list_is_told(later));
}

#[test]
fn a_change_is_told_again_until_a_newer_one_replaces_it() {
    let (mut peers, now) = (peers(), Instant::now());
    let change = |name: &str| WireEndpointChange { name: name.to_owned(), entry: None };
    assert_eq!(peers.changes_to_tell(vec![change("a"), change("b")], now).len(), 2);
    assert_eq!(peers.changes_to_tell(vec![change("a")], now).len(), 2);
    let later = now + Duration::from_secs(5);
    assert!(peers.changes_to_tell(Vec::new(), later).is_empty());
}
