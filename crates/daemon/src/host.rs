//! Starts and stops a host.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use camphorloft_engine::client::EngineDeadlines;
use camphorloft_gateway::server::{Gateway, GatewaySettings};
use camphorloft_http::listener::bind;
use camphorloft_http::serve::{InFlightCount, serve};
use camphorloft_membership::settings::MembershipSettings;
use camphorloft_membership::{Member, MemberState};
use camphorloft_peer::link::LinkConfig;
use camphorloft_peer::seal::FrameKeys;
use camphorloft_platform::budget::CallBudget;
use camphorloft_platform::claims::start_claim_service;
use camphorloft_platform::http::HttpPlatform;
use camphorloft_types::prelude::Incarnation;
use rand::Rng;
use slog::{Logger, info, warn};

use crate::config_state::ConfigState;
use crate::control_plane::{ControlPlane, ControlSetup};
use crate::core::CoreSetup;
use crate::core_client::{CoreClient, CoreListener, CoreSender, Shared};
use crate::core_thread::{CoreMessage, run_core};
use crate::load_poller::{LoadPoller, PolledEndpoints};
use crate::model_keeper::ModelKeeper;
use crate::peer_link::{LinkSetup, LossSwitch, PeerLink, start_link};
use crate::settings::Settings;

/// Writes that the platform bears for all hosts, per second.
const PLATFORM_WRITES_PER_SECOND: f64 = 300.0;
/// Writes that a host may save up.
const WRITE_BURST: f64 = 20.0;
/// Time between readiness going off and the end of accepting, so that a balancer notices.
const UNREADY_TIME: Duration = Duration::from_secs(1);
/// Time between two looks at the requests in flight.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// A running host.
pub struct Host {
    /// Address for callers and operators.
    pub addr: SocketAddr,
    /// Address for other hosts.
    pub peer_addr: SocketAddr,
    /// State that the core writes.
    pub shared: Arc<Shared>,
    /// The version in force.
    pub config: ConfigState,
    settings: Settings,
    core: CoreSender,
    in_flight: InFlightCount,
    stop_serving: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    core_thread: Option<JoinHandle<()>>,
    log: Logger,
}

/// Starts a host on threads of this process.
///
/// # Errors
///
/// Returns the error of binding its addresses.
pub fn start_host(settings: Settings, log: Logger) -> io::Result<Host> {
    let (server, addr) = bind(settings.listen)?;
    let platform = Arc::new(HttpPlatform::new(settings.platform));
    let config = ConfigState::default();
    let shared = Arc::new(Shared::default());
    let stop = Arc::new(AtomicBool::new(false));
    let polled: PolledEndpoints = Arc::new(Mutex::new(Vec::new()));
    let (tx, rx) = channel();
    let core = CoreSender::new(tx);
    let setup = CoreSetup {
        settings: settings.clone(),
        shared: shared.clone(),
        polled: polled.clone(),
        log: log.clone(),
    };
    let core_thread =
        thread::Builder::new().name("core".to_owned()).spawn(move || run_core(setup, &rx))?;
    LoadPoller { endpoints: polled, core: core.clone(), stop: stop.clone() }.start();
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let started_ms = started.as_millis() as u64;
    let listener = TcpListener::bind(settings.peer_listen)?;
    let peer_addr = listener.local_addr()?;
    let parts = ControlParts {
        settings: &settings,
        http_addr: addr,
        started_ms,
        platform: &platform,
        config: &config,
        shared: &shared,
        core: &core,
        log: &log,
    };
    let link = start_control(&parts, listener)?;
    // The cell was made here and is set once.
    let _ = shared.link.set(link);
    let keeper = ModelKeeper {
        platform: platform.clone(),
        settings: settings.clone(),
        config: config.clone(),
        core: core.clone(),
        shared: shared.clone(),
        nonce: rand::rng().random(),
        log: log.clone(),
        stop: stop.clone(),
    };
    thread::spawn(move || keeper.run());
    let control = Arc::new(CoreClient {
        sender: core.clone(),
        config: config.clone(),
        shared: shared.clone(),
        host: settings.host.clone(),
        started_ms,
        log: log.clone(),
    });
    let writes_per_second = PLATFORM_WRITES_PER_SECOND / f64::from(settings.expected_hosts);
    let budget = CallBudget::new(writes_per_second, WRITE_BURST, Instant::now());
    let claims = start_claim_service(platform.clone(), budget);
    let gateway_settings = GatewaySettings {
        host: settings.host.clone(),
        started_ms,
        secrets: settings.secrets.clone(),
        operator_key: settings.operator_key.clone(),
        max_body: settings.max_body,
        deadlines: EngineDeadlines::default(),
    };
    let gateway = Arc::new(Gateway::new(control, gateway_settings, claims));
    let in_flight = InFlightCount::default();
    let stop_serving = Arc::new(AtomicBool::new(false));
    let (counter, stopped, max) = (in_flight.clone(), stop_serving.clone(), settings.max_in_flight);
    thread::spawn(move || serve(&server, &gateway, &stopped, &counter, max));
    info!(log, "host started"; "address" => %addr);
    Ok(Host {
        addr,
        peer_addr,
        shared,
        config,
        settings,
        core,
        in_flight,
        stop_serving,
        stop,
        core_thread: Some(core_thread),
        log,
    })
}

