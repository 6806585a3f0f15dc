//! Shared state of the host.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_peer::packed::PackedSet;
use camphorloft_serving::prelude::*;
use camphorloft_types::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::{Logger, info, warn};
use tokio::sync::{Notify, Semaphore, watch};

use crate::boundary::Registry;
use crate::client_connections::ClientConnections;
use crate::invalid_inputs::InvalidInputs;
use crate::memory_budget::MemoryBudget;
use crate::metrics::Metrics;
use crate::peers::{Peers, UpdateScope};
use crate::queued_request::Queues;
use crate::settings::HostSettings;
use crate::stall_monitor::StallMonitor;
use crate::stream_buffer::{MAX_CLIENT_PAUSE, StreamMemory};
use crate::subset_table::SubsetTable;
use crate::tunnel::ExcludedHosts;

/// Maximum number of requests that wait for the start of this host.
const MAX_START_WAITS: usize = 64;
/// Fraction of the memory limit of the process that requests may use, with their heads, bodies and buffers.
const REQUEST_FRACTION: f64 = 0.45;
/// Fraction of the memory limit of the process that buffered responses may use.
const RESPONSE_BODY_FRACTION: f64 = 0.2;
/// Fraction of the memory limit of the process that events may use which clients have not taken.
const STREAM_BUFFER_FRACTION: f64 = 0.1;

/// Lifecycle stage of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The host serves requests once it has a configuration and endpoints.
    Serving,
    /// The host received a termination signal.
    Draining {
        /// Time of the signal.
        since: Instant,
    },
}

/// Mutable state that placement decisions are based on.
#[derive(Debug)]
pub struct State {
    /// Known endpoints and their load.
    pub fleet: Fleet,
    /// Configuration version in force.
    pub serving: Option<Rc<ServingSet>>,
    /// The version in force in the registry's encoding, compressed for transfer to other hosts.
    pub serving_packed: PackedSet,
    /// The endpoint list, compressed for transfer to other hosts, with its digest.
    pub packed_list: Option<(u64, PackedSet)>,
    /// Other hosts.
    pub peers: Peers,
    /// The endpoints that this host sends work to.
    pub subset: SubsetTable,
    /// Software versions that began streams.
    pub origins: StreamOrigins,
    /// Generations that wait for an engine, by service.
    pub queues: Queues,
    /// Quota of retries.
    pub quota: RetryQuota,
    /// Features of requests that were interrupted by crashes.
    pub crash_suspects: CrashSuspects,
    /// Whether this host reaches the endpoints over its own links.
    pub reachability: Reachability,
    /// Hosts that did not connect for this one.
    pub excluded_hosts: ExcludedHosts,
    /// When this host tells others that a feature is sound.
    pub refutations: BTreeMap<RequestFeature, Instant>,
    /// Pauses of the process.
    pub pauses: PauseDetector,
    /// Random number generator.
    pub rng: SmallRng,
}

/// A host: its state, settings and connections to the deployment.
#[derive(Debug)]
pub struct Host<W, R> {
    /// Settings.
    pub settings: HostSettings,
    /// Wire format of the deployment.
    pub wire: W,
    /// Registry of the deployment.
    pub registry: R,
    /// Log.
    pub log: Logger,
    /// Open client connections.
    pub client_connections: Rc<ClientConnections>,
    /// Messages that were left out.
    pub invalid_inputs: InvalidInputs,
    /// Metrics.
    pub metrics: Metrics,
    /// Recognises times in which the process did not run.
    pub stalls: StallMonitor,
    /// When the process started.
    pub started_at: Instant,
    /// Whether this host has received a complete endpoint list.
    pub has_full_list: Cell<bool>,
    /// Number of hosts that the registry listed when this one started.
    pub announced_hosts: Cell<usize>,
    /// Mutable state. Must not be borrowed across an `await`.
    pub state: RefCell<State>,
    /// Memory of the requests in progress: their heads, bodies and buffers.
    pub request_memory: MemoryBudget,
    /// Memory of responses that are read completely before they are forwarded.
    pub response_bodies: MemoryBudget,
    /// Memory of events that clients have not taken.
    pub stream_memory: Rc<StreamMemory>,
    /// Number of connections that this host forwards for others.
    pub open_tunnels: Cell<usize>,
    /// Grace period from the termination signal to the end of the process.
    pub grace: Cell<Duration>,
    /// Time at which this host's own read last confirmed that the endpoint list is complete.
    pub list_read_at: Cell<Option<Instant>>,
    /// Time at which this host asked for the changes of the endpoint list that it last read itself.
    pub list_asked_at: Cell<Option<Instant>>,
    /// Notified when a request waits for a newer confirmation of the endpoint list.
    pub list_wanted: Notify,
    /// Time at which this host's own read last confirmed that the version in force is the latest.
    pub version_read_at: Cell<Option<Instant>>,
    /// Notified when updates of other hosts are to be forwarded.
    pub updates_buffered: Notify,
    /// Whether requests wait after a pause of the process until this host knows what has changed. Otherwise
    /// they wait only while the version in force limits cold endpoints.
    pub waits_after_pause: Cell<bool>,
    /// Time of the first configuration version.
    pub first_version_at: Cell<Option<Instant>>,
    /// When this host last told others what waits here.
    pub queues_stated_at: Cell<Option<Instant>>,
    /// Notified when generations that wait may have room.
    pub queues_changed: Notify,
    /// Time of the last log line about a statement of an endpoint that is not valid.
    pub malformed_logged_at: Cell<Option<Instant>>,
    /// Whether another host may use another secret, so that the registry's is read again.
    pub doubts_secret: Cell<bool>,
    /// Time of the last fetch of a version from another host.
    last_fetch_at: Cell<Option<Instant>>,
    /// Permits for requests that wait for the start of this host.
    pub start_waits: Semaphore,
    fleet_revision: watch::Sender<u64>,
    stage: watch::Sender<Stage>,
    registry_reached: watch::Sender<bool>,
}

