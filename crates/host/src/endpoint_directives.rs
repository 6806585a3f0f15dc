//! Records what endpoints state about themselves in their responses.

use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_peer::updates::Updates;
use camphorloft_peer::wire::{WireBrittleness, WireFullEndpoint, WireHoldOff, WireRequestLimit};
use camphorloft_types::prelude::*;
use http::response;
use rand::Rng;
use slog::{info, warn};

use crate::boundary::{ResponseKind, Wire};
use crate::context::{Host, State};
use crate::peers::{Peers, UpdateScope};

/// Minimum time between two log lines about statements that are not valid.
const MALFORMED_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Whether a response contains all that an endpoint states about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StatementScope {
    Complete,
    /// What is absent may still hold.
    Partial,
}

impl<W, R> Host<W, R> {
    /// Records what an endpoint states about itself in the head of its response to a request.
    pub fn record_directives(&self, ix: EndpointIx, kind: ResponseKind, head: &response::Parts)
    where
        W: Wire,
    {
        let scope = match kind {
            ResponseKind::Success => StatementScope::Complete,
            // An endpoint that fails or refuses may do so before it determines what it states.
            ResponseKind::Failed | ResponseKind::NotRun { wrong_endpoint: false } => {
                StatementScope::Partial
            }
            ResponseKind::NotRun { wrong_endpoint: true } | ResponseKind::Mismatched => return,
        };
        self.record_statements(ix, scope, head);
    }

    /// Records what an endpoint states about itself in the head of its response to a request of this
    /// host itself, such as one for a load report, unless the endpoint has been replaced by another
    /// process since.
    pub fn record_own_call_directives(
        &self,
        ix: EndpointIx,
        entry: &EndpointEntry,
        head: &response::Parts,
    ) where
        W: Wire,
    {
        let same =
            self.state.borrow().fleet.get(ix).is_some_and(|e| e.entry.is_same_process(entry));
        if same {
            self.record_statements(ix, StatementScope::Partial, head);
        }
    }

    fn record_statements(&self, ix: EndpointIx, scope: StatementScope, head: &response::Parts)
    where
        W: Wire,
    {
        let now = Instant::now();
        let directives = self.wire.directives(head);
        match directives.request_limit {
            Directive::Stated(rate) => self.record_own_limit(ix, Some(rate), now),
            Directive::Absent if scope == StatementScope::Partial => {}
            Directive::Absent => self.record_own_limit(ix, None, now),
            Directive::Malformed => self.record_malformed_directive(ix, "request_limit", now),
        }
        match directives.cold {
            Directive::Stated(left) => self.record_cold(ix, left, now),
            Directive::Absent => {}
            Directive::Malformed => self.record_malformed_directive(ix, "cold", now),
        }
        match directives.brittle {
            Directive::Stated(max_refusals) => self.record_brittle(ix, max_refusals, now),
            Directive::Absent => {}
            Directive::Malformed => self.record_malformed_directive(ix, "brittle", now),
        }
        match directives.leaving {
            Directive::Stated(true) => self.record_leaving(ix, now),
            Directive::Stated(false) | Directive::Absent => {}
            Directive::Malformed => self.record_malformed_directive(ix, "leaving", now),
        }
        match directives.hold_off {
            Directive::Stated(duration) => self.record_hold_off(ix, duration, now),
            Directive::Absent => {}
            Directive::Malformed => self.record_malformed_directive(ix, "retry_after", now),
        }
    }

    /// Tells the host that forwarded a refused request for how long the endpoint wants none from that host.
    pub fn forward_hold_off(&self, via: &HostName, ix: EndpointIx, head: &response::Parts)
    where
        W: Wire,
    {
        let Directive::Stated(duration) = self.wire.directives(head).hold_off else { return };
        let mut state = self.state.borrow_mut();
        let via = state.peers.live().find(|member| member.host == *via).cloned();
        let endpoint = state.fleet.get(ix).map(|endpoint| endpoint.digest);
        let (Some(via), Some(endpoint)) = (via, endpoint) else { return };
        let for_ms = u32::try_from(duration.as_millis()).unwrap_or(u32::MAX);
        let hold_offs = vec![WireHoldOff { endpoint, for_ms }];
        let updates = Updates { hold_offs, ..Updates::default() };
        let datagrams = state.peers.send_to_hosts(&[via], updates);
        drop(state);
        self.send_datagrams(&datagrams);
    }

    /// Records what an endpoint stated to this host in a response that this host forwarded.
    pub fn receive_hold_off(&self, wire: &WireHoldOff, now: Instant) {
        let ix = self.state.borrow().fleet.find_digest(wire.endpoint);
        if let Some(ix) = ix {
            self.record_hold_off(ix, Duration::from_millis(u64::from(wire.for_ms)), now);
        }
    }

