//! Serves a generation up to the head of its answer, and hands it to the pump.

use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_dispatch::{admission, plain};
use camphorloft_types::prelude::*;
use http::{Response, StatusCode};
use rand::Rng;
use slog::info;
use tokio::time::{sleep, timeout_at};

use crate::answer_body::AnswerBody;
use crate::boundary::{Registry, ResponseKind, Resume, Wire};
use crate::call::Call;
use crate::context::Host;
use crate::own_answer::own_answer;
use crate::sending::{SendPlan, Sent, send};
use crate::stream_pump::{Pump, Source};
use crate::upstream::ExchangeError;

/// Time between two looks for room; engines free it a few times a second.
const WAIT_STEP: Duration = Duration::from_millis(40);
/// Largest answer that is no stream, in bytes.
const MAX_FAILURE_BYTES: usize = 1 << 20;
/// Endpoints that are tried for one generation, those that could not be reached included.
const MAX_TRIED: usize = 5;
/// Time after which a caller should come back whose engine refused the generation: another host
/// and another engine take it at once.
const RETRY_AFTER_REFUSAL: Duration = Duration::from_millis(60);

/// A generation that looks for an engine.
pub struct Placing<W, R> {
    cx: Rc<Host<W, R>>,
    call: Rc<Call>,
    tried: Vec<EndpointIx>,
    sends: u32,
    /// True when an engine may have run it.
    may_have_run: bool,
    waited: bool,
}

/// Why no engine answered.
#[derive(Clone, Copy, Debug)]
struct GaveUp {
    status: StatusCode,
    reason: &'static str,
    retry_after: Option<Duration>,
}

/// Serves a generation.
pub async fn serve<W, R>(cx: Rc<Host<W, R>>, call: Rc<Call>) -> Response<AnswerBody>
where
    W: Wire,
    R: Registry,
{
    cx.state.borrow_mut().quota.record_request(&call.service().name, Instant::now());
    let mut placing =
        Placing { cx, call, tried: Vec::new(), sends: 0, may_have_run: false, waited: false };
    match placing.open(None).await {
        Ok(sent) if sent.kind == ResponseKind::Success => placing.begin_stream(sent),
        Ok(sent) => placing.pass_failure(sent).await,
        Err(gave_up) => placing.give_up(gave_up),
    }
}

