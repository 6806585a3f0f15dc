//! Keeps the configuration version in force up to date.

use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::Evacuations;
use camphorloft_types::prelude::ByteRate;
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use crate::boundary::{Listing, OperatorChange, Registry, RegistryError, Revision, Wire};
use crate::context::Host;
use crate::peers::UpdateScope;
use crate::registry_outage::RegistryOutage;
use crate::start_reads;

/// Duration of a long poll for a new version. A published version must be in force within 2.5 s, and
/// an unresponsive connection must be detected before that.
const LONG_POLL_WAIT: Duration = Duration::from_millis(2000);
/// Timeout of a full response, in addition to the duration of a long poll: 1 MB at the paced rate of
/// the slowest link in use, 10 Mbit/s. The HTTP client detects an unresponsive connection sooner.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Size of a large version in the registry's encoding, with 2,000 routes.
const LARGE_VERSION_BYTES: f64 = 500_000.0;
/// Maximum delay of the first registry read of a starting host.
const MAX_START_WAIT: Duration = Duration::from_millis(500);
/// Wait after the first response, in which an assigned reader sends its registry state twice, so
/// that this host detects whether another host reads for it.
const READER_STATE_WAIT: Duration = Duration::from_millis(450);
/// Time between two checks whether another host still reads for this one.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Keeps the version in force up to date, from the registry or from other hosts.
pub async fn follow<W, R>(cx: Rc<Host<W, R>>)
where
    W: Wire,
    R: Registry,
{
    start_reads::wait_to_read(&cx, || cx.is_version_maintained()).await;
    wait_for_peer_version(&cx).await;
    // What this host itself has read of the evacuations, and the revision up to which it has read.
    let mut read: Option<Evacuations> = None;
    let mut outage = RegistryOutage::default();
    loop {
        if cx.is_version_maintained() {
            record_available(&cx, &mut outage);
            cx.version_read_at.set(None);
            read = None;
            sleep(READER_CHECK_INTERVAL).await;
            continue;
        }
        if cx.is_version_left_to_others() {
            sleep(READER_CHECK_INTERVAL).await;
            continue;
        }
        let asked_at = Instant::now();
        let response = read_or_await(&cx, read.as_ref().map(|read| read.revision)).await;
        let result = if response.is_ok() { "ok" } else { "failed" };
        cx.metrics.registry_calls.with_label_values(&["serving", result]).inc();
        match response {
            Ok(listing) => {
                record_available(&cx, &mut outage);
                let is_first = read.is_none();
                apply_listing(&cx, read.get_or_insert_default(), listing, cx.as_of(asked_at));
                if is_first && cx.registry_read_scope(Instant::now()).is_none() {
                    sleep(READER_STATE_WAIT).await;
                }
            }
            Err(err @ (RegistryError::HistoryLost | RegistryError::Restored)) => {
                info!(cx.log, "reading the version again"; "reason" => %err);
                read = None;
            }
            Err(err) => {
                if outage.record_failure(Instant::now()) {
                    warn!(cx.log, "registry unavailable"; "registry_call" => "serving", "error" => %err);
                }
                // After a failure the full version is read again.
                read = None;
                cx.wait_to_retry().await;
            }
        }
    }
}

/// Applies what was read after `read`, or all of it if nothing was, and tells other hosts. It holds as of
/// `as_of`.
fn apply_listing<W, R>(
    cx: &Rc<Host<W, R>>,
    read: &mut Evacuations,
    listing: Listing<OperatorChange>,
    as_of: Instant,
) where
    W: Wire,
    R: Registry,
{
    let now = Instant::now();
    let mut versions = Vec::new();
    for change in listing.items {
        match change {
            OperatorChange::Version(encoded) => versions.push(encoded),
            OperatorChange::Evacuation(change) => read.apply(change),
        }
    }
    read.revision = read.revision.max(listing.revision);
    cx.version_read_at.set(Some(as_of));
    if as_of == now {
        cx.state.borrow_mut().pauses.record_registry_state(now);
    }
    // Evacuations apply before the first request is served under a version.
    if cx.apply_evacuations(read, "registry", now) {
        cx.announce_evacuations(now);
    }
    for encoded in versions {
        if cx.apply_encoded_serving(&encoded, None, "registry") {
            cx.announce_version(true);
        }
    }
}