    /// Records that an endpoint wants no request from this host for a while. Other hosts are not
    /// concerned.
    fn record_hold_off(&self, ix: EndpointIx, duration: Duration, now: Instant) {
        let mut state = self.state.borrow_mut();
        let Some(endpoint) = state.fleet.get_mut(ix) else { return };
        let until = now + duration;
        endpoint.hold_off_until = endpoint.hold_off_until.max(Some(until));
        info!(self.log, "endpoint holds off requests"; "endpoint" => %endpoint.entry.name,
            "for_ms" => duration.as_millis() as u64);
    }

    /// Records that the endpoints of a service crash when they have to refuse many requests, and tells all
    /// other hosts.
    fn record_brittle(&self, ix: EndpointIx, max_refusals: u32, now: Instant) {
        let announcement = {
            let mut state = self.state.borrow_mut();
            let Some(endpoint) = state.fleet.get(ix) else { return };
            let service = endpoint.entry.service.clone();
            let (brittleness, is_new) =
                state.fleet.record_brittle(&service, max_refusals, now, now);
            if is_new {
                info!(self.log, "service is brittle"; "service" => %service,
                    "max_refusals" => max_refusals, "source" => "response");
            }
            let is_due = brittleness.begin_announcement(now);
            is_due.then(|| WireBrittleness {
                service: service.to_string(),
                max_refusals,
                age_ms: 0,
            })
        };
        if let Some(brittleness) = announcement {
            let updates = Updates { brittleness: vec![brittleness], ..Updates::default() };
            self.distribute_to_all(updates, now);
        }
    }

    /// Records that the endpoints of a service are brittle, as another host announced.
    pub fn receive_brittleness(&self, wire: &WireBrittleness, now: Instant) {
        let age = Duration::from_millis(u64::from(wire.age_ms));
        let (Ok(service), Some(at)) = (wire.service.parse::<ServiceName>(), now.checked_sub(age))
        else {
            return self.warn_of_malformed(now, || {
                warn!(self.log, "statement about a service is not valid";
                    "service" => &wire.service);
            });
        };
        let mut state = self.state.borrow_mut();
        let (brittleness, is_new) =
            state.fleet.record_brittle(&service, wire.max_refusals, at, now);
        brittleness.record_announcement(now);
        if is_new {
            info!(self.log, "service is brittle"; "service" => %service,
                "max_refusals" => wire.max_refusals, "source" => "host");
        }
    }

    /// Records that an endpoint refused a request for lack of room, and tells all other hosts if it is
    /// brittle.
    pub fn record_refusal(&self, ix: EndpointIx, now: Instant) {
        let Some(digest) = self.pause_sending(ix, "response", now) else { return };
        let full = vec![WireFullEndpoint { endpoint: digest }];
        self.distribute_to_all(Updates { full, ..Updates::default() }, now);
    }

    /// Records that an endpoint refused a request of another host for lack of room.
    pub fn receive_full_endpoint(&self, wire: &WireFullEndpoint, now: Instant) {
        let ix = self.state.borrow().fleet.find_digest(wire.endpoint);
        if let Some(ix) = ix {
            self.pause_sending(ix, "host", now);
        }
    }

    /// Sends nothing to a brittle endpoint for a while. Returns its digest, or `None` if it is not
    /// brittle.
    fn pause_sending(&self, ix: EndpointIx, source: &str, now: Instant) -> Option<u64> {
        let mut guard = self.state.borrow_mut();
        let State { fleet, rng, .. } = &mut *guard;
        let brittleness = fleet.brittleness(&fleet.get(ix)?.entry.service, now)?;
        let endpoint = fleet.get_mut(ix)?;
        let pause = brittleness.pause(rng.random());
        endpoint.record_no_room(pause, now);
        info!(self.log, "brittle endpoint has no room"; "endpoint" => %endpoint.entry.name,
            "for_ms" => pause.as_millis() as u64, "source" => source);
        Some(endpoint.digest)
    }

    /// Records for how long an endpoint stays cold, and tells all other hosts if that is news.
    fn record_cold(&self, ix: EndpointIx, left: Duration, now: Instant) {
        let mut changes = Vec::new();
        self.state.borrow_mut().fleet.record_cold(ix, left, now, &mut changes);
        self.handle_fleet_changes(&changes, "response");
        self.distribute_endpoint_changes(UpdateScope::All, &changes, now);
    }

    /// Records that an endpoint leaves, and tells all other hosts.
    fn record_leaving(&self, ix: EndpointIx, now: Instant) {
        let mut changes = Vec::new();
        self.state.borrow_mut().fleet.mark_draining(ix, now, &mut changes);
        self.handle_fleet_changes(&changes, "response");
        self.distribute_endpoint_changes(UpdateScope::All, &changes, now);
    }

