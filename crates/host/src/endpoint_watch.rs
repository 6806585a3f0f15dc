//! Follows the endpoint list.
//!
//! An endpoint that is no longer listed takes no new work. While the registry is away entries
//! lapse that were not renewed, so after its return such entries are given time to come back.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_types::prelude::*;
use rand::Rng;
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use crate::absence::Absence;
use crate::boundary::{EndpointChange, Listing, Registry, RegistryError, Revision, Wire};
use crate::context::Host;

/// Time for which the registry is asked to wait for a change. Other hosts rely on a reader that knew
/// the list to be complete within about a second.
const WAIT: Duration = Duration::from_millis(500);
/// Time for an answer beyond the time that it may wait.
const ANSWER_WITHIN: Duration = Duration::from_millis(700);
/// Time between two questions: endpoints write a sign of life about every second each, and every
/// call is paid.
const INTERVAL: Duration = Duration::from_millis(180);
/// The same before other hosts were heard of.
const UNJOINED_INTERVAL: Duration = Duration::from_millis(500);
/// Time to wait after a failure.
const RETRY_STEP: Duration = Duration::from_millis(200);
/// The same for hosts that another one reads for, which lost the registry as well.
const OTHERS_RETRY_STEP: Duration = Duration::from_millis(5000);
/// The same for hosts that hear of no reader.
const ALONE_RETRY_STEP: Duration = Duration::from_millis(1000);
/// Time between two looks whether another host still reads for this one.
const TOLD_STEP: Duration = Duration::from_millis(100);

/// What a host knows of the registry's endpoint list.
#[derive(Debug, Default)]
struct ListState {
    /// Position up to which the list is known; `None` when it must be read whole.
    revision: Option<Revision>,
    /// When the registry was away.
    absence: Absence,
    /// Entries that are missing since the registry came back, and when they count as gone.
    lapsed: BTreeMap<EndpointName, Instant>,
    /// True when the last answer told that an endpoint leaves.
    told_of_leaving: bool,
}

/// Returns the time between two questions. Endpoints are reclaimed in groups, and each millisecond of
/// their notice counts, so that the next question after one that told of a leaving endpoint follows
/// at once. A host that has not joined the others yet asks less often: at the start of a fleet all
/// hosts ask.
///
/// ```
/// use camphorloft_host::endpoint_watch::interval;
/// assert!(interval(true, true).is_zero());
/// assert!(interval(true, false) < interval(false, false));
/// ```
pub fn interval(joined: bool, told_of_leaving: bool) -> Duration {
    match (told_of_leaving, joined) {
        (true, _) => Duration::ZERO,
        (false, true) => INTERVAL,
        (false, false) => UNJOINED_INTERVAL,
    }
}

/// Returns the time to wait after a failed call to the registry. Hosts whose duty it is not wait
/// longer, so that an outage is not met with a storm of calls; those that hear of no reader less.
///
/// ```
/// use camphorloft_host::endpoint_watch::retry_step;
/// assert!(retry_step(true, true) < retry_step(false, false));
/// assert!(retry_step(false, false) < retry_step(false, true));
/// ```
pub fn retry_step(has_duty: bool, hears_reader: bool) -> Duration {
    match (has_duty, hears_reader) {
        (true, _) => RETRY_STEP,
        (false, true) => OTHERS_RETRY_STEP,
        (false, false) => ALONE_RETRY_STEP,
    }
}

/// Follows the endpoint list.
pub async fn follow<W, R>(cx: Rc<Host<W, R>>)
where
    W: Wire,
    R: Registry,
{
    let mut list = ListState::default();
    loop {
        if cx.list_is_told() {
            cx.list_read_at.set(None);
            list.revision = None;
            note_regained(&cx, &mut list);
            expire_lapsed(&cx, &mut list);
            sleep(TOLD_STEP).await;
            continue;
        }
        let result = match list.revision {
            None => read_all(&cx, &mut list).await,
            Some(after) => read_changes(&cx, &mut list, after).await,
        };
        let label = if result.is_ok() { "ok" } else { "failed" };
        cx.metrics.registry_calls.with_label_values(&["endpoints", label]).inc();
        expire_lapsed(&cx, &mut list);
        match result {
            Ok(()) => {
                cx.list_read_at.set(Some(Instant::now()));
                cx.state.borrow_mut().peers.list_was_read();
                let told_of_leaving = std::mem::take(&mut list.told_of_leaving);
                sleep(cx.list_interval(told_of_leaving)).await;
            }
            Err(RegistryError::HistoryLost) => {
                info!(cx.log, "endpoint list read anew"; "reason" => "history lost");
                list.revision = None;
            }
            Err(err) => {
                if list.absence.lose(Instant::now()) {
                    warn!(cx.log, "registry lost"; "registry_call" => "endpoints", "error" => %err);
                }
                list.revision = None;
                cx.give_up_duty(Instant::now());
                cx.wait_to_retry().await;
            }
        }
    }
}

impl<W, R> Host<W, R> {
    /// Returns true while another host keeps this host's endpoint list complete.
    fn list_is_told(&self) -> bool {
        let now = Instant::now();
        self.reads_registry_for(now).is_none() && self.state.borrow().peers.list_is_told(now)
    }

    fn list_interval(&self, told_of_leaving: bool) -> Duration {
        let joined = self.state.borrow().peers.live().next().is_some();
        interval(joined, told_of_leaving)
    }

