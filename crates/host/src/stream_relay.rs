//! Relays the events of a generation to its client. [`crate::stream_forwarding`] forwards the events, and
//! [`crate::stream_migration`] migrates the generation when its engine is draining.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use camphorloft_dispatch::prelude::*;
use camphorloft_dispatch::stall_clock::StallClock;
use camphorloft_types::prelude::*;
use slog::info;
use tokio::sync::watch;
use tokio::time::sleep_until;

use crate::boundary::{Registry, Resume, Wire};
use crate::call::Call;
use crate::connecting::is_cut_short;
use crate::context::Host;
use crate::event_order::EventOrder;
use crate::event_splitter::EventSplitter;
use crate::gap_window::GapWindow;
use crate::generation_call::Placement;
use crate::memory_budget::BudgetShare;
use crate::response_body::{BodyError, BodyPart, PartSender};
use crate::sending::{RunGuard, UpstreamResponse};
use crate::stream_buffer::StreamBuffer;
use crate::stream_continuation::ORIGIN_ANNOUNCEMENT_INTERVAL;
use crate::stream_migration::transfer_result;
use crate::task::OwnedTask;
use crate::transfer::{Handover, RequestedStop, StopState, TransferError};
use crate::upstream::Exchange;

/// Time for which an engine has to write an answer to show that the request does not crash it.
const PROVEN_AFTER: Duration = Duration::from_secs(2);

/// Engine and response that the events are read from.
#[derive(Debug)]
pub struct Source<W, R> {
    pub(crate) guard: RunGuard<W, R>,
    pub(crate) name: EndpointName,
    pub(crate) exchange: Exchange,
}

impl<W, R> From<UpstreamResponse<W, R>> for Source<W, R> {
    fn from(upstream: UpstreamResponse<W, R>) -> Self {
        Self { guard: upstream.guard, name: upstream.name, exchange: upstream.exchange }
    }
}

/// Reason that a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    Complete,
    ClientDisconnected,
    /// The client did not take events for too long.
    ClientTooSlow,
    TimedOut,
    /// The process ends.
    HostStopped,
    Interrupted,
}

impl StreamEnd {
    fn as_str(self) -> &'static str {
        match self {
            StreamEnd::Complete => "complete",
            StreamEnd::ClientDisconnected => "caller_left",
            StreamEnd::ClientTooSlow => "caller_too_slow",
            StreamEnd::TimedOut => "timeout",
            StreamEnd::HostStopped => "host_stopped",
            StreamEnd::Interrupted => "broken_off",
        }
    }

    fn outcome(self) -> Outcome {
        match self {
            StreamEnd::Complete => Outcome::Completed,
            StreamEnd::ClientDisconnected
            | StreamEnd::ClientTooSlow
            | StreamEnd::TimedOut
            | StreamEnd::HostStopped
            | StreamEnd::Interrupted => Outcome::Unknown,
        }
    }
}

/// Result of reading from the body of the source.
pub(crate) enum BodyRead {
    Data(Bytes),
    End,
    Failed(String),
}

