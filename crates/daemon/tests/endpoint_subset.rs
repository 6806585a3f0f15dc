//! Endpoints are assigned evenly, and the loss of a host reassigns only its own endpoints.

use std::collections::{BTreeMap, BTreeSet};

use camphorloft_daemon::endpoint_subset::{EndpointSubset, HOSTS_PER_ENDPOINT};
use camphorloft_membership::{Member, MemberState};
use camphorloft_types::prelude::*;

const HOSTS: usize = 88;
const ENDPOINTS: usize = 1080;

fn member(ix: usize) -> Member {
    Member {
        host: format!("host-{ix}").parse().unwrap(),
        addr: "127.0.0.1:1".parse().unwrap(),
        http_addr: "127.0.0.1:1".parse().unwrap(),
        region: "r".parse().unwrap(),
        zone: "z".parse().unwrap(),
        incarnation: Incarnation(1),
        started_ms: 1,
        state: MemberState::Alive,
        suspected_by: None,
    }
}

/// Returns the endpoints of each host when the given hosts are live.
fn subsets(live: &[usize]) -> BTreeMap<usize, BTreeSet<usize>> {
    let region: Region = "r".parse().unwrap();
    let mut all = BTreeMap::new();
    for own in live {
        let mut subset = EndpointSubset::new(member(*own).host, region.clone());
        let others: Vec<Member> =
            live.iter().filter(|ix| *ix != own).map(|ix| member(*ix)).collect();
        subset.set_live(&others);
        let own_endpoints = (0..ENDPOINTS)
            .filter(|ix| subset.includes(&format!("engine-{ix}").parse().unwrap(), &region));
        all.insert(*own, own_endpoints.collect());
    }
    all
}

#[test]
fn each_endpoint_has_its_number_of_hosts_and_the_load_is_balanced() {
    let all = subsets(&(0..HOSTS).collect::<Vec<_>>());
    let total: usize = all.values().map(BTreeSet::len).sum();
    assert_eq!(total, ENDPOINTS * HOSTS_PER_ENDPOINT);
    let mean = total / HOSTS;
    let most = all.values().map(BTreeSet::len).max().unwrap();
    assert!(most < 2 * mean, "{most} endpoints for a mean of {mean}");
}

#[test]
fn the_loss_of_a_host_reassigns_only_its_endpoints() {
    let before = subsets(&(0..HOSTS).collect::<Vec<_>>());
    let after = subsets(&(1..HOSTS).collect::<Vec<_>>());
    for (host, endpoints) in &after {
        assert!(endpoints.is_superset(&before[host]));
        let gained = endpoints.difference(&before[host]);
        assert!(gained.into_iter().all(|endpoint| before[&0].contains(endpoint)));
    }
}
