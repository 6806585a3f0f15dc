//! The state of the host and its shared parts.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_decide::poison::{CrashCount, PoisonTable};
use camphorloft_dispatch::prelude::*;
use camphorloft_peer::packed::PackedSet;
use camphorloft_serving::prelude::*;
use camphorloft_types::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::{Logger, info, warn};
use tokio::sync::watch;

use crate::boundary::Registry;
use crate::metrics::Metrics;
use crate::peers::{Audience, Peers};
use crate::settings::HostSettings;

/// Where a host is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It serves as soon as it knows what to serve.
    Serving,
    /// It was told to end.
    Draining {
        /// When.
        since: Instant,
    },
}

/// What the host believes and decides with.
#[derive(Debug)]
pub struct State {
    /// Endpoints.
    pub fleet: Fleet,
    /// Version in force.
    pub serving: Option<Rc<ServingSet>>,
    /// The same as the registry encoded it, compressed, for other hosts.
    pub serving_packed: PackedSet,
    /// Other hosts.
    pub peers: Peers,
    /// What may be sent again.
    pub quota: RetryQuota,
    /// Requests that crash endpoints.
    pub poison: PoisonTable,
    /// Random numbers.
    pub rng: SmallRng,
}

/// A host: its state and its shared parts.
#[derive(Debug)]
pub struct Host<W, R> {
    /// Settings.
    pub settings: HostSettings,
    /// Wire of the deployment.
    pub wire: W,
    /// Registry of the deployment.
    pub registry: R,
    /// Log.
    pub log: Logger,
    /// Metrics.
    pub metrics: Metrics,
    /// State. Never borrowed across a suspension.
    pub state: RefCell<State>,
    /// Bytes of bodies of requests that are held.
    pub held_bytes: Cell<u64>,
    /// Time from the termination signal to the end of the process.
    pub grace: Cell<Duration>,
    /// When this host itself last knew the endpoint list to be complete.
    pub list_read_at: Cell<Option<Instant>>,
    /// When this host itself last knew the version in force to be the newest.
    pub version_read_at: Cell<Option<Instant>>,
    /// When a version was last asked of another host.
    fetched_at: Cell<Option<Instant>>,
    fleet_news: watch::Sender<u64>,
    stage: watch::Sender<Stage>,
}

impl<W, R> Host<W, R> {
    /// Builds a host that knows nothing yet. `hosts` is the number of hosts to assume until others
    /// are heard of.
    pub fn new(settings: HostSettings, wire: W, registry: R, log: Logger, hosts: u32) -> Rc<Self> {
        let state = State {
            fleet: Fleet::new(settings.locality.clone()),
            serving: None,
            serving_packed: PackedSet::default(),
            peers: Peers::new(settings.host.clone(), settings.locality.region.clone(), hosts),
            quota: RetryQuota::new(settings.quota, hosts),
            poison: PoisonTable::default(),
            rng: SmallRng::from_os_rng(),
        };
        Rc::new(Self {
            grace: Cell::new(settings.grace),
            settings,
            wire,
            registry,
            log,
            metrics: Metrics::default(),
            state: RefCell::new(state),
            held_bytes: Cell::new(0),
            list_read_at: Cell::new(None),
            version_read_at: Cell::new(None),
            fetched_at: Cell::new(None),
            fleet_news: watch::Sender::new(0),
            stage: watch::Sender::new(Stage::Serving),
        })
    }

    /// Takes over settings that were read anew, as far as a running host can.
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

    /// Returns the version in force.
    pub fn serving(&self) -> Option<Rc<ServingSet>> {
        self.state.borrow().serving.clone()
    }

    /// Returns the stage.
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Returns a receiver that hears of each new stage.
    pub fn stages(&self) -> watch::Receiver<Stage> {
        self.stage.subscribe()
    }

    /// Starts to drain.
    pub fn drain(&self) {
        self.stage.send_if_modified(|stage| {
            let begins = *stage == Stage::Serving;
            if begins {
                *stage = Stage::Draining { since: Instant::now() };
            }
            begins
        });
    }

