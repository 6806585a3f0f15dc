//! Follows the version in force.

use std::rc::Rc;
use std::time::{Duration, Instant};

use slog::{info, warn};
use tokio::time::{sleep, timeout};

use crate::boundary::{Listing, Registry, RegistryError, Revision, Wire};
use crate::context::Host;

/// Time for which the registry is asked to wait for a new version. A version must be in force
/// within two and a half seconds, and a silent connection must be noticed before that.
const WAIT: Duration = Duration::from_millis(2000);
/// Time for a whole answer beyond the time that it may wait: a megabyte through the slowest link of
/// today, 10 Mbit/s, at its pace. A silent connection is noticed sooner by the client.
const ANSWER_WITHIN: Duration = Duration::from_millis(2500);
/// Time between two looks whether another host still reads for this one.
const TOLD_STEP: Duration = Duration::from_millis(200);

/// Follows the version in force.
pub async fn follow<W, R>(cx: Rc<Host<W, R>>)
where
    W: Wire,
    R: Registry,
{
    let mut revision: Option<Revision> = None;
    let mut lost_at: Option<Instant> = None;
    loop {
        if cx.version_is_told() {
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
                if let Some(at) = lost_at.take() {
                    info!(cx.log, "registry regained"; "registry_call" => "serving",
                        "after_ms" => at.elapsed().as_millis() as u64);
                }
                revision = Some(revision.unwrap_or_default().max(listing.revision));
                cx.version_read_at.set(Some(Instant::now()));
                for encoded in listing.items {
                    cx.take_encoded_serving(&encoded, None, "registry");
                }
            }
            Err(err) => {
                if lost_at.is_none() {
                    lost_at = Some(Instant::now());
                    warn!(cx.log, "registry lost"; "registry_call" => "serving", "error" => %err);
                }
                // The version in force is read whole after each failure.
                revision = None;
                sleep(cx.registry_retry()).await;
            }
        }
    }
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
            None => cx.registry.read_serving().await,
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
