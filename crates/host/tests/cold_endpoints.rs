//! Hosts share the rate of a cold endpoint, whether they are in contact with each other or not.

mod common;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_host::context::Host;
use camphorloft_host::peers::Peers;
use camphorloft_membership::settings::MembershipSettings;
use camphorloft_membership::{Member, MemberState};
use camphorloft_peer::link::{Link, LinkConfig};
use camphorloft_peer::seal::FrameKeys;
use camphorloft_peer::wire::{WireEndpoint, WireEndpointChange};
use camphorloft_types::prelude::*;
use common::{FLEET, entry, fleet, member};
use tokio::net::UdpSocket;

/// Requests per second of a cold endpoint.
const RATE: f64 = 26.0;

fn cold(name: &str, zone: &str, left: Duration) -> EndpointEntry {
    EndpointEntry { warmup_remaining: left, ..entry(name, zone) }
}

/// Returns a host with a view of the others and a cold endpoint in its region.
fn host_with(peers: Peers, region: &str, now: Instant) -> Rc<Host<(), ()>> {
    let host = common::host("h1", region);
    let mut state = host.state.borrow_mut();
    state.peers = peers;
    let rate = RequestRate::try_from(RATE).unwrap();
    state.fleet.set_cold_rates(HashMap::from([("fleet".parse().unwrap(), rate)]), now);
    let endpoint = cold("e1", "north-a", Duration::from_secs(60));
    state.fleet.upsert(endpoint, now, &mut Vec::new());
    drop(state);
    host
}

/// Returns how many requests a host sends within a second after it had none for a while.
fn requests_in_a_second(host: &Host<(), ()>, now: Instant) -> usize {
    let mut state = host.state.borrow_mut();
    let ix = state.fleet.find(&"e1".parse().unwrap()).unwrap();
    let start = now + Duration::from_secs(30);
    let limit = &mut state.fleet.get_mut(ix).unwrap().request_limit;
    let times = (0..100).map(|step| start + Duration::from_millis(10) * step);
    let mut count = 0;
    for at in times {
        while limit.send_at(at) == Some(at) {
            limit.reserve(at);
            count += 1;
        }
    }
    count
}

fn add_host(host: &Host<(), ()>, name: &str, state: MemberState, now: Instant) {
    let mut guard = host.state.borrow_mut();
    let (link, _) = guard.peers.link_mut().unwrap();
    let added = Member { state, incarnation: Incarnation(2), ..member(name, "north") };
    link.membership_mut().add_seed(added, now);
}

async fn lone_peers(own: &str, now: Instant) -> Peers {
    let config = LinkConfig {
        own: member(own, "north"),
        membership: MembershipSettings::default(),
        keys: FrameKeys::derive(&[b"secret".to_vec()]),
        started_ms: 1,
        seed: 1,
    };
    let mut peers = Peers::new(own.parse().unwrap(), "north".parse().unwrap(), 1);
    let socket = Rc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    peers.connect(Link::new(config, now), socket);
    peers
}

/// Shares depend on the other hosts, which the tick alone notices while the endpoint states nothing new.
#[tokio::test]
async fn hosts_that_come_do_not_reduce_the_share_of_the_first() {
    let now = Instant::now();
    let host = host_with(lone_peers("h1", now).await, "north", now);
    host.tick(1, now);
    let alone = requests_in_a_second(&host, now);
    assert!(alone as f64 >= RATE, "{alone} requests");
    let host = host_with(lone_peers("h1", now).await, "north", now);
    host.tick(1, now);
    for name in ["h2", "h3", "h4"] {
        add_host(&host, name, MemberState::Alive, now);
    }
    host.tick(3, now + Duration::from_millis(100));
    let shared = requests_in_a_second(&host, now);
    assert!(shared <= alone / 3, "{shared} requests of four hosts, {alone} of one");
}

