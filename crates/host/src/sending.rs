//! Sends a request to an endpoint and records the run and its result.

use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_types::prelude::*;
use http::Request;
use http_body_util::Full;
use slog::{info, warn};
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use crate::boundary::{EnginePriority, OutboundContext, Registry, ResponseKind, Resume, Wire};
use crate::call::Call;
use crate::context::{Host, State};
use crate::tunnel::{self, TunnelError};
use crate::upstream::{Exchange, ExchangeError, HttpConnection, connect_stream, start_http};

/// Margin added to the connect timeout for a listener under load.
const CONNECT_TIMEOUT_MARGIN: Duration = Duration::from_millis(150);
/// Connect timeout as a multiple of the endpoint's average connect time.
const CONNECT_TIMEOUT_FACTOR: u32 = 4;

/// Time within which an endpoint or a link that is probed has to respond.
const MAX_PROBE_TIME: Duration = Duration::from_secs(1);

/// Counts a request as placed on an endpoint and not sent yet, until dropped.
pub struct SendReservation<W, R> {
    cx: Rc<Host<W, R>>,
    endpoint: EndpointIx,
}

impl<W, R> SendReservation<W, R> {
    /// Records that a request is placed on an endpoint.
    pub fn new(cx: &Rc<Host<W, R>>, endpoint: EndpointIx) -> Self {
        let mut state = cx.state.borrow_mut();
        state.fleet.reserve_send(endpoint, Instant::now());
        state.fleet.begin_reservation(endpoint);
        drop(state);
        Self { cx: cx.clone(), endpoint }
    }
}

impl<W, R> Drop for SendReservation<W, R> {
    fn drop(&mut self) {
        self.cx.state.borrow_mut().fleet.end_reservation(self.endpoint);
    }
}

/// Keeps a run recorded until dropped.
#[derive(Debug)]
pub struct RunGuard<W, R> {
    cx: Rc<Host<W, R>>,
    /// Endpoint.
    pub endpoint: EndpointIx,
    /// Run.
    pub run: RunId,
}

impl<W, R> RunGuard<W, R> {
    /// Records the start of a run and announces it to the other hosts.
    pub fn start(cx: &Rc<Host<W, R>>, endpoint: EndpointIx, call: &Call, work: RunWork) -> Self {
        let now = Instant::now();
        let run = cx.state.borrow_mut().fleet.start_run(endpoint, &call.id, work, now);
        if let RunWork::Generation { kv_tokens, prefill_tokens, .. } = work {
            cx.send_placement(endpoint, kv_tokens, prefill_tokens);
        }
        Self { cx: cx.clone(), endpoint, run }
    }
}

impl<W, R> Drop for RunGuard<W, R> {
    fn drop(&mut self) {
        self.cx.state.borrow_mut().fleet.end_run(self.endpoint, self.run);
    }
}

/// Response of an endpoint to a call, with the run that it belongs to. Its head has been received.
#[derive(Debug)]
pub struct UpstreamResponse<W, R> {
    /// Guard of the run.
    pub guard: RunGuard<W, R>,
    /// Name of the endpoint.
    pub name: EndpointName,
    /// Meaning of the response.
    pub kind: ResponseKind,
    /// Head and body of the response.
    pub exchange: Exchange,
    /// When the request was sent.
    pub sent_at: Instant,
}

/// Parameters of a request to an endpoint.
pub struct SendPlan<W, R> {
    /// Endpoint.
    pub endpoint: EndpointIx,
    /// Reservation at the endpoint, if the request was placed there.
    pub reservation: Option<SendReservation<W, R>>,
    /// Work that it causes on the endpoint.
    pub work: RunWork,
    /// Preemption priority of a generation on the engine.
    pub priority: Option<EnginePriority>,
    /// Where to resume a generation that was started on another engine.
    pub resume: Option<Resume>,
}

/// Returns the time within which a reachable endpoint accepts a connection.
pub fn connect_timeout(endpoint: &Endpoint) -> Duration {
    endpoint.connect_time() * CONNECT_TIMEOUT_FACTOR + CONNECT_TIMEOUT_MARGIN
}

/// Returns true if an endpoint accepts a connection, and records the result.
pub async fn probe_endpoint<W, R>(cx: &Rc<Host<W, R>>, ix: EndpointIx) -> bool
where
    W: Wire,
    R: Registry,
{
    connect_to(cx, ix, MAX_PROBE_TIME).await.is_ok()
}

