//! Serves a call to a plain service.
//!
//! The response is buffered completely before any of it is sent to the client. If the connection
//! to the endpoint fails halfway, a retryable call is sent to another endpoint, and any other call
//! gets a well-formed error response.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use camphorloft_dispatch::plain;
use camphorloft_dispatch::prelude::*;
use camphorloft_serving::prelude::Residency;
use camphorloft_types::prelude::*;
use http::{Response, StatusCode, response};
use rand::Rng;
use slog::info;
use tokio::task::JoinSet;
use tokio::time::sleep_until;

use crate::boundary::{Registry, ResponseKind, Wire};
use crate::call::Call;
use crate::connecting::{connect_to, is_cut_short};
use crate::context::Host;
use crate::local_response::local_response;
use crate::queued_request::QueuedRequest;
use crate::response_body::ResponseBody;
use crate::response_end::DRAINING_RETRY_AFTER;
use crate::sending::{SendPlan, SendReservation, send};
use crate::upstream::ExchangeError;

/// Maximum size of a response of a plain service, in bytes. Current services send about a
/// thousandth of this.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Maximum number of endpoints that one call tries to connect to.
const MAX_CONNECT_ATTEMPTS: usize = 4;
/// Fraction of the latency objective after which a retryable call is also sent to a second
/// endpoint.
const HEDGE_FRACTION: f64 = 0.6;
/// Fraction of the timeout used instead for a route without a latency objective.
const HEDGE_TIMEOUT_FRACTION: f64 = 0.3;
/// Base retry delay sent with a refusal. Each endpoint finishes several calls within it.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// A completely buffered response of an endpoint.
#[derive(Debug)]
struct BufferedResponse {
    endpoint: EndpointName,
    kind: ResponseKind,
    head: response::Parts,
    body: Bytes,
}

/// Result of an attempt.
#[derive(Debug)]
enum AttemptResult {
    Responded(BufferedResponse),
    /// The request was not sent.
    NotSent,
    /// The request was sent and no complete response arrived; it may have run.
    Lost,
}

/// The attempts of one call.
struct Attempts<W, R> {
    cx: Rc<Host<W, R>>,
    call: Rc<Call>,
    running: JoinSet<(usize, AttemptResult)>,
    tried: Vec<EndpointIx>,
    /// For each attempt, whether the request was sent and the result is still unknown.
    unresolved: Vec<Rc<Cell<bool>>>,
    /// Number of attempts that were sent or are still connecting.
    sends: u32,
    /// The last failure response received from an endpoint.
    last_failure: Option<BufferedResponse>,
    /// Whether an endpoint may have run the call without returning a success.
    may_have_run: bool,
    /// Time for which no further attempt can start because the endpoints limit requests.
    limited_for: Option<Duration>,
    /// Regions in which the call may be processed, as of the last placement.
    residency: Residency,
    /// Reason that none of them can serve the call.
    residency_refusal: Option<ResidencyRefusal>,
    /// Retry delay of a call that is refused because the slots of all endpoints are in use.
    no_room_for: Option<Duration>,
}

/// Serves a call.
pub async fn serve<W, R>(cx: Rc<Host<W, R>>, call: Rc<Call>) -> Response<ResponseBody>
where
    W: Wire,
    R: Registry,
{
    cx.state.borrow_mut().quota.record_request(&call.service().name, Instant::now());
    let mut attempts = Attempts {
        cx,
        call,
        running: JoinSet::new(),
        tried: Vec::new(),
        unresolved: Vec::new(),
        sends: 0,
        last_failure: None,
        may_have_run: false,
        limited_for: None,
        residency: Residency::UNRESTRICTED,
        residency_refusal: None,
        no_room_for: None,
    };
    match attempts.run().await {
        Some(buffered) => attempts.forward(buffered),
        None => attempts.respond_failure(),
    }
}

