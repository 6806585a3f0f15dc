//! The threads of the control plane, which exchange datagrams with other hosts, fetch object sets
//! and read the platform's host list.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use camphorloft_decide::poison::CrashCount;
use camphorloft_gateway::control::ServingSet;
use camphorloft_membership::{Member, MemberState};
use camphorloft_peer::link::{Datagram, LinkCounts};
use camphorloft_peer::seal::FrameKeys;
use camphorloft_peer::wire::WirePlacement;
use camphorloft_platform::api::PlatformApi;
use camphorloft_platform::publication::PublishedDelta;
use camphorloft_types::prelude::*;
use cpu_time::ThreadTime;
use rand::Rng;
use serde::Serialize;
use slog::{Logger, debug};

use crate::config_exchange::serve_config;
use crate::config_fetcher::Fetcher;
use crate::config_state::ConfigState;
use crate::control_plane::{ControlEvent, ControlPlane};

/// Interval between two ticks of the protocol.
pub(crate) const TICK: Duration = Duration::from_millis(100);
/// Interval between two updates of the rows that operators read.
const ROWS_INTERVAL: Duration = Duration::from_millis(500);
/// Size of the receive buffer, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// Interval between two attempts to find hosts through the seed addresses of the settings.
const SEED_RETRY: Duration = Duration::from_secs(1);

/// Receives the events of a control plane.
pub trait ControlListener: Send + Sync + 'static {
    /// A version from `source` came into force.
    fn config_in_force(&self, serving: Arc<ServingSet>, source: &str);

    /// Another host reported the crash count of a fingerprint.
    fn crash_count(&self, crash_count: CrashCount);

    /// Another host announced placements.
    fn placements(&self, placements: Vec<WirePlacement>);

    /// The set of other live hosts changed.
    fn live_hosts(&self, hosts: Vec<Member>);

    /// The platform's host list was read and marks these addresses as draining.
    fn draining_addresses(&self, addresses: HashSet<String>);
}

/// Drops a fraction of the received datagrams, for experiments. Drops none by default.
#[derive(Clone, Debug, Default)]
pub struct DatagramLoss {
    per_million: Arc<AtomicU32>,
}

impl DatagramLoss {
    /// Sets the fraction of datagrams to drop, from 0 to 1.
    pub fn set(&self, fraction: f64) {
        self.per_million.store((fraction * 1e6) as u32, Ordering::Relaxed);
    }

    fn should_drop(&self) -> bool {
        let per_million = self.per_million.load(Ordering::Relaxed);
        per_million > 0 && rand::rng().random_ratio(per_million.min(1_000_000), 1_000_000)
    }
}

/// A request to the control plane's thread.
pub(crate) enum LinkRequest {
    Announce(ConfigVersion, Option<PublishedDelta>),
    CrashCount(CrashCount),
    Placement(WirePlacement),
    Seeds(Vec<Member>),
    Leave,
}

/// One member in the operator interface.
#[derive(Clone, Debug, Serialize)]
pub struct MemberRow {
    /// Name.
    pub host: String,
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
    /// State.
    pub state: String,
    /// Address for clients and operators.
    pub http_addr: String,
    /// Version of the object set that it last reported.
    pub config_version: u64,
    /// Incarnation.
    pub incarnation: u64,
}

/// State that the threads share.
pub(crate) struct LinkState {
    rows: Mutex<Vec<MemberRow>>,
    counts: Mutex<LinkCounts>,
    cpu_micros: AtomicU64,
    evictions: AtomicU64,
    pub(crate) live: AtomicU32,
    dead: AtomicU32,
}

/// Inputs to [`start_link`].
pub struct LinkSetup<P, L>
where
    P: PlatformApi,
    L: ControlListener,
{
    /// The protocol state.
    pub plane: ControlPlane,
    /// Socket for datagrams.
    pub socket: UdpSocket,
    /// Listener for fetches, on the same port.
    pub listener: TcpListener,
    /// The platform.
    pub platform: Arc<P>,
    /// The version in force.
    pub config: ConfigState,
    /// Keys derived from the shared secrets.
    pub keys: FrameKeys,
    /// Receives events.
    pub events: Arc<L>,
    /// Seed addresses of the settings.
    pub seeds: Vec<SocketAddr>,
    /// Number of hosts between which the platform's reads are divided, until more are known.
    pub expected_hosts: u32,
    /// Loss of received datagrams, for experiments.
    pub loss: DatagramLoss,
    /// Log.
    pub log: Logger,
}

