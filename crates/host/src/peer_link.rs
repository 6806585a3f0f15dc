//! Joins the membership of hosts, and exchanges datagrams with peers.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use camphorloft_dispatch::prelude::TokenDemand;
use camphorloft_membership::settings::MembershipSettings;
use camphorloft_membership::{Member, MemberState};
use camphorloft_peer::link::{Link, LinkConfig, Received};
use camphorloft_peer::seal::{FrameError, FrameKeys};
use camphorloft_types::prelude::*;
use rand::Rng;
use rand::seq::IndexedRandom;
use slog::{debug, info, warn};
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, timeout_at};

use crate::boundary::{HostRecord, Registry, RegistryError, Wire};
use crate::config_exchange;
use crate::context::Host;
use crate::endpoint_watch;
use crate::listener::bind;
use crate::peer_convert::{
    evacuations_from_wire, migration_from_wire, report_from_wire, speed_from_wire,
};
use crate::peer_secret;

/// Time between two ticks of the peer protocols.
const TICK: Duration = Duration::from_millis(100);
/// Ticks between two registry state updates of an assigned reader.
const TICKS_PER_REGISTRY_STATE: u64 = 2;
/// Ticks between two announcements of known crashes.
const TICKS_PER_CRASH_ANNOUNCEMENT: u64 = 10;
/// Number of known hosts contacted in one attempt to join. Each of them replies with its whole view.
pub(crate) const JOIN_CONTACTS: usize = 4;
/// Time between two attempts to join through the known addresses.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time between two reads of the list of hosts while no other host is known.
const MAX_REREAD_DELAY: Duration = Duration::from_secs(16);
/// Timeout of a call to the registry.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay after the first failed call. It doubles up to [`MAX_RETRY_DELAY`].
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum delay after a failed call.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1200);
/// Size of the receive buffer, the maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// Length of the secret shared by all hosts.
const SECRET_BYTES: usize = 32;

/// Joins the membership of hosts and rejoins whenever no live peer is known.
pub async fn run<W, R>(cx: Rc<Host<W, R>>)
where
    W: Wire,
    R: Registry,
{
    let secret = retry_until_ok(&cx, "secret", || {
        let proposal: [u8; SECRET_BYTES] = cx.state.borrow_mut().rng.random();
        let registry = &cx.registry;
        async move { registry.shared_secret(&proposal).await }
    })
    .await;
    let known = retry_until_ok(&cx, "hosts", || cx.registry.announced_hosts()).await;
    cx.announced_hosts.set(known.len());
    cx.state.borrow_mut().peers.set_announced(known.len());
    cx.set_registry_reached();
    let started_ms = started_ms(&cx, &known);
    let record = HostRecord { host: cx.settings.host.clone(), addr: cx.settings.peers, started_ms };
    // Joining through the known hosts does not wait for the announcement: while a fleet starts,
    // announcements queue at the registry.
    let announced = Rc::new(Cell::new(false));
    spawn_local(announce(cx.clone(), record.clone(), announced.clone()));
    let era = cx.registry.era();
    let keys = FrameKeys::derive(std::slice::from_ref(&secret));
    if let Err(err) = open(&cx, keys, started_ms).await {
        warn!(cx.log, "peer sockets could not be opened"; "error" => %err);
        return;
    }
    spawn_local(peer_secret::follow(cx.clone(), secret, era, record));
    let mut addresses = peer_addresses(&cx, &known);
    info!(cx.log, "joining peers"; "addresses" => addresses.len());
    let mut reread_delay = JOIN_RETRY_INTERVAL;
    let mut reread_at = Instant::now() + reread_delay;
    loop {
        if cx.state.borrow().peers.live().next().is_none() {
            // Hosts that start at the same time read the list before any of them is in it.
            if announced.get() && Instant::now() >= reread_at {
                addresses = reread_addresses(&cx).await.unwrap_or(addresses);
                // Other hosts do not respond to messages with an outdated secret.
                cx.doubts_secret.set(true);
                reread_delay = (reread_delay * 2).min(MAX_REREAD_DELAY);
                reread_at = Instant::now() + reread_delay;
            }
            let contacts: Vec<SocketAddr> = {
                let rng = &mut cx.state.borrow_mut().rng;
                addresses.choose_multiple(rng, JOIN_CONTACTS).copied().collect()
            };
            cx.with_link(|link, out| link.request_sync(&contacts, out));
        }
        sleep(JOIN_RETRY_INTERVAL).await;
    }
}