/// What the control plane of a host is started from.
struct ControlParts<'a> {
    settings: &'a Settings,
    http_addr: SocketAddr,
    started_ms: u64,
    platform: &'a Arc<HttpPlatform>,
    config: &'a ConfigState,
    shared: &'a Arc<Shared>,
    core: &'a CoreSender,
    log: &'a Logger,
}

/// Starts the control plane of a host.
fn start_control(parts: &ControlParts<'_>, listener: TcpListener) -> io::Result<PeerLink> {
    let ControlParts { settings, http_addr, started_ms, platform, config, shared, core, log } =
        *parts;
    let peer_addr = listener.local_addr()?;
    let socket = UdpSocket::bind(peer_addr)?;
    let keys = FrameKeys::derive(&settings.secrets);
    let own = Member {
        host: settings.host.clone(),
        addr: peer_addr,
        http_addr,
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        incarnation: Incarnation(started_ms),
        started_ms,
        state: MemberState::Alive,
        suspected_by: None,
    };
    let link = LinkConfig {
        own,
        membership: MembershipSettings::default(),
        keys: keys.clone(),
        started_ms,
        seed: rand::rng().random(),
    };
    let setup = ControlSetup { link, config: config.clone() };
    start_link(LinkSetup {
        plane: ControlPlane::new(setup, Instant::now()),
        socket,
        listener,
        platform: platform.clone(),
        config: config.clone(),
        keys,
        events: Arc::new(CoreListener { sender: core.clone(), shared: shared.clone() }),
        seeds: settings.seeds.clone(),
        expected_hosts: settings.expected_hosts,
        loss: LossSwitch::default(),
        log: log.clone(),
    })
}

impl Host {
    /// Shuts down without cutting a request in flight: readiness goes off, new requests are
    /// refused, and the host stops when the last one ended or the drain time has passed. Returns
    /// the number of requests that were cut.
    pub fn drain(&self) -> usize {
        let deadline = Instant::now() + self.settings.drain;
        self.shared.draining.store(true, Ordering::Relaxed);
        info!(self.log, "draining"; "in_flight" => self.in_flight.load(Ordering::Relaxed));
        if let Some(link) = self.shared.link.get() {
            link.leave();
        }
        thread::sleep(UNREADY_TIME.min(self.settings.drain));
        self.shared.refusing.store(true, Ordering::Relaxed);
        while self.in_flight.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
            thread::sleep(DRAIN_POLL);
        }
        let cut = self.in_flight.load(Ordering::Relaxed);
        if cut > 0 {
            warn!(self.log, "the drain time has passed"; "cut" => cut);
        } else {
            info!(self.log, "drained");
        }
        cut
    }

    /// Returns true once an operator or a signal asked for a shutdown.
    pub fn is_draining(&self) -> bool {
        self.shared.draining.load(Ordering::Relaxed)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.stop_serving.store(true, Ordering::Relaxed);
        self.core.send(CoreMessage::Stop);
        if let Some(thread) = self.core_thread.take() {
            // A panic of the core was printed by its thread.
            let _ = thread.join();
        }
    }
}
