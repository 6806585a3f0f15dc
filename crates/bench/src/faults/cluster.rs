//! A cluster with each host in a child process and the stand-ins in the process of the experiment.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use camphorloft_config::RawSet;
use camphorloft_config::org_key::KeyHash;
use camphorloft_platform::http::HttpPlatform;
use camphorloft_platform::publication::{Proposal, propose};
use camphorloft_platform::wire::HostEntry;
use camphorloft_standins::engine::{EngineHandle, EngineSettings, start_engine};
use camphorloft_standins::engine_model::EngineLimits;
use camphorloft_standins::platform_http::{PlatformHandle, start_platform};
use camphorloft_standins::service::{ServiceHandle, start_service};
use camphorloft_types::prelude::ConfigVersion;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

/// Regions of the Consortium deployment.
pub const REGIONS: [&str; 3] = ["khomas", "erongo", "oshana"];
/// Names of the organisations.
pub const ORGANISATIONS: [&str; 3] = ["windhoek", "walvis", "swakop"];
/// API key of the operators.
pub const OPERATOR_KEY: &str = "operator-key-of-the-bench";
/// Route of the generations.
pub const ROUTE: &str = "rationale";
const MODEL: &str = "bump-8b";
/// Timeout for a host to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the API key of an organisation.
pub fn organisation_key(name: &str) -> String {
    format!("key-of-{name}")
}

/// One host.
pub struct HostSlot {
    /// Address for clients and operators.
    pub http: SocketAddr,
    settings: String,
    child: Option<Child>,
    /// Instant since which the host has run without disruption.
    pub stable_since: Instant,
    /// Number of processes started in this slot.
    pub process: u64,
    /// True while the host is paused, killed or draining.
    pub disrupted: bool,
}

/// Hosts and stand-ins of a run.
pub struct Cluster {
    /// The platform.
    pub platform: PlatformHandle,
    /// Engines.
    pub engines: Vec<EngineHandle>,
    /// Replicas of the plain service.
    pub services: Vec<ServiceHandle>,
    hosts: Mutex<Vec<HostSlot>>,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns an unused address. Another process can take it before it is bound again.
fn free_addr() -> io::Result<SocketAddr> {
    TcpListener::bind(loopback())?.local_addr()
}

impl Cluster {
    /// Starts the stand-ins and hosts, and waits until all hosts are ready.
    pub fn start(hosts: usize, engines: usize, seed: u64) -> io::Result<Self> {
        let platform = start_platform(loopback())?;
        let engine = |ix: usize| {
            start_engine(EngineSettings {
                addr: loopback(),
                limits: EngineLimits::default(),
                models: vec![MODEL.to_owned()],
                checks_fencing: ix.is_multiple_of(2),
                exit_on_crash: false,
                token_interval: None,
                seed: seed + ix as u64,
            })
        };
        let engines = (0..engines).map(engine).collect::<io::Result<Vec<_>>>()?;
        let services = (0..3).map(|_| start_service(loopback())).collect::<io::Result<Vec<_>>>()?;
        let cluster = Self { platform, engines, services, hosts: Mutex::default() };
        let proposal = Proposal {
            id: "first".to_owned(),
            author: "bench".to_owned(),
            base: ConfigVersion(0),
            set: cluster.object_set(1).map_err(io::Error::other)?,
        };
        propose(&HttpPlatform::new(cluster.platform.addr), &proposal).map_err(io::Error::other)?;
        for ix in 0..hosts {
            let slot = cluster.new_slot(ix, hosts)?;
            cluster.hosts().push(slot);
        }
        for ix in 0..hosts {
            cluster.start_host(ix)?;
        }
        cluster.wait_ready()?;
        Ok(cluster)
    }

    /// Locks the hosts.
    pub fn hosts(&self) -> MutexGuard<'_, Vec<HostSlot>> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn new_slot(&self, ix: usize, hosts: usize) -> io::Result<HostSlot> {
        let (http, peer) = (free_addr()?, free_addr()?);
        let region = REGIONS[ix % REGIONS.len()];
        let name = format!("host-{ix}");
        let zone = format!("{region}-a");
        self.platform.platform.state().set_host(
            &name,
            Some(HostEntry {
                name: name.clone(),
                addr: peer.to_string(),
                http_addr: Some(http.to_string()),
                region: region.to_owned(),
                zone: zone.clone(),
                leaving: false,
            }),
        );
        let settings = json!({
            "host": name,
            "region": region,
            "zone": zone,
            "listen": http.to_string(),
            "peer_listen": peer.to_string(),
            "platform": self.platform.addr.to_string(),
            "secrets": ["a-secret-that-all-hosts-share"],
            "operator_key": OPERATOR_KEY,
            "expected_hosts": hosts,
            "drain_seconds": 60
        });
        Ok(HostSlot {
            http,
            settings: settings.to_string(),
            child: None,
            stable_since: Instant::now(),
            process: 0,
            disrupted: false,
        })
    }

