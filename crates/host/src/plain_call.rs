//! Serves a call of a plain service.
//!
//! The whole answer is read before the caller sees any of it, so that a call that may be repeated
//! can go to another endpoint when the first one breaks off, and a caller is told a clear failure
//! otherwise.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use camphorloft_dispatch::plain;
use camphorloft_dispatch::prelude::*;
use camphorloft_types::prelude::*;
use http::{Response, StatusCode, response};
use rand::Rng;
use slog::info;
use tokio::task::JoinSet;
use tokio::time::sleep_until;

use crate::answer_body::AnswerBody;
use crate::boundary::{Registry, ResponseKind, Wire};
use crate::call::Call;
use crate::context::Host;
use crate::own_answer::own_answer;
use crate::sending::{SendPlan, broke_off, connect_to, send};
use crate::upstream::ExchangeError;

/// Largest answer of a plain service, in bytes. Answers of today's services are a thousandth of it.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Endpoints to which a connection is tried for one call.
const MAX_CONNECTS: usize = 4;
/// Part of the time to be on time after which a call that may be repeated goes to a second
/// endpoint as well.
const HEDGE_PART: f64 = 0.6;
/// Part of the timeout that replaces it where a route names no such time.
const HEDGE_TIMEOUT_PART: f64 = 0.3;
/// Time after which a refused caller should come back: several calls end on each endpoint in it.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// An answer that was read whole.
#[derive(Debug)]
struct WholeAnswer {
    endpoint: EndpointName,
    kind: ResponseKind,
    head: response::Parts,
    body: Bytes,
}

/// How an attempt ended.
#[derive(Debug)]
enum Attempted {
    Answered(WholeAnswer),
    /// No connection was made.
    NotSent,
    /// It may have run.
    Lost,
}

/// The attempts of one call.
struct Attempts<W, R> {
    cx: Rc<Host<W, R>>,
    call: Rc<Call>,
    running: JoinSet<(usize, Attempted)>,
    tried: Vec<EndpointIx>,
    /// For each attempt, whether it was sent and its end is not known.
    unresolved: Vec<Rc<Cell<bool>>>,
    /// Attempts that were sent.
    sends: u32,
    /// The last failure that an endpoint itself answered.
    failure: Option<WholeAnswer>,
    lost: bool,
}

/// Serves a call.
pub async fn serve<W, R>(cx: Rc<Host<W, R>>, call: Rc<Call>) -> Response<AnswerBody>
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
        failure: None,
        lost: false,
    };
    match attempts.run().await {
        Some(answer) => attempts.pass_on(answer),
        None => attempts.give_up(),
    }
}