impl<W, R> Host<W, R> {
    /// Creates a host without configuration or endpoints. `hosts` is the number of hosts to assume
    /// until others have been discovered.
    pub fn new(settings: HostSettings, wire: W, registry: R, log: Logger, hosts: u32) -> Rc<Self> {
        let state = State {
            fleet: Fleet::new(settings.locality.clone()),
            serving: None,
            serving_packed: PackedSet::default(),
            packed_list: None,
            peers: Peers::new(settings.host.clone(), settings.locality.region.clone(), hosts),
            subset: SubsetTable::default(),
            origins: StreamOrigins::default(),
            queues: Queues::new(),
            quota: RetryQuota::new(settings.quota, hosts),
            crash_suspects: CrashSuspects::default(),
            reachability: Reachability::default(),
            excluded_hosts: ExcludedHosts::default(),
            refutations: BTreeMap::new(),
            pauses: PauseDetector::default(),
            rng: SmallRng::from_os_rng(),
        };
        let memory = settings.memory.0 as f64;
        let budget = |fraction: f64| MemoryBudget::new((memory * fraction) as u64);
        Rc::new(Self {
            grace: Cell::new(settings.grace),
            settings,
            wire,
            registry,
            client_connections: Rc::default(),
            invalid_inputs: InvalidInputs::new(log.clone()),
            log,
            metrics: Metrics::default(),
            stalls: StallMonitor::new(Instant::now()),
            started_at: Instant::now(),
            has_full_list: Cell::new(false),
            announced_hosts: Cell::new(0),
            state: RefCell::new(state),
            request_memory: budget(REQUEST_FRACTION),
            response_bodies: budget(RESPONSE_BODY_FRACTION),
            stream_memory: StreamMemory::new(
                (memory * STREAM_BUFFER_FRACTION) as u64,
                MAX_CLIENT_PAUSE,
            ),
            open_tunnels: Cell::new(0),
            list_read_at: Cell::new(None),
            list_asked_at: Cell::new(None),
            list_wanted: Notify::new(),
            version_read_at: Cell::new(None),
            updates_buffered: Notify::new(),
            waits_after_pause: Cell::new(false),
            first_version_at: Cell::new(None),
            queues_stated_at: Cell::new(None),
            queues_changed: Notify::new(),
            malformed_logged_at: Cell::new(None),
            doubts_secret: Cell::new(false),
            last_fetch_at: Cell::new(None),
            start_waits: Semaphore::new(MAX_START_WAITS),
            fleet_revision: watch::Sender::new(0),
            stage: watch::Sender::new(Stage::Serving),
            registry_reached: watch::Sender::new(false),
        })
    }

    /// Applies reloaded settings, as far as they can change in a running host.
    pub fn reload(&self, settings: &HostSettings) {
        self.grace.set(settings.grace);
        self.state.borrow_mut().quota.set_settings(settings.quota);
        let outcome = match self.settings.is_reloadable(settings) {
            true => "in force",
            false => "in force but for what needs a restart",
        };
        info!(self.log, "settings reloaded"; "outcome" => outcome,
            "grace_ms" => settings.grace.as_millis() as u64);
    }

    /// Returns the configuration version in force.
    pub fn serving(&self) -> Option<Rc<ServingSet>> {
        self.state.borrow().serving.clone()
    }

