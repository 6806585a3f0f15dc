//! Sends a request to an endpoint and records the run and its result.

use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_types::prelude::*;
use http::Request;
use http_body_util::Full;
use slog::info;
use tokio::time::sleep;

use crate::boundary::{EnginePriority, OutboundContext, Registry, ResponseKind, Resume, Wire};
use crate::call::Call;
use crate::connecting::connect_to;
use crate::context::Host;
use crate::upstream::{Exchange, ExchangeError, HttpConnection};

/// Time from when a request may be sent until its placement is out of date. Connections through other hosts
/// take up to 1.4 s; a process that does not run for longer has missed changes.
const PLACEMENT_VALIDITY: Duration = Duration::from_millis(1500);
/// Maximum time that a process that did not run waits for what it missed.
const CATCH_UP_TIME: Duration = Duration::from_millis(600);
/// Time between two checks whether it has received that.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(20);

/// What is recorded of a request that was admitted from a queue.
#[derive(Clone, Copy, Debug)]
pub struct Admitted {
    /// The run that stands for a generation; a call is recorded as any other.
    pub run: Option<RunId>,
    /// When the request was placed.
    pub placed_at: Instant,
    /// Whether it counts against this host's share of a limit.
    pub is_counted: bool,
}

/// Counts a request as placed on an endpoint and not sent yet, until dropped.
pub struct SendReservation<W, R> {
    cx: Rc<Host<W, R>>,
    endpoint: EndpointIx,
    /// When the request was placed.
    placed_at: Instant,
    /// Whether it counts against this host's share of a limit.
    is_counted: bool,
    /// The run that stands for it, if it was admitted from a queue.
    run: Option<RunId>,
    /// Time after which the request has to be placed again.
    valid_until: Instant,
}

impl<W, R> SendReservation<W, R> {
    /// Records that a request is placed on an endpoint and sent after the delay of the choice.
    pub fn new(cx: &Rc<Host<W, R>>, choice: &Choice) -> Self {
        let (placed_at, endpoint) = (Instant::now(), choice.endpoint);
        let mut state = cx.state.borrow_mut();
        let is_counted = state.fleet.reserve_send(endpoint, placed_at);
        state.fleet.begin_reservation(endpoint);
        drop(state);
        let valid_until = placed_at + choice.delay + PLACEMENT_VALIDITY;
        Self { cx: cx.clone(), endpoint, placed_at, is_counted, run: None, valid_until }
    }

    /// Takes over a reservation that was recorded when a request was admitted from a queue.
    pub fn of_admitted(cx: &Rc<Host<W, R>>, choice: &Choice, admitted: Admitted) -> Self {
        let Admitted { run, placed_at, is_counted } = admitted;
        let valid_until = placed_at + choice.delay + PLACEMENT_VALIDITY;
        let endpoint = choice.endpoint;
        Self { cx: cx.clone(), endpoint, placed_at, is_counted, run, valid_until }
    }

    fn is_valid(&self) -> bool {
        Instant::now() <= self.valid_until
    }
}

impl<W, R> Drop for SendReservation<W, R> {
    fn drop(&mut self) {
        {
            let fleet = &mut self.cx.state.borrow_mut().fleet;
            match self.run {
                Some(run) => fleet.release_run(self.endpoint, run, Instant::now()),
                None => fleet.end_reservation(self.endpoint),
            }
        }
        self.cx.wake_queues();
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
        if let RunWork::Generation { kv_tokens, prefill_tokens, expected, .. } = work {
            cx.send_placement(endpoint, &TokenDemand { kv_tokens, prefill_tokens, expected });
        }
        Self { cx: cx.clone(), endpoint, run }
    }
}

