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
use crate::core_client::{CoreClient, CoreEventForwarder, CoreSender, SharedState};
use crate::core_thread::{CoreMessage, run_core};
use crate::load_poller::{LoadPoller, PolledEndpoints};
use crate::model_controller::ModelController;
use crate::peer_link::{DatagramLoss, LinkSetup, PeerLink, start_link};
use crate::settings::Settings;

/// Writes per second that the platform sustains for all hosts together.
const PLATFORM_WRITES_PER_SECOND: f64 = 300.0;
/// Burst size of a host's write budget, in writes.
const WRITE_BURST: f64 = 20.0;
/// Duration for which a draining host reports that it is not ready but still accepts requests, so
/// that a load balancer stops sending them first.
const UNREADY_DURATION: Duration = Duration::from_secs(1);
/// Interval between two checks of the number of requests in flight.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// A running host.
pub struct Host {
    /// Address for clients and operators.
    pub addr: SocketAddr,
    /// Address for other hosts.
    pub peer_addr: SocketAddr,
    /// State shared with the core.
    pub shared: Arc<SharedState>,
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
    let shared = Arc::new(SharedState::default());
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
    // The cell was created above and is set only here, so `set` cannot fail.
    let _ = shared.link.set(link);
    let controller = ModelController {
        platform: platform.clone(),
        settings: settings.clone(),
        config: config.clone(),
        core: core.clone(),
        shared: shared.clone(),
        nonce: rand::rng().random(),
        log: log.clone(),
        stop: stop.clone(),
    };
    thread::spawn(move || controller.run());
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

/// Inputs to [`start_control`].
struct ControlParts<'a> {
    settings: &'a Settings,
    http_addr: SocketAddr,
    started_ms: u64,
    platform: &'a Arc<HttpPlatform>,
    config: &'a ConfigState,
    shared: &'a Arc<SharedState>,
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
        events: Arc::new(CoreEventForwarder { sender: core.clone(), shared: shared.clone() }),
        seeds: settings.seeds.clone(),
        expected_hosts: settings.expected_hosts,
        loss: DatagramLoss::default(),
        log: log.clone(),
    })
}

impl Host {
    /// Shuts down gracefully: the host reports that it is not ready, then refuses new requests and
    /// waits until those in flight have ended or the drain timeout expires. Returns the number of
    /// requests still in flight, which the end of the process aborts.
    pub fn drain(&self) -> usize {
        let deadline = Instant::now() + self.settings.drain_timeout;
        self.shared.draining.store(true, Ordering::Relaxed);
        info!(self.log, "draining"; "in_flight" => self.in_flight.load(Ordering::Relaxed));
        if let Some(link) = self.shared.link.get() {
            link.leave();
        }
        thread::sleep(UNREADY_DURATION.min(self.settings.drain_timeout));
        self.shared.refusing.store(true, Ordering::Relaxed);
        while self.in_flight.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
            thread::sleep(DRAIN_POLL);
        }
        let aborted = self.in_flight.load(Ordering::Relaxed);
        if aborted > 0 {
            warn!(self.log, "drain timeout expired"; "cut" => aborted);
        } else {
            info!(self.log, "drained");
        }
        aborted
    }

    /// Returns true once an operator requested a graceful shutdown or one has started.
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
            // The panic hook of the core's thread already printed a panic.
            let _ = thread.join();
        }
    }
}