    /// Returns true when callers should be sent here.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        let knows_endpoints = state.fleet.iter().any(|(_, endpoint)| endpoint.is_ready());
        self.stage() == Stage::Serving && state.serving.is_some() && knows_endpoints
    }

    /// Returns a receiver that hears of each change of the fleet.
    pub fn fleet_changes(&self) -> watch::Receiver<u64> {
        self.fleet_news.subscribe()
    }

    /// Tells those who wait that the fleet changed.
    pub fn fleet_changed(&self) {
        let state = self.state.borrow();
        let ready = state.fleet.iter().filter(|(_, endpoint)| endpoint.is_ready()).count();
        self.metrics.ready_endpoints.set(ready as i64);
        self.fleet_news.send_modify(|count| *count += 1);
    }

    /// Returns the hosts for which this host reads the registry, if any.
    pub fn reads_registry_for(&self, now: Instant) -> Option<Audience> {
        self.state.borrow().peers.reads_registry_for(now)
    }

    /// Returns true when this host or a reader knows the endpoint list to be complete.
    pub fn list_is_known(&self) -> bool {
        const FRESH: Duration = Duration::from_millis(1500);
        let now = Instant::now();
        let own = self.list_read_at.get();
        let read = own.is_some_and(|at| now.saturating_duration_since(at) < FRESH);
        read || self.state.borrow().peers.list_is_told(now)
    }

    /// Returns true when a version may be asked of another host now.
    pub fn begin_fetch(&self, now: Instant) -> bool {
        const PAUSE: Duration = Duration::from_millis(150);
        let recent = |at: Instant| now.saturating_duration_since(at) < PAUSE;
        if self.fetched_at.get().is_some_and(recent) {
            return false;
        }
        self.fetched_at.set(Some(now));
        true
    }

    /// Decodes a version and takes it if it is newer than the one in force.
    /// `packed` holds the same, if it came compressed. Returns true when it was taken.
    pub fn take_encoded_serving(
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
                warn!(self.log, "version not understood"; "source" => source, "error" => %err);
                return false;
            }
        };
        if !self.take_serving(raw, source) {
            return false;
        }
        match packed.map_or_else(|| PackedSet::pack(encoded), Ok) {
            Ok(packed) => self.state.borrow_mut().serving_packed = packed,
            Err(err) => warn!(self.log, "version cannot be handed on"; "error" => %err),
        }
        true
    }

    /// Takes a version if it is newer than the one in force. Returns true when it was taken.
    fn take_serving(&self, raw: RawServing, source: &str) -> bool {
        let version = ConfigVersion(raw.version);
        let known = self.serving().map_or(ConfigVersion(0), |serving| serving.version);
        if version <= known {
            return false;
        }
        let set = match ServingSet::try_from(raw) {
            Ok(set) => set,
            Err(findings) => {
                warn!(self.log, "version refused"; "version" => %version,
                    "source" => source, "findings" => %findings);
                return false;
            }
        };
        info!(self.log, "version in force"; "version" => %version, "before" => %known,
            "source" => source, "routes" => set.routes.len(),
            "organisations" => set.organisations.len());
        self.metrics.serving_version.set(i64::try_from(version.0).unwrap_or(i64::MAX));
        self.state.borrow_mut().serving = Some(Rc::new(set));
        self.fleet_changed();
        true
    }

    /// Logs changes of the fleet and tells those who wait. Requests that broke off on an endpoint
    /// that is gone are blamed for its crash.
    pub fn note_fleet_changes(&self, changes: &[FleetChange], source: &str) {
        if changes.is_empty() {
            return;
        }
        let now = Instant::now();
        for change in changes {
            let mut state = self.state.borrow_mut();
            let Some(endpoint) = state.fleet.get_mut(change.endpoint()) else { continue };
            info!(self.log, "endpoint changed"; "endpoint" => %endpoint.entry.name,
                "change" => %change, "service" => %endpoint.entry.service,
                "zone" => %endpoint.entry.zone, "born" => %endpoint.entry.process_start,
                "runs" => endpoint.runs.len(), "source" => source);
            if let FleetChange::Removed(ix) = change {
                drop(state);
                let blames = self.endpoint_crashed(*ix, now);
                self.tell_blames(&blames);
            }
        }
        self.fleet_changed();
    }

    /// Takes the confirmation that an endpoint crashed, and blames the requests that broke off.
    pub fn endpoint_crashed(&self, ix: EndpointIx, now: Instant) -> Vec<CrashCount> {
        let mut state = self.state.borrow_mut();
        let Some(endpoint) = state.fleet.get_mut(ix) else { return Vec::new() };
        let mut suspects = endpoint.take_crash_suspects(now);
        if suspects.is_empty() {
            return Vec::new();
        }
        suspects.sort_unstable();
        suspects.dedup();
        let name = endpoint.entry.name.clone();
        let blames = state.poison.attribute_crash(&suspects, now);
        for blame in &blames {
            warn!(self.log, "request blamed for a crash"; "endpoint" => %name,
                "fingerprint" => format!("{:016x}", blame.fingerprint), "crashes" => blame.crashes);
        }
        blames
    }

    /// Takes a report of an engine that was true at `as_of`.
    pub fn take_report(&self, ix: EndpointIx, report: LoadReport, as_of: Instant, source: &str) {
        let news = {
            let mut state = self.state.borrow_mut();
            if !state.fleet.record_report(ix, report, as_of) {
                return;
            }
            state.fleet.get(ix).map(|endpoint| endpoint.entry.name.clone())
        };
        let leaves_ms = report.shutdown_in.map(|left| left.as_millis() as u64);
        info!(self.log, "endpoint changed"; "endpoint" => news.map(|name| name.to_string()),
            "change" => "leaving", "source" => source, "leaves_ms" => leaves_ms,
            "report_age_ms" => as_of.elapsed().as_millis() as u64);
        self.fleet_changed();
    }

    /// Forgets endpoints that left and run nothing for this host.
    pub fn collect_endpoints(&self) {
        const KEEP: Duration = Duration::from_secs(10);
        self.state.borrow_mut().fleet.purge_removed(KEEP, Instant::now());
    }
}
