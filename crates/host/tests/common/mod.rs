//! A fleet of hosts that have discovered each other.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::{EndpointEntry, Locality, ProcessStart, QuotaSettings};
use camphorloft_host::context::Host;
use camphorloft_host::peers::Peers;
use camphorloft_host::settings::HostSettings;
use camphorloft_membership::settings::MembershipSettings;
use camphorloft_membership::{Member, MemberState};
use camphorloft_peer::link::{Link, LinkConfig};
use camphorloft_peer::seal::FrameKeys;
use camphorloft_peer::wire::WireRegistryState;
use camphorloft_types::prelude::*;
use tokio::net::UdpSocket;

pub fn state(list_digest: u64, age_ms: u32) -> WireRegistryState {
    WireRegistryState {
        list_digest,
        list_age_ms: age_ms,
        version_age_ms: age_ms,
        reader: "h2".to_owned(),
        evacuations: None,
        list_asked_age_ms: Some(age_ms),
    }
}

/// Hosts of two regions, with their region.
pub const FLEET: [(&str, &str); 4] =
    [("n1", "north"), ("n2", "north"), ("s1", "south"), ("s2", "south")];

pub fn member(host: &str, region: &str) -> Member {
    let addr = "127.0.0.1:9".parse().unwrap();
    Member {
        host: host.parse().unwrap(),
        addr,
        http_addr: addr,
        region: region.parse().unwrap(),
        zone: format!("{region}-a").parse().unwrap(),
        started_ms: 1,
        incarnation: Incarnation(1),
        state: MemberState::Alive,
        suspected_by: None,
    }
}

/// Returns each host's state of the others, with all other hosts as live members.
pub async fn fleet(now: Instant) -> Vec<Peers> {
    let socket = Rc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    let views = FLEET.iter().map(|(own, region)| {
        let config = LinkConfig {
            own: member(own, region),
            membership: MembershipSettings::default(),
            keys: FrameKeys::derive(&[b"secret".to_vec()]),
            started_ms: 1,
            seed: 1,
        };
        let mut link = Link::new(config, now);
        for (host, region) in FLEET.iter().filter(|(host, _)| host != own) {
            link.membership_mut().add_seed(member(host, region), now);
        }
        let mut peers = Peers::new(own.parse().unwrap(), region.parse().unwrap(), 4);
        peers.connect(link, socket.clone());
        peers
    });
    views.collect()
}

fn settings(name: &str, region: &str) -> HostSettings {
    let addr = "127.0.0.1:9".parse().unwrap();
    let regions = [("north-a", "north"), ("south-a", "south")];
    let regions = regions.map(|(zone, region)| (zone.parse().unwrap(), region.parse().unwrap()));
    HostSettings {
        prioritised: false,
        host: name.parse().unwrap(),
        locality: Locality {
            zone: format!("{region}-a").parse().unwrap(),
            region: region.parse().unwrap(),
            regions: BTreeMap::from(regions),
        },
        clients: addr,
        readiness: addr,
        metrics: addr,
        peers: addr,
        endpoint_gateway: None,
        seeds: Vec::new(),
        is_first_start: false,
        registry_reads_per_s: None,
        memory: ByteSize(64 << 20),
        max_connections: 10,
        bandwidth: None,
        grace: Duration::from_secs(8),
        quota: QuotaSettings { window: Duration::from_secs(10), ratio: 0.2, extra: 50.0 },
    }
}

/// Returns a host without a wire format and a registry, which has discovered no other host.
pub fn host(name: &str, region: &str) -> Rc<Host<(), ()>> {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    Host::new(settings(name, region), (), (), log, 1)
}

/// Returns the entry of an endpoint.
pub fn entry(name: &str, zone: &str) -> EndpointEntry {
    EndpointEntry {
        name: name.parse().unwrap(),
        process_start: ProcessStart(1),
        addr: "127.0.0.1:9".parse().unwrap(),
        service: "fleet".parse().unwrap(),
        software: None,
        zone: zone.parse().unwrap(),
        slots: 6,
        draining: false,
        warmup_remaining: Duration::ZERO,
    }
}