impl<W, R> Attempts<W, R>
where
    W: Wire,
    R: Registry,
{
    /// Runs attempts until one succeeds or no further one may start.
    async fn run(&mut self) -> Option<WholeAnswer> {
        let due_at = self.call.due_at.into();
        let mut hedge_at = Instant::now() + self.hedge_delay();
        self.start();
        while !self.running.is_empty() {
            let may_hedge = self.running.len() == 1 && self.may_send_again();
            tokio::select! {
                ended = self.running.join_next() => {
                    let Some(Ok((attempt, ended))) = ended else { continue };
                    if let Some(answer) = self.take(attempt, ended) {
                        return Some(answer);
                    }
                    if self.running.is_empty() {
                        self.start();
                    }
                }
                () = sleep_until(hedge_at.into()), if may_hedge => {
                    hedge_at = self.call.due_at;
                    self.mark_overdue();
                    self.start();
                }
                () = sleep_until(due_at) => {
                    self.mark_overdue();
                    return None;
                }
            }
        }
        None
    }

    fn hedge_delay(&self) -> Duration {
        let route = self.call.route();
        if route.latency_objective.is_zero() {
            return route.timeout.mul_f64(HEDGE_TIMEOUT_PART);
        }
        route.latency_objective.mul_f64(HEDGE_PART)
    }

    fn may_send_again(&self) -> bool {
        let route = self.call.route();
        let repeatable = route.retry_mode.is_retryable() || !self.lost && !self.is_unresolved();
        repeatable && self.sends < route.max_sends
    }

    /// Returns true when an attempt was sent and its end is not known.
    fn is_unresolved(&self) -> bool {
        self.unresolved.iter().any(|attempt| attempt.get())
    }

    /// Starts an attempt if one more may be sent.
    fn start(&mut self) {
        if !self.may_send_again() || self.tried.len() >= MAX_CONNECTS {
            return;
        }
        let now = Instant::now();
        let service = &self.call.service().name;
        let choice = {
            let mut guard = self.cx.state.borrow_mut();
            let state = &mut *guard;
            let choice = plain::choose(&state.fleet, service, &self.tried, now, &mut state.rng);
            let Some(choice) = choice else { return };
            if self.sends > 0 && !state.quota.try_acquire(service, now) {
                info!(self.cx.log, "resend quota exhausted"; "call" => %self.call.id,
                    "service" => %service);
                return;
            }
            choice
        };
        self.log_choice(&choice);
        self.tried.push(choice.endpoint);
        self.sends += 1;
        let unresolved = Rc::new(Cell::new(false));
        self.unresolved.push(unresolved.clone());
        let (cx, call, attempt) = (self.cx.clone(), self.call.clone(), self.tried.len() - 1);
        self.running.spawn_local(async move {
            (attempt, run_attempt(&cx, &call, choice.endpoint, &unresolved).await)
        });
    }

    fn log_choice(&self, choice: &Choice) {
        let state = self.cx.state.borrow();
        let name = state.fleet.get(choice.endpoint).map(|e| e.entry.name.to_string());
        info!(self.cx.log, "call placed"; "call" => %self.call.id,
            "route" => %self.call.route().name, "endpoint" => name, "attempt" => self.tried.len(),
            "version" => %self.call.serving.version, "cost_ms" => choice.cost_ms.round(),
            "failure_share" => (choice.failure_rate * 100.0).round() / 100.0,
            "compared" => choice.compared, "unusable" => choice.unusable);
    }

    /// Takes the end of an attempt. Returns the answer to pass on if it is a success.
    fn take(&mut self, attempt: usize, ended: Attempted) -> Option<WholeAnswer> {
        match ended {
            Attempted::Answered(answer) => {
                self.unresolved[attempt].set(false);
                match answer.kind {
                    ResponseKind::Success => return Some(answer),
                    ResponseKind::Failed => {
                        self.lost = true;
                        self.failure = Some(answer);
                    }
                    ResponseKind::NotRun { .. } => {}
                    ResponseKind::Mismatched => self.lost = true,
                }
            }
            Attempted::NotSent => {
                self.unresolved[attempt].set(false);
                self.sends -= 1;
            }
            Attempted::Lost => {
                self.unresolved[attempt].set(false);
                self.lost = true;
            }
        }
        None
    }

    /// Counts the answers that are overdue against their endpoints, so that others avoid them.
    fn mark_overdue(&mut self) {
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

    fn pass_on(&self, answer: WholeAnswer) -> Response<AnswerBody> {
        let took = self.call.arrived_at.elapsed();
        let outcome = match answer.kind {
            ResponseKind::Success => Outcome::Completed,
            _ => Outcome::Unknown,
        };
        self.cx.metrics.observe_response("call", took);
        self.log_end(outcome, answer.head.status, "endpoint", Some(&answer.endpoint));
        let mut response = Response::new(AnswerBody::whole(answer.body));
        *response.status_mut() = answer.head.status;
        *response.headers_mut() = self.cx.wire.client_headers(&answer.head);
        response
    }

    /// Answers a call that no endpoint completed.
    fn give_up(&mut self) -> Response<AnswerBody> {
        if let Some(failure) = self.failure.take()
            && !self.cx.wire.guarantees_not_run(failure.head.status)
        {
            return self.pass_on(failure);
        }
        if self.lost || self.is_unresolved() {
            let (status, reason) = match self.call.left(Instant::now()).is_zero() {
                true => (StatusCode::GATEWAY_TIMEOUT, "timeout"),
                false => (StatusCode::BAD_GATEWAY, "broken_answer"),
            };
            self.log_end(Outcome::Unknown, status, reason, None);
            return own_answer(status, Outcome::Unknown, reason, None);
        }
        let reason = if self.tried.is_empty() { "no_endpoint" } else { "refused_by_endpoints" };
        let wait = RETRY_AFTER.mul_f64(1.0 + self.cx.state.borrow_mut().rng.random::<f64>());
        let status = StatusCode::SERVICE_UNAVAILABLE;
        self.cx.metrics.refusals.with_label_values(&[reason]).inc();
        self.log_end(Outcome::NotRun, status, reason, None);
        own_answer(status, Outcome::NotRun, reason, Some(wait))
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
            "took_ms" => self.call.arrived_at.elapsed().as_millis() as u64);
    }
}

/// Sends a call to one endpoint and reads its whole answer.
async fn run_attempt<W, R>(
    cx: &Rc<Host<W, R>>,
    call: &Call,
    endpoint: EndpointIx,
    unresolved: &Cell<bool>,
) -> Attempted
where
    W: Wire,
    R: Registry,
{
    let Ok(connected) = connect_to(cx, endpoint, call.left(Instant::now())).await else {
        return Attempted::NotSent;
    };
    unresolved.set(true);
    let plan = SendPlan { endpoint, work: RunWork::Plain, rank: None, resume: None };
    let mut sent = match send(cx, call, plan, Some(connected)).await {
        Ok(sent) => sent,
        Err(ExchangeError::NotSent(_)) => return Attempted::NotSent,
        Err(ExchangeError::Unanswered(_)) => return Attempted::Lost,
    };
    match sent.exchange.read_to_end(MAX_ANSWER_BYTES).await {
        Ok(body) => {
            let took = sent.sent_at.elapsed();
            if let Some(endpoint) = cx.state.borrow_mut().fleet.get_mut(endpoint) {
                endpoint.record_service_time(took);
            }
            cx.metrics.sends.with_label_values(&["answered"]).inc();
            let head = sent.exchange.head;
            Attempted::Answered(WholeAnswer { endpoint: sent.name, kind: sent.kind, head, body })
        }
        Err(err) => {
            broke_off(cx, call, endpoint);
            cx.metrics.sends.with_label_values(&["broken"]).inc();
            info!(cx.log, "answer broke off"; "call" => %call.id, "endpoint" => %sent.name,
                "error" => %err);
            Attempted::Lost
        }
    }
}