    /// Records the limit that an endpoint stated in a response to this host, and announces it.
    fn record_own_limit(&self, ix: EndpointIx, rate: Option<RequestRate>, now: Instant) {
        self.record_request_limit(ix, rate, now, "response");
        let announcement = {
            let mut state = self.state.borrow_mut();
            let Some(endpoint) = state.fleet.get_mut(ix) else { return };
            endpoint.request_limit.begin_announcement(now).then(|| WireRequestLimit {
                endpoint: endpoint.digest,
                per_second: rate.map(RequestRate::per_second),
                age_ms: 0,
            })
        };
        if let Some(limit) = announcement {
            self.send_request_limit(limit);
        }
    }

    /// Records the limit of an endpoint that another host announced.
    pub fn receive_request_limit(&self, wire: &WireRequestLimit, now: Instant) {
        let Some(ix) = self.state.borrow().fleet.find_digest(wire.endpoint) else { return };
        let Ok(rate) = wire.per_second.map(RequestRate::try_from).transpose() else {
            return self.record_malformed_directive(ix, "request_limit", now);
        };
        let age = Duration::from_millis(u64::from(wire.age_ms));
        let Some(as_of) = now.checked_sub(age) else { return };
        self.record_request_limit(ix, rate, as_of, "host");
        if let Some(endpoint) = self.state.borrow_mut().fleet.get_mut(ix) {
            endpoint.request_limit.record_announcement(now);
        }
    }

    /// Records the limit that an endpoint stated at `as_of`.
    fn record_request_limit(
        &self,
        ix: EndpointIx,
        rate: Option<RequestRate>,
        as_of: Instant,
        source: &str,
    ) {
        let now = Instant::now();
        let mut guard = self.state.borrow_mut();
        let State { fleet, peers, .. } = &mut *guard;
        let Some(endpoint) = fleet.get_mut(ix) else { return };
        let before = endpoint.request_limit.stated_rate(now);
        if !endpoint.request_limit.record(rate, as_of, now) {
            return;
        }
        let locality = fleet.locality().clone();
        let Some(endpoint) = fleet.get_mut(ix) else { return };
        update_position(endpoint, &locality, peers, now);
        info!(self.log, "endpoint limit changed"; "endpoint" => %endpoint.entry.name,
            "limit_per_s" => rate.map(RequestRate::per_second),
            "before_per_s" => before.map(RequestRate::per_second), "source" => source,
            "sends" => endpoint.request_limit.send_at(now).is_some(),
            "age_ms" => as_of.elapsed().as_millis() as u64);
    }

    /// Updates this host's share of the limits of endpoints, which depends on the other hosts.
    pub fn update_limit_shares(&self, now: Instant) {
        let mut guard = self.state.borrow_mut();
        let State { fleet, peers, .. } = &mut *guard;
        let is_limited = |(_, e): &(EndpointIx, &Endpoint)| e.request_limit.rate(now).is_some();
        let limited: Vec<EndpointIx> = fleet.iter().filter(is_limited).map(|(ix, _)| ix).collect();
        let cold = fleet.iter().filter(|(_, endpoint)| endpoint.is_cold_limited(now)).count();
        self.metrics.cold_endpoints.set(i64::try_from(cold).unwrap_or(i64::MAX));
        if limited.is_empty() {
            return;
        }
        let locality = fleet.locality().clone();
        for ix in limited {
            if let Some(endpoint) = fleet.get_mut(ix) {
                update_position(endpoint, &locality, peers, now);
            }
        }
    }

    fn record_malformed_directive(&self, ix: EndpointIx, directive: &str, now: Instant) {
        self.metrics.malformed_directives.with_label_values(&[directive]).inc();
        self.warn_of_malformed(now, || {
            let state = self.state.borrow();
            let name = state.fleet.get(ix).map(|endpoint| endpoint.entry.name.to_string());
            warn!(self.log, "directive of an endpoint is not valid"; "endpoint" => name,
                "directive" => directive);
        });
    }

    /// Logs a warning about data that is not valid, unless another one was logged recently.
    pub(crate) fn warn_of_malformed<Warn>(&self, now: Instant, warn: Warn)
    where
        Warn: FnOnce(),
    {
        let is_recent = |at| now.saturating_duration_since(at) < MALFORMED_LOG_INTERVAL;
        if !self.malformed_logged_at.get().is_some_and(is_recent) {
            self.malformed_logged_at.set(Some(now));
            warn();
        }
    }
}

fn update_position(endpoint: &mut Endpoint, locality: &Locality, peers: &Peers, now: Instant) {
    let region = locality.regions.get(&endpoint.entry.zone);
    let name = &endpoint.entry.name;
    let (rank, hosts) = match endpoint.is_cold_limited(now) {
        true => peers.cold_sender_rank(name, region, now),
        false => peers.sender_rank(name, region),
    };
    endpoint.request_limit.set_position(rank, hosts, now);
}
