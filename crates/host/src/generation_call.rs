//! Places a generation on an engine and starts the relay of its event stream.

use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_dispatch::{admission, plain};
use camphorloft_serving::prelude::Residency;
use camphorloft_types::prelude::*;
use http::{Response, StatusCode};
use rand::Rng;
use slog::info;
use tokio::time::{sleep, sleep_until};

use crate::boundary::{EnginePriority, Registry, ResponseKind, Resume, Wire};
use crate::call::Call;
use crate::context::Host;
use crate::local_response::local_response;
use crate::queued_request::QueuedRequest;
use crate::response_body::ResponseBody;
use crate::response_end::DRAINING_RETRY_AFTER;
use crate::sending::{SendPlan, SendReservation, UpstreamResponse, send};
use crate::speed_observation::logged_speed;
use crate::stream_buffer::StreamBuffer;
use crate::stream_continuation::ContinuationError;
use crate::stream_relay::{Source, StreamRelay};
use crate::upstream::ExchangeError;

/// Interval between admission attempts while waiting. Capacity is freed a few times per second.
const ADMISSION_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum size of a failure response, which is not a stream, in bytes.
const MAX_FAILURE_BYTES: usize = 1 << 20;
/// Maximum number of endpoints tried for one generation, including those that were unreachable.
const MAX_ENDPOINTS_TRIED: usize = 5;
/// Base retry delay sent when engines refused the generation. It is short because the retry is
/// usually accepted at once through another host and engine.
const RETRY_AFTER_REFUSAL: Duration = Duration::from_millis(60);

/// Places a generation on an engine, with retries.
pub struct Placement<W, R> {
    cx: Rc<Host<W, R>>,
    call: Rc<Call>,
    /// When the placement became necessary: the arrival of the call, or the interruption of its stream.
    since: Instant,
    tried: Vec<EndpointIx>,
    /// Software version that must continue the stream; `None` if it starts anew.
    software: Option<SoftwareVersion>,
    sends: u32,
    /// Number of sends that did not succeed and may have run.
    failed_runs: u32,
    /// Whether an engine may have run it.
    may_have_run: bool,
    wait_logged: bool,
    /// Regions in which it may be processed, as of the last attempt to place it.
    residency: Residency,
}

/// Reason that a generation was not placed, and the response to send.
#[derive(Clone, Copy, Debug)]
struct PlacementFailure {
    status: StatusCode,
    reason: &'static str,
    retry_after: Option<Duration>,
}

/// Serves a generation.
pub async fn serve<W, R>(cx: Rc<Host<W, R>>, call: Rc<Call>) -> Response<ResponseBody>
where
    W: Wire,
    R: Registry,
{
    cx.state.borrow_mut().quota.record_request(&call.service().name, Instant::now());
    let mut placement = Placement {
        cx,
        since: call.arrived_at,
        call,
        tried: Vec::new(),
        software: None,
        sends: 0,
        failed_runs: 0,
        may_have_run: false,
        wait_logged: false,
        residency: Residency::UNRESTRICTED,
    };
    match placement.cx.required_software(&placement.call).await {
        Ok(software) => placement.software = software,
        Err(ContinuationError::UnknownVersion) => {
            info!(placement.cx.log, "software version of a stream not known";
                "call" => %placement.call.id, "resumes" => call_name(&placement.call.resumes),
                "after_event" => %placement.call.last_event());
            let failure = placement.failure("stream_version_unknown", RETRY_AFTER_REFUSAL);
            return placement.respond_failure(failure);
        }
    }
    match placement.send(None).await {
        Ok(upstream) if upstream.kind == ResponseKind::Success => placement.start_stream(upstream),
        Ok(upstream) => placement.forward_failure(upstream).await,
        Err(failure) => placement.respond_failure(failure),
    }
}