/// Returns the addresses through which this host can join the others.
pub(crate) fn peer_addresses<W, R>(cx: &Rc<Host<W, R>>, known: &[HostRecord]) -> Vec<SocketAddr> {
    let mut addresses = cx.settings.seeds.clone();
    addresses.extend(known.iter().map(|record| record.addr));
    addresses.retain(|addr| *addr != cx.settings.peers);
    addresses.sort_unstable();
    addresses.dedup();
    addresses
}

/// Reads the addresses of the other hosts again. Returns `None` if the registry does not respond.
async fn reread_addresses<W, R>(cx: &Rc<Host<W, R>>) -> Option<Vec<SocketAddr>>
where
    R: Registry,
{
    let result = timeout(CALL_TIMEOUT, cx.registry.announced_hosts()).await;
    let label = if matches!(result, Ok(Ok(_))) { "ok" } else { "failed" };
    cx.metrics.registry_calls.with_label_values(&["hosts", label]).inc();
    let error = match result {
        Ok(Ok(known)) => {
            let addresses = peer_addresses(cx, &known);
            info!(cx.log, "joining peers"; "addresses" => addresses.len());
            return Some(addresses);
        }
        Ok(Err(err)) => err.to_string(),
        Err(_) => "no response in time".to_owned(),
    };
    info!(cx.log, "registry call failed"; "registry_call" => "hosts", "error" => error);
    None
}

async fn announce<W, R>(cx: Rc<Host<W, R>>, record: HostRecord, announced: Rc<Cell<bool>>)
where
    R: Registry,
{
    retry_until_ok(&cx, "announce", || cx.registry.announce(&record)).await;
    announced.set(true);
}

/// Returns the start time of this process. It is greater than that of the host's previous process,
/// even if the clock was set back since.
fn started_ms<W, R>(cx: &Rc<Host<W, R>>, known: &[HostRecord]) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let before = known.iter().find(|record| record.host == cx.settings.host);
    let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
    now_ms.max(before.map_or(0, |record| record.started_ms.saturating_add(1)))
}

/// Retries a call to the registry until it succeeds. `name` is its name in logs and metrics.
pub(crate) async fn retry_until_ok<W, R, Response, Call, Called>(
    cx: &Rc<Host<W, R>>,
    name: &'static str,
    call: Call,
) -> Response
where
    Call: Fn() -> Called,
    Called: Future<Output = Result<Response, RegistryError>>,
{
    let mut wait = INITIAL_RETRY_DELAY;
    loop {
        let err = match timeout(CALL_TIMEOUT, call()).await {
            Ok(Ok(response)) => {
                cx.metrics.registry_calls.with_label_values(&[name, "ok"]).inc();
                return response;
            }
            Ok(Err(err)) => err.to_string(),
            Err(_) => "no response in time".to_owned(),
        };
        cx.metrics.registry_calls.with_label_values(&[name, "failed"]).inc();
        info!(cx.log, "registry call failed"; "registry_call" => name, "error" => err);
        let jitter = cx.state.borrow_mut().rng.random_range(0.5..1.0);
        sleep(wait.mul_f64(jitter)).await;
        wait = (wait * 2).min(MAX_RETRY_DELAY);
    }
}

