//! Distribution of updates between the hosts of large fleets, simulated in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use camphorloft_membership::settings::MembershipSettings;
use camphorloft_membership::{Member, MemberState};
use camphorloft_peer::distribution::{Distribution, MAX_DIRECT_RECIPIENTS};
use camphorloft_peer::forward_scope::ForwardScope;
use camphorloft_peer::link::{Datagram, Link, LinkConfig};
use camphorloft_peer::seal::FrameKeys;
use camphorloft_peer::updates::Updates;
use camphorloft_peer::wire::{
    WireDatagram, WireEndpoint, WireEndpointChange, WireMigration, WirePlacement, WireQueueState,
    WireReport,
};
use camphorloft_types::prelude::*;
use prost::Message;

/// Zones of the simulated fleets, with their regions.
const ZONES: [(&str, &str); 6] =
    [("n-a", "n"), ("n-b", "n"), ("s-a", "s"), ("s-b", "s"), ("w-a", "w"), ("w-b", "w")];
/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(5);
/// Interval of the ticks of each host.
const TICK_STEPS: u32 = 20;
/// Delay of a datagram between regions; within a region it arrives in the same step.
const REMOTE_DELAY: Duration = Duration::from_millis(20);
/// Time in which an update must reach all hosts: two relays that hold it, and one link between
/// regions, with as much again for the processing.
const MAX_DELAY: Duration = Duration::from_millis(2 * 100 + 2 * 20);

fn member(ix: usize) -> Member {
    let (zone, region) = ZONES[ix % ZONES.len()];
    let addr = SocketAddr::from(([10, 0, (ix / 250) as u8, (ix % 250) as u8], 7000));
    Member {
        host: format!("host-{ix}").parse().unwrap(),
        addr,
        http_addr: addr,
        region: region.parse().unwrap(),
        zone: zone.parse().unwrap(),
        started_ms: 1,
        incarnation: Incarnation(1),
        state: MemberState::Alive,
        suspected_by: None,
    }
}

struct Host {
    link: Link,
    distribution: Distribution,
    is_down: bool,
    /// Endpoint digests of the placements received, with the number of receipts.
    received: BTreeMap<u64, u32>,
    datagrams_received: u32,
    /// Changes of the endpoint list received.
    endpoints_received: usize,
}

struct Network {
    now: Instant,
    steps: u32,
    hosts: Vec<Host>,
    by_addr: BTreeMap<SocketAddr, usize>,
    in_transit: Vec<(Instant, usize, Datagram)>,
    remote_bytes: usize,
}

impl Network {
    fn start(count: usize) -> Self {
        let now = Instant::now();
        let members: Vec<Member> = (0..count).map(member).collect();
        let host = |own: &Member| {
            let config = LinkConfig {
                own: own.clone(),
                membership: MembershipSettings::default(),
                keys: FrameKeys::derive(&[b"secret".to_vec()]),
                started_ms: 1,
                seed: 1,
            };
            let mut link = Link::new(config, now);
            for other in &members {
                link.membership_mut().add_seed(other.clone(), now);
            }
            Host {
                link,
                distribution: Distribution::default(),
                is_down: false,
                received: BTreeMap::new(),
                datagrams_received: 0,
                endpoints_received: 0,
            }
        };
        let by_addr = members.iter().enumerate().map(|(ix, m)| (m.addr, ix)).collect();
        let hosts = members.iter().map(host).collect();
        Self { now, steps: 0, hosts, by_addr, in_transit: Vec::new(), remote_bytes: 0 }
    }