    /// Leaves the registry to another host after a failed call, and tells those for which this host
    /// reads it.
    fn give_up_duty(&self, now: Instant) {
        let audience = self.reads_registry_for(now);
        self.state.borrow_mut().peers.lose_registry(now);
        if let Some(audience) = audience {
            self.tell_registry_state(audience, None, now);
        }
    }

    /// Waits after a failed call to the registry, or until the duty to read it for others falls to
    /// this host.
    pub async fn wait_to_retry(&self) {
        let failed_at = Instant::now();
        let had_duty = self.reads_registry_for(failed_at).is_some();
        let jitter = self.state.borrow_mut().rng.random_range(0.8..1.2);
        loop {
            sleep(TOLD_STEP).await;
            let now = Instant::now();
            let has_duty = self.reads_registry_for(now).is_some();
            let step = retry_step(has_duty, self.state.borrow().peers.hears_reader(now));
            if has_duty && !had_duty || now - failed_at >= step.mul_f64(jitter) {
                return;
            }
        }
    }
}

/// Takes changes of the list that another host told of.
pub fn apply<W, R, Changes>(cx: &Rc<Host<W, R>>, changes: Changes, now: Instant, source: &str)
where
    Changes: Iterator<Item = EndpointChange>,
{
    let mut changed = Vec::new();
    for change in changes {
        let fleet = &mut cx.state.borrow_mut().fleet;
        match change {
            EndpointChange::Listed(entry) => fleet.upsert(entry, now, &mut changed),
            EndpointChange::Delisted(name) => fleet.remove(&name, now, &mut changed),
        }
    }
    cx.note_fleet_changes(&changed, source);
}

async fn within<Answer, Asked>(time: Duration, asked: Asked) -> Result<Answer, RegistryError>
where
    Asked: Future<Output = Result<Answer, RegistryError>>,
{
    match timeout(time, asked).await {
        Ok(answer) => answer,
        Err(_) => Err(RegistryError::Unanswered("no answer in time".to_owned())),
    }
}

async fn read_all<W, R>(cx: &Rc<Host<W, R>>, list: &mut ListState) -> Result<(), RegistryError>
where
    R: Registry,
{
    let listing = within(ANSWER_WITHIN, cx.registry.read_endpoints()).await?;
    note_regained(cx, list);
    let now = Instant::now();
    let mut changes = Vec::new();
    let missing: Vec<EndpointName> = {
        let state = cx.state.borrow();
        let listed = |name: &EndpointName| listing.items.iter().any(|entry| entry.name == *name);
        let ready = state.fleet.iter().filter(|(_, endpoint)| {
            !matches!(endpoint.state, EndpointState::Removed { .. })
                && !listed(&endpoint.entry.name)
        });
        ready.map(|(_, endpoint)| endpoint.entry.name.clone()).collect()
    };
    for entry in listing.items {
        list.lapsed.remove(&entry.name);
        cx.state.borrow_mut().fleet.upsert(entry, now, &mut changes);
    }
    for name in missing {
        delist(cx, list, name, now, &mut changes);
    }
    cx.note_fleet_changes(&changes, "registry_list");
    cx.tell_changes(&changes);
    list.revision = Some(listing.revision);
    Ok(())
}

async fn read_changes<W, R>(
    cx: &Rc<Host<W, R>>,
    list: &mut ListState,
    after: Revision,
) -> Result<(), RegistryError>
where
    R: Registry,
{
    let asked = cx.registry.await_endpoints(after, WAIT);
    let Listing { revision, items } = within(WAIT + ANSWER_WITHIN, asked).await?;
    let now = Instant::now();
    let mut changes = Vec::new();
    for change in items {
        match change {
            EndpointChange::Listed(entry) => {
                list.lapsed.remove(&entry.name);
                cx.state.borrow_mut().fleet.upsert(entry, now, &mut changes);
            }
            EndpointChange::Delisted(name) => delist(cx, list, name, now, &mut changes),
        }
    }
    list.told_of_leaving = changes.iter().any(|c| matches!(c, FleetChange::Draining(_)));
    cx.note_fleet_changes(&changes, "registry_change");
    cx.tell_changes(&changes);
    list.revision = Some(after.max(revision));
    Ok(())
}

/// Takes that an entry is missing: at once, or after a time if the registry just came back.
fn delist<W, R>(
    cx: &Rc<Host<W, R>>,
    list: &mut ListState,
    name: EndpointName,
    now: Instant,
    changes: &mut Vec<FleetChange>,
) {
    match list.absence.grace_until(now) {
        Some(until) => {
            list.lapsed.entry(name).or_insert(until);
        }
        None => cx.state.borrow_mut().fleet.remove(&name, now, changes),
    }
}

/// Takes the entries as gone that did not come back in time.
fn expire_lapsed<W, R>(cx: &Rc<Host<W, R>>, list: &mut ListState) {
    let now = Instant::now();
    let mut changes = Vec::new();
    list.lapsed.retain(|name, until| {
        let expired = now >= *until;
        if expired {
            cx.state.borrow_mut().fleet.remove(name, now, &mut changes);
        }
        !expired
    });
    cx.note_fleet_changes(&changes, "lapsed");
    cx.tell_changes(&changes);
}

/// Takes that the registry is back, read by this host or by another one that tells it.
fn note_regained<W, R>(cx: &Rc<Host<W, R>>, list: &mut ListState) {
    let now = Instant::now();
    let Some(away) = list.absence.regain(now) else { return };
    info!(cx.log, "registry regained"; "registry_call" => "endpoints",
        "after_ms" => away.as_millis() as u64);
    if let Some(audience) = cx.reads_registry_for(now) {
        cx.tell_registry_state(audience, Some(now), now);
    }
}
