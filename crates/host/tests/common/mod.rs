//! A fleet of hosts that have discovered each other.

use std::rc::Rc;
use std::time::Instant;

use camphorloft_host::peers::Peers;
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
    }
}

/// Hosts of two regions, with their region.
pub const FLEET: [(&str, &str); 4] =
    [("n1", "north"), ("n2", "north"), ("s1", "south"), ("s2", "south")];

fn member(host: &str, region: &str) -> Member {
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