    fn region(ix: usize) -> &'static str {
        ZONES[ix % ZONES.len()].1
    }

    fn send(&mut self, from: usize, datagrams: Vec<Datagram>) {
        for datagram in datagrams {
            let to = self.by_addr[&datagram.to];
            let is_remote = Self::region(from) != Self::region(to);
            if is_remote {
                self.remote_bytes += datagram.frame.len();
            }
            let delay = if is_remote { REMOTE_DELAY } else { Duration::ZERO };
            self.in_transit.push((self.now + delay, from, datagram));
        }
    }

    fn submit(&mut self, from: usize, scope: ForwardScope, updates: Updates) {
        let mut out = Vec::new();
        let host = &mut self.hosts[from];
        host.distribution.submit(&mut host.link, scope, updates, self.now, &mut out);
        host.distribution.flush(&mut host.link, self.now, &mut out);
        self.send(from, out);
    }

    fn place(&mut self, from: usize, endpoint: u64) {
        let placement = WirePlacement { endpoint, kv: 3_000, unread: 3_000, expected: None };
        let updates = Updates { placements: vec![placement], ..Updates::default() };
        self.submit(from, ForwardScope::Fleet, updates);
    }

    fn deliver(&mut self) {
        while let Some(at) = self.in_transit.iter().position(|(at, ..)| *at <= self.now) {
            let (_, from, datagram) = self.in_transit.swap_remove(at);
            let to = self.by_addr[&datagram.to];
            let from_addr = member(from).addr;
            let host = &mut self.hosts[to];
            if host.is_down {
                continue;
            }
            let mut out = Vec::new();
            let received =
                host.link.receive(from_addr, &datagram.frame, self.now, &mut out).unwrap();
            let sender = &received.message.sender;
            host.distribution.receive(sender, &received.datagram, self.now).unwrap();
            host.datagrams_received += 1;
            host.endpoints_received += received.datagram.endpoint_changes.len();
            for placement in &received.datagram.placements {
                *host.received.entry(placement.endpoint).or_default() += 1;
            }
        }
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            self.steps += 1;
            self.deliver();
            for ix in 0..self.hosts.len() {
                let host = &mut self.hosts[ix];
                let mut out = Vec::new();
                host.distribution.flush(&mut host.link, self.now, &mut out);
                if self.steps.is_multiple_of(TICK_STEPS) {
                    host.distribution.tick(&mut host.link, self.now, &mut out);
                }
                if !host.is_down {
                    self.send(ix, out);
                }
            }
            self.deliver();
        }
    }

    /// Returns the hosts other than `from` that did not receive an endpoint's placement exactly once.
    fn receipts_other_than_one(&self, from: usize, endpoint: u64) -> Vec<(usize, u32)> {
        let receipts = self.hosts.iter().enumerate().filter(|(_, host)| !host.is_down);
        let receipts =
            receipts.map(|(ix, host)| (ix, host.received.get(&endpoint).copied().unwrap_or(0)));
        receipts.filter(|(ix, count)| *count != u32::from(*ix != from)).collect()
    }
}

#[test]
fn every_other_host_receives_an_update_once() {
    for count in [8, MAX_DIRECT_RECIPIENTS + 2, 58, 195] {
        let mut network = Network::start(count);
        for from in 0..count.min(60) {
            network.place(from, from as u64);
        }
        network.run(MAX_DELAY);
        for from in 0..count.min(60) {
            let wrong = network.receipts_other_than_one(from, from as u64);
            assert!(wrong.is_empty(), "{count} hosts, update of {from}: {wrong:?}");
        }
    }
}

/// Runs a load of 40 placements and 100 reports a second, and returns the datagrams that each host
/// received on average, and the bytes between regions.
fn run_fixed_load(count: usize) -> (f64, usize) {
    let mut network = Network::start(count);
    for step in 0..200_usize {
        if step % 5 == 0 {
            network.place(step * 7 % count, step as u64);
        }
        if step % 2 == 0 {
            let report = WireReport { endpoint: (step % 100) as u64, ..WireReport::default() };
            let updates = Updates { reports: vec![report], ..Updates::default() };
            network.submit(step * 11 % count, ForwardScope::Fleet, updates);
        }
        network.run(STEP);
    }
    let received: u32 = network.hosts.iter().map(|host| host.datagrams_received).sum();
    (f64::from(received) / count as f64, network.remote_bytes)
}

/// Each host received every update of every other one in a datagram of its own.
#[test]
fn datagrams_and_bytes_do_not_grow_with_the_fleet() {
    let (small, small_bytes) = run_fixed_load(60);
    let (large, large_bytes) = run_fixed_load(390);
    assert!(large <= small * 1.2, "{small:.0} datagrams a host at 60 hosts, {large:.0} at 390");
    assert!(large_bytes <= small_bytes * 6 / 5, "{small_bytes} bytes, {large_bytes} at 390 hosts");
}

