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
/// Time for an answer beyond the time that it may wait.
const ANSWER_WITHIN: Duration = Duration::from_millis(900);
/// Time to wait after a failure.
const RETRY_STEP: Duration = Duration::from_millis(250);

/// Follows the version in force.
pub async fn follow<W, R>(cx: Rc<Host<W, R>>)
where
    W: Wire,
    R: Registry,
{
    let mut revision: Option<Revision> = None;
    let mut lost_at: Option<Instant> = None;
    loop {
        let answer = ask(&cx, revision).await;
        let result = if answer.is_ok() { "ok" } else { "failed" };
        cx.metrics.registry_calls.with_label_values(&["serving", result]).inc();
        match answer {
            Ok(listing) => {
                if let Some(at) = lost_at.take() {
                    info!(cx.log, "registry regained"; "call" => "serving",
                        "after_ms" => at.elapsed().as_millis() as u64);
                }
                revision = Some(revision.unwrap_or_default().max(listing.revision));
                take(&cx, &listing);
            }
            Err(err) => {
                if lost_at.is_none() {
                    lost_at = Some(Instant::now());
                    warn!(cx.log, "registry lost"; "call" => "serving", "error" => %err);
                }
                // The version in force is read whole after each failure.
                revision = None;
                sleep(RETRY_STEP).await;
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

fn take<W, R>(cx: &Rc<Host<W, R>>, listing: &Listing<bytes::Bytes>)
where
    W: Wire,
    R: Registry,
{
    for encoded in &listing.items {
        match cx.registry.decode_serving(encoded) {
            Ok(raw) => {
                cx.take_serving(raw, "registry");
            }
            Err(err) => warn!(cx.log, "version not understood"; "error" => %err),
        }
    }
}
