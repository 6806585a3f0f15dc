//! Copies a running generation to another engine: first while it runs, then what is new, after
//! which it has stopped and goes on at the destination.

use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_dispatch::reclaim;
use camphorloft_types::prelude::*;
use quick_error::quick_error;
use slog::{debug, info};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout};

use crate::boundary::{CopyHandle, CopyReply, CopySource, Registry, Wire};
use crate::call::Call;
use crate::context::Host;
use crate::sending::connect_to;
use crate::upstream::{Connected, connect};

/// Time between two tries of a copy that the engine is not ready for.
const RETRY_STEP: Duration = Duration::from_millis(40);
/// Time to connect to an engine for an order.
const CONNECT_WITHIN: Duration = Duration::from_millis(300);
/// Largest answer to a copy, in bytes.
const MAX_REPLY_BYTES: usize = 16 << 10;
/// Time before the end of an engine up to which a first copy is still of use.
const LAST_COPY_MARGIN: Duration = Duration::from_millis(60);
/// Time for the last copy, which holds what was generated since the first.
const LAST_COPY_WITHIN: Duration = Duration::from_millis(1500);

/// A generation that has stopped and can go on.
#[derive(Debug)]
pub struct Handover {
    /// Engine that it goes on at.
    pub to: EndpointIx,
    /// Connection to that engine.
    pub connected: Option<Connected>,
    /// Engine at which it stopped.
    pub from: EndpointIx,
    /// Its memory.
    pub copy: CopySource,
    /// Events that it made before it stopped, if told.
    pub events: Option<u64>,
}

quick_error! {
    /// Reason that a generation was not moved. It runs on where it was.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum TransferError {
        /// The destination has no room.
        Refused {
            display("the destination refused the copy")
        }
        /// The destination cannot be reached.
        Unreachable {
            display("the destination cannot be reached")
        }
        /// It no longer runs at the source.
        Ended {
            display("the generation has ended")
        }
        /// The time did not suffice.
        TooLate {
            display("the copy was not complete in time")
        }
        /// The source gave no clear answer.
        Unclear(detail: String) {
            display("the source gave no clear answer: {}", detail)
        }
    }
}

/// Moves a generation as planned.
///
/// # Errors
///
/// Returns [`TransferError`] when it was not moved.
pub async fn transfer<W, R>(
    cx: Rc<Host<W, R>>,
    call: Rc<Call>,
    plan: PlannedMigration,
    held: u32,
) -> Result<Handover, TransferError>
where
    W: Wire,
    R: Registry,
{
    let began = Instant::now();
    let (from, to) = {
        let state = cx.state.borrow();
        let entry = |ix| state.fleet.get(ix).map(|endpoint| endpoint.entry.clone());
        (
            entry(plan.from).ok_or(TransferError::TooLate)?,
            entry(plan.to).ok_or(TransferError::Refused)?,
        )
    };
    let order = CopyOrder { cx: &cx, call: &call, from: &from, to: &to };
    wait_for_turn(&cx, plan, held).await?;
    let first_began = Instant::now();
    let handle = order.first(plan.from).await?;
    let guard = CopyGuard { cx: cx.clone(), from: from.clone(), handle: Some(handle) };
    let first_took = first_began.elapsed();
    let Ok(connected) = connect_to(&cx, plan.to, CONNECT_WITHIN).await else {
        return Err(TransferError::Unreachable);
    };
    let stop_began = Instant::now();
    let (handle, events, copied) = order.last().await?;
    guard.keep();
    info!(cx.log, "generation stopped for a move"; "call" => %call.id, "from" => %from.name,
        "to" => %to.name, "first_copy_ms" => first_took.as_millis() as u64,
        "waited_ms" => (first_began - began).as_millis() as u64,
        "last_copy_ms" => stop_began.elapsed().as_millis() as u64, "copied" => copied,
        "events" => events);
    let (to, connected) = match copied {
        true => (plan.to, Some(connected)),
        false => (plan.from, None),
    };
    let copy = CopySource { addr: from.addr, handle };
    Ok(Handover { to, connected, from: plan.from, copy, events })
}

/// Returns when an engine is expected to leave.
fn leaves_at<W, R>(cx: &Rc<Host<W, R>>, from: EndpointIx) -> Instant {
    let now = Instant::now();
    let state = cx.state.borrow();
    state.fleet.get(from).map_or(now, |endpoint| reclaim::shutdown_at(endpoint, now))
}

