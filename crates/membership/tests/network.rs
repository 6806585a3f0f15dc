//! Membership views over a simulated network in virtual time, with packet loss, broken links,
//! partitions and restarts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use camphorloft_membership::settings::MembershipSettings;
use camphorloft_membership::{Member, MemberState, Membership, Outgoing};
use camphorloft_types::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const TICK: Duration = Duration::from_millis(100);
const REGIONS: usize = 3;
/// Time from the start of the hosts of a large deployment to its first requests.
const START_TO_TRAFFIC: Duration = Duration::from_secs(14);

/// A simulated network of membership views.
struct Network {
    now: Instant,
    /// Membership records sent, of which a message carries the sender's and its updates.
    records_sent: usize,
    views: Vec<Option<Membership>>,
    loss: f64,
    /// Pairs of sender and receiver between which all messages are dropped.
    dropped_links: BTreeSet<(usize, usize)>,
    rng: Pcg64Mcg,
}

fn addr(ix: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (ix / 250) as u8, (ix % 250) as u8], 7000))
}

fn host_at(addr: SocketAddr) -> usize {
    match addr {
        SocketAddr::V4(v4) => {
            usize::from(v4.ip().octets()[2]) * 250 + usize::from(v4.ip().octets()[3])
        }
        SocketAddr::V6(_) => panic!("expected an IPv4 address"),
    }
}

fn member(ix: usize, incarnation: u64) -> Member {
    Member {
        host: format!("host-{ix}").parse().unwrap(),
        addr: addr(ix),
        http_addr: addr(ix),
        region: format!("region-{}", ix % REGIONS).parse().unwrap(),
        zone: format!("zone-{}", ix % REGIONS).parse().unwrap(),
        incarnation: Incarnation(incarnation),
        started_ms: incarnation,
        state: MemberState::Alive,
        suspected_by: None,
    }
}

impl Network {
    fn start(count: usize, seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let mut network = Self {
            now: Instant::now(),
            records_sent: 0,
            views: Vec::new(),
            loss: 0.0,
            dropped_links: BTreeSet::new(),
            rng,
        };
        for ix in 0..count {
            let view = network.new_view(ix, 1, count);
            network.views.push(Some(view));
        }
        network
    }

    fn new_view(&self, ix: usize, incarnation: u64, count: usize) -> Membership {
        let own = member(ix, incarnation);
        let seed = incarnation * 1000 + ix as u64;
        let mut view = Membership::new(own, MembershipSettings::default(), seed, self.now);
        for other in 0..count {
            view.add_seed(member(other, 0), self.now);
        }
        view
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK;
            let mut out: Vec<(usize, Outgoing)> = Vec::new();
            for ix in 0..self.views.len() {
                let mut sent = Vec::new();
                if let Some(view) = &mut self.views[ix] {
                    view.tick(self.now, &mut sent);
                }
                out.extend(sent.into_iter().map(|outgoing| (ix, outgoing)));
            }
            self.deliver(out);
        }
    }

    /// Delivers messages and all replies to them.
    fn deliver(&mut self, mut out: Vec<(usize, Outgoing)>) {
        while let Some((from, outgoing)) = out.pop() {
            let to = host_at(outgoing.to);
            self.records_sent += 1 + outgoing.message.updates.len();
            if self.dropped_links.contains(&(from, to)) || self.rng.random_bool(self.loss) {
                continue;
            }
            let Some(Some(view)) = self.views.get_mut(to) else { continue };
            let mut replies = Vec::new();
            view.receive(addr(from), &outgoing.message, self.now, &mut replies);
            out.extend(replies.into_iter().map(|reply| (to, reply)));
        }
    }

    /// Returns, for each running host, the hosts that it has in a state.
    fn hosts_in_state(&self, state: MemberState) -> BTreeMap<usize, BTreeSet<usize>> {
        let running = self.views.iter().enumerate();
        let running = running.filter_map(|(ix, view)| view.as_ref().map(|view| (ix, view)));
        running
            .map(|(ix, view)| {
                let seen = view.members().filter(|known| known.member.state == state);
                (ix, seen.map(|known| host_at(known.member.addr)).collect())
            })
            .collect()
    }

    fn evictions(&self) -> u64 {
        self.views.iter().flatten().map(Membership::evictions).sum()
    }

    fn all_see_all_alive(&self) -> bool {
        let count = self.views.len() - 1;
        self.hosts_in_state(MemberState::Alive).values().all(|seen| seen.len() == count)
    }
}

#[test]
fn all_hosts_declare_a_stopped_host_dead() {
    let mut network = Network::start(24, 1);
    network.run(Duration::from_secs(10));
    assert!(network.all_see_all_alive());
    network.views[5] = None;
    network.run(Duration::from_secs(20));
    let dead = network.hosts_in_state(MemberState::Dead);
    assert!(dead.values().all(|seen| *seen == BTreeSet::from([5])), "{dead:?}");
}