/// Relays the events of one generation.
pub struct StreamRelay<W, R> {
    pub(crate) cx: Rc<Host<W, R>>,
    pub(crate) call: Rc<Call>,
    pub(crate) source: Source<W, R>,
    pub(crate) tx: PartSender,
    /// Size of what the client has not taken, if the host keeps reading while the client is slow.
    pub(crate) buffer: Option<Rc<StreamBuffer>>,
    /// Software version that began the stream; `None` before its first event, or if unknown.
    pub(crate) software: Option<SoftwareVersion>,
    /// When the version was last announced to the other hosts.
    pub(crate) origin_announced_at: Option<Instant>,
    pub(crate) splitter: EventSplitter,
    /// Events that are kept until a later one shows whether others are missing before them.
    pub(crate) kept: Vec<Bytes>,
    /// Memory of the incomplete event and those that are kept.
    pub(crate) partial_memory: BudgetShare,
    pub(crate) fleet_changes: watch::Receiver<u64>,
    pub(crate) order: EventOrder,
    /// Number of events sent to the client.
    pub(crate) events: u64,
    pub(crate) first_event_at: Option<Instant>,
    pub(crate) last_event_at: Option<Instant>,
    /// When the engine began to write events.
    pub(crate) source_event_at: Option<Instant>,
    /// Whether the engine has shown that the request does not crash it.
    pub(crate) is_proven: bool,
    /// Time since the source's last event.
    pub(crate) stall_clock: StallClock,
    /// Measures the time between the events of the source.
    pub(crate) gap_window: Option<GapWindow>,
    pub(crate) longest_pause: Duration,
    /// Number of the event that followed the longest pause.
    pub(crate) longest_pause_before: u64,
    /// Number of times that the generation was resumed, with or without a copy of its KV cache.
    pub(crate) source_changes: u32,
    /// Number of interrupted sends that count against the limit of the route.
    pub(crate) counted_sends: u32,
    /// Destinations to which a migration failed.
    pub(crate) tried: Vec<EndpointIx>,
    pub(crate) transfer: Option<OwnedTask<Result<Handover, TransferError>>>,
    /// Destination of the transfer.
    pub(crate) transfer_to: Option<EndpointIx>,
    /// Whether the source was asked to stop the generation, without a known result.
    pub(crate) stop: StopState,
    /// Reason for the lack of a destination that was last logged.
    pub(crate) no_destination: Option<NoDestination>,
    /// Time of the next review of a generation on a draining engine.
    pub(crate) review_at: Option<Instant>,
}