/// Records that the registry is available again, as observed by this host or the assigned reader.
fn record_available<W, R>(cx: &Rc<Host<W, R>>, outage: &mut RegistryOutage) {
    if let Some(duration) = outage.record_success(Instant::now()) {
        info!(cx.log, "registry available again"; "registry_call" => "serving",
            "after_ms" => duration.as_millis() as u64);
    }
}

/// Waits at startup for another host to send its version, which is compressed. Waits no longer than
/// reading a large version from the registry would take on this host's link, so a host with a fast
/// link reads immediately.
async fn wait_for_peer_version<W, R>(cx: &Rc<Host<W, R>>) {
    const STEP: Duration = Duration::from_millis(10);
    let until = Instant::now() + cx.settings.bandwidth.map_or(Duration::ZERO, read_time);
    while Instant::now() < until && !cx.is_version_maintained() {
        sleep(STEP).await;
    }
}

/// Returns the time to read a large version over a link, capped at the longest delay at startup.
///
/// ```
/// use camphorloft_host::serving_watch::read_time;
/// use camphorloft_types::prelude::ByteRate;
/// use std::time::Duration;
/// assert!(read_time(ByteRate(1_250_000)) > Duration::from_millis(300));
/// assert!(read_time(ByteRate(125_000_000)) < Duration::from_millis(10));
/// ```
pub fn read_time(link: ByteRate) -> Duration {
    Duration::from_secs_f64(LARGE_VERSION_BYTES / link.0.max(1) as f64).min(MAX_START_WAIT)
}

async fn read_or_await<W, R>(
    cx: &Rc<Host<W, R>>,
    revision: Option<Revision>,
) -> Result<Listing<OperatorChange>, RegistryError>
where
    R: Registry,
{
    let call = async {
        match revision {
            Some(after) => cx.registry.await_serving(after, LONG_POLL_WAIT).await,
            // Before the first version there are no streams that a large read could delay.
            None => cx.registry.read_serving(cx.serving().is_some()).await,
        }
    };
    let limit = revision.map_or(Duration::ZERO, |_| LONG_POLL_WAIT) + RESPONSE_TIMEOUT;
    match timeout(limit, call).await {
        Ok(response) => response,
        Err(_) => Err(RegistryError::NoResponse("no response in time".to_owned())),
    }
}

impl<W, R> Host<W, R> {
    /// Sends this host's view of the registry without waiting for the next regular time. A host that reads
    /// for itself only, because no reader's updates arrive, tells those of its region, unless its own list
    /// is outdated.
    fn announce_evacuations(&self, now: Instant) {
        const MAX_LIST_AGE: Duration = Duration::from_millis(1000);
        let list_at = self.list_read_at.get();
        let is_current = |at| now.saturating_duration_since(at) < MAX_LIST_AGE;
        let stands_in = list_at.is_some_and(is_current).then_some(UpdateScope::Region);
        if let Some(scope) = self.registry_read_scope(now).or(stands_in) {
            self.send_registry_state(scope, list_at, now);
        }
    }

    /// Returns true while other hosts stand in for the reader before this one.
    fn is_version_left_to_others(&self) -> bool {
        let now = Instant::now();
        let is_reader = self.registry_read_scope(now).is_some();
        let state = self.state.borrow();
        !is_reader && state.serving.is_some() && state.peers.is_version_left_to_others(now)
    }

    /// Returns true while another host reads new versions for this one.
    fn is_version_maintained(&self) -> bool {
        let now = Instant::now();
        if self.registry_read_scope(now).is_some() {
            return false;
        }
        let state = self.state.borrow();
        state.serving.is_some() && state.peers.is_version_maintained(now)
    }
}