/// Waits until a planned move begins, behind others that stand in its way.
async fn wait_for_turn<W, R>(
    cx: &Rc<Host<W, R>>,
    mut plan: PlannedMigration,
    held: u32,
) -> Result<(), TransferError> {
    loop {
        sleep_until(plan.start.into()).await;
        let now = Instant::now();
        let later = cx.state.borrow_mut().fleet.migrations.postpone(&plan, now);
        let Some(later) = later else { return Ok(()) };
        if later.end > leaves_at(cx, plan.from) {
            cx.state.borrow_mut().fleet.migrations.cancel(plan.key);
            return Err(TransferError::TooLate);
        }
        cx.send_migration(&later, held);
        plan = later;
    }
}

/// A copy that is freed when this is dropped, unless the generation goes on from it.
struct CopyGuard<W, R>
where
    W: Wire,
    R: Registry,
{
    cx: Rc<Host<W, R>>,
    from: EndpointEntry,
    handle: Option<CopyHandle>,
}

impl<W, R> CopyGuard<W, R>
where
    W: Wire,
    R: Registry,
{
    /// Keeps the copy: it is about to be used.
    fn keep(mut self) {
        self.handle = None;
    }
}

impl<W, R> Drop for CopyGuard<W, R>
where
    W: Wire,
    R: Registry,
{
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else { return };
        spawn_local(release(self.cx.clone(), self.from.clone(), handle));
    }
}

/// Frees a copy. One that is not freed lapses after some seconds.
async fn release<W, R>(cx: Rc<Host<W, R>>, from: EndpointEntry, handle: CopyHandle)
where
    W: Wire,
    R: Registry,
{
    let asked = async {
        let mut connected = connect(from.addr, CONNECT_WITHIN).await?;
        connected.ask(cx.wire.release_request(&from, &handle), MAX_REPLY_BYTES).await
    };
    if let Ok(Err(err)) = timeout(CONNECT_WITHIN * 2, asked).await {
        debug!(cx.log, "copy not freed"; "engine" => %from.name, "error" => %err);
    }
}

/// A copy between two engines.
struct CopyOrder<'a, W, R> {
    cx: &'a Rc<Host<W, R>>,
    call: &'a Call,
    from: &'a EndpointEntry,
    to: &'a EndpointEntry,
}

impl<W, R> CopyOrder<'_, W, R>
where
    W: Wire,
    R: Registry,
{
    async fn order(&self, last: bool, within: Duration) -> Result<CopyReply, TransferError> {
        let unclear = |detail: String| TransferError::Unclear(detail);
        let connected = connect(self.from.addr, CONNECT_WITHIN).await;
        let mut connected = connected.map_err(|err| unclear(err.to_string()))?;
        let req = self.cx.wire.copy_request(self.from, &self.call.id, self.to.addr, last);
        let answer = timeout(within, connected.ask(req, MAX_REPLY_BYTES)).await;
        let (head, body) =
            answer.map_err(|_| TransferError::TooLate)?.map_err(|err| unclear(err.to_string()))?;
        Ok(self.cx.wire.decode_copy_response(head.status, &body))
    }

    /// Copies while the generation runs.
    async fn first(&self, from: EndpointIx) -> Result<CopyHandle, TransferError> {
        loop {
            let by = leaves_at(self.cx, from) - LAST_COPY_MARGIN;
            let left = by.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(TransferError::TooLate);
            }
            match self.order(false, left).await? {
                CopyReply::Copied { handle, .. } => return Ok(handle),
                // It has not made its first token.
                CopyReply::NoSuchRun | CopyReply::Busy => sleep(RETRY_STEP).await,
                CopyReply::Refused { .. } => return Err(TransferError::Refused),
                CopyReply::Unrecognised(status) => {
                    return Err(TransferError::Unclear(status.to_string()));
                }
            }
        }
    }

    /// Stops the generation and copies the rest. Returns the handle, the events made if told, and
    /// whether the destination holds the copy.
    async fn last(&self) -> Result<(CopyHandle, Option<u64>, bool), TransferError> {
        const TRIES: u32 = 5;
        for _ in 0..TRIES {
            match self.order(true, LAST_COPY_WITHIN).await? {
                CopyReply::Copied { handle, events } => return Ok((handle, Some(events), true)),
                CopyReply::Refused { handle: Some(handle) } => return Ok((handle, None, false)),
                CopyReply::Refused { handle: None } => return Err(TransferError::Refused),
                CopyReply::NoSuchRun => return Err(TransferError::Ended),
                CopyReply::Busy => sleep(RETRY_STEP).await,
                CopyReply::Unrecognised(status) => {
                    return Err(TransferError::Unclear(status.to_string()));
                }
            }
        }
        Err(TransferError::TooLate)
    }
}
