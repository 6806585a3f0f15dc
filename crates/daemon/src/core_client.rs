//! The gateway's way to the core.

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

    /// Sends a message. A core that ended loses it.
    pub fn send(&self, message: CoreMessage) {
        let _ = self.tx.send(message);
    }
}

/// State that the core writes and the gateway reads without asking.
#[derive(Default)]
pub struct Shared {
    /// Generations that must move.
    pub moves: Mutex<HashSet<GenerationId>>,
    /// Other hosts that are alive, with the start of their processes.
    pub live_hosts: RwLock<HashMap<HostName, u64>>,
    /// The control plane, once it runs.
    pub link: OnceLock<PeerLink>,
    /// True once a graceful shutdown has begun.
    pub draining: AtomicBool,
    /// True once new requests are refused.
    pub refusing: AtomicBool,
    /// Metrics.
    pub metrics: Metrics,
}

impl Shared {
    /// Tells other hosts of a placement.
    pub fn announce_placement(&self, placement: WirePlacement) {
        if let Some(link) = self.link.get() {
            link.announce_placement(placement);
        }
    }

    /// Spreads blame to other hosts.
    pub fn spread_blame(&self, blame: CrashCount) {
        if let Some(link) = self.link.get() {
            link.spread_blame(blame);
        }
    }

    /// Counts the breach of an invariant and logs it.
    pub fn violated(&self, log: &Logger, invariant: Invariant, detail: &str) {
        self.metrics.violated(invariant);
        crit!(log, "invariant violated"; "invariant" => invariant.as_str(), "detail" => detail);
    }
}

/// The core as the gateway sees it.
pub struct CoreClient {
    /// Sends messages to the core.
    pub sender: CoreSender,
    /// The version in force.
    pub config: ConfigState,
    /// State that the core writes.
    pub shared: Arc<Shared>,
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
        let moves = self.shared.moves.lock().unwrap_or_else(PoisonError::into_inner);
        if moves.contains(&generation) { Directive::Migrate } else { Directive::Continue }
    }

    fn end_attempt(&self, generation: GenerationId, attempt: Attempt, end: AttemptEnd) {
        self.sender.send(CoreMessage::EndAttempt(generation, attempt, end));
    }

    fn end_request(&self, _organisation: OrganisationIx, outcome: Outcome) {
        self.shared.metrics.end_request(outcome);
    }

    fn report_violation(&self, invariant: Invariant, detail: &str) {
        self.shared.violated(&self.log, invariant, detail);
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

/// Passes what the control plane hears on to the core and the gateway.
pub struct CoreListener {
    /// Sends messages to the core.
    pub sender: CoreSender,
    /// State that the gateway reads.
    pub shared: Arc<Shared>,
}

impl ControlListener for CoreListener {
    fn config_in_force(&self, serving: Arc<ServingSet>, source: &str) {
        self.sender.send(CoreMessage::Config(serving, source.to_owned()));
    }

    fn blame(&self, blame: CrashCount) {
        self.sender.send(CoreMessage::Blame(blame));
    }

    fn placements(&self, placements: Vec<WirePlacement>) {
        self.sender.send(CoreMessage::Placements(placements));
    }

    fn live_hosts(&self, hosts: Vec<Member>) {
        let live = hosts.iter().map(|member| (member.host.clone(), member.started_ms)).collect();
        *self.shared.live_hosts.write().unwrap_or_else(PoisonError::into_inner) = live;
        self.sender.send(CoreMessage::LiveHosts(hosts));
    }

    fn leaving(&self, addresses: HashSet<String>) {
        self.sender.send(CoreMessage::Leaving(addresses));
    }
}