#[test]
fn packet_loss_evicts_no_host() {
    for (seed, loss) in [(1, 0.01), (2, 0.05), (3, 0.05), (4, 0.10)] {
        let mut network = Network::start(32, seed);
        network.loss = loss;
        network.run(Duration::from_secs(120));
        assert_eq!(network.evictions(), 0, "seed {seed} loss {loss}");
    }
}

#[test]
fn one_broken_link_evicts_no_host() {
    let mut network = Network::start(12, 7);
    network.run(Duration::from_secs(5));
    // Messages from host 3 to host 0 are dropped, while those from 0 to 3 arrive.
    network.dropped_links.insert((3, 0));
    network.run(Duration::from_secs(120));
    assert_eq!(network.evictions(), 0);
    // Messages in both directions are dropped.
    network.dropped_links.insert((0, 3));
    network.run(Duration::from_secs(120));
    assert_eq!(network.evictions(), 0);
}

#[test]
fn a_third_of_the_hosts_stops_at_once() {
    let mut network = Network::start(30, 11);
    network.run(Duration::from_secs(5));
    for ix in 0..10 {
        network.views[ix] = None;
    }
    network.run(Duration::from_secs(40));
    let stopped: BTreeSet<usize> = (0..10).collect();
    let dead = network.hosts_in_state(MemberState::Dead);
    assert!(dead.values().all(|seen| *seen == stopped), "{dead:?}");
}

#[test]
fn regions_merge_after_a_partition_of_minutes() {
    let mut network = Network::start(18, 13);
    network.run(Duration::from_secs(5));
    for a in 0..18 {
        for b in 0..18 {
            if (a % REGIONS == 0) != (b % REGIONS == 0) {
                network.dropped_links.insert((a, b));
            }
        }
    }
    network.run(Duration::from_secs(300));
    assert!(!network.all_see_all_alive());
    network.dropped_links.clear();
    network.run(Duration::from_secs(240));
    assert!(network.all_see_all_alive(), "{:?}", network.hosts_in_state(MemberState::Dead));
}

#[test]
fn a_restarted_host_replaces_its_previous_process() {
    let mut network = Network::start(10, 17);
    network.run(Duration::from_secs(5));
    for round in 2..6 {
        for ix in 0..10 {
            network.views[ix] = Some(network.new_view(ix, round, 10));
            network.run(Duration::from_millis(500));
        }
    }
    network.run(Duration::from_secs(60));
    assert!(network.all_see_all_alive());
}

#[test]
fn a_host_that_leaves_is_not_suspected() {
    let mut network = Network::start(8, 19);
    network.run(Duration::from_secs(5));
    let mut out = Vec::new();
    if let Some(view) = &mut network.views[2] {
        view.leave(&mut out);
    }
    for outgoing in out {
        let to = host_at(outgoing.to);
        let now = network.now;
        let mut replies = Vec::new();
        if let Some(view) = &mut network.views[to] {
            view.receive(addr(2), &outgoing.message, now, &mut replies);
        }
    }
    network.views[2] = None;
    network.run(Duration::from_secs(20));
    assert_eq!(network.evictions(), 0);
    let left = network.hosts_in_state(MemberState::Left);
    assert!(left.values().all(|seen| *seen == BTreeSet::from([2])), "{left:?}");
}

/// All hosts of a large fleet start at once. Each knows three seeds and a few of the hosts that
/// announced themselves before it read the list.
#[test]
fn all_views_of_a_fleet_that_starts_at_once_are_soon_complete() {
    const HOSTS: usize = 195;
    const CONTACTS: usize = 4;
    for seed in 1..4 {
        let mut network = Network::start(0, seed);
        for ix in 0..HOSTS {
            let own = member(ix, 1);
            let settings = MembershipSettings::default();
            let mut view = Membership::new(own, settings, seed * 1000 + ix as u64, network.now);
            let mut out = Vec::new();
            for _ in 0..CONTACTS {
                let contact = network.rng.random_range(0..ix.max(3));
                view.request_sync(addr(contact), &mut out);
            }
            network.views.push(Some(view));
            network.deliver(out.into_iter().map(|outgoing| (ix, outgoing)).collect());
        }
        network.run(START_TO_TRAFFIC);
        let seen = network.hosts_in_state(MemberState::Alive);
        let incomplete = seen.values().filter(|seen| seen.len() != HOSTS - 1).count();
        assert_eq!(incomplete, 0, "seed {seed}");
        // Views sent at the join and in the first synchronisation, and as much again for the gossip.
        let limit = HOSTS * HOSTS * (CONTACTS + 1) * 2;
        assert!(network.records_sent <= limit, "seed {seed}: {} records", network.records_sent);
    }
}
