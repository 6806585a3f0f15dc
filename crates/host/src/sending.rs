//! Sends one request to one endpoint and records it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_types::prelude::*;
use http::Request;
use http_body_util::Full;
use slog::info;

use crate::boundary::{EnginePriority, OutboundContext, Registry, ResponseKind, Resume, Wire};
use crate::call::Call;
use crate::context::Host;
use crate::upstream::{Connected, Exchange, ExchangeError, connect};

/// Time to connect beyond a multiple of the average: covers a loaded listener.
const CONNECT_SLACK: Duration = Duration::from_millis(150);
/// Multiple of the average time to connect that is waited for.
const CONNECT_FACTOR: u32 = 4;

/// A run that is recorded until this is dropped.
#[derive(Debug)]
pub struct RunGuard<W, R> {
    cx: Rc<Host<W, R>>,
    /// Endpoint.
    pub endpoint: EndpointIx,
    /// Run.
    pub run: RunId,
}

impl<W, R> RunGuard<W, R> {
    /// Records a run.
    pub fn begin(cx: &Rc<Host<W, R>>, endpoint: EndpointIx, call: &Call, work: RunWork) -> Self {
        let now = Instant::now();
        let run =
            cx.state.borrow_mut().fleet.start_run(endpoint, &call.id, call.fingerprint, work, now);
        if let RunWork::Generation { kv_tokens: held, prefill_tokens: unread, .. } = work {
            cx.send_placement(endpoint, held, unread);
        }
        Self { cx: cx.clone(), endpoint, run }
    }
}

impl<W, R> Drop for RunGuard<W, R> {
    fn drop(&mut self) {
        self.cx.state.borrow_mut().fleet.end_run(self.endpoint, self.run);
    }
}

/// An answer whose head arrived.
#[derive(Debug)]
pub struct Sent<W, R> {
    /// The run, while it lasts.
    pub guard: RunGuard<W, R>,
    /// Name of the endpoint.
    pub name: EndpointName,
    /// What the answer means.
    pub kind: ResponseKind,
    /// The exchange.
    pub exchange: Exchange,
    /// When the request was sent.
    pub sent_at: Instant,
}

/// How a request is sent.
#[derive(Debug)]
pub struct SendPlan {
    /// Endpoint.
    pub endpoint: EndpointIx,
    /// What it does to the endpoint.
    pub work: RunWork,
    /// Rank of a generation at the engine.
    pub rank: Option<EnginePriority>,
    /// How a generation goes on, if it has begun elsewhere.
    pub resume: Option<Resume>,
}

/// Connects to an endpoint and records how that went.
///
/// # Errors
///
/// Returns [`ExchangeError::NotSent`] when no connection was made.
pub async fn connect_to<W, R>(
    cx: &Rc<Host<W, R>>,
    ix: EndpointIx,
    left: Duration,
) -> Result<Connected, ExchangeError> {
    let (addr, within) = {
        let state = cx.state.borrow();
        let Some(endpoint) = state.fleet.get(ix) else {
            return Err(ExchangeError::NotSent("the endpoint is gone".to_owned()));
        };
        let within = endpoint.connect_time() * CONNECT_FACTOR + CONNECT_SLACK;
        (endpoint.entry.addr, within.min(left))
    };
    let began = Instant::now();
    let connected = connect(addr, within).await;
    let now = Instant::now();
    if let Some(endpoint) = cx.state.borrow_mut().fleet.get_mut(ix) {
        match &connected {
            Ok(_) => endpoint.record_connect_time(now - began),
            Err(_) => endpoint.health.record_unreachable(now),
        }
    }
    if connected.is_err() {
        let blames = cx.record_endpoint_crash(ix, now);
        cx.gossip_crash_counts(&blames);
    }
    connected
}

/// Sends a call to an endpoint and waits for the head of its answer.
///
/// # Errors
///
/// Returns [`ExchangeError`], which tells whether the call may have been run.
pub async fn send<W, R>(
    cx: &Rc<Host<W, R>>,
    call: &Call,
    plan: SendPlan,
    connected: Option<Connected>,
) -> Result<Sent<W, R>, ExchangeError>
where
    W: Wire,
    R: Registry,
{
    let ix = plan.endpoint;
    let connected = match connected {
        Some(connected) => connected,
        None => {
            let result = connect_to(cx, ix, call.left(Instant::now())).await;
            result.inspect_err(|err| log_failure(cx, call, ix, err))?
        }
    };
    let Some(name) = cx.state.borrow().fleet.get(ix).map(|e| e.entry.name.clone()) else {
        return Err(ExchangeError::NotSent("the endpoint is gone".to_owned()));
    };
    let guard = RunGuard::begin(cx, ix, call, plan.work);
    let sent_at = Instant::now();
    let req = build_request(cx, call, &plan, &name, sent_at);
    match connected.send(req).await {
        Ok(exchange) => {
            let kind = cx.wire.response_kind(&exchange.head, &call.id);
            record_answer(cx, ix, kind, &exchange);
            Ok(Sent { guard, name, kind, exchange, sent_at })
        }
        Err(err) => {
            if let ExchangeError::Unanswered(_) = &err {
                broke_off(cx, call, ix);
            }
            log_failure(cx, call, ix, &err);
            Err(err)
        }
    }
}

fn build_request<W, R>(
    cx: &Rc<Host<W, R>>,
    call: &Call,
    plan: &SendPlan,
    name: &EndpointName,
    now: Instant,
) -> Request<Full<bytes::Bytes>>
where
    W: Wire,
{
    let order = OutboundContext {
        endpoint: name,
        organisation: call.organisation_name(),
        remaining: call.left(now),
        priority: plan.rank,
        resume: plan.resume.clone(),
    };
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.head.method.clone();
    *req.uri_mut() = call.head.uri.clone();
    *req.headers_mut() = cx.wire.outbound_headers(&call.head, &order);
    req
}

/// Records what the head of an answer says of its endpoint.
fn record_answer<W, R>(cx: &Rc<Host<W, R>>, ix: EndpointIx, kind: ResponseKind, exchange: &Exchange)
where
    W: Wire,
{
    let now = Instant::now();
    let mut state = cx.state.borrow_mut();
    if let Some(endpoint) = state.fleet.get_mut(ix) {
        if let Some(hint) = cx.wire.load_hint(&exchange.head) {
            let own = endpoint.runs.len() as u32;
            endpoint.load.record_hint(hint, own, now);
        }
        let good = match kind {
            ResponseKind::Success => true,
            ResponseKind::Failed => !exchange.head.status.is_server_error(),
            ResponseKind::NotRun { .. } | ResponseKind::Mismatched => false,
        };
        endpoint.health.record_answer(good, now);
        if kind == (ResponseKind::NotRun { wrong_endpoint: true }) {
            // The list still names the process that had the address before.
            endpoint.health.record_unreachable(now);
        }
    }
}

/// Records that a call broke off at an endpoint.
pub fn broke_off<W, R>(cx: &Rc<Host<W, R>>, call: &Call, ix: EndpointIx) {
    if let Some(endpoint) = cx.state.borrow_mut().fleet.get_mut(ix) {
        endpoint.record_broken_request(call.fingerprint, Instant::now());
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
