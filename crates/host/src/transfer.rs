//! Copies the KV cache of a running generation to another engine. A first copy is made while the
//! generation runs. The source then stops the generation and makes a final copy of the tokens
//! generated since, and the generation is resumed at the destination.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_dispatch::reclaim;
use camphorloft_types::prelude::*;
use quick_error::quick_error;
use slog::{debug, info};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, timeout_at};

use crate::boundary::{CopyHandle, CopyReply, CopySource, Registry, ResponseKind, Wire};
use crate::call::Call;
use crate::connecting::connect_to;
use crate::context::Host;
use crate::upstream::{ExchangeError, HttpConnection, connect};

/// Interval between attempts at a copy that the engine is not ready for.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// Connect timeout for copy requests.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of a response to a copy request, in bytes.
const MAX_REPLY_BYTES: usize = 16 << 10;
/// Time reserved for the final copy: the first copy must be complete this long before the shutdown
/// of the engine.
const FINAL_COPY_MARGIN: Duration = Duration::from_millis(60);
/// Time after a request to stop a generation in which events that were generated before may arrive.
const MAX_EVENT_DELAY: Duration = Duration::from_millis(500);
/// Timeout of the final copy, which contains only the tokens generated since the first.
const FINAL_COPY_TIMEOUT: Duration = Duration::from_millis(1500);

/// A stopped generation that can be resumed.
#[derive(Debug)]
pub struct Handover {
    /// Engine to resume on.
    pub to: EndpointIx,
    /// Name of that engine. Another one may be listed under the index since.
    pub to_name: EndpointName,
    /// Connection to that engine.
    pub connection: Option<HttpConnection>,
    /// Engine at which it stopped.
    pub from: EndpointIx,
    /// Copy of its KV cache.
    pub copy: CopySource,
    /// Number of events generated before it stopped, if reported.
    pub events: Option<u64>,
}

/// Where a generation can be resumed that the source was asked to stop, while the result is not known.
#[derive(Clone, Debug)]
pub struct RequestedStop {
    /// Engine that the copies were made to.
    pub to: EndpointIx,
    /// Its name.
    pub to_name: EndpointName,
    /// First copy of its KV cache.
    pub copy: CopySource,
    /// When it was requested.
    pub at: Instant,
}

impl RequestedStop {
    /// Returns true if an event that was received at `event_at` shows that the generation was not stopped.
    pub fn is_refuted(&self, event_at: Option<Instant>) -> bool {
        event_at.is_some_and(|at| at > self.at + MAX_EVENT_DELAY)
    }
}

/// The request to stop a generation whose result is not known, if any.
pub type StopState = Rc<RefCell<Option<RequestedStop>>>;

quick_error! {
    /// Reason that a migration failed. The generation continues at the source, unless it was asked to stop.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum TransferError {
        /// The destination has no capacity.
        Refused {
            display("the destination refused the copy")
        }
        /// The zone of the destination was evacuated meanwhile.
        Evacuated {
            display("the zone of the destination is evacuated")
        }
        /// The destination is unreachable.
        Unreachable {
            display("the destination is unreachable")
        }
        /// The generation no longer runs at the source.
        Ended {
            display("the generation has ended")
        }
        /// The copy could not be completed in time.
        TooLate {
            display("the copy was not complete in time")
        }
        /// A newer version does not allow the generation in the region of the destination.
        OutOfRegion {
            display("the generation is no longer allowed in the region of the destination")
        }
        /// A copy request failed, or its response was not understood.
        Failed(detail: String) {
            display("the copy request failed: {}", detail)
        }
    }
}