    /// Returns an object set. Different weights make its versions distinct.
    pub fn object_set(&self, weight: u32) -> Result<RawSet, camphorloft_config::Findings> {
        let endpoint = |(ix, engine): (usize, &EngineHandle)| {
            let region = REGIONS[ix % REGIONS.len()];
            let object = json!({
                "address": engine.addr.to_string(),
                "region": region,
                "zone": format!("{region}-a"),
                "kv_tokens": EngineLimits::default().kv_tokens,
                "models": [MODEL]
            });
            (format!("engine-{ix}"), object)
        };
        let endpoints: serde_json::Map<String, Value> =
            self.engines.iter().enumerate().map(endpoint).collect();
        let organisation = |name: &&str| {
            let key_hash = KeyHash::of(&organisation_key(name)).to_hex();
            ((*name).to_owned(), json!({ "key_hash": key_hash, "weight": weight }))
        };
        let organisations: serde_json::Map<String, Value> =
            ORGANISATIONS.iter().map(organisation).collect();
        let services: Vec<String> = self.services.iter().map(|s| s.addr.to_string()).collect();
        let document = json!({
            "models": { MODEL: { "max_output_tokens": 4096 } },
            "pools": { "all": { "endpoints": endpoints } },
            "organisations": organisations,
            "routes": { ROUTE: { "model": MODEL, "pools": ["all"], "organisations": ORGANISATIONS } },
            "services": {
                "booking": {
                    "endpoints": services,
                    "idempotent": [{ "method": "GET", "path_prefix": "/status" }],
                    "organisations": ORGANISATIONS
                }
            }
        });
        RawSet::parse(&document.to_string())
    }

    /// Starts the process of a host.
    pub fn start_host(&self, ix: usize) -> io::Result<()> {
        let mut hosts = self.hosts();
        let slot = &mut hosts[ix];
        let child = Command::new(std::env::current_exe()?)
            .args(["host", "--settings", &slot.settings])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        slot.child = Some(child);
        slot.process += 1;
        slot.stable_since = Instant::now();
        slot.disrupted = false;
        Ok(())
    }

    fn wait_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let addresses: Vec<SocketAddr> = self.hosts().iter().map(|slot| slot.http).collect();
        for addr in addresses {
            while ureq::get(format!("http://{addr}/readyz")).call().is_err() {
                if Instant::now() > deadline {
                    return Err(io::Error::other(format!("host {addr} did not become ready")));
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        Ok(())
    }

    fn signal(&self, ix: usize, signal: Signal) {
        let hosts = self.hosts();
        if let Some(child) = &hosts[ix].child {
            // The signal fails if the process has already exited.
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Kills the process of a host with SIGKILL and waits for it to exit.
    pub fn kill_host(&self, ix: usize) {
        self.hosts()[ix].disrupted = true;
        self.signal(ix, Signal::SIGKILL);
        self.reap(ix);
    }

    /// Pauses the process of a host with SIGSTOP.
    pub fn pause_host(&self, ix: usize) {
        self.hosts()[ix].disrupted = true;
        self.signal(ix, Signal::SIGSTOP);
    }

    /// Resumes the process of a paused host.
    pub fn resume_host(&self, ix: usize) {
        self.signal(ix, Signal::SIGCONT);
        let mut hosts = self.hosts();
        hosts[ix].stable_since = Instant::now();
        hosts[ix].disrupted = false;
    }

    /// Shuts a host down with SIGTERM and waits for it to exit. Returns true if it interrupted no
    /// request.
    pub fn drain_host(&self, ix: usize) -> bool {
        self.hosts()[ix].disrupted = true;
        self.signal(ix, Signal::SIGTERM);
        self.reap(ix) == Some(0)
    }

    /// Waits for the process of a host to exit and returns its exit code.
    fn reap(&self, ix: usize) -> Option<i32> {
        let child = self.hosts()[ix].child.take();
        child?.wait().ok()?.code()
    }

    /// Returns the number of effects by idempotency key, over all replicas.
    pub fn effects(&self) -> std::collections::BTreeMap<String, u64> {
        let mut total = std::collections::BTreeMap::new();
        for service in &self.services {
            for (key, count) in service.service.effects() {
                *total.entry(key).or_default() += count;
            }
        }
        total
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for slot in self.hosts().iter_mut() {
            if let Some(mut child) = slot.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}
