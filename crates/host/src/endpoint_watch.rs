//! Keeps the endpoint list up to date.
//!
//! A removed endpoint receives no new work. While the registry is unavailable, endpoints cannot
//! renew their entries and the entries expire. After an outage, missing entries are therefore kept
//! for a grace period.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_peer::wire::WireEndpointChange;
use camphorloft_types::prelude::*;
use rand::Rng;
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use crate::boundary::{EndpointChange, Listing, Registry, RegistryError, Revision, Wire};
use crate::context::Host;
use crate::peer_convert::change_from_wire;
use crate::registry_outage::RegistryOutage;
use crate::start_reads;

/// Duration of a long poll for changes. Other hosts rely on the assigned reader only if it confirmed
/// the list within about the last second.
const LONG_POLL_WAIT: Duration = Duration::from_millis(500);
/// Timeout of a response, in addition to the duration of a long poll.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of a read of the whole list, which has several pages if there are thousands of endpoints.
/// The client of the registry detects an unresponsive connection sooner.
const LIST_TIMEOUT: Duration = Duration::from_secs(6);
/// Time between two reads. Every endpoint writes a heartbeat about once a second, and every call to
/// the registry is billed.
const POLL_INTERVAL: Duration = Duration::from_millis(180);
/// Time between two reads before any other host has been discovered.
const UNJOINED_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a failed call, for an assigned reader.
const READER_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay after a failed call, for a host whose assigned reader failed to reach the registry too.
const NON_READER_RETRY_DELAY: Duration = Duration::from_millis(5000);
/// Delay after a failed call, for a host that receives updates from no reader.
const NO_READER_RETRY_DELAY: Duration = Duration::from_millis(1000);
/// Time between two checks whether another host still reads for this one.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// State of reading the registry's endpoint list.
#[derive(Debug, Default)]
struct ListState {
    /// Revision up to which the list was read; `None` when the full list must be read.
    revision: Option<Revision>,
    /// Last outage of the registry.
    outage: RegistryOutage,
    /// Entries missing since the registry became available again, and when they are removed.
    pending_removal: BTreeMap<EndpointName, Instant>,
    /// True when the last response contained a draining endpoint.
    saw_draining: bool,
}

/// Returns the time between two reads of the endpoint list. Endpoints are reclaimed in groups with
/// short notice, so a response with a draining endpoint is followed by another read immediately. A
/// host that has not discovered the others reads less often, because all hosts read while the fleet
/// starts.
///
/// ```
/// use camphorloft_host::endpoint_watch::interval;
/// assert!(interval(true, true).is_zero());
/// assert!(interval(true, false) < interval(false, false));
/// ```
pub fn interval(joined: bool, saw_draining: bool) -> Duration {
    match (saw_draining, joined) {
        (true, _) => Duration::ZERO,
        (false, true) => POLL_INTERVAL,
        (false, false) => UNJOINED_POLL_INTERVAL,
    }
}

/// Returns the delay after a failed call to the registry. Hosts that are not the assigned reader wait
/// longer, to avoid a retry storm in an outage. If they receive updates from no reader, they wait less.
///
/// ```
/// use camphorloft_host::endpoint_watch::retry_delay;
/// assert!(retry_delay(true, true) < retry_delay(false, false));
/// assert!(retry_delay(false, false) < retry_delay(false, true));
/// ```
pub fn retry_delay(is_reader: bool, has_live_reader: bool) -> Duration {
    match (is_reader, has_live_reader) {
        (true, _) => READER_RETRY_DELAY,
        (false, true) => NON_READER_RETRY_DELAY,
        (false, false) => NO_READER_RETRY_DELAY,
    }
}