impl<W, R> StreamRelay<W, R>
where
    W: Wire,
    R: Registry,
{
    /// Builds the relay of a generation whose response head has been received. `begun` is the version that
    /// began the stream, if the client takes it up again, and the number of earlier sends of this attempt
    /// that may have run.
    pub fn new(
        cx: Rc<Host<W, R>>,
        call: Rc<Call>,
        source: Source<W, R>,
        begun: (Option<SoftwareVersion>, u32),
        (tx, buffer): (PartSender, Option<Rc<StreamBuffer>>),
    ) -> Self {
        let fleet_changes = cx.subscribe_fleet();
        let order = EventOrder::from(call.last_event());
        let stall_clock = start_stall_clock(&call);
        let (software, counted_sends) = begun;
        let partial_memory = cx.response_bodies.share();
        Self {
            cx,
            call,
            source,
            tx,
            buffer,
            software,
            origin_announced_at: None,
            splitter: EventSplitter::default(),
            kept: Vec::new(),
            partial_memory,
            fleet_changes,
            order,
            events: 0,
            last_event_at: None,
            source_event_at: None,
            is_proven: false,
            stall_clock,
            gap_window: None,
            longest_pause: Duration::ZERO,
            longest_pause_before: 0,
            source_changes: 0,
            counted_sends,
            tried: Vec::new(),
            transfer: None,
            transfer_to: None,
            stop: StopState::default(),
            no_destination: None,
            first_event_at: None,
            review_at: None,
        }
    }

    /// Relays events until the stream ends.
    pub async fn run(mut self) {
        self.cx.metrics.streams.inc();
        let end = self.relay_events().await;
        self.cx.metrics.streams.dec();
        self.log_end(end);
        // The run ends before the client has taken the rest.
        let (tx, buffer) = (self.tx.clone(), self.buffer.take());
        drop(self);
        let last = match end {
            StreamEnd::Complete => Ok(BodyPart::End),
            _ => Err(BodyError::Interrupted),
        };
        // Sending fails if the client has disconnected.
        let _ = tx.send(last).await;
        drop(tx);
        if let Some(buffer) = buffer
            && !buffer.drained().await
        {
            buffer.abort();
        }
    }

    /// Relays events until the stream ends, its client disconnects, or the response has to end. Nothing that
    /// the relay waits for outlasts these.
    async fn relay_events(&mut self) -> StreamEnd {
        let (cx, call, tx) = (self.cx.clone(), self.call.clone(), self.tx.clone());
        tokio::select! {
            biased;
            end = self.relay_to_end() => end,
            () = tx.closed() => StreamEnd::ClientDisconnected,
            () = cx.wait_for_response_end(call.deadline) => match Instant::now() < call.deadline {
                true => StreamEnd::HostStopped,
                false => StreamEnd::TimedOut,
            },
        }
    }

    async fn relay_to_end(&mut self) -> StreamEnd {
        self.review();
        loop {
            let review_at = self.review_at.unwrap_or(self.call.deadline).into();
            tokio::select! {
                biased;
                transferred = transfer_result(&mut self.transfer) => {
                    self.transfer = None;
                    match transferred {
                        Ok(handover) => {
                            if let Err(end) = self.resume_from_copy(handover).await {
                                return end;
                            }
                        }
                        Err(err) => self.handle_transfer_error(&err),
                    }
                }
                read = read_body(&mut self.source.exchange) => {
                    if let Some(end) = self.handle_read(read).await {
                        return end;
                    }
                }
                () = sleep_until(self.stall_clock.check_at().into()) => {
                    if let Some(end) = self.check_stalled().await {
                        return end;
                    }
                }
                _ = self.fleet_changes.changed() => self.schedule_review(),
                () = sleep_until(review_at), if self.review_at.is_some() => self.review(),
            }
        }
    }

    /// Handles the result of a read. Returns the reason if the stream ended.
    async fn handle_read(&mut self, read: BodyRead) -> Option<StreamEnd> {
        match read {
            BodyRead::Data(data) => match self.forward_events(&data).await {
                Ok(true) => None,
                Ok(false) => self.handle_broken_source("not an event".to_owned()).await,
                Err(end) => Some(end),
            },
            BodyRead::End if self.splitter.has_partial() => {
                self.handle_broken_source("ended within an event".to_owned()).await
            }
            BodyRead::End => {
                if self.source.exchange.has_explicit_end() {
                    self.abandon_transfer();
                } else if let Some(handover) = self.finish_stop().await {
                    return self.resume_from_copy(handover).await.err();
                }
                // A response without a length ends the same way when the source stops the generation, or when
                // its process ends.
                if !self.source.exchange.has_explicit_end() && self.may_have_stopped() {
                    return self
                        .handle_broken_source("ended after a request to stop".to_owned())
                        .await;
                }
                let Source { guard, exchange, .. } = &self.source;
                // A pause of this process is a silence of the response as well.
                if is_cut_short(&self.cx, guard.endpoint, exchange, false).await {
                    return self.handle_broken_source("the endpoint is gone".to_owned()).await;
                }
                self.cx.metrics.sends.with_label_values(&["answered"]).inc();
                // Without a length, the end of the connection may also be the first sign of a crash.
                if self.source_event_at.is_some() && self.source.exchange.has_explicit_end() {
                    self.record_proven();
                }
                Some(self.send_kept().await.err().unwrap_or(StreamEnd::Complete))
            }
            BodyRead::Failed(detail) => self.handle_broken_source(detail).await,
        }
    }

    /// Returns true if the source was asked to stop the generation and may have done so.
    pub(crate) fn may_have_stopped(&self) -> bool {
        let stop = self.stop.borrow();
        stop.as_ref().is_some_and(|stop| !stop.is_refuted(self.last_event_at))
    }

    /// Returns the request to stop the generation, unless an event since shows that it was not stopped.
    fn take_requested_stop(&mut self) -> Option<RequestedStop> {
        self.stop.take().filter(|stop| !stop.is_refuted(self.last_event_at))
    }

    /// Handles the early end of the source's response. A migration in progress, or one whose final copy had
    /// no known result, may be the cause: the generation was stopped then.
    async fn handle_broken_source(&mut self, detail: String) -> Option<StreamEnd> {
        let handover = match self.finish_stop().await {
            Some(handover) => Some(handover),
            None => self.take_requested_stop().map(|stop| Handover {
                to: stop.to,
                to_name: stop.to_name,
                connection: None,
                from: self.source.guard.endpoint,
                copy: stop.copy,
                events: None,
            }),
        };
        match handover {
            Some(handover) => self.resume_from_copy(handover).await.err(),
            None => self.handle_interruption(detail).await,
        }
    }

    /// Ends the stream of a source that sends no event for so long that the client counts it as lost, or
    /// resumes it elsewhere. Returns the reason if the stream ended.
    async fn check_stalled(&mut self) -> Option<StreamEnd> {
        let now = Instant::now();
        if !self.stall_clock.check(now) {
            return None;
        }
        let endpoint = self.source.guard.endpoint;
        if let Some(endpoint) = self.cx.state.borrow_mut().fleet.get_mut(endpoint) {
            endpoint.health.record_no_answer(now);
        }
        self.handle_interruption("no event in time".to_owned()).await
    }

    /// Records which software version began the stream. A client may take up only a stream that can be
    /// resumed.
    pub(crate) fn record_origin(&mut self) {
        if self.software.is_none() {
            self.software = self.cx.software_of(self.source.guard.endpoint);
        }
        let Some(software) = &self.software else { return };
        let now = Instant::now();
        let is_recent = |at| now.saturating_duration_since(at) < ORIGIN_ANNOUNCEMENT_INTERVAL;
        let resumable = self.call.route().retry_mode.is_retryable();
        if resumable && !self.origin_announced_at.is_some_and(is_recent) {
            self.origin_announced_at = Some(now);
            self.cx.announce_stream_origin(&self.call, software);
        }
    }

    pub(crate) fn record_events(&mut self) {
        let now = Instant::now();
        match self.last_event_at {
            Some(at) if now - at > self.longest_pause => {
                self.longest_pause = now - at;
                self.longest_pause_before = self.events;
            }
            Some(_) => {}
            None => {
                self.first_event_at = Some(now);
                self.cx.metrics.observe_response("first_event", now - self.call.arrived_at);
            }
        }
        self.last_event_at = Some(now);
        let began_at = *self.source_event_at.get_or_insert(now);
        if now - began_at >= PROVEN_AFTER {
            self.record_proven();
        }
        let tokens = self.generated_tokens();
        let (endpoint, run) = (self.source.guard.endpoint, self.source.guard.run);
        self.cx.state.borrow_mut().fleet.record_progress(endpoint, run, tokens);
    }

    /// Records that the engine writes the answer without crashing.
    fn record_proven(&mut self) {
        if !self.is_proven {
            self.is_proven = true;
            self.cx.record_finished(&self.call);
        }
    }

    /// Returns the number of tokens that were generated for this call.
    pub(crate) fn generated_tokens(&self) -> u32 {
        let events = u32::try_from(self.events).unwrap_or(u32::MAX);
        events.saturating_mul(self.tokens_per_event())
    }

    pub(crate) fn tokens_per_event(&self) -> u32 {
        self.call.service().engine.as_ref().map_or(1, |engine| engine.tokens_per_event)
    }

    pub(crate) fn replace_source(&mut self, upstream: UpstreamResponse<W, R>) {
        self.source = Source::from(upstream);
        self.source_event_at = None;
        self.is_proven = false;
        self.gap_window = None;
        self.splitter = EventSplitter::default();
        self.kept.clear();
        self.order.begin_answer();
        self.stall_clock = start_stall_clock(&self.call);
        self.source_changes += 1;
        self.tried.clear();
        self.stop = StopState::default();
        self.review_at = None;
        self.review();
    }

    /// Handles an interruption of the source. A migration in progress may be the cause.
    async fn handle_interruption(&mut self, detail: String) -> Option<StreamEnd> {
        let _ = self.splitter.take_partial();
        if let Some(handover) = self.finish_transfer().await {
            return self.resume_from_copy(handover).await.err();
        }
        self.cx.record_broken_request(&self.call, self.source.guard.endpoint);
        self.cx.metrics.sends.with_label_values(&["broken"]).inc();
        self.resume(&detail).await
    }

    /// Returns where the generation is to be resumed, without the KV cache.
    pub(crate) fn resume_point(&self) -> Resume {
        Resume { after: self.order.last().id(), events: self.events, copy: None }
    }

    /// Resumes on another engine without the KV cache, if the route allows it.
    pub(crate) async fn resume(&mut self, detail: &str) -> Option<StreamEnd> {
        let resumable = self.call.route().retry_mode.is_retryable();
        info!(self.cx.log, "stream interrupted"; "call" => %self.call.id,
            "endpoint" => %self.source.name, "error" => detail, "events" => self.events,
            "parts" => self.call.parts_text(), "resumable" => resumable);
        let has_begun = !self.order.last().is_none();
        if !resumable || !self.order.last().can_resume() || has_begun && self.software.is_none() {
            return Some(StreamEnd::Interrupted);
        }
        let endpoint = self.source.guard.endpoint;
        // A send to an endpoint that is no longer ready does not count against the limit of the
        // route.
        let still_ready =
            self.cx.state.borrow().fleet.get(endpoint).is_some_and(Endpoint::is_ready);
        self.counted_sends += u32::from(still_ready);
        let placement = Placement::resuming(
            self.cx.clone(),
            self.call.clone(),
            vec![endpoint],
            self.software.clone(),
            self.counted_sends,
        );
        match placement.resume(self.resume_point()).await {
            Some((upstream, counted_sends)) => {
                self.counted_sends = counted_sends;
                info!(self.cx.log, "stream resumed"; "call" => %self.call.id,
                    "endpoint" => %upstream.name, "after_event" => %self.order.last(),
                    "software" => software_name(&self.cx, upstream.guard.endpoint));
                self.replace_source(upstream);
                None
            }
            None => Some(StreamEnd::Interrupted),
        }
    }

    fn log_end(&self, end: StreamEnd) {
        let kind = self.call.route().retry_mode.to_string();
        let outcome = end.outcome();
        self.cx.metrics.requests.with_label_values(&[kind.as_str(), outcome.as_str()]).inc();
        self.cx.metrics.pause_seconds.observe(self.longest_pause.as_secs_f64());
        info!(self.cx.log, "stream ended"; "call" => %self.call.id,
            "route" => %self.call.route().name, "outcome" => %outcome, "end" => end.as_str(),
            "endpoint" => %self.source.name, "events" => self.events, "moves" => self.source_changes,
            "first_event_ms" => self.first_event_at
                .map(|at| (at - self.call.arrived_at).as_millis() as u64),
            "longest_pause_ms" => self.longest_pause.as_millis() as u64,
            "longest_pause_before_event" => self.longest_pause_before,
            "took_ms" => self.call.arrived_at.elapsed().as_millis() as u64);
    }
}

fn start_stall_clock(call: &Call) -> StallClock {
    let route = call.route();
    StallClock::start(route.latency_objective, route.gap_objective, Instant::now())
}

/// Reads the next part of a body.
pub(crate) async fn read_body(exchange: &mut Exchange) -> BodyRead {
    loop {
        match exchange.next_frame().await {
            None => return BodyRead::End,
            Some(Err(err)) => return BodyRead::Failed(err.to_string()),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return BodyRead::Data(data);
                }
            }
        }
    }
}

/// Returns the name of an endpoint's software version, for the log.
pub(crate) fn software_name<W, R>(cx: &Host<W, R>, endpoint: EndpointIx) -> Option<String> {
    cx.software_of(endpoint).map(|version| version.to_string())
}
