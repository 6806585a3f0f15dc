//! Follows the version in force.

use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_types::prelude::ByteRate;
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use crate::absence::Absence;
use crate::boundary::{Listing, Registry, RegistryError, Revision, Wire};
use crate::context::Host;

/// Time for which the registry is asked to wait for a new version. A version must be in force
/// within two and a half seconds, and a silent connection must be noticed before that.
const WAIT: Duration = Duration::from_millis(2000);
/// Time for a whole answer beyond the time that it may wait: a megabyte through the slowest link of
/// today, 10 Mbit/s, at its pace. A silent connection is noticed sooner by the client.
const ANSWER_WITHIN: Duration = Duration::from_millis(2500);
/// Bytes of a large version as the registry encodes it: two thousand routes.
const LARGE_VERSION_BYTES: f64 = 500_000.0;
/// Longest time for which a host that starts leaves the registry unasked.
const LONGEST_START_WAIT: Duration = Duration::from_millis(500);
/// Time after a first answer in which the reader tells that it reads for this host: two of its
/// statements.
const READER_TELLS_WITHIN: Duration = Duration::from_millis(450);
/// Time between two looks whether another host still reads for this one.
const TOLD_STEP: Duration = Duration::from_millis(200);

/// Follows the version in force.
pub async fn follow<W, R>(cx: Rc<Host<W, R>>)
where
    W: Wire,
    R: Registry,
{
    wait_for_others(&cx).await;
    let mut revision: Option<Revision> = None;
    let mut absence = Absence::default();
    loop {
        if cx.version_is_told() {
            note_regained(&cx, &mut absence);
            cx.version_read_at.set(None);
            revision = None;
            sleep(TOLD_STEP).await;
            continue;
        }
        let answer = ask(&cx, revision).await;
        let result = if answer.is_ok() { "ok" } else { "failed" };
        cx.metrics.registry_calls.with_label_values(&["serving", result]).inc();
        match answer {
            Ok(listing) => {
                note_regained(&cx, &mut absence);
                let is_first = revision.is_none();
                revision = Some(revision.unwrap_or_default().max(listing.revision));
                cx.version_read_at.set(Some(Instant::now()));
                for encoded in listing.items {
                    if cx.take_encoded_serving(&encoded, None, "registry") {
                        cx.tell_version();
                    }
                }
                if is_first && cx.reads_registry_for(Instant::now()).is_none() {
                    sleep(READER_TELLS_WITHIN).await;
                }
            }
            Err(err) => {
                if absence.lose(Instant::now()) {
                    warn!(cx.log, "registry lost"; "registry_call" => "serving", "error" => %err);
                }
                // The version in force is read whole after each failure.
                revision = None;
                cx.wait_to_retry().await;
            }
        }
    }
}

/// Takes that the registry is back, read by this host or by another one that tells it.
fn note_regained<W, R>(cx: &Rc<Host<W, R>>, absence: &mut Absence) {
    if let Some(away) = absence.regain(Instant::now()) {
        info!(cx.log, "registry regained"; "registry_call" => "serving",
            "after_ms" => away.as_millis() as u64);
    }
}

/// Waits at the start for a version that another host hands on, which is compressed: as long as
/// reading a large one from the registry would take on the host's own link. Hosts with fast links
/// read at once.
async fn wait_for_others<W, R>(cx: &Rc<Host<W, R>>) {
    const STEP: Duration = Duration::from_millis(10);
    let until = Instant::now() + cx.settings.link.map_or(Duration::ZERO, read_time);
    while Instant::now() < until && !cx.version_is_told() {
        sleep(STEP).await;
    }
}

/// Returns the time that a large version takes on a link.
///
/// ```
/// use camphorloft_host::serving_watch::read_time;
/// use camphorloft_types::prelude::ByteRate;
/// use std::time::Duration;
/// assert!(read_time(ByteRate(1_250_000)) > Duration::from_millis(300));
/// assert!(read_time(ByteRate(125_000_000)) < Duration::from_millis(10));
/// ```
pub fn read_time(link: ByteRate) -> Duration {
    Duration::from_secs_f64(LARGE_VERSION_BYTES / link.0.max(1) as f64).min(LONGEST_START_WAIT)
}

async fn ask<W, R>(
    cx: &Rc<Host<W, R>>,
    revision: Option<Revision>,
) -> Result<Listing<bytes::Bytes>, RegistryError>
where
    R: Registry,
{
    let asked = async {
        match revision {
            Some(after) => cx.registry.await_serving(after, WAIT).await,
            // Without a version there are no streams that a large one could hold up.
            None => cx.registry.read_serving(cx.serving().is_some()).await,
        }
    };
    let within = revision.map_or(Duration::ZERO, |_| WAIT) + ANSWER_WITHIN;
    match timeout(within, asked).await {
        Ok(answer) => answer,
        Err(_) => Err(RegistryError::Unanswered("no answer in time".to_owned())),
    }
}

impl<W, R> Host<W, R> {
    /// Returns true while another host reads the version in force for this one.
    fn version_is_told(&self) -> bool {
        let now = Instant::now();
        if self.reads_registry_for(now).is_some() {
            return false;
        }
        let state = self.state.borrow();
        state.serving.is_some() && state.peers.version_is_told(now)
    }
}