/// Powers off the relay of a zone, and of the others in the order in which they take its place.
#[test]
fn a_relay_that_fails_is_replaced_before_the_membership_notices() {
    let mut network = Network::start(60);
    let mut senders: BTreeSet<usize> = (0..60).collect();
    for round in 0..3_u64 {
        // The relay of a zone is the host that receives the most datagrams there.
        let zone = (0..60).filter(|ix| ix % ZONES.len() == 0 && senders.contains(ix));
        for ix in 0..60 {
            network.hosts[ix].datagrams_received = 0;
        }
        for from in &senders {
            network.place(*from, 1_000 + round);
        }
        network.run(MAX_DELAY);
        let relay = zone.max_by_key(|ix| network.hosts[*ix].datagrams_received).unwrap();
        network.hosts[relay].is_down = true;
        senders.remove(&relay);
        for from in &senders {
            network.place(*from, 2_000 + round);
        }
        // The first updates are lost, and their missing acknowledgement excludes the relay.
        network.run(Duration::from_millis(600));
        for from in &senders {
            let endpoint = 10_000 * (round + 1) + *from as u64;
            network.place(*from, endpoint);
            network.run(MAX_DELAY);
            let wrong = network.receipts_other_than_one(*from, endpoint);
            assert!(wrong.is_empty(), "round {round}, update of {from}: {wrong:?}");
        }
    }
}

/// While an engine is reclaimed, the migrations of its generations wait for the plans of other hosts.
#[test]
fn a_planned_migration_is_not_held() {
    let mut network = Network::start(60);
    let migration = WireMigration { key: 1, begins_us: 25_000, ..WireMigration::default() };
    let updates = Updates { migrations: vec![migration], ..Updates::default() };
    network.place(5, 1);
    network.submit(5, ForwardScope::Fleet, updates);
    // One step for each of the four hosts on its way.
    network.run(REMOTE_DELAY + 4 * STEP);
    let held = network.hosts.iter().filter(|host| host.distribution.due_at().is_some()).count();
    assert_eq!(held, 0, "all relays have forwarded it");
}

/// Thousands of endpoints join at once. A datagram holds 64 KB.
#[test]
fn many_endpoint_changes_are_sent_in_several_datagrams() {
    const ENDPOINTS: usize = 3_000;
    const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
    let mut network = Network::start(60);
    let entry = WireEndpoint { addr: "10.0.0.1:8000".to_owned(), ..WireEndpoint::default() };
    let change =
        |ix| WireEndpointChange { name: format!("i-{ix:010}"), entry: Some(entry.clone()) };
    let endpoint_changes = (0..ENDPOINTS).map(change).collect();
    let updates = Updates { endpoint_changes, ..Updates::default() };
    network.submit(5, ForwardScope::Fleet, updates);
    for _ in 0..20 {
        let largest = network.in_transit.iter().map(|(.., datagram)| datagram.frame.len()).max();
        assert!(largest.unwrap_or(0) <= MAX_DATAGRAM_BYTES, "{largest:?}");
        network.run(STEP);
    }
    let incomplete = network.hosts.iter().filter(|host| host.endpoints_received < ENDPOINTS);
    assert_eq!(incomplete.count(), 1, "all but the sender");
}

#[test]
fn a_datagram_with_an_unknown_scope_is_not_forwarded() {
    let mut network = Network::start(60);
    let sender = member(1);
    let host = &mut network.hosts[0];
    let datagram = camphorloft_peer::wire::WireDatagram {
        forward: 9,
        placements: vec![WirePlacement::default()],
        ..host.link.empty_datagram()
    };
    assert!(host.distribution.receive(&sender, &datagram, network.now).is_err());
    assert_eq!(host.distribution.due_at(), None);
}

/// All 194 other hosts fetched a new version from the host that had read it.
#[test]
fn few_hosts_fetch_a_new_version_from_the_same_one() {
    const HOSTS: usize = 195;
    let mut network = Network::start(HOSTS);
    let mut informed: BTreeSet<usize> = BTreeSet::from([0]);
    let mut announcing = vec![0];
    while let Some(from) = announcing.pop() {
        let mut out = Vec::new();
        let host = &mut network.hosts[from];
        host.distribution.announce_version(&mut host.link, from == 0, network.now, &mut out);
        let recipients: Vec<usize> =
            out.iter().map(|datagram| network.by_addr[&datagram.to]).collect();
        assert!(
            recipients.len() <= HOSTS / ZONES.len() + 2 * ZONES.len(),
            "{from} to {recipients:?}"
        );
        announcing.extend(recipients.into_iter().filter(|to| informed.insert(*to)));
    }
    assert_eq!(informed.len(), HOSTS);
}

/// Bytes that a statement adds to a datagram are received by every host of a fleet, and sent to each
/// host of a zone by its relay.
#[test]
fn statement_of_a_queue_takes_few_bytes() {
    let queue =
        WireQueueState { host: u32::MAX, service: u32::MAX, priority: 9, tokens: 2_000_000 };
    let datagram = WireDatagram { queues: vec![queue], ..WireDatagram::default() };
    assert!(datagram.encoded_len() <= 19, "{} bytes", datagram.encoded_len());
}
