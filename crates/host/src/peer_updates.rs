//! Sends updates about endpoints, requests and the registry to other hosts.

use std::time::Instant;

use camphorloft_dispatch::prelude::*;
use camphorloft_membership::Member;
use camphorloft_peer::link::{Datagram, Link, Received};
use camphorloft_peer::updates::Updates;
use camphorloft_peer::wire::{
    WirePlacement, WireRegistryState, WireRequestLimit, WireStreamOrigin,
};
use camphorloft_types::prelude::*;
use slog::{info, warn};

use crate::context::{Host, State};
use crate::peer_convert::{change_to_wire, evacuations_to_wire, migration_to_wire, report_to_wire};
use crate::peers::UpdateScope;
use crate::subset_table::Recipients;

impl<W, R> Host<W, R> {
    /// Calls `act` with the link, and sends the datagrams that it adds.
    pub fn with_link<Act>(&self, act: Act)
    where
        Act: FnOnce(&mut Link, &mut Vec<Datagram>),
    {
        let mut out = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            let Some((link, _)) = state.peers.link_mut() else { return };
            act(link, &mut out);
        }
        self.send_datagrams(&out);
    }

    pub(crate) fn send_datagrams(&self, datagrams: &[Datagram]) {
        let socket = self.state.borrow_mut().peers.link_mut().map(|(_, socket)| socket);
        let Some(socket) = socket else { return };
        for datagram in datagrams {
            // Lost datagrams are not retried here; essential data is sent again periodically.
            let result = match socket.try_send_to(&datagram.frame, datagram.to) {
                Ok(_) => "sent",
                Err(_) => "not_sent",
            };
            self.metrics.datagrams.with_label_values(&[result]).inc();
        }
    }

    pub(crate) fn receive_for_others(&self, received: &Received, now: Instant) {
        let sender = &received.message.sender;
        let mut state = self.state.borrow_mut();
        let result = state.peers.receive_for_others(sender, &received.datagram, now);
        if let Err(err) = result {
            warn!(self.log, "updates not forwarded"; "from" => %sender.host, "error" => %err);
        }
        if state.peers.forward_at().is_some() {
            self.updates_buffered.notify_one();
        }
    }

    pub(crate) fn tick_relays(&self, now: Instant) {
        let mut out = Vec::new();
        let excluded = self.state.borrow_mut().peers.tick_relays(now, &mut out);
        self.send_datagrams(&out);
        for relay in excluded {
            info!(self.log, "relay does not acknowledge"; "relay" => %relay);
        }
    }

    /// Distributes updates to other hosts, through relays in a large fleet.
    fn distribute(&self, scope: UpdateScope, updates: Updates, now: Instant) {
        let datagrams = {
            let mut state = self.state.borrow_mut();
            let datagrams = state.peers.distribute(scope, updates, now);
            if state.peers.forward_at().is_some() {
                self.updates_buffered.notify_one();
            }
            datagrams
        };
        self.send_datagrams(&datagrams);
    }

    /// Announces this host's configuration version immediately. `is_source` is true if it read the
    /// version from the registry.
    pub fn announce_version(&self, is_source: bool) {
        let version = self.serving().map(|serving| serving.version).unwrap_or_default();
        let now = Instant::now();
        let datagrams = self.state.borrow_mut().peers.announce_version(version, is_source, now);
        self.send_datagrams(&datagrams);
    }

    /// Sends updates about endpoints to the hosts that use them. Those of the region of the first one
    /// receive `urgent` ones without the delay of a relay.
    fn send_about(&self, endpoints: &[EndpointIx], updates: Updates, urgent: bool) {
        let now = Instant::now();
        let mut guard = self.state.borrow_mut();
        let State { fleet, peers, subset, .. } = &mut *guard;
        let mut hosts: Vec<Member> = Vec::new();
        let mut all = false;
        for ix in endpoints {
            match subset.recipients(fleet, *ix, peers.live()) {
                Recipients::All => all = true,
                Recipients::Hosts(more) => hosts.extend(more),
            }
        }
        let zone = endpoints.first().and_then(|ix| Some(&fleet.get(*ix)?.entry.zone));
        let region = zone.and_then(|zone| fleet.locality().regions.get(zone));
        let datagrams = match region {
            _ if !all => {
                hosts.sort_unstable_by(|a, b| a.host.cmp(&b.host));
                hosts.dedup_by(|a, b| a.host == b.host);
                peers.send_to_hosts(&hosts, updates)
            }
            Some(region) if urgent => peers.distribute_urgently(region, updates, now),
            _ => peers.distribute(UpdateScope::All, updates, now),
        };
        if peers.forward_at().is_some() {
            self.updates_buffered.notify_one();
        }
        drop(guard);
        self.send_datagrams(&datagrams);
    }

    /// Sends the placement of a generation to other hosts.
    pub fn send_placement(&self, endpoint: EndpointIx, demand: &TokenDemand) {
        let Some(digest) = self.endpoint_digest(endpoint) else { return };
        let placement = WirePlacement {
            endpoint: digest,
            kv: demand.kv_tokens,
            unread: demand.prefill_tokens,
            expected: self.settings.prioritised.then_some(demand.expected),
        };
        let updates = Updates { placements: vec![placement], ..Updates::default() };
        self.send_about(&[endpoint], updates, false);
    }

    /// Sends the software version that began a stream to all other hosts, to any of which the client
    /// may return.
    pub fn send_stream_origin(&self, origin: WireStreamOrigin) {
        let updates = Updates { stream_origins: vec![origin], ..Updates::default() };
        self.distribute(UpdateScope::All, updates, Instant::now());
    }

    /// Sends the limit of requests that an endpoint stated to all other hosts, which share it.
    pub fn send_request_limit(&self, limit: WireRequestLimit) {
        let updates = Updates { request_limits: vec![limit], ..Updates::default() };
        self.distribute(UpdateScope::All, updates, Instant::now());
    }

    /// Sends the planned migration of a generation that holds `kv_tokens` tokens of KV cache.
    pub fn send_migration(&self, plan: &PlannedMigration, kv_tokens: u32) {
        let ends = self.endpoint_digest(plan.from).zip(self.endpoint_digest(plan.to));
        let Some(ends) = ends else { return };
        let migrations = vec![migration_to_wire(plan, ends, kv_tokens, Instant::now())];
        let updates = Updates { migrations, ..Updates::default() };
        self.send_about(&[plan.from, plan.to], updates, true);
    }

    /// Sends an engine's load report to other hosts.
    pub fn send_report(&self, endpoint: EndpointIx, report: &LoadReport, as_of: Instant) {
        let Some(digest) = self.endpoint_digest(endpoint) else { return };
        let now = Instant::now();
        let speed = self.known_speed(endpoint, now);
        let reports = vec![report_to_wire(digest, report, as_of, speed.as_ref(), now)];
        self.send_about(&[endpoint], Updates { reports, ..Updates::default() }, false);
    }

    /// Sends what this host knows of the speed of an engine to other hosts, with the latest known report.
    pub fn send_speed(&self, endpoint: EndpointIx, now: Instant) {
        let state = self.state.borrow();
        let known = state.fleet.get(endpoint).and_then(|e| e.load.report(now));
        let known = known.map(|(report, age)| (*report, age));
        drop(state);
        if let Some((report, age)) = known {
            self.send_report(endpoint, &report, now - age);
        }
    }

    /// Returns the speed of an endpoint to send to other hosts, or `None` if no endpoint of the service
    /// stated its speed recently.
    fn known_speed(&self, endpoint: EndpointIx, now: Instant) -> Option<PeerSlowness> {
        let state = self.state.borrow();
        let endpoint = state.fleet.get(endpoint)?;
        let service = state.fleet.stated_speed(&endpoint.entry.service, now)?;
        Some(PeerSlowness {
            stated: endpoint.speed.stated(),
            observed: endpoint.speed.observed(),
            latest: endpoint.speed.latest_figure(),
            stated_at: service.stated_at()?,
        })
    }

    fn endpoint_digest(&self, endpoint: EndpointIx) -> Option<u64> {
        self.state.borrow().fleet.get(endpoint).map(|endpoint| endpoint.digest)
    }

    /// Sends updates to all other hosts.
    pub fn distribute_to_all(&self, updates: Updates, now: Instant) {
        self.distribute(UpdateScope::All, updates, now);
    }

    /// Sends changes of the endpoint list to the hosts for which this host reads the registry, or to
    /// those of its region if there are none.
    pub fn send_endpoint_changes(&self, changes: &[FleetChange]) {
        if changes.is_empty() {
            return;
        }
        let now = Instant::now();
        let scope = self.registry_read_scope(now).unwrap_or(UpdateScope::Region);
        self.distribute_endpoint_changes(scope, changes, now);
    }

    /// Sends changes of endpoints to the hosts in scope, and repeats them in further datagrams.
    pub fn distribute_endpoint_changes(
        &self,
        scope: UpdateScope,
        changes: &[FleetChange],
        now: Instant,
    ) {
        if changes.is_empty() {
            return;
        }
        let endpoint_changes = {
            let mut guard = self.state.borrow_mut();
            let state = &mut *guard;
            let wire = changes.iter().filter_map(|change| {
                let entry = state.fleet.get(change.endpoint())?.entry_now(now);
                let listed = !matches!(change, FleetChange::Removed(_));
                Some(change_to_wire(&entry.name, listed.then_some(&entry)))
            });
            state.peers.changes_to_send(wire.collect(), now)
        };
        self.distribute(scope, Updates { endpoint_changes, ..Updates::default() }, now);
    }

    /// Sends this host's view of the registry to other hosts. `list_at` is when its own read last
    /// confirmed the endpoint list, if it did.
    pub fn send_registry_state(&self, scope: UpdateScope, list_at: Option<Instant>, now: Instant) {
        let age = |at: Option<Instant>| {
            let age = at.map_or(u128::MAX, |at| now.saturating_duration_since(at).as_millis());
            u32::try_from(age).unwrap_or(u32::MAX)
        };
        let version_at = self.version_read_at.get();
        let updates = {
            let mut guard = self.state.borrow_mut();
            let state = &mut *guard;
            let registry = WireRegistryState {
                list_digest: state.fleet.list_digest(),
                list_age_ms: age(list_at),
                version_age_ms: age(version_at),
                reader: self.settings.host.to_string(),
                evacuations: state.fleet.evacuations().latest().map(evacuations_to_wire),
                list_asked_age_ms: self.list_asked_at.get().map(|at| age(Some(at))),
            };
            let endpoint_changes = state.peers.changes_to_send(Vec::new(), now);
            Updates { registry: vec![registry], endpoint_changes, ..Updates::default() }
        };
        self.distribute(scope, updates, now);
    }
}