impl<W, R> Attempts<W, R>
where
    W: Wire,
    R: Registry,
{
    /// Runs attempts until one succeeds, none may be started any more, or the response has to end.
    async fn run(&mut self) -> Option<BufferedResponse> {
        let cx = self.cx.clone();
        let mut ended = pin!(cx.wait_for_response_end(self.call.deadline));
        let mut hedge_at = Instant::now() + self.hedge_delay();
        // A call to an engine, unlike a generation, has no known memory needs.
        let is_queued = self.cx.settings.prioritised && self.call.service().engine.is_none();
        match is_queued {
            true => {
                self.start_admitted().await;
                hedge_at = Instant::now() + self.hedge_delay();
            }
            false => self.start_attempt(),
        }
        while !self.running.is_empty() {
            // An attempt that has not been sent yet may still run.
            let retryable = self.call.route().retry_mode.is_retryable();
            let may_hedge = self.running.len() == 1 && retryable && self.may_send();
            tokio::select! {
                result = self.running.join_next() => {
                    let Some(Ok((attempt, result))) = result else { continue };
                    if let Some(buffered) = self.handle_result(attempt, result) {
                        return Some(buffered);
                    }
                    if self.running.is_empty() {
                        self.start_attempt();
                    }
                }
                () = sleep_until(hedge_at.into()), if may_hedge => {
                    hedge_at = self.call.deadline;
                    self.record_overdue();
                    self.start_attempt();
                }
                () = &mut ended => {
                    self.record_overdue();
                    return None;
                }
            }
        }
        None
    }

    fn hedge_delay(&self) -> Duration {
        let route = self.call.route();
        if route.latency_objective.is_zero() {
            return route.timeout.mul_f64(HEDGE_TIMEOUT_FRACTION);
        }
        route.latency_objective.mul_f64(HEDGE_FRACTION)
    }

    fn may_send(&self) -> bool {
        let route = self.call.route();
        let retryable =
            route.retry_mode.is_retryable() || !self.may_have_run && !self.is_unresolved();
        retryable
            && self.sends < route.max_sends
            && (!self.may_have_run || self.cx.may_resend(&self.call))
    }

    /// Returns true if the result of an attempt that was sent is still unknown.
    fn is_unresolved(&self) -> bool {
        self.unresolved.iter().any(|attempt| attempt.get())
    }

    /// Waits in the queue of the service until the call is admitted or refused, and starts the first
    /// attempt if it is admitted.
    async fn start_admitted(&mut self) {
        let call = &self.call;
        let service_time = {
            let state = self.cx.state.borrow();
            let endpoints = state.fleet.of_service(&call.service().name);
            endpoints.map(|(_, endpoint)| endpoint.service_time()).min().unwrap_or_default()
        };
        let work = QueuedWork {
            resumes: false,
            priority: call.priority(),
            organisation: call.organisation_name().cloned(),
            arrived_at: call.arrived_at,
            objective: call.route().latency_objective,
            deadline: call.deadline,
            demand: TokenDemand { kv_tokens: 1, prefill_tokens: 0, expected: 0 },
            first_event: service_time,
            duration: service_time,
            body_bytes: call.body.len() as u64,
            is_restricted: !self.cx.residency(call).is_unrestricted(),
        };
        let queued = QueuedRequest::enter(&self.cx, call, work, &[], None);
        if !queued.is_decided() {
            info!(self.cx.log, "call waiting for capacity"; "call" => %call.id,
                "route" => %call.route().name, "priority" => call.priority(),
                "queued" => self.cx.queue_of(&call.service().name).0);
        }
        let decision = tokio::select! {
            biased;
            () = self.cx.wait_until_too_late(call) => None,
            decision = queued.decision() => decision,
        };
        match decision {
            Some((Admission::Start(choice), Some(reservation))) => {
                self.spawn_attempt(&choice, reservation, Instant::now());
            }
            Some((Admission::Refuse { reason, retry_after }, _)) => match reason {
                RefuseReason::Limited => self.limited_for = Some(retry_after),
                RefuseReason::NoCapacity => self.no_room_for = Some(retry_after),
                RefuseReason::NoEndpoint => {}
            },
            _ => {}
        }
    }

    /// Starts an attempt if another one is allowed and an endpoint is available.
    fn start_attempt(&mut self) {
        if !self.may_send() || self.tried.len() >= MAX_CONNECT_ATTEMPTS {
            return;
        }
        if self.cx.is_too_late(self.call.route(), self.call.deadline) {
            return;
        }
        let now = Instant::now();
        let service = &self.call.service().name;
        self.residency = self.cx.residency(&self.call);
        self.residency_refusal = self.cx.check_residency(service, &self.residency).err();
        if self.residency_refusal.is_some() {
            return;
        }
        let max_delay = self.hedge_delay().saturating_sub(now - self.call.arrived_at);
        let choice = {
            let mut guard = self.cx.state.borrow_mut();
            let state = &mut *guard;
            let candidates = Candidates {
                tried: &self.tried,
                software: None,
                residency: &self.residency,
                max_delay,
            };
            let choice = plain::choose(&state.fleet, service, &candidates, now, &mut state.rng);
            let Some(choice) = choice else {
                self.limited_for = state.fleet.limited_for(service, &candidates, now);
                return;
            };
            if self.sends > 0 && !state.quota.try_acquire(service, now) {
                info!(self.cx.log, "retry quota exhausted"; "call" => %self.call.id,
                    "service" => %service);
                return;
            }
            choice
        };
        let reservation = SendReservation::new(&self.cx, &choice);
        self.spawn_attempt(&choice, reservation, now);
    }

    fn spawn_attempt(&mut self, choice: &Choice, reservation: SendReservation<W, R>, now: Instant) {
        let choice = *choice;
        self.log_placement(&choice);
        self.tried.push(choice.endpoint);
        self.sends += 1;
        let unresolved = Rc::new(Cell::new(false));
        self.unresolved.push(unresolved.clone());
        let (cx, call, attempt) = (self.cx.clone(), self.call.clone(), self.tried.len() - 1);
        self.running.spawn_local(async move {
            sleep_until((now + choice.delay).into()).await;
            (attempt, run_attempt(&cx, &call, reservation, choice.endpoint, &unresolved).await)
        });
    }

    fn log_placement(&self, choice: &Choice) {
        let state = self.cx.state.borrow();
        let endpoint = state.fleet.get(choice.endpoint);
        let name = endpoint.map(|e| e.entry.name.to_string());
        let limit = endpoint.and_then(|e| e.request_limit.rate(Instant::now()));
        info!(self.cx.log, "call placed"; "call" => %self.call.id,
            "limit_per_s" => limit.map(RequestRate::per_second),
            "route" => %self.call.route().name, "endpoint" => name, "attempt" => self.tried.len(),
            "version" => %self.call.serving.version, "cost_ms" => choice.cost_ms.round(),
            "failure_share" => (choice.failure_rate * 100.0).round() / 100.0,
            "delay_ms" => choice.delay.as_millis() as u64,
            "regions" => self.residency.log_text(),
            "compared" => choice.compared, "unusable" => choice.unusable);
    }

    /// Records the result of an attempt. Returns the response if it is a success.
    fn handle_result(&mut self, attempt: usize, result: AttemptResult) -> Option<BufferedResponse> {
        match result {
            AttemptResult::Responded(buffered) => {
                self.unresolved[attempt].set(false);
                match buffered.kind {
                    ResponseKind::Success => return Some(buffered),
                    ResponseKind::Failed => {
                        self.may_have_run = true;
                        self.last_failure = Some(buffered);
                    }
                    ResponseKind::NotRun { .. } => {}
                    ResponseKind::Mismatched => self.may_have_run = true,
                }
            }
            AttemptResult::NotSent => {
                self.unresolved[attempt].set(false);
                self.sends -= 1;
            }
            AttemptResult::Lost => {
                self.unresolved[attempt].set(false);
                self.may_have_run = true;
            }
        }
        None
    }

    /// Counts each overdue response as a failure of its endpoint, so that later calls avoid the
    /// endpoint.
    fn record_overdue(&mut self) {
        let now = Instant::now();
        let mut state = self.cx.state.borrow_mut();
        for (endpoint, unresolved) in self.tried.iter().zip(&self.unresolved) {
            if unresolved.get()
                && let Some(endpoint) = state.fleet.get_mut(*endpoint)
            {
                endpoint.health.record_no_answer(now);
            }
        }
    }

    fn forward(&self, buffered: BufferedResponse) -> Response<ResponseBody> {
        let duration = self.call.arrived_at.elapsed();
        let outcome = match buffered.kind {
            ResponseKind::Success => Outcome::Completed,
            _ => Outcome::Unknown,
        };
        self.cx.metrics.observe_response("call", duration);
        self.log_end(outcome, buffered.head.status, "endpoint", Some(&buffered.endpoint));
        let mut response = Response::new(ResponseBody::full(buffered.body));
        *response.status_mut() = buffered.head.status;
        *response.headers_mut() = self.cx.wire.client_headers(&buffered.head);
        response
    }

    /// Builds the response to a call that no endpoint completed.
    fn respond_failure(&mut self) -> Response<ResponseBody> {
        if let Some(last_failure) = self.last_failure.take()
            && !self.cx.wire.guarantees_not_run(last_failure.head.status)
        {
            return self.forward(last_failure);
        }
        if self.may_have_run || self.is_unresolved() {
            let (status, reason) = match self.cx.time_left(&self.call, Instant::now()).is_zero() {
                true => (StatusCode::GATEWAY_TIMEOUT, "timeout"),
                false => (StatusCode::BAD_GATEWAY, "broken_answer"),
            };
            self.log_end(Outcome::Unknown, status, reason, None);
            return local_response(status, Outcome::Unknown, reason, None);
        }
        let (reason, retry_after) = match self.residency_refusal {
            Some(refusal) => (refusal.as_str(), refusal.retry_after()),
            None => self.busy_refusal(),
        };
        let status = StatusCode::SERVICE_UNAVAILABLE;
        self.cx.metrics.refusals.with_label_values(&[reason]).inc();
        self.log_end(Outcome::NotRun, status, reason, None);
        local_response(status, Outcome::NotRun, reason, retry_after)
    }

    /// Returns the reason that no endpoint took the call, and when the client should retry.
    fn busy_refusal(&self) -> (&'static str, Option<Duration>) {
        if let Some(retry_after) = self.no_room_for {
            return (RefuseReason::NoCapacity.as_str(), Some(retry_after));
        }
        if self.cx.is_too_late(self.call.route(), self.call.deadline) {
            return ("draining", Some(DRAINING_RETRY_AFTER));
        }
        let reason = match (self.limited_for, self.tried.is_empty()) {
            (Some(_), _) => "limited",
            (None, true) => "no_endpoint",
            (None, false) => "refused_by_endpoints",
        };
        let retry_after = self.limited_for.unwrap_or_default().max(RETRY_AFTER);
        let jitter = 1.0 + self.cx.state.borrow_mut().rng.random::<f64>();
        (reason, Some(retry_after.mul_f64(jitter)))
    }

    fn log_end(
        &self,
        outcome: Outcome,
        status: StatusCode,
        reason: &str,
        endpoint: Option<&EndpointName>,
    ) {
        let kind = self.call.route().retry_mode.to_string();
        self.cx.metrics.requests.with_label_values(&[kind.as_str(), outcome.as_str()]).inc();
        info!(self.cx.log, "call answered"; "call" => %self.call.id,
            "route" => %self.call.route().name, "outcome" => %outcome,
            "status" => status.as_u16(), "reason" => reason,
            "endpoint" => endpoint.map(ToString::to_string), "sends" => self.sends,
            "regions" => self.residency.log_text(),
            "took_ms" => self.call.arrived_at.elapsed().as_millis() as u64);
    }
}

