//! The thread that runs the core's actor.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::time::{Duration, Instant};

use camphorloft_decide::poison::CrashCount;
use camphorloft_engine::load_report::{CacheEvents, LoadReport};
use camphorloft_gateway::control::{AttemptEnd, Placement, PlacementRequest, Refusal, ServingSet};
use camphorloft_membership::Member;
use camphorloft_peer::wire::WirePlacement;
use camphorloft_types::prelude::*;
use stakker::{ActorOwn, Stakker, actor, call, ret_nop};

use crate::core::{Core, CoreSetup};

/// Longest wait for a message.
const MAX_WAIT: Duration = Duration::from_millis(50);
/// Maximum number of messages handled before the actor's timers run; one more may follow.
const MESSAGES_PER_TURN: usize = 256;

/// An endpoint whose load reports are read.
#[derive(Clone, Debug)]
pub struct PolledEndpoint {
    /// Stable index.
    pub ix: EndpointIx,
    /// Address.
    pub addr: SocketAddr,
}

/// A model switch that the core plans.
#[derive(Clone, Debug)]
pub struct PlannedSwitch {
    /// Endpoint.
    pub endpoint: EndpointName,
    /// Address of the engine.
    pub addr: SocketAddr,
    /// True when the engine checks fencing tokens.
    pub checks_fencing: bool,
    /// Model to unload first.
    pub unload: Option<ModelName>,
    /// Model to load.
    pub load: ModelName,
}

/// A message to the core.
pub enum CoreMessage {
    /// Requests a placement.
    Place(Box<PlacementRequest>, SyncSender<Result<Placement, Refusal>>),
    /// Reports progress.
    Progress(GenerationId, TokenCount),
    /// Reports the end of an attempt.
    EndAttempt(GenerationId, Attempt, AttemptEnd),
    /// A version of the object set came into force, from the named source.
    Config(Arc<ServingSet>, String),
    /// A load report arrived.
    Load(EndpointIx, LoadReport, Instant),
    /// The load of an endpoint could not be read.
    LoadFailed(EndpointIx),
    /// Cache events arrived.
    CacheEvents(EndpointIx, CacheEvents),
    /// Another host reported the crash count of a fingerprint.
    CrashCount(CrashCount),
    /// Another host announced placements.
    Placements(Vec<WirePlacement>),
    /// Requests the model switches that are due.
    PlanModels(SyncSender<Vec<PlannedSwitch>>),
    /// The other live hosts.
    LiveHosts(Vec<Member>),
    /// The addresses that the platform's host list marks as draining.
    DrainingAddresses(HashSet<String>),
    /// Requests a view, as JSON.
    View(String, SyncSender<Option<String>>),
    /// Stops the thread.
    Stop,
}

/// Runs the actor until a stop message arrives or all senders are dropped.
pub fn run_core(setup: CoreSetup, rx: &Receiver<CoreMessage>) {
    let mut stakker = Stakker::new(Instant::now());
    let core = actor!(stakker, Core::init(setup), ret_nop!());
    stakker.run(Instant::now(), false);
    while turn(&mut stakker, &core, rx) {}
}

/// Waits for messages, passes them to the actor and runs it. Returns false when the thread must
/// stop.
fn turn(stakker: &mut Stakker, core: &ActorOwn<Core>, rx: &Receiver<CoreMessage>) -> bool {
    let wait = stakker.next_wait_max(Instant::now(), MAX_WAIT, false);
    let first = match rx.recv_timeout(wait) {
        Ok(message) => Some(message),
        Err(RecvTimeoutError::Timeout) => None,
        Err(RecvTimeoutError::Disconnected) => return false,
    };
    let mut next = first;
    for _ in 0..MESSAGES_PER_TURN {
        match next {
            Some(CoreMessage::Stop) => return false,
            Some(message) => call!([core], handle(message)),
            None => break,
        }
        next = rx.try_recv().ok();
    }
    if let Some(message) = next {
        if matches!(message, CoreMessage::Stop) {
            return false;
        }
        call!([core], handle(message));
    }
    stakker.run(Instant::now(), false);
    true
}
