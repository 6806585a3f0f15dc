//! Tells other hosts what waits here for engines.

use std::time::Instant;

use camphorloft_dispatch::peer_queues::statement_interval;
use camphorloft_dispatch::prelude::*;
use camphorloft_peer::updates::Updates;
use camphorloft_peer::wire::WireQueueState;
use camphorloft_types::prelude::*;
use camphorloft_types::rendezvous::score;

use crate::context::{Host, State};

/// Keys of the digests of names.
const HOST_DIGEST_KEY: &str = "queue-host";
const SERVICE_DIGEST_KEY: &str = "queue-service";

fn host_digest(host: &HostName) -> HostDigest {
    score(HOST_DIGEST_KEY, host.as_str()) as HostDigest
}

fn service_digest(service: &ServiceName) -> u32 {
    score(SERVICE_DIGEST_KEY, service.as_str()) as u32
}

impl<W, R> Host<W, R> {
    /// Tells the other hosts what waits here, if anything does and the last statement is old enough.
    pub(crate) fn send_queue_states(&self, now: Instant) {
        if !self.settings.prioritised {
            return;
        }
        let queues: Vec<WireQueueState> = {
            let mut guard = self.state.borrow_mut();
            let State { queues, peers, .. } = &mut *guard;
            let hosts = peers.live().count() as u32 + 1;
            for queue in queues.values_mut() {
                queue.peers.set_hosts(hosts);
            }
            let is_recent =
                |at: Instant| now.saturating_duration_since(at) < statement_interval(hosts);
            if self.queues_stated_at.get().is_some_and(is_recent) {
                return;
            }
            let waiting =
                queues.iter().filter_map(|(service, queue)| Some((service, queue.state()?)));
            let own = host_digest(&self.settings.host);
            let to_wire = |(service, state): (&ServiceName, QueueState)| WireQueueState {
                host: own,
                service: service_digest(service),
                priority: u32::from(state.priority),
                tokens: state.tokens,
            };
            waiting.map(to_wire).collect()
        };
        if !queues.is_empty() {
            self.queues_stated_at.set(Some(now));
            self.distribute_to_all(Updates { queues, ..Updates::default() }, now);
        }
    }

    /// Records what waits at another host.
    pub(crate) fn receive_queue_state(&self, wire: &WireQueueState, now: Instant) {
        if !self.settings.prioritised || wire.host == host_digest(&self.settings.host) {
            return;
        }
        let mut guard = self.state.borrow_mut();
        let State { queues, serving, .. } = &mut *guard;
        let Some(serving) = serving else { return };
        let mut services = serving.services.values().map(|service| &service.name);
        let Some(service) = services.find(|name| service_digest(name) == wire.service) else {
            return;
        };
        let priority = u8::try_from(wire.priority).unwrap_or(u8::MAX);
        let state = QueueState { priority, tokens: wire.tokens };
        queues.entry(service.clone()).or_default().peers.record(wire.host, state, now);
    }
}