/// Connects to an endpoint within `left` and records the result. A host that is cut off from the
/// endpoints connects through another one.
///
/// # Errors
///
/// Returns [`ExchangeError::NotSent`] if the connection failed.
pub async fn connect_to<W, R>(
    cx: &Rc<Host<W, R>>,
    ix: EndpointIx,
    left: Duration,
) -> Result<HttpConnection, ExchangeError>
where
    W: Wire,
    R: Registry,
{
    let deadline = Instant::now() + left;
    if cx.state.borrow().reachability.is_cut_off() {
        try_own_links(cx, ix);
    } else {
        match open_directly(cx, ix, left).await {
            Ok(stream) => return start_http(stream).await,
            Err(err) if cx.state.borrow().reachability.is_cut_off() => drop(err),
            Err(err) => {
                record_unreachable(cx, ix);
                return Err(err);
            }
        }
    }
    let left = deadline.saturating_duration_since(Instant::now());
    match tunnel::open(cx, ix, left).await {
        Ok(connection) => {
            if let Some(endpoint) = cx.state.borrow_mut().fleet.get_mut(ix) {
                endpoint.reached_at = Some(Instant::now());
            }
            Ok(connection)
        }
        Err(TunnelError::Unreachable) => {
            let now = Instant::now();
            if let Some(endpoint) = cx.state.borrow_mut().fleet.get_mut(ix) {
                endpoint.health.record_unreachable(now);
            }
            cx.attribute_crash(ix, now);
            Err(ExchangeError::NotSent(TunnelError::Unreachable.to_string()))
        }
        Err(TunnelError::NoHost) => {
            let left = deadline.saturating_duration_since(Instant::now());
            let stream = open_directly(cx, ix, left).await;
            start_http(stream.inspect_err(|_| record_unreachable(cx, ix))?).await
        }
    }
}

fn record_unreachable<W, R>(cx: &Rc<Host<W, R>>, ix: EndpointIx) {
    let now = Instant::now();
    if let Some(endpoint) = cx.state.borrow_mut().fleet.get_mut(ix) {
        endpoint.health.record_unreachable(now);
    }
    cx.confirm_crash(ix, now);
}

/// Connects to an endpoint over this host's own links and records whether they work.
///
/// # Errors
///
/// Returns [`ExchangeError::NotSent`] if the connection failed.
pub async fn open_directly<W, R>(
    cx: &Rc<Host<W, R>>,
    ix: EndpointIx,
    left: Duration,
) -> Result<TcpStream, ExchangeError> {
    let (addr, connect_timeout) = {
        let state = cx.state.borrow();
        let Some(endpoint) = state.fleet.get(ix) else {
            return Err(ExchangeError::NotSent("the endpoint was removed".to_owned()));
        };
        (cx.settings.endpoint_addr(endpoint.entry.addr), connect_timeout(endpoint).min(left))
    };
    let begun_at = Instant::now();
    let stream = connect_stream(addr, connect_timeout).await;
    let now = Instant::now();
    match &stream {
        Ok(_) => {
            if let Some(endpoint) = cx.state.borrow_mut().fleet.get_mut(ix) {
                endpoint.record_connect_time(now - begun_at);
                endpoint.reached_at = Some(now);
            }
            record_own_links_work(cx, now);
        }
        Err(_) => record_own_links_failed(cx, ix, begun_at, now),
    }
    stream
}

/// Tries the links of a cut-off host again, if that is due.
pub fn try_own_links<W, R>(cx: &Rc<Host<W, R>>, ix: EndpointIx)
where
    W: Wire,
    R: Registry,
{
    if cx.state.borrow_mut().reachability.begin_probe(Instant::now()) {
        let cx = cx.clone();
        spawn_local(async move {
            // The result is recorded.
            let _ = open_directly(&cx, ix, MAX_PROBE_TIME).await;
        });
    }
}

fn record_own_links_work<W, R>(cx: &Rc<Host<W, R>>, now: Instant) {
    let cut_off_for = cx.state.borrow_mut().reachability.record_reached(now);
    if let Some(duration) = cut_off_for {
        info!(cx.log, "endpoints reached again"; "after_ms" => duration.as_millis() as u64);
    }
}

fn record_own_links_failed<W, R>(
    cx: &Rc<Host<W, R>>,
    ix: EndpointIx,
    begun_at: Instant,
    now: Instant,
) {
    let mut guard = cx.state.borrow_mut();
    let State { fleet, reachability, .. } = &mut *guard;
    let Some(digest) = fleet.get(ix).map(|endpoint| endpoint.digest) else { return };
    let ready = fleet.iter().filter(|(_, endpoint)| endpoint.is_ready()).count();
    if !reachability.record_failed(digest, ready, begun_at, now) {
        return;
    }
    let failed: Vec<EndpointIx> =
        reachability.failed().iter().filter_map(|digest| fleet.find_digest(*digest)).collect();
    for ix in &failed {
        if let Some(endpoint) = fleet.get_mut(*ix) {
            endpoint.health.clear_unreachable();
        }
    }
    warn!(cx.log, "cut off from endpoints"; "failed" => failed.len(), "endpoints_ready" => ready);
}