    /// Returns the current lifecycle stage.
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Subscribes to changes of the lifecycle stage.
    pub fn stages(&self) -> watch::Receiver<Stage> {
        self.stage.subscribe()
    }

    /// Records that the registry served a call of this host.
    pub fn set_registry_reached(&self) {
        self.registry_reached.send_replace(true);
    }

    /// Waits until the registry has served a call of this host. Hosts that start during an outage
    /// know no other host that could read for them, so each makes only one kind of call until then.
    pub async fn wait_until_registry_reached(&self) {
        let mut reached = self.registry_reached.subscribe();
        // The sender lives as long as the host.
        let _ = reached.wait_for(|reached| *reached).await;
    }

    /// Starts draining. Has no effect if the host is already draining.
    pub fn drain(&self) {
        self.stage.send_if_modified(|stage| {
            let starts = *stage == Stage::Serving;
            if starts {
                *stage = Stage::Draining { since: Instant::now() };
            }
            starts
        });
    }

    /// Returns true when the load balancer should route clients to this host.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        let knows_endpoints = state.fleet.iter().any(|(_, endpoint)| endpoint.is_ready());
        let is_informed = self.has_awaited_evacuations(&state.fleet, Instant::now());
        self.stage() == Stage::Serving && state.serving.is_some() && knows_endpoints && is_informed
    }

    /// Subscribes to changes of the fleet.
    pub fn subscribe_fleet(&self) -> watch::Receiver<u64> {
        self.fleet_revision.subscribe()
    }

    /// Notifies subscribers of a change of the fleet.
    pub fn notify_fleet_changed(&self) {
        let state = self.state.borrow();
        let ready = state.fleet.iter().filter(|(_, endpoint)| endpoint.is_ready()).count();
        self.metrics.ready_endpoints.set(ready as i64);
        self.fleet_revision.send_modify(|count| *count += 1);
        drop(state);
        self.wake_queues();
    }

    /// Returns the scope of hosts for which this host is the assigned reader of the registry.
    pub fn registry_read_scope(&self, now: Instant) -> Option<UpdateScope> {
        self.state.borrow().peers.registry_read_scope(now)
    }

    /// Returns true when the endpoint list was recently confirmed to be complete, by this host or an
    /// assigned reader.
    pub fn is_list_current(&self) -> bool {
        let now = Instant::now();
        self.has_read_list(now) || self.state.borrow().peers.is_list_maintained(now)
    }

    /// Returns true when this host has the same endpoint list as a reader of the registry, so that it
    /// may send the list to others.
    pub fn is_list_confirmed(&self) -> bool {
        let now = Instant::now();
        self.has_read_list(now) || self.state.borrow().peers.is_list_confirmed(now)
    }

    /// Returns the time as of which a response of the registry holds that was asked for at `asked_at` and is
    /// read now.
    pub(crate) fn as_of(&self, asked_at: Instant) -> Instant {
        self.state.borrow().pauses.as_of(asked_at, Instant::now())
    }

    /// Returns true when this host's own read of the list is recent.
    pub(crate) fn has_read_list(&self, now: Instant) -> bool {
        const FRESH: Duration = Duration::from_millis(1500);
        self.list_read_at.get().is_some_and(|at| now.saturating_duration_since(at) < FRESH)
    }

    /// Returns true if a fetch from another host may start now, and records its time.
    pub fn try_begin_fetch(&self, now: Instant) -> bool {
        const PAUSE: Duration = Duration::from_millis(150);
        let recent = |at: Instant| now.saturating_duration_since(at) < PAUSE;
        if self.last_fetch_at.get().is_some_and(recent) {
            return false;
        }
        self.last_fetch_at.set(Some(now));
        true
    }

    /// Decodes a version and applies it if it is newer than the one in force. `packed` is its
    /// compressed form, if available. Returns true when it was applied.
    pub fn apply_encoded_serving(
        &self,
        encoded: &[u8],
        packed: Option<PackedSet>,
        source: &str,
    ) -> bool
    where
        R: Registry,
    {
        let raw = match self.registry.decode_serving(encoded) {
            Ok(raw) => raw,
            Err(err) => {
                warn!(self.log, "version could not be decoded"; "source" => source, "error" => %err);
                return false;
            }
        };
        if !self.apply_serving(raw, source) {
            return false;
        }
        match packed.map_or_else(|| PackedSet::pack(encoded), Ok) {
            Ok(packed) => self.state.borrow_mut().serving_packed = packed,
            Err(err) => warn!(self.log, "version could not be compressed"; "error" => %err),
        }
        true
    }

    /// Applies a version if it is newer than the one in force. Returns true when it was applied.
    fn apply_serving(&self, raw: RawServing, source: &str) -> bool {
        let version = ConfigVersion(raw.version);
        let known = self.serving().map_or(ConfigVersion(0), |serving| serving.version);
        if version <= known {
            return false;
        }
        let set = match ServingSet::try_from(raw) {
            Ok(set) => set,
            Err(findings) => {
                warn!(self.log, "version rejected"; "version" => %version,
                    "source" => source, "findings" => %findings);
                return false;
            }
        };
        info!(self.log, "version in force"; "version" => %version, "before" => %known,
            "source" => source, "routes" => set.routes.len(),
            "organisations" => set.organisations.len());
        self.warn_of_restrictions(&set);
        self.metrics.serving_version.set(i64::try_from(version.0).unwrap_or(i64::MAX));
        self.apply_cold_limits(&set, Instant::now());
        let mut state = self.state.borrow_mut();
        for (ix, service) in &set.services {
            state.fleet.set_gap_target(&service.name, set.gap_target(ix));
        }
        let streams = set.routes.values().filter(|route| route.retry_mode.is_stream());
        let longest_stream = streams.map(|route| route.timeout).max().unwrap_or_default();
        state.origins.set_longest_stream(longest_stream);
        state.serving = Some(Rc::new(set));
        drop(state);
        if self.first_version_at.get().is_none() {
            self.first_version_at.set(Some(Instant::now()));
        }
        self.notify_fleet_changed();
        true
    }

    /// Derives the endpoints that this host sends work to from the endpoint list and the live hosts.
    pub fn update_subset(&self, now: Instant) {
        let mut guard = self.state.borrow_mut();
        let State { fleet, peers, subset, .. } = &mut *guard;
        peers.update_subset(subset, fleet, now);
    }

    /// Logs changes of the fleet and notifies subscribers. When an endpoint was removed, its crash is
    /// attributed to the requests that were interrupted on it.
    pub fn handle_fleet_changes(&self, changes: &[FleetChange], source: &str) {
        if changes.is_empty() {
            return;
        }
        let now = Instant::now();
        self.update_subset(now);
        self.observe_versions(now);
        // A cold endpoint receives nothing from this host before its share is known.
        self.update_limit_shares(now);
        for change in changes {
            let mut state = self.state.borrow_mut();
            let Some(endpoint) = state.fleet.get_mut(change.endpoint()) else { continue };
            info!(self.log, "endpoint changed"; "endpoint" => %endpoint.entry.name,
                "change" => %change, "service" => %endpoint.entry.service,
                "software" => endpoint.entry.software.as_ref().map(ToString::to_string),
                "zone" => %endpoint.entry.zone, "born" => %endpoint.entry.process_start,
                "cold_ms" => endpoint.warm_at.saturating_duration_since(now).as_millis() as u64,
                "runs" => endpoint.runs.len(), "source" => source);
            match change {
                FleetChange::Joined(_) | FleetChange::Cold(_) => {}
                FleetChange::Draining(_) => endpoint.clear_crash_suspects(),
                FleetChange::Removed(ix) => {
                    drop(state);
                    self.attribute_crash(*ix, now);
                }
            }
        }
        self.notify_fleet_changed();
    }

    /// Records an engine's load report as of `as_of`.
    pub fn apply_report(&self, ix: EndpointIx, report: LoadReport, as_of: Instant, source: &str) {
        let name = {
            let mut state = self.state.borrow_mut();
            if !state.fleet.record_report(ix, report, as_of) {
                drop(state);
                self.wake_queues();
                return;
            }
            state.fleet.get(ix).map(|endpoint| endpoint.entry.name.clone())
        };
        let leaves_ms = report.shutdown_in.map(|left| left.as_millis() as u64);
        info!(self.log, "endpoint changed"; "endpoint" => name.map(|name| name.to_string()),
            "change" => "leaving", "source" => source, "leaves_ms" => leaves_ms,
            "report_age_ms" => as_of.elapsed().as_millis() as u64);
        self.notify_fleet_changed();
    }

    /// Returns the software version of an endpoint, if known.
    pub fn software_of(&self, ix: EndpointIx) -> Option<SoftwareVersion> {
        self.state.borrow().fleet.get(ix)?.entry.software.clone()
    }

    /// Purges removed endpoints that run nothing for this host.
    pub fn purge_removed_endpoints(&self) {
        const KEEP: Duration = Duration::from_secs(10);
        let now = Instant::now();
        self.observe_versions(now);
        let mut state = self.state.borrow_mut();
        state.fleet.purge_removed(KEEP, now);
        state.origins.purge(now);
        state.crash_suspects.purge(now);
    }
}