/// Opens the sockets and starts the tasks that exchange datagrams.
async fn open<W, R>(cx: &Rc<Host<W, R>>, keys: FrameKeys, started_ms: u64) -> io::Result<()>
where
    W: Wire,
    R: Registry,
{
    let socket = Rc::new(UdpSocket::bind(cx.settings.peers).await?);
    // `try_send_to` fails until the runtime has registered the new socket as writable.
    socket.writable().await?;
    let listener = bind(cx.settings.peers)?;
    let own = Member {
        host: cx.settings.host.clone(),
        addr: cx.settings.peers,
        http_addr: cx.settings.clients,
        region: cx.settings.locality.region.clone(),
        zone: cx.settings.locality.zone.clone(),
        incarnation: Incarnation(started_ms),
        started_ms,
        state: MemberState::Alive,
        suspected_by: None,
    };
    let config = LinkConfig {
        own,
        membership: MembershipSettings::default(),
        keys,
        started_ms,
        seed: cx.state.borrow_mut().rng.random(),
    };
    let link = Link::new(config, Instant::now());
    cx.state.borrow_mut().peers.connect(link, socket.clone());
    spawn_local(config_exchange::serve(cx.clone(), listener));
    spawn_local(receive_all(cx.clone(), socket));
    spawn_local(tick_all(cx.clone()));
    spawn_local(forward_all(cx.clone()));
    Ok(())
}

/// Forwards the updates that other hosts send through this one.
async fn forward_all<W, R>(cx: Rc<Host<W, R>>) {
    loop {
        let due_at = cx.state.borrow().peers.forward_at();
        // Updates that arrive meanwhile may be due earlier.
        let notified = cx.updates_buffered.notified();
        match due_at {
            Some(at) => drop(timeout_at(at.into(), notified).await),
            None => notified.await,
        }
        let datagrams = cx.state.borrow_mut().peers.forward(Instant::now());
        cx.send_datagrams(&datagrams);
    }
}

async fn tick_all<W, R>(cx: Rc<Host<W, R>>)
where
    W: Wire,
    R: Registry,
{
    for ticks in 0_u64.. {
        sleep(TICK).await;
        cx.tick(ticks, Instant::now());
    }
}

impl<W, R> Host<W, R> {
    /// Does what is due at a tick of the peer protocols. `ticks` is the number of earlier ones.
    pub fn tick(&self, ticks: u64, now: Instant) {
        self.record_tick(now);
        let version = self.serving().map(|serving| serving.version);
        self.with_link(|link, out| {
            link.set_config_version(version.unwrap_or_default());
            link.tick(now, out);
        });
        self.tick_relays(now);
        self.expire_evacuations(now);
        self.update_subset(now);
        {
            let mut guard = self.state.borrow_mut();
            let state = &mut *guard;
            state.quota.set_hosts(state.peers.quota_hosts(now));
        }
        self.update_limit_shares(now);
        self.send_refutations(now);
        self.send_queue_states(now);
        if ticks.is_multiple_of(TICKS_PER_CRASH_ANNOUNCEMENT) {
            self.announce_crashes_again(now);
        }
        if ticks.is_multiple_of(TICKS_PER_REGISTRY_STATE)
            && let Some(scope) = self.registry_read_scope(now)
        {
            self.send_registry_state(scope, self.list_read_at.get(), now);
        }
    }
}

async fn receive_all<W, R>(cx: Rc<Host<W, R>>, socket: Rc<UdpSocket>)
where
    W: Wire,
    R: Registry,
{
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(err) => {
                warn!(cx.log, "datagram could not be received"; "error" => %err);
                sleep(TICK).await;
                continue;
            }
        };
        let now = Instant::now();
        let mut received = None;
        cx.with_link(|link, out| received = Some(link.receive(from, &buf[..length], now, out)));
        let received = match received {
            Some(Ok(received)) => received,
            // The link counts dropped datagrams.
            dropped => {
                if matches!(dropped, Some(Err(FrameError::InvalidTag))) {
                    cx.doubts_secret.set(true);
                }
                continue;
            }
        };
        cx.metrics.datagrams.with_label_values(&["received"]).inc();
        cx.state.borrow_mut().peers.record_contact(now);
        apply_datagram(&cx, &received, now);
    }
}