/// A running control plane.
pub struct PeerLink {
    requests: Sender<LinkRequest>,
    state: Arc<LinkState>,
    stop: Arc<AtomicBool>,
}

/// Starts the threads of a control plane.
///
/// # Errors
///
/// Returns the error of the sockets.
pub fn start_link<P, L>(setup: LinkSetup<P, L>) -> io::Result<PeerLink>
where
    P: PlatformApi,
    L: ControlListener,
{
    let (tx, rx) = channel();
    let state = Arc::new(LinkState {
        rows: Mutex::default(),
        counts: Mutex::default(),
        cpu_micros: AtomicU64::new(0),
        evictions: AtomicU64::new(0),
        live: AtomicU32::new(0),
        dead: AtomicU32::new(0),
    });
    let stop = Arc::new(AtomicBool::new(false));
    let (fetch_tx, fetch_rx) = channel();
    let (keys, config, stopped) = (setup.keys.clone(), setup.config.clone(), stop.clone());
    let listener = setup.listener;
    thread::spawn(move || serve_config(&listener, &keys, &config, &stopped));
    let fetcher = Fetcher {
        platform: setup.platform,
        config: setup.config,
        keys: setup.keys,
        events: setup.events.clone(),
        requests: tx.clone(),
        state: state.clone(),
        expected_hosts: setup.expected_hosts,
        log: setup.log.clone(),
        stop: stop.clone(),
    };
    thread::spawn(move || fetcher.run(&fetch_rx));
    let worker = LinkWorker {
        plane: setup.plane,
        socket: setup.socket,
        events: setup.events,
        fetches: fetch_tx,
        requests: rx,
        seeds: setup.seeds,
        loss: setup.loss,
        state: state.clone(),
        stop: stop.clone(),
        live: HashMap::new(),
        log: setup.log,
    };
    thread::Builder::new().name("control".to_owned()).spawn(move || worker.run())?;
    Ok(PeerLink { requests: tx, state, stop })
}

impl PeerLink {
    /// Gossips the crash count of a fingerprint that this host recorded.
    pub fn gossip_crash_count(&self, crash_count: CrashCount) {
        // The receiving thread stops only with the host.
        let _ = self.requests.send(LinkRequest::CrashCount(crash_count));
    }

    /// Announces a placement to other hosts.
    pub fn announce_placement(&self, placement: WirePlacement) {
        let _ = self.requests.send(LinkRequest::Placement(placement));
    }

    /// Announces to other hosts that this one leaves.
    pub fn leave(&self) {
        let _ = self.requests.send(LinkRequest::Leave);
    }