impl<W, R> Placement<W, R>
where
    W: Wire,
    R: Registry,
{
    /// Builds the placement of a generation that was interrupted and is to be resumed. It was sent
    /// `sends` times, `tried` lists the endpoints to avoid, and `software` is the version that began the
    /// stream, if it has begun.
    pub fn resuming(
        cx: Rc<Host<W, R>>,
        call: Rc<Call>,
        tried: Vec<EndpointIx>,
        software: Option<SoftwareVersion>,
        sends: u32,
    ) -> Self {
        let since = Instant::now();
        Self {
            cx,
            call,
            since,
            tried,
            software,
            sends,
            failed_runs: sends,
            may_have_run: true,
            wait_logged: false,
            residency: Residency::UNRESTRICTED,
        }
    }

    /// Sends the generation to one engine after another until one responds or no retry is allowed.
    async fn send(
        &mut self,
        resume: Option<Resume>,
    ) -> Result<UpstreamResponse<W, R>, PlacementFailure> {
        loop {
            let (choice, reservation) = self.place_in_time(resume.as_ref()).await?;
            self.tried.push(choice.endpoint);
            let send_plan = self.send_plan(&choice, reservation, resume.clone());
            let sending = send(&self.cx, &self.call, send_plan, None);
            match self.cx.within_response(&self.call, sending).await {
                None => {
                    self.may_have_run = true;
                    return Err(self.timed_out());
                }
                Some(Err(ExchangeError::NotSent(_))) => {}
                Some(Err(ExchangeError::Unanswered(_) | ExchangeError::Invalid(_))) => {
                    self.sends += 1;
                    self.record_failed_run();
                    self.check_retry("broken_answer")?;
                }
                Some(Ok(upstream)) => {
                    self.sends += 1;
                    let result = match upstream.kind {
                        ResponseKind::Success => return Ok(upstream),
                        ResponseKind::NotRun { .. } => "refused_by_engine",
                        ResponseKind::Mismatched => {
                            self.record_failed_run();
                            "foreign_answer"
                        }
                        ResponseKind::Failed => {
                            self.record_failed_run();
                            if self.check_retry("failed").is_err() {
                                return Ok(upstream);
                            }
                            continue;
                        }
                    };
                    self.cx.metrics.sends.with_label_values(&[result]).inc();
                    self.check_retry(result)?;
                }
            }
        }
    }

    fn record_failed_run(&mut self) {
        self.failed_runs += 1;
        self.may_have_run = true;
    }

    /// Returns an error if the generation must not be sent again.
    fn check_retry(&mut self, reason: &'static str) -> Result<(), PlacementFailure> {
        let route = self.call.route();
        let now = Instant::now();
        let retryable = match self.may_have_run {
            true => route.retry_mode.is_retryable() && self.cx.may_resend(&self.call),
            false => true,
        };
        let in_time = !self.cx.time_left(&self.call, now).is_zero();
        let allowed = retryable && in_time && self.sends < route.max_sends;
        let service = &self.call.service().name;
        if allowed && self.cx.state.borrow_mut().quota.try_acquire(service, now) {
            return Ok(());
        }
        Err(self.failure(reason, RETRY_AFTER_REFUSAL))
    }

    fn failure(&self, reason: &'static str, retry_after: Duration) -> PlacementFailure {
        if self.may_have_run {
            return PlacementFailure { status: StatusCode::BAD_GATEWAY, reason, retry_after: None };
        }
        let jitter = 1.0 + self.cx.state.borrow_mut().rng.random::<f64>();
        let retry_after = Some(retry_after.mul_f64(jitter));
        PlacementFailure { status: StatusCode::SERVICE_UNAVAILABLE, reason, retry_after }
    }

    fn refuse(&self, refusal: ResidencyRefusal) -> PlacementFailure {
        let failure = self.failure(refusal.as_str(), Duration::ZERO);
        PlacementFailure { retry_after: failure.retry_after.and(refusal.retry_after()), ..failure }
    }

    fn timed_out(&self) -> PlacementFailure {
        let status = match self.may_have_run {
            true => StatusCode::GATEWAY_TIMEOUT,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        PlacementFailure { status, reason: "timeout", retry_after: None }
    }

    /// Waits for an engine with capacity. A generation that has not begun is refused when the host
    /// drains and may end before it.
    async fn place_in_time(
        &mut self,
        resume: Option<&Resume>,
    ) -> Result<(Choice, SendReservation<W, R>), PlacementFailure> {
        if self.may_have_run {
            return self.place(resume).await;
        }
        let (cx, call) = (self.cx.clone(), self.call.clone());
        let placed = tokio::select! {
            biased;
            () = cx.wait_until_too_late(&call) => None,
            placed = self.place(resume) => Some(placed),
        };
        match placed {
            Some(placed) => placed,
            None if self.cx.time_left(&self.call, Instant::now()).is_zero() => {
                Err(self.timed_out())
            }
            None => Err(self.failure("draining", DRAINING_RETRY_AFTER)),
        }
    }

    /// Waits for an engine with capacity.
    async fn place(
        &mut self,
        resume: Option<&Resume>,
    ) -> Result<(Choice, SendReservation<W, R>), PlacementFailure> {
        loop {
            let now = Instant::now();
            self.residency = self.cx.residency(&self.call);
            let service = &self.call.service().name;
            if let Err(refusal) = self.cx.check_residency(service, &self.residency) {
                return Err(self.refuse(refusal));
            }
            if self.cx.crashes_endpoints(&self.call) {
                let failure = self.failure("crashes_endpoints", Duration::ZERO);
                return Err(PlacementFailure { retry_after: None, ..failure });
            }
            if self.tried.len() >= MAX_ENDPOINTS_TRIED {
                return Err(self.failure("no_endpoint", RETRY_AFTER_REFUSAL));
            }
            let (admission, reservation) = match self.call.service().engine {
                Some(_) if self.cx.settings.prioritised => {
                    self.admit_from_queue(resume, now).await?
                }
                _ => (self.admit(resume, now), None),
            };
            match admission {
                Admission::Start(choice) => {
                    let reservation =
                        reservation.unwrap_or_else(|| SendReservation::new(&self.cx, &choice));
                    self.log_placement(&choice);
                    // The generation may have waited in the queue until the choice.
                    sleep_until((Instant::now() + choice.delay).into()).await;
                    return Ok((choice, reservation));
                }
                Admission::Refuse { reason, retry_after } => {
                    return Err(self.failure(reason.as_str(), retry_after));
                }
                Admission::Wait => {
                    self.log_wait();
                    sleep(ADMISSION_INTERVAL.min(self.cx.time_left(&self.call, now))).await;
                }
            }
            if self.cx.time_left(&self.call, Instant::now()).is_zero() {
                return Err(self.timed_out());
            }
        }
    }

    /// Waits in the queue of the service until the generation is admitted or refused.
    async fn admit_from_queue(
        &mut self,
        resume: Option<&Resume>,
        now: Instant,
    ) -> Result<(Admission, Option<SendReservation<W, R>>), PlacementFailure> {
        let tokens_per_event =
            self.call.service().engine.as_ref().map_or(1, |engine| engine.tokens_per_event);
        let demand = self.token_demand(resume, tokens_per_event);
        let in_some_regions = !self.cx.residency(&self.call).is_unrestricted();
        let work = QueuedWork {
            resumes: resume.is_some(),
            priority: self.call.priority(),
            organisation: self.call.organisation_name().cloned(),
            arrived_at: self.since,
            objective: self.call.route().latency_objective,
            deadline: self.call.deadline,
            demand,
            first_event: demand.prefill_time(),
            duration: demand.busy_duration(),
            body_bytes: self.call.body.len() as u64,
            is_restricted: in_some_regions || !self.tried.is_empty() || self.software.is_some(),
        };
        let software = self.software.as_ref();
        let queued = QueuedRequest::enter(&self.cx, &self.call, work, &self.tried, software);
        if !queued.is_decided() {
            self.log_wait();
        }
        let (admission, reservation) = queued.decision().await.ok_or_else(|| self.timed_out())?;
        // The request may have been found to crash endpoints meanwhile.
        if now.elapsed() > ADMISSION_INTERVAL && self.cx.crashes_endpoints(&self.call) {
            let failure = self.failure("crashes_endpoints", Duration::ZERO);
            return Err(PlacementFailure { retry_after: None, ..failure });
        }
        Ok((admission, reservation))
    }

    fn log_wait(&mut self) {
        if !self.wait_logged {
            self.wait_logged = true;
            let (queued, urgent_elsewhere) = self.cx.queue_of(&self.call.service().name);
            info!(self.cx.log, "generation waiting for capacity";
                "call" => %self.call.id, "route" => %self.call.route().name,
                "priority" => self.call.priority(), "queued" => queued,
                "urgent_elsewhere" => urgent_elsewhere);
        }
    }

    fn admit(&self, resume: Option<&Resume>, now: Instant) -> Admission {
        let call = &self.call;
        let service = call.service();
        let mut guard = self.cx.state.borrow_mut();
        let state = &mut *guard;
        let candidates = Candidates {
            tried: &self.tried,
            software: self.software.as_ref(),
            residency: &self.residency,
            max_delay: Duration::ZERO,
        };
        let Some(spec) = &service.engine else {
            let name = &service.name;
            let choice = plain::choose(&state.fleet, name, &candidates, now, &mut state.rng);
            let limited_for = state.fleet.limited_for(name, &candidates, now);
            return match (choice, limited_for) {
                (Some(choice), _) => Admission::Start(choice),
                (None, Some(retry_after)) => {
                    Admission::Refuse { reason: RefuseReason::Limited, retry_after }
                }
                (None, None) => Admission::Refuse {
                    reason: RefuseReason::NoEndpoint,
                    retry_after: RETRY_AFTER_REFUSAL,
                },
            };
        };
        let demand = self.token_demand(resume, spec.tokens_per_event);
        let arrival = (self.since, call.route().latency_objective);
        let pool = Pool { fleet: &state.fleet, service: &service.name, spec };
        admission::admit(&pool, &demand, &candidates, arrival, now, &mut state.rng)
    }

    fn token_demand(&self, resume: Option<&Resume>, tokens_per_event: u32) -> TokenDemand {
        let events = resume.map_or(0, |resume| u32::try_from(resume.events).unwrap_or(u32::MAX));
        let generated = events.saturating_mul(tokens_per_event);
        let context_tokens = self.call.generation.prompt.0.saturating_add(generated);
        let expected = self.call.expected_tokens().saturating_sub(generated).max(tokens_per_event);
        TokenDemand { kv_tokens: context_tokens, prefill_tokens: context_tokens, expected }
    }

    fn send_plan(
        &self,
        choice: &Choice,
        reservation: SendReservation<W, R>,
        resume: Option<Resume>,
    ) -> SendPlan<W, R> {
        let engine = self.call.service().engine.as_ref();
        let tokens_per_event = engine.map_or(1, |engine| engine.tokens_per_event);
        let demand = self.token_demand(resume.as_ref(), tokens_per_event);
        let work = match engine {
            Some(_) => RunWork::Generation {
                kv_tokens: demand.kv_tokens,
                prefill_tokens: demand.prefill_tokens,
                expected: demand.expected,
                generated: 0,
            },
            None => RunWork::Plain,
        };
        let priority = engine.map(|_| self.engine_priority(resume.is_some()));
        SendPlan {
            endpoint: choice.endpoint,
            reservation: Some(reservation),
            work,
            priority,
            resume,
        }
    }

    /// Returns the preemption priority. If hosts queue by priority, a generation that was interrupted is
    /// not interrupted again, and one that is late anyway is interrupted before those in time.
    fn engine_priority(&self, resumes: bool) -> EnginePriority {
        let objective = self.call.route().latency_objective;
        let is_late = !objective.is_zero() && self.since.elapsed() > objective;
        match (self.cx.settings.prioritised, resumes, is_late) {
            (true, true, _) => EnginePriority::Resumed,
            (true, false, true) => EnginePriority::Late,
            _ => self.call.engine_priority(),
        }
    }

    fn log_placement(&self, choice: &Choice) {
        let state = self.cx.state.borrow();
        let endpoint = state.fleet.get(choice.endpoint);
        let name = endpoint.map(|e| e.entry.name.to_string());
        let limit = endpoint.and_then(|e| e.request_limit.rate(Instant::now()));
        let speed = logged_speed(choice, endpoint);
        let software = endpoint.and_then(|e| e.entry.software.as_ref().map(ToString::to_string));
        info!(self.cx.log, "generation placed"; "call" => %self.call.id,
            "limit_per_s" => limit.map(RequestRate::per_second),
            "route" => %self.call.route().name, "endpoint" => name,
            "parts" => self.call.parts_text(),
            "software" => software, "resumes" => call_name(&self.call.resumes),
            "after_event" => %self.call.last_event(),
            "attempt" => self.tried.len() + 1, "version" => %self.call.serving.version,
            "cost_ms" => choice.cost_ms.round(), "fill" => (choice.fill * 100.0).round() / 100.0,
            "unread" => choice.prefill_tokens, "sequences" => choice.sequences,
            "slowness_percent" => speed.slowness_percent, "stated_age_ms" => speed.stated_age_ms,
            "gap_ms" => speed.gap_ms, "delay_ms" => choice.delay.as_millis() as u64,
            "regions" => self.residency.log_text(),
            "report_age_ms" => choice.report_age.map(|age| age.as_millis() as u64),
            "failure_share" => (choice.failure_rate * 100.0).round() / 100.0,
            "compared" => choice.compared, "unusable" => choice.unusable,
            "waited_ms" => self.call.arrived_at.elapsed().as_millis() as u64);
    }

    fn start_stream(self, upstream: UpstreamResponse<W, R>) -> Response<ResponseBody> {
        let buffer =
            self.cx.settings.prioritised.then(|| StreamBuffer::new(&self.cx.stream_memory));
        let (tx, body) = match &buffer {
            Some(buffer) => ResponseBody::buffered_stream(buffer.clone()),
            None => ResponseBody::stream(),
        };
        let mut response = Response::new(body);
        *response.status_mut() = upstream.exchange.head.status;
        *response.headers_mut() = self.cx.wire.client_headers(&upstream.exchange.head);
        let source = Source::from(upstream);
        let begun = (self.software, self.failed_runs);
        let relay = StreamRelay::new(self.cx, self.call, source, begun, (tx, buffer));
        tokio::task::spawn_local(relay.run());
        response
    }

    /// Forwards the failure response of an engine.
    async fn forward_failure(self, mut upstream: UpstreamResponse<W, R>) -> Response<ResponseBody> {
        let status = upstream.exchange.head.status;
        let memory = self.cx.response_bodies.share();
        let body = upstream.exchange.read_within(MAX_FAILURE_BYTES, memory);
        let body = self.cx.within_response(&self.call, body).await;
        if let Some(Err(err)) = &body {
            self.cx.record_invalid_response(upstream.guard.endpoint, err);
        }
        let (false, Some(Ok(body))) = (self.cx.wire.guarantees_not_run(status), body) else {
            return self.respond_failure(PlacementFailure {
                status: StatusCode::BAD_GATEWAY,
                reason: "failed",
                retry_after: None,
            });
        };
        self.log_end(Outcome::Unknown, status, "endpoint");
        let mut response = Response::new(ResponseBody::full(body));
        *response.status_mut() = status;
        *response.headers_mut() = self.cx.wire.client_headers(&upstream.exchange.head);
        response
    }

    fn respond_failure(&self, failure: PlacementFailure) -> Response<ResponseBody> {
        let outcome = if self.may_have_run { Outcome::Unknown } else { Outcome::NotRun };
        if outcome == Outcome::NotRun {
            self.cx.metrics.refusals.with_label_values(&[failure.reason]).inc();
        }
        self.log_end(outcome, failure.status, failure.reason);
        local_response(failure.status, outcome, failure.reason, failure.retry_after)
    }

    fn log_end(&self, outcome: Outcome, status: StatusCode, reason: &str) {
        let kind = self.call.route().retry_mode.to_string();
        self.cx.metrics.requests.with_label_values(&[kind.as_str(), outcome.as_str()]).inc();
        info!(self.cx.log, "generation not served"; "call" => %self.call.id,
            "route" => %self.call.route().name, "outcome" => %outcome,
            "status" => status.as_u16(), "reason" => reason, "sends" => self.sends,
            "regions" => self.residency.log_text(),
            "took_ms" => self.call.arrived_at.elapsed().as_millis() as u64);
    }

    /// Resumes an interrupted generation on another engine. Returns the response if the engine continues
    /// the stream, and the number of sends that may have run before.
    pub async fn resume(mut self, resume: Resume) -> Option<(UpstreamResponse<W, R>, u32)> {
        self.check_retry("broken_stream").ok()?;
        let upstream = self.send(Some(resume)).await.ok()?;
        (upstream.kind == ResponseKind::Success).then_some((upstream, self.failed_runs))
    }
}

/// Returns the name of the attempt in which a stream began, for the log.
fn call_name(call: &Option<CallId>) -> Option<String> {
    call.as_ref().map(ToString::to_string)
}