/// Sends a call to one endpoint and buffers its response.
async fn run_attempt<W, R>(
    cx: &Rc<Host<W, R>>,
    call: &Call,
    reservation: SendReservation<W, R>,
    endpoint: EndpointIx,
    unresolved: &Cell<bool>,
) -> AttemptResult
where
    W: Wire,
    R: Registry,
{
    let left = cx.time_left(call, Instant::now());
    let Ok(connection) = connect_to(cx, endpoint, &cx.residency(call), left).await else {
        return AttemptResult::NotSent;
    };
    unresolved.set(true);
    let plan = SendPlan {
        endpoint,
        reservation: Some(reservation),
        work: RunWork::Plain,
        priority: None,
        resume: None,
    };
    let mut upstream = match send(cx, call, plan, Some(connection)).await {
        Ok(upstream) => upstream,
        Err(ExchangeError::NotSent(_)) => return AttemptResult::NotSent,
        Err(ExchangeError::Unanswered(_) | ExchangeError::Invalid(_)) => {
            return AttemptResult::Lost;
        }
    };
    let memory = cx.response_bodies.share();
    let mut result = upstream.exchange.read_within(MAX_RESPONSE_BYTES, memory).await;
    let pauses = cx.state.borrow().pauses;
    let was_paused = pauses.was_paused_since(upstream.sent_at, Instant::now());
    if result.is_ok() && is_cut_short(cx, endpoint, &upstream.exchange, was_paused).await {
        result = Err(ExchangeError::Unanswered("the endpoint is gone".to_owned()));
    }
    match result {
        Ok(body) => {
            let duration = upstream.sent_at.elapsed();
            if let Some(endpoint) = cx.state.borrow_mut().fleet.get_mut(endpoint) {
                endpoint.record_service_time(duration);
            }
            cx.metrics.sends.with_label_values(&["answered"]).inc();
            if upstream.kind == ResponseKind::Success && upstream.exchange.has_explicit_end() {
                cx.record_finished(call);
            }
            let head = upstream.exchange.head;
            AttemptResult::Responded(BufferedResponse {
                endpoint: upstream.name,
                kind: upstream.kind,
                head,
                body,
            })
        }
        Err(err) => {
            cx.record_broken_request(call, endpoint);
            cx.record_invalid_response(endpoint, &err);
            cx.metrics.sends.with_label_values(&["broken"]).inc();
            info!(cx.log, "response interrupted"; "call" => %call.id, "endpoint" => %upstream.name,
                "error" => %err);
            AttemptResult::Lost
        }
    }
}