    /// Returns every known host, this one first.
    pub fn rows(&self) -> Vec<MemberRow> {
        self.state.rows.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the number of other hosts considered alive.
    pub fn live(&self) -> u32 {
        self.state.live.load(Ordering::Relaxed)
    }

    /// Returns the number of other hosts considered dead.
    pub fn dead(&self) -> u32 {
        self.state.dead.load(Ordering::Relaxed)
    }

    /// Returns the counts of datagrams.
    pub fn counts(&self) -> LinkCounts {
        *self.state.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the processor time that the control plane's threads have used.
    pub fn cpu_time(&self) -> Duration {
        Duration::from_micros(self.state.cpu_micros.load(Ordering::Relaxed))
    }

    /// Returns the number of hosts that this host declared dead.
    pub fn evictions(&self) -> u64 {
        self.state.evictions.load(Ordering::Relaxed)
    }
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// The thread that owns the protocol state.
struct LinkWorker<L>
where
    L: ControlListener,
{
    plane: ControlPlane,
    socket: UdpSocket,
    events: Arc<L>,
    fetches: Sender<(SocketAddr, ConfigVersion)>,
    requests: Receiver<LinkRequest>,
    seeds: Vec<SocketAddr>,
    loss: DatagramLoss,
    state: Arc<LinkState>,
    stop: Arc<AtomicBool>,
    live: HashMap<HostName, u64>,
    log: Logger,
}

impl<L> LinkWorker<L>
where
    L: ControlListener,
{
    fn run(mut self) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        let mut out = Vec::new();
        let mut next_tick = Instant::now();
        let mut next_seed = Instant::now();
        let mut next_rows = Instant::now();
        let mut cpu = ThreadTime::now();
        while !self.stop.load(Ordering::Relaxed) {
            self.receive_until(next_tick, &mut buf, &mut out);
            self.handle_requests(&mut out);
            let now = Instant::now();
            if now >= next_tick {
                next_tick = now + TICK;
                self.plane.tick(now, &mut out);
                if now >= next_seed && self.live.is_empty() && !self.seeds.is_empty() {
                    next_seed = now + SEED_RETRY;
                    self.plane.request_sync(&self.seeds, &mut out);
                }
                self.publish();
                if now >= next_rows {
                    next_rows = now + ROWS_INTERVAL;
                    self.publish_rows();
                }
                add_cpu_time(&self.state, &mut cpu);
            }
            self.send_all(&mut out);
        }
    }

    /// Receives and handles datagrams until the deadline.
    fn receive_until(&mut self, deadline: Instant, buf: &mut [u8], out: &mut Vec<Datagram>) {
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            if self.socket.set_read_timeout(Some(left)).is_err() {
                return;
            }
            let Ok((len, from)) = self.socket.recv_from(buf) else { return };
            if self.loss.should_drop() {
                continue;
            }
            self.receive(from, &buf[..len], out);
            self.send_all(out);
        }
    }

    fn receive(&mut self, from: SocketAddr, frame: &[u8], out: &mut Vec<Datagram>) {
        let mut events = Vec::new();
        self.plane.receive(from, frame, Instant::now(), out, &mut events);
        for event in events {
            match event {
                ControlEvent::InForce(serving) => self.events.config_in_force(serving, "peer"),
                ControlEvent::Fetch(peer, version) => {
                    // The fetcher stops only with the host.
                    let _ = self.fetches.send((peer, version));
                }
                ControlEvent::CrashCount(crash_count) => self.events.crash_count(crash_count),
                ControlEvent::Placements(placements) => self.events.placements(placements),
            }
        }
    }

    fn handle_requests(&mut self, out: &mut Vec<Datagram>) {
        let mut placements = Vec::new();
        while let Ok(request) = self.requests.try_recv() {
            match request {
                LinkRequest::Announce(version, delta) => {
                    self.plane.announce(version, delta.as_ref(), out);
                }
                LinkRequest::CrashCount(count) => self.plane.gossip_crash_count(count, out),
                LinkRequest::Placement(placement) => placements.push(placement),
                LinkRequest::Seeds(seeds) => {
                    for seed in seeds {
                        self.plane.add_seed(seed, Instant::now());
                    }
                }
                LinkRequest::Leave => self.plane.leave(out),
            }
        }
        self.plane.announce_placements(&placements, out);
    }

    fn send_all(&self, out: &mut Vec<Datagram>) {
        for datagram in out.drain(..) {
            // A datagram that cannot be sent is treated as lost.
            if let Err(err) = self.socket.send_to(&datagram.frame, datagram.to) {
                debug!(self.log, "datagram not sent"; "to" => %datagram.to, "error" => %err);
            }
        }
    }

    /// Publishes the state of the protocol that other threads read.
    fn publish(&mut self) {
        let count = self.plane.live().count();
        self.state.live.store(count as u32, Ordering::Relaxed);
        self.state.evictions.store(self.plane.evictions(), Ordering::Relaxed);
        *self.state.counts.lock().unwrap_or_else(PoisonError::into_inner) = self.plane.counts();
        let same = count == self.live.len()
            && self.plane.live().all(|m| self.live.get(&m.host) == Some(&m.started_ms));
        if !same {
            self.live = self.plane.live().map(|m| (m.host.clone(), m.started_ms)).collect();
            self.events.live_hosts(self.plane.live().cloned().collect());
        }
        let dead = self.plane.members().filter(|known| known.member.state == MemberState::Dead);
        self.state.dead.store(dead.count() as u32, Ordering::Relaxed);
    }

    /// Publishes the rows that operators read.
    fn publish_rows(&self) {
        let rows = self.rows();
        *self.state.rows.lock().unwrap_or_else(PoisonError::into_inner) = rows;
    }

    fn rows(&self) -> Vec<MemberRow> {
        let own = member_row(self.plane.own(), self.plane.config_version());
        let others = self.plane.members();
        let others = others.map(|known| member_row(&known.member, known.config_version));
        std::iter::once(own).chain(others).collect()
    }
}

fn member_row(member: &Member, config_version: ConfigVersion) -> MemberRow {
    MemberRow {
        host: member.host.to_string(),
        region: member.region.to_string(),
        zone: member.zone.to_string(),
        state: member.state.to_string(),
        http_addr: member.http_addr.to_string(),
        config_version: config_version.0,
        incarnation: member.incarnation.0,
    }
}

pub(crate) fn add_cpu_time(state: &LinkState, since: &mut ThreadTime) {
    let spent = since.elapsed();
    *since = ThreadTime::now();
    state.cpu_micros.fetch_add(spent.as_micros() as u64, Ordering::Relaxed);
}