/// Every host is cut off from all others and takes them for dead, and sends as much as it can.
#[tokio::test]
async fn hosts_without_contact_use_the_rate_several_times() {
    let now = Instant::now();
    let mut total = 0;
    for (ix, peers) in fleet(now).await.into_iter().enumerate() {
        let host = host_with(peers, FLEET[ix].1, now);
        let mut at = now;
        for ticks in 0..600 {
            at += Duration::from_millis(100);
            host.tick(ticks, at);
        }
        assert_eq!(host.state.borrow().peers.live().count(), 0);
        // The largest number of hosts is forgotten after a minute.
        for minutes in 1..4 {
            let later = at + Duration::from_secs(60 * minutes);
            host.state.borrow_mut().peers.quota_hosts(later);
        }
        host.update_limit_shares(at);
        let endpoint = cold("e1", "north-a", Duration::from_secs(120));
        host.state.borrow_mut().fleet.upsert(endpoint, at, &mut Vec::new());
        host.update_limit_shares(at);
        total += requests_in_a_second(&host, at);
    }
    assert!(total as f64 <= RATE * 1.5 + 5.0, "{total} requests");
    assert!(total as f64 >= RATE / 2.0, "{total} requests");
}

/// Hundreds of hosts start at once and have not found each other.
#[tokio::test]
async fn hosts_that_know_no_other_each_take_a_share() {
    let now = Instant::now();
    let mut total = 0;
    for number in 0..443 {
        let own = format!("h{number}");
        let mut peers = lone_peers(&own, now).await;
        peers.set_announced(443);
        let host = host_with(peers, "north", now);
        host.tick(1, now);
        total += requests_in_a_second(&host, now);
    }
    assert!(total as f64 <= RATE * 1.5 + 5.0, "{total} requests");
    assert!(total > 10, "{total} requests");
}

/// Hosts rank the senders in the same way, as far as their views agree.
#[tokio::test]
async fn ranks_of_senders_contradict_each_other() {
    let now = Instant::now();
    for endpoint in ["e1", "e2", "e3"] {
        let endpoint = endpoint.parse().unwrap();
        let region = "north".parse().unwrap();
        let ranks = fleet(now).await.into_iter().enumerate().map(|(ix, peers)| {
            let (rank, hosts) = peers.cold_sender_rank(&endpoint, Some(&region), now);
            assert_eq!(hosts, FLEET.len());
            assert_eq!(rank < 2, FLEET[ix].1 == "north", "hosts of the region come first");
            rank
        });
        let mut ranks: Vec<usize> = ranks.collect();
        ranks.sort_unstable();
        assert_eq!(ranks, [0, 1, 2, 3]);
    }
}

#[tokio::test]
async fn host_that_wakes_uses_the_share_of_its_pause() {
    let now = Instant::now();
    let host = host_with(lone_peers("h1", now).await, "north", now);
    for ticks in 0..20 {
        host.tick(ticks, now + Duration::from_millis(100) * ticks as u32);
    }
    let woke_at = now + Duration::from_secs(7);
    host.tick(20, woke_at);
    let state = host.state.borrow();
    let (_, endpoint) = state.fleet.iter().next().unwrap();
    assert!(endpoint.send_at(woke_at).is_some_and(|at| at > woke_at));
    drop(state);
    assert!(host.must_wait(woke_at));
}

fn cold_change(name: &str, cold_left_ms: u32) -> WireEndpointChange {
    let entry = Some(WireEndpoint { cold_left_ms, ..WireEndpoint::default() });
    WireEndpointChange { name: name.to_owned(), entry }
}

fn lefts(changes: &[WireEndpointChange]) -> Vec<u32> {
    changes.iter().filter_map(|change| Some(change.entry.as_ref()?.cold_left_ms)).collect()
}

/// Repeated changes state what is left, and are repeated while the endpoint is cold: a host that misses all
/// of the first ones was cut off or paused.
#[test]
fn repeated_changes_prolong_the_time_for_which_an_endpoint_is_cold() {
    let (now, ms) = (Instant::now(), Duration::from_millis);
    let mut peers = Peers::new("h1".parse().unwrap(), "north".parse().unwrap(), 8);
    let new = vec![cold_change("e1", 1_000), cold_change("e2", 5_000)];
    assert_eq!(lefts(&peers.changes_to_send(new, now)), [1_000, 5_000]);
    assert_eq!(lefts(&peers.changes_to_send(Vec::new(), now + ms(200))), [800, 4_800]);
    let mut sendings = 0;
    for step in 8..30 {
        let changes = peers.changes_to_send(Vec::new(), now + ms(200) * step);
        sendings += changes.len();
        assert!(changes.iter().all(|change| change.name == "e2"));
        let left = 5_000_u32.saturating_sub(200 * step);
        assert!(lefts(&changes).iter().all(|stated| *stated == left));
    }
    assert!((3..=5).contains(&sendings), "sent {sendings} times in 3.4 s");
}