/// Copies a generation as planned and stops it at the source. Records in `stop` whether the source was
/// asked to stop it.
///
/// # Errors
///
/// Returns [`TransferError`] if the generation was not migrated.
pub async fn transfer<W, R>(
    cx: Rc<Host<W, R>>,
    call: Rc<Call>,
    plan: PlannedMigration,
    kv_tokens: u32,
    stop: StopState,
) -> Result<Handover, TransferError>
where
    W: Wire,
    R: Registry,
{
    let started_at = Instant::now();
    let (from, to) = {
        let state = cx.state.borrow();
        let entry = |ix| state.fleet.get(ix).map(|endpoint| endpoint.entry.clone());
        (
            entry(plan.from).ok_or(TransferError::TooLate)?,
            entry(plan.to).ok_or(TransferError::Refused)?,
        )
    };
    let (from_ix, to_ix) = (plan.from, plan.to);
    let mut kv_copy =
        KvCopy { cx: &cx, call: &call, from_ix, from: &from, to_ix, to: &to, connection: None };
    // Connections are opened while there is time: a round trip to another region would otherwise delay the
    // copies, and with them those of other generations.
    let (started, connection) =
        tokio::join!(wait_for_start(&cx, plan, kv_tokens), connect_source(&cx, &from));
    started?;
    kv_copy.connection = connection.ok();
    check_region(&cx, &call, plan.to, None)?;
    let first_started_at = Instant::now();
    let residency = cx.residency(&call);
    let (handle, for_final_copy, connection) = tokio::join!(
        kv_copy.copy_first(plan.from),
        connect_source(&cx, &from),
        connect_to(&cx, plan.to, &residency, CONNECT_TIMEOUT)
    );
    let handle = handle?;
    kv_copy.connection = for_final_copy.ok();
    let mut guard = CopyGuard { cx: cx.clone(), from: from.clone(), handle: Some(handle.clone()) };
    let first_duration = first_started_at.elapsed();
    let connection = connection.map_err(|_| TransferError::Unreachable)?;
    check_region(&cx, &call, plan.to, connection.via())?;
    let final_started_at = Instant::now();
    let first_copy = CopySource { addr: from.addr, handle };
    let (to_name, at) = (to.name.clone(), Instant::now());
    let requested = RequestedStop { to: to_ix, to_name, copy: first_copy, at };
    let copied = kv_copy.copy_final(requested, &stop).await;
    if copied.is_ok() || stop.borrow().is_some() {
        guard.disarm();
    }
    let (handle, events, copied) = copied?;
    info!(cx.log, "generation stopped for migration"; "call" => %call.id, "from" => %from.name,
        "to" => %to.name, "first_copy_ms" => first_duration.as_millis() as u64,
        "waited_ms" => (first_started_at - started_at).as_millis() as u64,
        "last_copy_ms" => final_started_at.elapsed().as_millis() as u64, "copied" => copied,
        "events" => events);
    let (to, to_name, connection) = match copied {
        true => (plan.to, to.name.clone(), Some(connection)),
        false => (plan.from, from.name.clone(), None),
    };
    let copy = CopySource { addr: from.addr, handle };
    Ok(Handover { to, to_name, connection, from: plan.from, copy, events })
}

/// Returns an error if a generation may no longer be resumed on an engine, through another host if given.
fn check_region<W, R>(
    cx: &Host<W, R>,
    call: &Call,
    to: EndpointIx,
    via: Option<&HostName>,
) -> Result<(), TransferError> {
    match cx.allows_send(call, to, via) {
        true => Ok(()),
        false => Err(TransferError::OutOfRegion),
    }
}

/// Returns the expected shutdown time of an engine.
fn expected_shutdown<W, R>(cx: &Rc<Host<W, R>>, from: EndpointIx) -> Instant {
    let now = Instant::now();
    let state = cx.state.borrow();
    state.fleet.get(from).map_or(now, |endpoint| reclaim::shutdown_at(endpoint, now))
}

/// Waits for the start of a planned migration, postponing it after conflicting ones that have
/// precedence.
async fn wait_for_start<W, R>(
    cx: &Rc<Host<W, R>>,
    mut plan: PlannedMigration,
    kv_tokens: u32,
) -> Result<(), TransferError> {
    loop {
        sleep_until(plan.start.into()).await;
        let now = Instant::now();
        let postponed = cx.state.borrow_mut().fleet.migrations.postpone(&plan, now);
        let Some(postponed) = postponed else { return Ok(()) };
        if postponed.end > expected_shutdown(cx, plan.from) {
            cx.state.borrow_mut().fleet.migrations.cancel(plan.key);
            return Err(TransferError::TooLate);
        }
        cx.send_migration(&postponed, kv_tokens);
        plan = postponed;
    }
}

/// Frees a copy when dropped, unless the generation is to be resumed from it.
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
    /// Keeps the copy, because it is about to be used.
    fn disarm(&mut self) {
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

/// Frees a copy. A copy that is not freed expires on the engine after a few seconds.
async fn release<W, R>(cx: Rc<Host<W, R>>, from: EndpointEntry, handle: CopyHandle)
where
    W: Wire,
    R: Registry,
{
    let released = async {
        let connection = connect(cx.settings.endpoint_addr(from.addr), CONNECT_TIMEOUT).await?;
        connection.fetch(cx.wire.release_request(&from, &handle), MAX_REPLY_BYTES).await
    };
    if let Ok(Err(err)) = timeout(CONNECT_TIMEOUT * 2, released).await {
        debug!(cx.log, "copy not freed"; "engine" => %from.name, "error" => %err);
    }
}

/// Connects to the source of a copy.
async fn connect_source<W, R>(
    cx: &Host<W, R>,
    from: &EndpointEntry,
) -> Result<HttpConnection, TransferError> {
    let connection = connect(cx.settings.endpoint_addr(from.addr), CONNECT_TIMEOUT).await;
    connection.map_err(|err| TransferError::Failed(err.to_string()))
}

/// Copies of the KV cache of one generation between two engines.
struct KvCopy<'a, W, R> {
    cx: &'a Rc<Host<W, R>>,
    call: &'a Call,
    from_ix: EndpointIx,
    from: &'a EndpointEntry,
    to_ix: EndpointIx,
    to: &'a EndpointEntry,
    /// Connection to the source, opened ahead of the next request. Each is used for one request, since an
    /// engine may send the response to an earlier request once more.
    connection: Option<HttpConnection>,
}