impl<W, R> Placing<W, R>
where
    W: Wire,
    R: Registry,
{
    /// Builds the search for an engine for a generation that has begun elsewhere, was sent `sends`
    /// times and broke off at the endpoints in `tried`.
    pub fn resuming(
        cx: Rc<Host<W, R>>,
        call: Rc<Call>,
        tried: Vec<EndpointIx>,
        sends: u32,
    ) -> Self {
        Self { cx, call, tried, sends, may_have_run: true, waited: false }
    }

    /// Sends the generation to engines until one answers.
    async fn open(&mut self, resume: Option<Resume>) -> Result<Sent<W, R>, GaveUp> {
        let due_at = self.call.due_at.into();
        loop {
            let choice = self.place(resume.as_ref()).await?;
            self.tried.push(choice.endpoint);
            let plan = self.plan(&choice, resume.clone());
            let sent = timeout_at(due_at, send(&self.cx, &self.call, plan, None)).await;
            match sent {
                Err(_) => {
                    self.may_have_run = true;
                    return Err(self.timed_out());
                }
                Ok(Err(ExchangeError::NotSent(_))) => {}
                Ok(Err(ExchangeError::Unanswered(_))) => {
                    self.sends += 1;
                    self.may_have_run = true;
                    self.check_resend("broken_answer")?;
                }
                Ok(Ok(sent)) => {
                    self.sends += 1;
                    let result = match sent.kind {
                        ResponseKind::Success => return Ok(sent),
                        ResponseKind::NotRun { .. } => "refused_by_engine",
                        ResponseKind::Mismatched => {
                            self.may_have_run = true;
                            "foreign_answer"
                        }
                        ResponseKind::Failed => {
                            self.may_have_run = true;
                            if self.check_resend("failed").is_err() {
                                return Ok(sent);
                            }
                            continue;
                        }
                    };
                    self.cx.metrics.sends.with_label_values(&[result]).inc();
                    self.check_resend(result)?;
                }
            }
        }
    }

    /// Returns an error when the generation must not be sent again.
    fn check_resend(&mut self, reason: &'static str) -> Result<(), GaveUp> {
        let route = self.call.route();
        let now = Instant::now();
        let repeatable = route.retry_mode.is_retryable() || !self.may_have_run;
        let in_time = !self.call.left(now).is_zero();
        let allowed = repeatable && in_time && self.sends < route.max_sends;
        let service = &self.call.service().name;
        if allowed && self.cx.state.borrow_mut().quota.try_acquire(service, now) {
            return Ok(());
        }
        Err(self.gave_up(reason, RETRY_AFTER_REFUSAL))
    }

    fn gave_up(&self, reason: &'static str, wait: Duration) -> GaveUp {
        if self.may_have_run {
            return GaveUp { status: StatusCode::BAD_GATEWAY, reason, retry_after: None };
        }
        let jitter = 1.0 + self.cx.state.borrow_mut().rng.random::<f64>();
        let retry_after = Some(wait.mul_f64(jitter));
        GaveUp { status: StatusCode::SERVICE_UNAVAILABLE, reason, retry_after }
    }

    fn timed_out(&self) -> GaveUp {
        let status = match self.may_have_run {
            true => StatusCode::GATEWAY_TIMEOUT,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        GaveUp { status, reason: "timeout", retry_after: None }
    }

    /// Waits for an engine with room.
    async fn place(&mut self, resume: Option<&Resume>) -> Result<Choice, GaveUp> {
        loop {
            let now = Instant::now();
            if self.tried.len() >= MAX_TRIED {
                return Err(self.gave_up("no_endpoint", RETRY_AFTER_REFUSAL));
            }
            match self.admit(resume, now) {
                Admission::Start(choice) => {
                    self.log_choice(&choice);
                    return Ok(choice);
                }
                Admission::Refuse { reason: RefuseReason::NoEndpoint, retry_after } => {
                    return Err(self.gave_up("no_endpoint", retry_after));
                }
                Admission::Refuse { reason: RefuseReason::NoCapacity, retry_after } => {
                    return Err(self.gave_up("no_room", retry_after));
                }
                Admission::Wait => {
                    if !self.waited {
                        self.waited = true;
                        info!(self.cx.log, "generation waits for room"; "call" => %self.call.id,
                            "route" => %self.call.route().name);
                    }
                    sleep(WAIT_STEP.min(self.call.left(now))).await;
                }
            }
            if self.call.left(Instant::now()).is_zero() {
                return Err(self.timed_out());
            }
        }
    }

    fn admit(&self, resume: Option<&Resume>, now: Instant) -> Admission {
        let call = &self.call;
        let service = call.service();
        let mut guard = self.cx.state.borrow_mut();
        let state = &mut *guard;
        let Some(spec) = &service.engine else {
            let choice =
                plain::choose(&state.fleet, &service.name, &self.tried, now, &mut state.rng);
            return match choice {
                Some(choice) => Admission::Start(choice),
                None => Admission::Refuse {
                    reason: RefuseReason::NoEndpoint,
                    retry_after: RETRY_AFTER_REFUSAL,
                },
            };
        };
        let need = self.need(resume, spec.tokens_per_event);
        let begun = (call.arrived_at, call.route().latency_objective);
        let pool = Pool { fleet: &state.fleet, service: &service.name, spec };
        admission::admit(&pool, &need, &self.tried, begun, now, &mut state.rng)
    }

    fn need(&self, resume: Option<&Resume>, tokens_per_event: u32) -> TokenDemand {
        let made = resume.map_or(0, |resume| resume.after as u32 * tokens_per_event);
        let held = self.call.generation.prompt.0 + made;
        let expected = self.call.expected_tokens().saturating_sub(made).max(tokens_per_event);
        TokenDemand { kv_tokens: held, prefill_tokens: held, expected }
    }

    fn plan(&self, choice: &Choice, resume: Option<Resume>) -> SendPlan {
        let engine = self.call.service().engine.as_ref();
        let tokens_per_event = engine.map_or(1, |engine| engine.tokens_per_event);
        let need = self.need(resume.as_ref(), tokens_per_event);
        let work = match engine {
            Some(_) => RunWork::Generation {
                kv_tokens: need.kv_tokens,
                prefill_tokens: need.prefill_tokens,
                expected: need.expected,
                generated: 0,
            },
            None => RunWork::Plain,
        };
        let rank = engine.map(|_| self.call.engine_rank());
        SendPlan { endpoint: choice.endpoint, work, rank, resume }
    }

    fn log_choice(&self, choice: &Choice) {
        let state = self.cx.state.borrow();
        let name = state.fleet.get(choice.endpoint).map(|e| e.entry.name.to_string());
        info!(self.cx.log, "generation placed"; "call" => %self.call.id,
            "route" => %self.call.route().name, "endpoint" => name,
            "attempt" => self.tried.len() + 1, "version" => %self.call.serving.version,
            "cost_ms" => choice.cost_ms.round(), "fill" => (choice.fill * 100.0).round() / 100.0,
            "unread" => choice.prefill_tokens, "sequences" => choice.sequences,
            "report_age_ms" => choice.report_age.map(|age| age.as_millis() as u64),
            "failure_share" => (choice.failure_rate * 100.0).round() / 100.0,
            "compared" => choice.compared, "unusable" => choice.unusable,
            "waited_ms" => self.call.arrived_at.elapsed().as_millis() as u64);
    }

    fn begin_stream(self, sent: Sent<W, R>) -> Response<AnswerBody> {
        let (tx, body) = AnswerBody::stream();
        let mut response = Response::new(body);
        *response.status_mut() = sent.exchange.head.status;
        *response.headers_mut() = self.cx.wire.client_headers(&sent.exchange.head);
        let pump = Pump::new(self.cx, self.call, Source::from(sent), tx);
        tokio::task::spawn_local(pump.run());
        response
    }

    /// Passes on an engine's own failure.
    async fn pass_failure(self, mut sent: Sent<W, R>) -> Response<AnswerBody> {
        let status = sent.exchange.head.status;
        let body = sent.exchange.read_to_end(MAX_FAILURE_BYTES).await;
        let (false, Ok(body)) = (self.cx.wire.guarantees_not_run(status), body) else {
            return self.give_up(GaveUp {
                status: StatusCode::BAD_GATEWAY,
                reason: "failed",
                retry_after: None,
            });
        };
        self.log_end(Outcome::Unknown, status, "endpoint");
        let mut response = Response::new(AnswerBody::whole(body));
        *response.status_mut() = status;
        *response.headers_mut() = self.cx.wire.client_headers(&sent.exchange.head);
        response
    }

    fn give_up(&self, gave_up: GaveUp) -> Response<AnswerBody> {
        let outcome = if self.may_have_run { Outcome::Unknown } else { Outcome::NotRun };
        if outcome == Outcome::NotRun {
            self.cx.metrics.refusals.with_label_values(&[gave_up.reason]).inc();
        }
        self.log_end(outcome, gave_up.status, gave_up.reason);
        own_answer(gave_up.status, outcome, gave_up.reason, gave_up.retry_after)
    }

    fn log_end(&self, outcome: Outcome, status: StatusCode, reason: &str) {
        let kind = self.call.route().retry_mode.to_string();
        self.cx.metrics.requests.with_label_values(&[kind.as_str(), outcome.as_str()]).inc();
        info!(self.cx.log, "generation not served"; "call" => %self.call.id,
            "route" => %self.call.route().name, "outcome" => %outcome,
            "status" => status.as_u16(), "reason" => reason, "sends" => self.sends,
            "took_ms" => self.call.arrived_at.elapsed().as_millis() as u64);
    }

    /// Sends a generation that broke off on to another engine. Returns its answer when that goes
    /// on with the stream.
    pub async fn reopen(mut self, after: u64) -> Option<Sent<W, R>> {
        self.check_resend("broken_stream").ok()?;
        let sent = self.open(Some(Resume { after, copy: None })).await.ok()?;
        (sent.kind == ResponseKind::Success).then_some(sent)
    }
}