impl<W, R> Drop for RunGuard<W, R> {
    fn drop(&mut self) {
        self.cx.end_run(self.endpoint, self.run);
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
            let left = cx.time_left(call, Instant::now());
            let result = connect_to(cx, ix, &cx.residency(call), left).await;
            result.inspect_err(|err| log_failure(cx, call, ix, err))?
        }
    };
    let listed = {
        let state = cx.state.borrow();
        let entry = state.fleet.get(ix).map(|endpoint| &endpoint.entry);
        entry.map(|entry| (entry.name.clone(), entry.service == call.service().name))
    };
    let Some((name, is_of_service)) = listed else {
        return Err(ExchangeError::NotSent("the endpoint was removed".to_owned()));
    };
    // The slot of an endpoint that left may belong to one of another service.
    if !is_of_service {
        let err = ExchangeError::NotSent("the endpoint belongs to another service".to_owned());
        log_failure(cx, call, ix, &err);
        return Err(err);
    }
    if plan.reservation.as_ref().is_some_and(|reservation| !reservation.is_valid()) {
        let err = ExchangeError::NotSent("the placement is out of date".to_owned());
        log_failure(cx, call, ix, &err);
        catch_up(cx).await;
        return Err(err);
    }
    cx.wait_until_informed().await;
    cx.check_not_evacuated(ix).inspect_err(|err| log_failure(cx, call, ix, err))?;
    let via = connection.via().cloned();
    // A newer version may have restricted the call since it was placed.
    if !cx.allows_send(call, ix, via.as_ref()) {
        let err = ExchangeError::NotSent("the call is not allowed in that region".to_owned());
        log_failure(cx, call, ix, &err);
        return Err(err);
    }
    if let Some(via) = &via {
        info!(cx.log, "request sent through host"; "call" => %call.id, "endpoint" => %name,
            "via" => %via);
    }
    if let Some(reservation) = plan.reservation.take() {
        let check = cx.check_share(ix, reservation.placed_at, reservation.is_counted);
        check.inspect_err(|err| log_failure(cx, call, ix, err))?;
    }
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
            if !matches!(err, ExchangeError::NotSent(_)) {
                cx.record_broken_request(call, ix);
            }
            cx.record_invalid_response(ix, &err);
            log_failure(cx, call, ix, &err);
            Err(err)
        }
    }
}

impl<W, R> Host<W, R> {
    /// Counts a response that is none of the protocol against the health of its endpoint.
    pub(crate) fn record_invalid_response(&self, ix: EndpointIx, err: &ExchangeError) {
        if let ExchangeError::Invalid(_) = err
            && let Some(endpoint) = self.state.borrow_mut().fleet.get_mut(ix)
        {
            endpoint.health.record_answer(false, Instant::now());
        }
    }
}

/// Waits until the endpoint list is up to date after a pause of this process.
async fn catch_up<W, R>(cx: &Rc<Host<W, R>>) {
    let until = Instant::now() + CATCH_UP_TIME;
    while Instant::now() < until && !cx.is_list_current() {
        sleep(CATCH_UP_INTERVAL).await;
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
        remaining: cx.time_left(call, now),
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
    let misdirected = ResponseKind::NotRun { wrong_endpoint: true };
    let mut pace_percent = None;
    if let Some(endpoint) = state.fleet.get_mut(ix) {
        endpoint.reached_at = Some(now);
        if let Some(hint) = cx.wire.load_hint(&exchange.head) {
            let in_flight = endpoint.runs.len() as u32;
            endpoint.load.record_hint(hint, in_flight, now);
            pace_percent = hint.pace_percent;
        }
        let success = match kind {
            ResponseKind::Success => true,
            ResponseKind::Failed => !exchange.head.status.is_server_error(),
            ResponseKind::NotRun { .. } | ResponseKind::Mismatched => false,
        };
        endpoint.health.record_answer(success, now);
        if kind == misdirected {
            // The endpoint list is outdated: the address now belongs to another process.
            endpoint.health.record_unreachable(now);
        }
    }
    if let Some(percent) = pace_percent.filter(|_| kind != misdirected) {
        state.fleet.record_stated_pace(ix, percent, now);
    }
}

fn log_failure<W, R>(cx: &Rc<Host<W, R>>, call: &Call, ix: EndpointIx, err: &ExchangeError) {
    let result = match err {
        ExchangeError::NotSent(_) => "not_sent",
        ExchangeError::Unanswered(_) => "unanswered",
        ExchangeError::Invalid(_) => "invalid",
    };
    cx.metrics.sends.with_label_values(&[result]).inc();
    let state = cx.state.borrow();
    let endpoint = state.fleet.get(ix);
    let name = endpoint.map(|endpoint| endpoint.entry.name.to_string());
    info!(cx.log, "send failed"; "call" => %call.id, "endpoint" => name, "error" => %err,
        "endpoint_ready" => endpoint.is_some_and(Endpoint::is_ready));
}
