//! A host relies on a reader's view of the registry only while it is recent and matches its own.

mod common;

use std::time::{Duration, Instant};

use camphorloft_host::peers::{Peers, UpdateScope};
use camphorloft_peer::wire::WireEndpointChange;
use camphorloft_types::prelude::*;
use common::{FLEET, fleet, state};

fn peers() -> Peers {
    Peers::new("h1".parse().unwrap(), "north".parse().unwrap(), 8)
}

fn reader() -> HostName {
    "h2".parse().unwrap()
}

#[test]
fn a_silent_reader_is_not_relied_on() {
    let (mut peers, now) = (peers(), Instant::now() + Duration::from_secs(10));
    assert!(!peers.is_list_maintained(now));
    peers.record_registry_state(&reader(), &state(7, 100), 7, now);
    assert!(peers.is_list_maintained(now) && peers.is_version_maintained(now));
    assert!(!peers.is_list_maintained(now + Duration::from_secs(2)));
    assert!(!peers.is_version_maintained(now + Duration::from_secs(5)));
}

#[test]
fn a_reader_that_cannot_reach_the_registry_is_not_relied_on() {
    let (mut peers, now) = (peers(), Instant::now() + Duration::from_secs(10));
    peers.record_registry_state(&reader(), &state(7, 5_000), 7, now);
    assert!(!peers.is_list_maintained(now) && !peers.is_version_maintained(now));
    assert!(peers.has_live_reader(now));
    peers.record_registry_failure(now);
    let scope = peers.registry_read_scope(now);
    assert_eq!(scope, Some(UpdateScope::All), "no other host is left to read");
}

#[test]
fn a_list_that_stays_different_is_read_again() {
    let (mut peers, now) = (peers(), Instant::now() + Duration::from_secs(10));
    peers.record_registry_state(&reader(), &state(7, 0), 8, now);
    assert!(peers.is_list_maintained(now), "changes may be in transit");
    let later = now + Duration::from_millis(1_200);
    peers.record_registry_state(&reader(), &state(7, 0), 8, later);
    assert!(!peers.is_list_maintained(later));
    peers.clear_list_mismatch();
    assert!(peers.is_list_maintained(later));
}

/// A host that starts hears of the reader before it has the list. It must not send its list to others.
#[test]
fn a_list_that_differs_is_not_confirmed() {
    let (mut peers, now) = (peers(), Instant::now() + Duration::from_secs(10));
    assert!(!peers.is_list_confirmed(now));
    peers.record_registry_state(&reader(), &state(7, 0), 0, now);
    assert!(peers.is_list_maintained(now) && !peers.is_list_confirmed(now));
    peers.record_registry_state(&reader(), &state(7, 0), 7, now);
    assert!(peers.is_list_confirmed(now));
    assert!(!peers.is_list_confirmed(now + Duration::from_secs(2)));
}

/// A list is as old as when its reader asked for it, and known to be the same only then.
#[test]
fn a_list_is_as_old_as_when_its_reader_asked_for_it() {
    let (mut peers, now) = (peers(), Instant::now() + Duration::from_secs(10));
    peers.record_registry_state(&reader(), &state(8, 100), 7, now);
    assert_eq!(peers.list_asked_at(), None, "the lists differ");
    peers.record_registry_state(&reader(), &state(7, 100), 7, now);
    assert_eq!(peers.list_asked_at(), Some(now - Duration::from_millis(100)));
    peers.record_registry_state(&reader(), &state(7, 900), 7, now);
    assert_eq!(peers.list_asked_at(), Some(now - Duration::from_millis(100)));
}

#[test]
fn a_change_is_resent_until_a_newer_one_replaces_it() {
    let (mut peers, now) = (peers(), Instant::now());
    let change = |name: &str| WireEndpointChange { name: name.to_owned(), entry: None };
    assert_eq!(peers.changes_to_send(vec![change("a"), change("b")], now).len(), 2);
    assert_eq!(peers.changes_to_send(vec![change("a")], now).len(), 2);
    let later = now + Duration::from_secs(5);
    assert!(peers.changes_to_send(Vec::new(), later).is_empty());
}

/// Hundreds of endpoints are reclaimed at once. Their changes are sent, but not again and again.
#[test]
fn many_changes_are_sent_once() {
    let (mut peers, now) = (peers(), Instant::now());
    let change = |ix: usize| WireEndpointChange { name: format!("e{ix}"), entry: None };
    assert_eq!(peers.changes_to_send((0..200).map(change).collect(), now).len(), 200);
    assert_eq!(peers.changes_to_send((200..3_000).map(change).collect(), now).len(), 2_800);
    assert!(peers.changes_to_send(Vec::new(), now).is_empty());
    let later = now + Duration::from_secs(2);
    assert_eq!(peers.changes_to_send(vec![change(1)], later).len(), 1);
}