/// Keeps the endpoint list up to date, from the registry or through the assigned reader.
pub async fn follow<W, R>(cx: Rc<Host<W, R>>)
where
    W: Wire,
    R: Registry,
{
    let mut list = ListState::default();
    let mut wait = LONG_POLL_WAIT;
    start_reads::wait_to_read(&cx, || cx.is_list_confirmed()).await;
    loop {
        if cx.is_list_maintained() {
            cx.list_read_at.set(None);
            list.revision = None;
            record_available(&cx, &mut list);
            remove_expired(&cx, &mut list);
            sleep(READER_CHECK_INTERVAL).await;
            continue;
        }
        if cx.is_list_left_to_others() {
            sleep(READER_CHECK_INTERVAL).await;
            continue;
        }
        let asked_at = Instant::now();
        let result = match list.revision {
            None => read_all(&cx, &mut list).await,
            Some(after) => tokio::select! {
                result = read_changes(&cx, &mut list, after, wait) => result,
                // A request waits for what is asked for after it arrived.
                () = cx.list_wanted.notified(), if !wait.is_zero() => {
                    wait = Duration::ZERO;
                    continue;
                }
            },
        };
        let label = if result.is_ok() { "ok" } else { "failed" };
        cx.metrics.registry_calls.with_label_values(&["endpoints", label]).inc();
        remove_expired(&cx, &mut list);
        match result {
            Ok(()) => {
                cx.list_read_at.set(Some(cx.as_of(asked_at)));
                cx.list_asked_at.set(Some(asked_at));
                cx.state.borrow_mut().peers.clear_list_mismatch();
                let saw_draining = std::mem::take(&mut list.saw_draining);
                let interval = cx.list_interval(saw_draining);
                let is_wanted = timeout(interval, cx.list_wanted.notified()).await.is_ok();
                wait = if is_wanted { Duration::ZERO } else { LONG_POLL_WAIT };
            }
            Err(RegistryError::HistoryLost) => {
                info!(cx.log, "reloading the endpoint list"; "reason" => "history lost");
                list.revision = None;
            }
            Err(RegistryError::Restored) => {
                info!(cx.log, "reloading the endpoint list"; "reason" => "registry restored");
                // Endpoints write their entries again, as after an outage.
                list.outage.record_failure(Instant::now());
                list.revision = None;
            }
            Err(err) => {
                if list.outage.record_failure(Instant::now()) {
                    warn!(cx.log, "registry unavailable"; "registry_call" => "endpoints", "error" => %err);
                }
                list.revision = None;
                cx.record_registry_failure(Instant::now());
                cx.wait_to_retry().await;
            }
        }
    }
}

impl<W, R> Host<W, R> {
    /// Returns true while another host reads the endpoint list for this one.
    fn is_list_maintained(&self) -> bool {
        let now = Instant::now();
        self.registry_read_scope(now).is_none() && self.state.borrow().peers.is_list_maintained(now)
    }

    /// Returns true while other hosts stand in for the reader before this one.
    fn is_list_left_to_others(&self) -> bool {
        let now = Instant::now();
        let is_reader = self.registry_read_scope(now).is_some();
        !is_reader && self.state.borrow().peers.is_list_left_to_others(now)
    }

    fn list_interval(&self, saw_draining: bool) -> Duration {
        let joined = self.state.borrow().peers.live().next().is_some();
        interval(joined, saw_draining)
    }

    /// Records a failed call, so that another host becomes the assigned reader, and notifies the hosts
    /// for which this host reads the registry.
    fn record_registry_failure(&self, now: Instant) {
        let scope = self.registry_read_scope(now);
        self.state.borrow_mut().peers.record_registry_failure(now);
        if let Some(scope) = scope {
            self.send_registry_state(scope, None, now);
        }
    }

    /// Waits for the retry delay after a failed call, or until this host becomes an assigned reader.
    pub async fn wait_to_retry(&self) {
        let failed_at = Instant::now();
        let was_reader = self.registry_read_scope(failed_at).is_some();
        let jitter = self.state.borrow_mut().rng.random_range(0.8..1.2);
        loop {
            sleep(READER_CHECK_INTERVAL).await;
            let now = Instant::now();
            let is_reader = self.registry_read_scope(now).is_some();
            let state = self.state.borrow();
            let mut delay = retry_delay(is_reader, state.peers.has_live_reader(now));
            if !is_reader {
                delay += state.peers.stand_in_delay(now);
            }
            drop(state);
            if is_reader && !was_reader || now - failed_at >= delay.mul_f64(jitter) {
                return;
            }
        }
    }
}

impl<W, R> Host<W, R> {
    /// Converts a change of the endpoint list from its wire form. Returns `None` if it is not valid.
    pub(crate) fn endpoint_change(&self, wire: &WireEndpointChange) -> Option<EndpointChange> {
        let change = change_from_wire(wire);
        if change.is_none() {
            self.invalid_inputs.record(
                "endpoint of a host",
                &wire.name,
                &"a field is out of range",
            );
        }
        change
    }
}

/// Applies changes of the endpoint list received from another host. A host that reads the list itself uses
/// only what they say about endpoints that it knows: a late change of a former reader could otherwise bring
/// back an endpoint that left, and the store would not state its removal again. Other hosts notice that
/// their list differs from the reader's.
pub fn apply_changes<W, R, Changes>(
    cx: &Rc<Host<W, R>>,
    changes: Changes,
    now: Instant,
    source: &str,
) where
    Changes: Iterator<Item = EndpointChange>,
{
    let mut changed = Vec::new();
    let reads_list = cx.has_read_list(now);
    for change in changes {
        let fleet = &mut cx.state.borrow_mut().fleet;
        match change {
            EndpointChange::Listed(entry) if reads_list && !fleet.lists_process(&entry) => {}
            EndpointChange::Removed(_) if reads_list => {}
            EndpointChange::Listed(entry) => fleet.upsert_announced(entry, now, &mut changed),
            EndpointChange::Removed(name) => fleet.remove(&name, now, &mut changed),
        }
    }
    cx.handle_fleet_changes(&changed, source);
}

