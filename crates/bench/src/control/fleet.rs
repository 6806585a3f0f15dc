//! Many control planes in one process, each with its own sockets and threads.

use std::collections::{BTreeMap, HashSet};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};

use camphorloft_config::{Findings, RawSet};
use camphorloft_daemon::config_state::ConfigState;
use camphorloft_daemon::control_plane::{ControlPlane, ControlSetup};
use camphorloft_daemon::peer_link::{
    ControlListener, DatagramLoss, LinkSetup, PeerLink, start_link,
};
use camphorloft_decide::poison::CrashCount;
use camphorloft_gateway::control::ServingSet;
use camphorloft_membership::settings::MembershipSettings;
use camphorloft_membership::{Member, MemberState};
use camphorloft_peer::link::LinkConfig;
use camphorloft_peer::seal::FrameKeys;
use camphorloft_peer::wire::WirePlacement;
use camphorloft_platform::http::HttpPlatform;
use camphorloft_platform::publication::{Proposal, fetch_current, propose};
use camphorloft_platform::wire::HostEntry;
use camphorloft_standins::platform_http::{PlatformHandle, start_platform};
use camphorloft_types::prelude::*;
use serde_json::json;
use slog::{Discard, Logger, o};

/// Number of regions of the largest intended deployment.
const REGIONS: usize = 5;
/// Number of availability zones of the largest intended deployment.
const ZONES: usize = 12;
/// Number of organisations in the object set.
const ORGANISATIONS: usize = 660;
const SECRET: &[u8] = b"a-secret-that-all-hosts-share";

/// Ignores events: the experiment polls the state instead.
struct IgnoreEvents;

impl ControlListener for IgnoreEvents {
    fn config_in_force(&self, _serving: Arc<ServingSet>, _source: &str) {}
    fn crash_count(&self, _crash_count: CrashCount) {}
    fn placements(&self, _placements: Vec<WirePlacement>) {}
    fn live_hosts(&self, _hosts: Vec<Member>) {}
    fn draining_addresses(&self, _addresses: HashSet<String>) {}
}

/// One control plane.
pub struct FleetHost {
    /// Configuration in force.
    pub config: ConfigState,
    /// Threads of the control plane; `None` after it was stopped.
    pub link: Option<PeerLink>,
}

/// Many control planes that share one platform.
pub struct Fleet {
    /// The stand-in platform.
    pub platform: PlatformHandle,
    /// Control planes, including stopped ones.
    pub hosts: Vec<FleetHost>,
    /// Loss rate of datagrams.
    pub loss: DatagramLoss,
    proposals: u64,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns an object set of the largest intended deployment. Different weights make its versions
/// distinct.
fn object_set(weight: u64) -> Result<RawSet, Findings> {
    let organisation = |ix: usize| {
        let hash = format!("{ix:064x}");
        let weight = if ix == 0 { weight } else { 1 };
        (format!("organisation-{ix}"), json!({ "key_hash": hash, "weight": weight }))
    };
    let organisations: BTreeMap<_, _> = (0..ORGANISATIONS).map(organisation).collect();
    RawSet::parse(&json!({ "organisations": organisations }).to_string())
}

impl Fleet {
    /// Starts a platform with an initial configuration version, and `count` control planes.
    pub fn start(count: usize) -> io::Result<Self> {
        let platform = start_platform(loopback())?;
        let loss = DatagramLoss::default();
        let mut fleet = Self { platform, hosts: Vec::new(), loss, proposals: 0 };
        fleet.propose()?;
        for ix in 0..count {
            let host = fleet.start_host(ix, count)?;
            fleet.hosts.push(host);
        }
        Ok(fleet)
    }

    fn start_host(&self, ix: usize, count: usize) -> io::Result<FleetHost> {
        let listener = TcpListener::bind(loopback())?;
        let addr = listener.local_addr()?;
        let socket = UdpSocket::bind(addr)?;
        let name = format!("host-{ix}");
        let (region, zone) = (format!("region-{}", ix % REGIONS), format!("zone-{}", ix % ZONES));
        let own = Member {
            host: name.parse().map_err(io::Error::other)?,
            addr,
            http_addr: addr,
            region: region.parse().map_err(io::Error::other)?,
            zone: zone.parse().map_err(io::Error::other)?,
            incarnation: Incarnation(1),
            started_ms: 1,
            state: MemberState::Alive,
            suspected_by: None,
        };
        let entry = HostEntry {
            name: name.clone(),
            addr: addr.to_string(),
            http_addr: Some(addr.to_string()),
            region,
            zone,
            leaving: false,
        };
        self.platform.platform.state().set_host(&name, Some(entry));
        let config = ConfigState::default();
        let keys = FrameKeys::derive(&[SECRET.to_vec()]);
        let link = LinkConfig {
            own,
            membership: MembershipSettings::default(),
            keys: keys.clone(),
            started_ms: 1,
            seed: ix as u64,
        };
        let setup = ControlSetup { link, config: config.clone() };
        let link = start_link(LinkSetup {
            plane: ControlPlane::new(setup, Instant::now()),
            socket,
            listener,
            platform: Arc::new(HttpPlatform::new(self.platform.addr)),
            config: config.clone(),
            keys,
            events: Arc::new(IgnoreEvents),
            seeds: Vec::new(),
            expected_hosts: count as u32,
            loss: self.loss.clone(),
            log: Logger::root(Discard, o!()),
        })?;
        Ok(FleetHost { config, link: Some(link) })
    }

    /// Publishes the next version and returns it.
    pub fn propose(&mut self) -> io::Result<ConfigVersion> {
        let platform = HttpPlatform::new(self.platform.addr);
        let base = fetch_current(&platform).map_err(io::Error::other)?.version;
        self.proposals += 1;
        let set = object_set(self.proposals).map_err(io::Error::other)?;
        let proposal = Proposal {
            id: format!("proposal-{}", self.proposals),
            author: "bench".to_owned(),
            base,
            set,
        };
        propose(&platform, &proposal).map_err(io::Error::other)
    }

    /// Returns the running hosts.
    pub fn running(&self) -> impl Iterator<Item = (&FleetHost, &PeerLink)> {
        self.hosts.iter().filter_map(|host| host.link.as_ref().map(|link| (host, link)))
    }

    /// Stops hosts abruptly, without a notice to their peers.
    pub fn stop(&mut self, hosts: &[usize]) {
        for ix in hosts {
            self.hosts[*ix].link = None;
        }
    }

    /// Waits until `condition` is true for every running host or the timeout has passed. Returns
    /// the time for each host, `None` after a timeout.
    pub fn wait_each<Condition>(
        &self,
        timeout: Duration,
        condition: Condition,
    ) -> Vec<Option<Duration>>
    where
        Condition: Fn(&FleetHost, &PeerLink) -> bool,
    {
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        let started = Instant::now();
        let running: Vec<(&FleetHost, &PeerLink)> = self.running().collect();
        let mut times = vec![None; running.len()];
        while started.elapsed() < timeout && times.iter().any(Option::is_none) {
            for (ix, (host, link)) in running.iter().enumerate() {
                if times[ix].is_none() && condition(host, link) {
                    times[ix] = Some(started.elapsed());
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        times
    }
}