/// Applies the contents of a datagram other than membership.
fn apply_datagram<W, R>(cx: &Rc<Host<W, R>>, received: &Received, now: Instant)
where
    W: Wire,
    R: Registry,
{
    let datagram = &received.datagram;
    // What waited to be read while the process was paused is as old as the pause.
    let arrived_at = cx.state.borrow().pauses.earliest_arrival(now);
    cx.receive_for_others(received, arrived_at);
    for crash in &datagram.crashes {
        cx.receive_crash(crash, now);
    }
    for brittleness in &datagram.brittleness {
        cx.receive_brittleness(brittleness, now);
    }
    for hold_off in &datagram.hold_offs {
        cx.receive_hold_off(hold_off, now);
    }
    for full in &datagram.full {
        cx.receive_full_endpoint(full, now);
    }
    for finished in &datagram.finished {
        cx.receive_finished(finished, now);
    }
    for placement in &datagram.placements {
        let mut state = cx.state.borrow_mut();
        if let Some(ix) = state.fleet.find_digest(placement.endpoint)
            && let Some(endpoint) = state.fleet.get_mut(ix)
        {
            let (kv_tokens, prefill_tokens) = (placement.kv, placement.unread);
            match placement.expected.filter(|_| cx.settings.prioritised) {
                Some(expected) => {
                    let demand = TokenDemand { kv_tokens, prefill_tokens, expected };
                    endpoint.load.record_peer_generation(&demand, now);
                }
                None => endpoint.load.record_peer_placement(kv_tokens, prefill_tokens, now),
            }
        }
    }
    for wire in &datagram.moves {
        let fleet = &mut cx.state.borrow_mut().fleet;
        let ends = (fleet.find_digest(wire.from), fleet.find_digest(wire.to));
        if let (Some(from), Some(to)) = ends {
            let plan = migration_from_wire(wire, from, to, now);
            fleet.record_migration(plan, wire.kv, now);
        }
    }
    for wire in &datagram.reports {
        let (report, as_of) = report_from_wire(wire, arrived_at);
        let ix = cx.state.borrow().fleet.find_digest(wire.endpoint);
        if let Some(ix) = ix {
            cx.apply_report(ix, report, as_of, "host");
            if let Some(known) = speed_from_wire(wire, now) {
                cx.state.borrow_mut().fleet.record_peer_slowness(ix, &known, now);
            }
        }
    }
    let changes = datagram.endpoint_changes.iter().filter_map(|wire| cx.endpoint_change(wire));
    endpoint_watch::apply_changes(cx, changes, now, "host");
    for origin in &datagram.stream_origins {
        cx.receive_stream_origin(origin, now);
    }
    for queue in &datagram.queues {
        cx.receive_queue_state(queue, now);
    }
    for limit in &datagram.request_limits {
        cx.receive_request_limit(limit, now);
    }
    for registry in &datagram.registry {
        if let Some(evacuations) = &registry.evacuations {
            cx.apply_evacuations(&evacuations_from_wire(evacuations), "host", now);
        }
        // Earlier releases do not name the reader, which is then the sender.
        let reader = match registry.reader.as_str() {
            "" => Ok(received.message.sender.host.clone()),
            name => name.parse::<HostName>(),
        };
        let Ok(reader) = reader else {
            debug!(cx.log, "registry state without a valid reader"; "reader" => &registry.reader);
            continue;
        };
        let mut guard = cx.state.borrow_mut();
        let state = &mut *guard;
        let digest = state.fleet.list_digest();
        if state.peers.record_registry_state(&reader, registry, digest, arrived_at) {
            state.pauses.record_registry_state(now);
        }
    }
    let known = cx.serving().map_or(ConfigVersion(0), |serving| serving.version);
    let wants_version = received.message.config_version > known;
    // A sender of registry states has the list, or forwards them for a host that does.
    let wants_endpoints = cx.wants_endpoint_list();
    let may_have_list = !datagram.registry.is_empty();
    if (wants_version || wants_endpoints && may_have_list) && cx.try_begin_fetch(now) {
        let addr = received.message.sender.addr;
        spawn_local(config_exchange::fetch(cx.clone(), addr, wants_endpoints));
    }
}