async fn with_timeout<Response, Call>(
    limit: Duration,
    call: Call,
) -> Result<Response, RegistryError>
where
    Call: Future<Output = Result<Response, RegistryError>>,
{
    match timeout(limit, call).await {
        Ok(response) => response,
        Err(_) => Err(RegistryError::NoResponse("no response in time".to_owned())),
    }
}

async fn read_all<W, R>(cx: &Rc<Host<W, R>>, list: &mut ListState) -> Result<(), RegistryError>
where
    R: Registry,
{
    // Before the first list there are no streams that a large read could delay.
    let paced = cx.has_full_list.get();
    let listing = with_timeout(LIST_TIMEOUT, cx.registry.read_endpoints(paced)).await?;
    record_available(cx, list);
    let now = Instant::now();
    let mut changes = Vec::new();
    let missing: Vec<EndpointName> = {
        let state = cx.state.borrow();
        let listed = |name: &EndpointName| listing.items.iter().any(|entry| entry.name == *name);
        let unlisted = state
            .fleet
            .iter()
            .filter(|(_, endpoint)| endpoint.is_listed() && !listed(&endpoint.entry.name));
        unlisted.map(|(_, endpoint)| endpoint.entry.name.clone()).collect()
    };
    for entry in listing.items {
        list.pending_removal.remove(&entry.name);
        cx.state.borrow_mut().fleet.upsert(entry, now, &mut changes);
    }
    for name in missing {
        remove_missing(cx, list, name, now, &mut changes);
    }
    cx.handle_fleet_changes(&changes, "registry_list");
    cx.send_endpoint_changes(&changes);
    list.revision = Some(listing.revision);
    cx.has_full_list.set(true);
    Ok(())
}

async fn read_changes<W, R>(
    cx: &Rc<Host<W, R>>,
    list: &mut ListState,
    after: Revision,
    wait: Duration,
) -> Result<(), RegistryError>
where
    R: Registry,
{
    let call = cx.registry.await_endpoints(after, wait);
    let Listing { revision, items } = with_timeout(wait + RESPONSE_TIMEOUT, call).await?;
    let now = Instant::now();
    let mut changes = Vec::new();
    for change in items {
        match change {
            EndpointChange::Listed(entry) => {
                list.pending_removal.remove(&entry.name);
                cx.state.borrow_mut().fleet.upsert(entry, now, &mut changes);
            }
            EndpointChange::Removed(name) => remove_missing(cx, list, name, now, &mut changes),
        }
    }
    list.saw_draining = changes.iter().any(|c| matches!(c, FleetChange::Draining(_)));
    cx.handle_fleet_changes(&changes, "registry_change");
    cx.send_endpoint_changes(&changes);
    list.revision = Some(after.max(revision));
    Ok(())
}

/// Removes a missing entry: immediately, or after a grace period if the registry has just become
/// available again.
fn remove_missing<W, R>(
    cx: &Rc<Host<W, R>>,
    list: &mut ListState,
    name: EndpointName,
    now: Instant,
    changes: &mut Vec<FleetChange>,
) {
    match list.outage.grace_until(now) {
        Some(until) => {
            list.pending_removal.entry(name).or_insert(until);
        }
        None => cx.state.borrow_mut().fleet.remove(&name, now, changes),
    }
}

/// Removes the missing entries whose grace period has ended.
fn remove_expired<W, R>(cx: &Rc<Host<W, R>>, list: &mut ListState) {
    let now = Instant::now();
    let mut changes = Vec::new();
    list.pending_removal.retain(|name, until| {
        let is_due = now >= *until;
        if is_due {
            cx.state.borrow_mut().fleet.remove(name, now, &mut changes);
        }
        !is_due
    });
    cx.handle_fleet_changes(&changes, "lapsed");
    cx.send_endpoint_changes(&changes);
}

/// Records that the registry is available again, as observed by this host or the assigned reader.
fn record_available<W, R>(cx: &Rc<Host<W, R>>, list: &mut ListState) {
    let now = Instant::now();
    let Some(duration) = list.outage.record_success(now) else { return };
    info!(cx.log, "registry available again"; "registry_call" => "endpoints",
        "after_ms" => duration.as_millis() as u64);
    if let Some(scope) = cx.registry_read_scope(now) {
        cx.send_registry_state(scope, Some(now), now);
    }
}