impl<W, R> KvCopy<'_, W, R>
where
    W: Wire,
    R: Registry,
{
    /// Requests a copy. `stop` is the stop that the final copy begins with, and where it is recorded.
    async fn request_copy(
        &mut self,
        stop: Option<(&RequestedStop, &StopState)>,
        request_timeout: Duration,
    ) -> Result<CopyReply, TransferError> {
        let failed = |detail: String| TransferError::Failed(detail);
        let check = self.cx.check_not_evacuated(self.to_ix);
        check.map_err(|_| TransferError::Evacuated)?;
        self.cx.count_own_call(self.from_ix);
        let deadline = tokio::time::Instant::now() + request_timeout;
        let (head, body) = loop {
            let (connection, opened_ahead) = match self.connection.take() {
                Some(connection) => (connection, true),
                None => (connect_source(self.cx, self.from).await?, false),
            };
            let is_final = stop.is_some();
            let req = self.cx.wire.copy_request(self.from, &self.call.id, self.to.addr, is_final);
            if let Some((requested, state)) = stop {
                state.replace(Some(requested.clone()));
            }
            let response = timeout_at(deadline, connection.fetch(req, MAX_REPLY_BYTES)).await;
            match response.map_err(|_| TransferError::TooLate)? {
                Ok(response) => break response,
                // The source closed the connection while it was not in use.
                Err(ExchangeError::NotSent(_)) if opened_ahead => {}
                Err(err) => {
                    self.cx.record_invalid_response(self.from_ix, &err);
                    return Err(failed(err.to_string()));
                }
            }
        };
        self.cx.record_own_call_directives(self.from_ix, self.from, &head);
        // An engine that turns the request away has not stopped the generation.
        if let (Some((_, state)), ResponseKind::NotRun { .. }) =
            (stop, self.cx.wire.response_kind(&head, &self.call.id))
        {
            state.take();
        }
        Ok(self.cx.wire.decode_copy_response(head.status, &body))
    }

    /// Makes the first copy, while the generation runs.
    async fn copy_first(&mut self, from: EndpointIx) -> Result<CopyHandle, TransferError> {
        loop {
            let deadline = expected_shutdown(self.cx, from) - FINAL_COPY_MARGIN;
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(TransferError::TooLate);
            }
            match self.request_copy(None, remaining).await? {
                CopyReply::Copied { handle, .. } => return Ok(handle),
                // The generation has not produced its first token yet.
                CopyReply::NoSuchRun | CopyReply::Busy => sleep(RETRY_INTERVAL).await,
                CopyReply::Refused { .. } => return Err(TransferError::Refused),
                CopyReply::Unrecognised(status) => {
                    return Err(TransferError::Failed(status.to_string()));
                }
            }
        }
    }

    /// Stops the generation and copies the rest. Returns the handle, the number of generated events
    /// if reported, and whether the destination has the copy.
    async fn copy_final(
        &mut self,
        requested: RequestedStop,
        stop: &StopState,
    ) -> Result<(CopyHandle, Option<u64>, bool), TransferError> {
        const MAX_ATTEMPTS: u32 = 5;
        for _ in 0..MAX_ATTEMPTS {
            let reply = self.request_copy(Some((&requested, stop)), FINAL_COPY_TIMEOUT).await?;
            if matches!(reply, CopyReply::NoSuchRun | CopyReply::Busy) {
                // It was not stopped by this request.
                stop.take();
            }
            match reply {
                CopyReply::Copied { handle, events } => return Ok((handle, Some(events), true)),
                CopyReply::Refused { handle: Some(handle) } => return Ok((handle, None, false)),
                CopyReply::Refused { handle: None } => return Err(TransferError::Refused),
                CopyReply::NoSuchRun => return Err(TransferError::Ended),
                CopyReply::Busy => sleep(RETRY_INTERVAL).await,
                CopyReply::Unrecognised(status) => {
                    return Err(TransferError::Failed(status.to_string()));
                }
            }
        }
        Err(TransferError::TooLate)
    }
}