/// Every call to the registry is billed, so one host reads for all. A region that receives no updates
/// from it has one reader of its own.
#[tokio::test]
async fn one_host_reads_for_all_and_one_for_a_region_without_updates() {
    let now = Instant::now() + Duration::from_secs(10);
    let mut fleet = fleet(now).await;
    for peers in &mut fleet {
        peers.record_registry_state(&reader(), &state(7, 0), 7, now);
    }
    let readers = |fleet: &[Peers], at: Instant| -> Vec<Option<UpdateScope>> {
        fleet.iter().map(|peers| peers.registry_read_scope(at)).collect()
    };
    let reads = readers(&fleet, now);
    assert_eq!(reads.iter().flatten().collect::<Vec<_>>(), [&UpdateScope::All], "{reads:?}");
    // The reader's updates stop.
    let silent = now + Duration::from_millis(1_200);
    let reads = readers(&fleet, silent);
    let all = reads.iter().position(|reads| *reads == Some(UpdateScope::All)).unwrap();
    let region_readers: Vec<usize> =
        (0..FLEET.len()).filter(|ix| reads[*ix] == Some(UpdateScope::Region)).collect();
    assert!(matches!(region_readers[..], [other] if FLEET[other].1 != FLEET[all].1), "{reads:?}");
    // The other hosts rely on the list a little longer, so that the region's reader reads first.
    assert!(fleet.iter().all(|peers| peers.is_list_maintained(silent)));
    assert!(
        fleet.iter().all(|peers| !peers.is_list_maintained(now + Duration::from_millis(1_600)))
    );
    // When no host can reach the registry, one keeps trying for all, and the others receive its
    // updates.
    let names: Vec<HostName> = FLEET.iter().map(|(host, _)| host.parse().unwrap()).collect();
    for (ix, peers) in fleet.iter_mut().enumerate() {
        peers.record_registry_failure(silent);
        for other in names.iter().enumerate().filter(|(other, _)| *other != ix) {
            peers.record_registry_state(other.1, &state(7, 5_000), 7, silent);
        }
    }
    let reads: Vec<Option<UpdateScope>> =
        fleet.iter().map(|peers| peers.registry_read_scope(silent)).collect();
    let readers_for_all = reads.iter().filter(|reads| **reads == Some(UpdateScope::All));
    assert_eq!(readers_for_all.count(), 1, "{reads:?}");
}

#[tokio::test]
async fn a_reader_that_cannot_reach_the_registry_is_replaced_immediately() {
    let now = Instant::now() + Duration::from_secs(10);
    let mut fleet = fleet(now).await;
    let reads_for_all = |peers: &Peers| peers.registry_read_scope(now) == Some(UpdateScope::All);
    let all = fleet.iter().position(reads_for_all).unwrap();
    let failed = FLEET[all].0.parse().unwrap();
    for (ix, peers) in fleet.iter_mut().enumerate() {
        if ix != all {
            peers.record_registry_state(&failed, &state(7, 5_000), 7, now);
        }
    }
    let others = (0..FLEET.len()).filter(|ix| *ix != all);
    assert_eq!(others.filter(|ix| reads_for_all(&fleet[*ix])).count(), 1);
}

/// A reader that the registry refuses is replaced by another host. It must not become the reader
/// again immediately when it receives that host's updates.
#[tokio::test]
async fn a_refused_reader_stays_excluded_for_a_while() {
    let now = Instant::now() + Duration::from_secs(10);
    let mut fleet = fleet(now).await;
    let reads = |peers: &Peers, at: Instant| peers.registry_read_scope(at).is_some();
    let first = fleet.iter().position(|peers| reads(peers, now)).unwrap();
    let peers = &mut fleet[first];
    peers.record_registry_failure(now);
    assert!(!reads(peers, now));
    let later = now + Duration::from_millis(400);
    peers.record_registry_state(&reader(), &state(7, 0), 7, later);
    assert!(!reads(peers, later));
    assert!(reads(peers, now + Duration::from_secs(3)));
}

/// In an outage of the registry every host of a large fleet called it as soon as its list was stale.
#[tokio::test]
async fn hosts_stand_in_for_the_reader_one_after_the_other() {
    let now = Instant::now() + Duration::from_secs(10);
    let mut fleet = fleet(now).await;
    for peers in &mut fleet {
        peers.record_contact(now);
        peers.record_registry_state(&reader(), &state(7, 0), 7, now);
    }
    let waiting = |fleet: &[Peers], at: Instant| {
        fleet.iter().filter(|peers| peers.is_list_left_to_others(at)).count()
    };
    let stale = now + Duration::from_millis(1_600);
    assert_eq!(waiting(&fleet, stale), FLEET.len() / 2, "one host of each region may read");
    assert_eq!(waiting(&fleet, stale + Duration::from_millis(300)), 0);
    // A host that hears from no other does not wait.
    assert_eq!(fleet[0].stand_in_delay(now + Duration::from_secs(4)), Duration::ZERO);
    // Neither does one whose list differs.
    fleet[1].record_registry_state(&reader(), &state(8, 0), 7, now);
    assert!(!fleet[1].is_list_left_to_others(stale));
}
