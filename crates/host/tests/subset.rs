//! Which hosts use which endpoints of a service with many.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_host::subset_table::{Recipients, SubsetTable};
use camphorloft_membership::{Member, MemberState};
use camphorloft_types::prelude::*;

/// Hosts and endpoints of each region.
const HOSTS: usize = 33;
const ENDPOINTS: usize = 330;
/// Maximum number of endpoints of one host, as a multiple of the mean.
const MAX_SKEW: f64 = 1.7;

fn zone(region: usize) -> AvailabilityZone {
    format!("z{region}").parse().unwrap()
}

fn member(region: usize, ix: usize) -> Member {
    let addr = format!("10.{region}.0.{ix}:7000").parse().unwrap();
    Member {
        host: format!("h{region}-{ix}").parse().unwrap(),
        addr,
        http_addr: addr,
        region: format!("r{region}").parse().unwrap(),
        zone: zone(region),
        started_ms: 1,
        incarnation: Incarnation(1),
        state: MemberState::Alive,
        suspected_by: None,
    }
}

fn entry(region: usize, ix: usize, born: u64) -> EndpointEntry {
    EndpointEntry {
        name: format!("e{region}-{ix}").parse().unwrap(),
        process_start: ProcessStart(born),
        addr: "127.0.0.1:9".parse().unwrap(),
        service: "fleet".parse().unwrap(),
        software: None,
        zone: zone(region),
        slots: 24,
        draining: false,
        warmup_remaining: Duration::ZERO,
    }
}

struct Host {
    own: Member,
    fleet: Fleet,
    table: SubsetTable,
}

impl Host {
    fn new(own: Member, endpoints: usize, now: Instant) -> Self {
        let regions = (0..3).map(|region| (zone(region), member(region, 0).region)).collect();
        let locality = Locality { zone: own.zone.clone(), region: own.region.clone(), regions };
        let mut fleet = Fleet::new(locality);
        for region in 0..3 {
            for ix in 0..endpoints {
                fleet.upsert(entry(region, ix, 1), now, &mut Vec::new());
            }
        }
        Self { own, fleet, table: SubsetTable::default() }
    }

    fn update(&mut self, hosts: &[Member], revision: u64, now: Instant) {
        let others: Vec<Member> = hosts.iter().filter(|m| **m != self.own).cloned().collect();
        assert!(self.table.is_outdated(&self.fleet, revision, now));
        self.table.update(&mut self.fleet, &self.own.host, &others, revision, now);
    }

    fn subset(&self) -> Vec<EndpointName> {
        let used = self.fleet.iter().filter(|(_, endpoint)| endpoint.in_subset);
        used.map(|(_, endpoint)| endpoint.entry.name.clone()).collect()
    }
}

/// Returns the hosts of the first region, each with its subset.
fn region(endpoints: usize, now: Instant) -> (Vec<Member>, Vec<Host>) {
    let members: Vec<Member> = (0..HOSTS).map(|ix| member(0, ix)).collect();
    let mut hosts: Vec<Host> =
        members.iter().map(|own| Host::new(own.clone(), endpoints, now)).collect();
    for host in &mut hosts {
        host.update(&members, 1, now);
    }
    (members, hosts)
}

fn use_counts(hosts: &[Host]) -> BTreeMap<EndpointName, usize> {
    let mut counts = BTreeMap::new();
    for name in hosts.iter().flat_map(Host::subset) {
        *counts.entry(name).or_default() += 1;
    }
    counts
}

#[test]
fn every_host_uses_all_endpoints_of_a_service_with_few() {
    let (_, hosts) = region(40, Instant::now());
    assert!(hosts.iter().all(|host| host.subset().len() == 3 * 40));
    let host = &hosts[0];
    let (ix, _) = host.fleet.iter().next().unwrap();
    let recipients = host.table.recipients(&host.fleet, ix, std::iter::empty());
    assert_eq!(recipients, Recipients::All);
}

#[test]
fn each_endpoint_of_a_service_with_many_is_used_by_a_few_hosts_of_its_region() {
    let (members, hosts) = region(ENDPOINTS, Instant::now());
    let counts = use_counts(&hosts);
    assert_eq!(counts.len(), ENDPOINTS, "each endpoint of the region is used");
    let per_endpoint: Vec<usize> = counts.values().copied().collect();
    assert!(per_endpoint.iter().all(|count| *count == per_endpoint[0]), "{per_endpoint:?}");
    let mean = (ENDPOINTS * per_endpoint[0]) as f64 / HOSTS as f64;
    for host in &hosts {
        let used = host.subset().len() as f64;
        assert!(used <= mean * MAX_SKEW && used >= mean / MAX_SKEW, "{used} of {mean}");
    }
    // Updates go to the other hosts that use the endpoint, and one of them polls it.
    let host = &hosts[0];
    for name in host.subset() {
        let ix = host.fleet.find(&name).unwrap();
        let recipients = host.table.recipients(&host.fleet, ix, members.iter());
        let Recipients::Hosts(others) = recipients else { panic!("sent to all") };
        assert_eq!(others.len(), per_endpoint[0] - 1);
        let ranks = hosts.iter().filter_map(|host| host.table.rank(ix)).collect::<Vec<_>>();
        assert_eq!(ranks.iter().filter(|rank| **rank == 0).count(), 1, "{ranks:?}");
    }
}

/// Two hosts are lost, and half of the others do not know yet.
#[test]
fn no_endpoint_is_left_without_hosts_while_views_differ() {
    let now = Instant::now();
    let (members, mut hosts) = region(ENDPOINTS, now);
    let later = now + Duration::from_secs(1);
    let before = use_counts(&hosts);
    hosts.drain(..2);
    for host in hosts.iter_mut().step_by(2) {
        host.update(&members[2..], 2, later);
    }
    let after = use_counts(&hosts);
    assert_eq!(after.len(), ENDPOINTS);
    let changed = before.iter().filter(|(name, count)| after[*name] + 2 < **count).count();
    assert_eq!(changed, 0, "an endpoint lost more hosts than stopped");
}

#[test]
fn a_replaced_endpoint_is_ranked_again() {
    let now = Instant::now();
    let (members, mut hosts) = region(ENDPOINTS, now);
    let host = &mut hosts[0];
    host.fleet.upsert(entry(0, 0, 2), now, &mut Vec::new());
    host.update(&members, 1, now);
    let ix = host.fleet.find(&"e0-0".parse().unwrap()).unwrap();
    assert_eq!(host.table.rank(ix).is_some(), host.fleet.get(ix).unwrap().in_subset);
}