/// Sends a call to an endpoint and waits for the response head. Connects first if `connection` is
/// `None`.
///
/// # Errors
///
/// Returns [`ExchangeError`], which says whether the endpoint may have run the call.
pub async fn send<W, R>(
    cx: &Rc<Host<W, R>>,
    call: &Call,
    mut plan: SendPlan<W, R>,
    connection: Option<HttpConnection>,
) -> Result<UpstreamResponse<W, R>, ExchangeError>
where
    W: Wire,
    R: Registry,
{
    let ix = plan.endpoint;
    let connection = match connection {
        Some(connection) => connection,
        None => {
            let result = connect_to(cx, ix, call.time_left(Instant::now())).await;
            result.inspect_err(|err| log_failure(cx, call, ix, err))?
        }
    };
    let Some(name) = cx.state.borrow().fleet.get(ix).map(|e| e.entry.name.clone()) else {
        return Err(ExchangeError::NotSent("the endpoint was removed".to_owned()));
    };
    let via = connection.via().cloned();
    if let Some(via) = &via {
        info!(cx.log, "request sent through host"; "call" => %call.id, "endpoint" => %name,
            "via" => %via);
    }
    drop(plan.reservation.take());
    let guard = RunGuard::start(cx, ix, call, plan.work);
    let sent_at = Instant::now();
    let req = build_request(cx, call, &plan, &name, sent_at);
    match connection.send(req).await {
        Ok(exchange) => {
            let kind = cx.wire.response_kind(&exchange.head, &call.id);
            record_response(cx, ix, kind, &exchange);
            cx.record_directives(ix, kind, &exchange.head);
            if kind == (ResponseKind::NotRun { wrong_endpoint: false }) {
                cx.record_refusal(ix, Instant::now());
                if let Some(via) = &via {
                    cx.forward_hold_off(via, ix, &exchange.head);
                }
            }
            Ok(UpstreamResponse { guard, name, kind, exchange, sent_at })
        }
        Err(err) => {
            if let ExchangeError::Unanswered(_) = &err {
                cx.record_broken_request(call, ix);
            }
            log_failure(cx, call, ix, &err);
            Err(err)
        }
    }
}

fn build_request<W, R>(
    cx: &Rc<Host<W, R>>,
    call: &Call,
    plan: &SendPlan<W, R>,
    name: &EndpointName,
    now: Instant,
) -> Request<Full<bytes::Bytes>>
where
    W: Wire,
{
    let context = OutboundContext {
        endpoint: name,
        organisation: call.organisation_name(),
        remaining: call.time_left(now),
        priority: plan.priority,
        resume: plan.resume.clone(),
    };
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.head.method.clone();
    *req.uri_mut() = call.head.uri.clone();
    *req.headers_mut() = cx.wire.outbound_headers(&call.head, &context);
    req
}

/// Updates the load and health of an endpoint from a response head.
fn record_response<W, R>(
    cx: &Rc<Host<W, R>>,
    ix: EndpointIx,
    kind: ResponseKind,
    exchange: &Exchange,
) where
    W: Wire,
{
    let now = Instant::now();
    let mut state = cx.state.borrow_mut();
    if let Some(endpoint) = state.fleet.get_mut(ix) {
        endpoint.reached_at = Some(now);
        if let Some(hint) = cx.wire.load_hint(&exchange.head) {
            let in_flight = endpoint.runs.len() as u32;
            endpoint.load.record_hint(hint, in_flight, now);
        }
        let success = match kind {
            ResponseKind::Success => true,
            ResponseKind::Failed => !exchange.head.status.is_server_error(),
            ResponseKind::NotRun { .. } | ResponseKind::Mismatched => false,
        };
        endpoint.health.record_answer(success, now);
        if kind == (ResponseKind::NotRun { wrong_endpoint: true }) {
            // The endpoint list is outdated: the address now belongs to another process.
            endpoint.health.record_unreachable(now);
        }
    }
}

fn log_failure<W, R>(cx: &Rc<Host<W, R>>, call: &Call, ix: EndpointIx, err: &ExchangeError) {
    let result = match err {
        ExchangeError::NotSent(_) => "not_sent",
        ExchangeError::Unanswered(_) => "unanswered",
    };
    cx.metrics.sends.with_label_values(&[result]).inc();
    let state = cx.state.borrow();
    let endpoint = state.fleet.get(ix);
    let name = endpoint.map(|endpoint| endpoint.entry.name.to_string());
    info!(cx.log, "send failed"; "call" => %call.id, "endpoint" => name, "error" => %err,
        "endpoint_ready" => endpoint.is_some_and(Endpoint::is_ready));
}
