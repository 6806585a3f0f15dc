//! The gateway's interface to the core.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Sender, sync_channel};
use std::sync::{Arc, Mutex, OnceLock, PoisonError, RwLock};

use camphorloft_decide::poison::CrashCount;
use camphorloft_gateway::control::{
    AttemptEnd, Control, Directive, Invariant, Placement, PlacementRequest, Refusal, ServingSet,
};
use camphorloft_membership::Member;
use camphorloft_peer::wire::WirePlacement;
use camphorloft_types::prelude::*;
use slog::{Logger, crit};

use crate::config_state::ConfigState;
use crate::core_thread::CoreMessage;
use crate::metrics::Metrics;
use crate::peer_link::{ControlListener, PeerLink};

/// Sends messages to the core.
#[derive(Clone)]
pub struct CoreSender {
    tx: Sender<CoreMessage>,
}

impl CoreSender {
    /// Wraps the sending end of the core's channel.
    pub fn new(tx: Sender<CoreMessage>) -> Self {
        Self { tx }
    }

    /// Sends a message. It is dropped if the core has stopped.
    pub fn send(&self, message: CoreMessage) {
        let _ = self.tx.send(message);
    }
}

/// State that the gateway reads directly, without a message to the core.
#[derive(Default)]
pub struct SharedState {
    /// Generations that must migrate.
    pub migrations: Mutex<HashSet<GenerationId>>,
    /// Other live hosts, with the start times of their processes in milliseconds since the epoch.
    pub live_hosts: RwLock<HashMap<HostName, u64>>,
    /// The control plane, once it is started.
    pub link: OnceLock<PeerLink>,
    /// True once a graceful shutdown has started.
    pub draining: AtomicBool,
    /// True once new requests are refused.
    pub refusing: AtomicBool,
    /// Metrics.
    pub metrics: Metrics,
}

impl SharedState {
    /// Announces a placement to other hosts.
    pub fn announce_placement(&self, placement: WirePlacement) {
        if let Some(link) = self.link.get() {
            link.announce_placement(placement);
        }
    }

    /// Gossips the crash count of a fingerprint to other hosts.
    pub fn gossip_crash_count(&self, crash_count: CrashCount) {
        if let Some(link) = self.link.get() {
            link.gossip_crash_count(crash_count);
        }
    }

    /// Counts and logs an invariant violation.
    pub fn record_violation(&self, log: &Logger, invariant: Invariant, detail: &str) {
        self.metrics.record_violation(invariant);
        crit!(log, "invariant violated"; "invariant" => invariant.as_str(), "detail" => detail);
    }
}

/// The gateway's client of the core.
pub struct CoreClient {
    /// Sends messages to the core.
    pub sender: CoreSender,
    /// The version in force.
    pub config: ConfigState,
    /// State shared with the core.
    pub shared: Arc<SharedState>,
    /// This host.
    pub host: HostName,
    /// When this process started, in milliseconds since the epoch.
    pub started_ms: u64,
    /// Log.
    pub log: Logger,
}

impl Control for CoreClient {
    fn serving(&self) -> Option<Arc<ServingSet>> {
        self.config.serving()
    }

    fn is_accepting(&self) -> bool {
        !self.shared.refusing.load(Ordering::Relaxed)
    }

    fn is_ready(&self) -> bool {
        !self.shared.draining.load(Ordering::Relaxed)
    }

    fn place(&self, request: PlacementRequest) -> Result<Placement, Refusal> {
        let (reply, placement) = sync_channel(1);
        self.sender.send(CoreMessage::Place(Box::new(request), reply));
        placement.recv().unwrap_or_else(|_| {
            Err(Refusal {
                status: 503,
                code: "shutting_down",
                detail: "the host is shutting down".to_owned(),
                retry_after: None,
            })
        })
    }

    fn report_progress(&self, generation: GenerationId, tokens: TokenCount) -> Directive {
        self.sender.send(CoreMessage::Progress(generation, tokens));
        let migrations = self.shared.migrations.lock().unwrap_or_else(PoisonError::into_inner);
        if migrations.contains(&generation) { Directive::Migrate } else { Directive::Continue }
    }

    fn end_attempt(&self, generation: GenerationId, attempt: Attempt, end: AttemptEnd) {
        self.sender.send(CoreMessage::EndAttempt(generation, attempt, end));
    }

    fn end_request(&self, _organisation: OrganisationIx, outcome: Outcome) {
        self.shared.metrics.end_request(outcome);
    }

    fn report_violation(&self, invariant: Invariant, detail: &str) {
        self.shared.record_violation(&self.log, invariant, detail);
    }

    fn is_process_alive(&self, host: &HostName, started_ms: u64) -> bool {
        if *host == self.host {
            return started_ms == self.started_ms;
        }
        let live = self.shared.live_hosts.read().unwrap_or_else(PoisonError::into_inner);
        live.get(host) == Some(&started_ms)
    }

    fn metrics(&self) -> String {
        self.shared.metrics.to_text()
    }

    fn view(&self, name: &str) -> Option<String> {
        if name == "members" {
            return self
                .shared
                .link
                .get()
                .and_then(|link| serde_json::to_string(&link.rows()).ok());
        }
        let (reply, view) = sync_channel(1);
        self.sender.send(CoreMessage::View(name.to_owned(), reply));
        view.recv().ok().flatten()
    }

    fn drain(&self) {
        self.shared.draining.store(true, Ordering::Relaxed);
    }
}

/// Forwards events of the control plane to the core and the gateway.
pub struct CoreEventForwarder {
    /// Sends messages to the core.
    pub sender: CoreSender,
    /// State that the gateway reads.
    pub shared: Arc<SharedState>,
}

impl ControlListener for CoreEventForwarder {
    fn config_in_force(&self, serving: Arc<ServingSet>, source: &str) {
        self.sender.send(CoreMessage::Config(serving, source.to_owned()));
    }

    fn crash_count(&self, crash_count: CrashCount) {
        self.sender.send(CoreMessage::CrashCount(crash_count));
    }

    fn placements(&self, placements: Vec<WirePlacement>) {
        self.sender.send(CoreMessage::Placements(placements));
    }

    fn live_hosts(&self, hosts: Vec<Member>) {
        let live = hosts.iter().map(|member| (member.host.clone(), member.started_ms)).collect();
        *self.shared.live_hosts.write().unwrap_or_else(PoisonError::into_inner) = live;
        self.sender.send(CoreMessage::LiveHosts(hosts));
    }

    fn draining_addresses(&self, addresses: HashSet<String>) {
        self.sender.send(CoreMessage::DrainingAddresses(addresses));
    }
}
