//! Carries the events of a generation to its caller. [`crate::pump_moves`] moves the generation when
//! its engine leaves.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use camphorloft_dispatch::prelude::*;
use camphorloft_types::prelude::*;
use http_body_util::BodyExt;
use slog::{info, warn};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, timeout_at};

use crate::answer_body::BrokenAnswer;
use crate::boundary::{Registry, Wire};
use crate::call::Call;
use crate::context::Host;
use crate::event_splitter::EventSplitter;
use crate::generation_call::Placing;
use crate::pump_moves::wait_for;
use crate::sending::{RunGuard, Sent, broke_off};
use crate::task::OwnedTask;
use crate::transfer::{Handover, TransferError};
use crate::upstream::Exchange;

/// Where the events come from.
#[derive(Debug)]
pub struct Source<W, R> {
    pub(crate) guard: RunGuard<W, R>,
    pub(crate) name: EndpointName,
    pub(crate) exchange: Exchange,
}

impl<W, R> From<Sent<W, R>> for Source<W, R> {
    fn from(sent: Sent<W, R>) -> Self {
        Self { guard: sent.guard, name: sent.name, exchange: sent.exchange }
    }
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Complete,
    CallerLeft,
    TimedOut,
    BrokenOff,
}

impl End {
    fn as_str(self) -> &'static str {
        match self {
            End::Complete => "complete",
            End::CallerLeft => "caller_left",
            End::TimedOut => "timeout",
            End::BrokenOff => "broken_off",
        }
    }

    fn outcome(self) -> Outcome {
        match self {
            End::Complete => Outcome::Completed,
            End::CallerLeft | End::TimedOut | End::BrokenOff => Outcome::Unknown,
        }
    }
}

/// What the source did next.
pub(crate) enum Step {
    Data(Bytes),
    Ended,
    Broke(String),
}

/// Carries the events of one generation.
pub struct Pump<W, R> {
    pub(crate) cx: Rc<Host<W, R>>,
    pub(crate) call: Rc<Call>,
    pub(crate) source: Source<W, R>,
    pub(crate) tx: mpsc::Sender<Result<Bytes, BrokenAnswer>>,
    pub(crate) splitter: EventSplitter,
    pub(crate) news: watch::Receiver<u64>,
    /// Last event that the caller was sent.
    pub(crate) last_event: Option<u64>,
    pub(crate) events: u64,
    pub(crate) first_event_at: Option<Instant>,
    pub(crate) last_event_at: Option<Instant>,
    pub(crate) longest_pause: Duration,
    /// Event that the longest pause preceded.
    pub(crate) longest_pause_before: u64,
    pub(crate) moves: u32,
    /// Endpoints at which the stream broke off and that are still there.
    pub(crate) sends: u32,
    /// Engines that refused a copy or broke off.
    pub(crate) tried: Vec<EndpointIx>,
    pub(crate) transfer: Option<OwnedTask<Result<Handover, TransferError>>>,
    /// Destination of the transfer.
    pub(crate) transfer_to: Option<EndpointIx>,
    /// Why it had no destination when that was last logged.
    pub(crate) no_destination: Option<NoDestination>,
    /// When a generation on an engine that leaves is looked at again.
    pub(crate) review_at: Option<Instant>,
}

impl<W, R> Pump<W, R>
where
    W: Wire,
    R: Registry,
{
    /// Builds the pump of a generation whose answer has begun.
    pub fn new(
        cx: Rc<Host<W, R>>,
        call: Rc<Call>,
        source: Source<W, R>,
        tx: mpsc::Sender<Result<Bytes, BrokenAnswer>>,
    ) -> Self {
        let news = cx.subscribe_fleet();
        let last_event = call.last_event;
        Self {
            cx,
            call,
            source,
            tx,
            splitter: EventSplitter::default(),
            news,
            last_event,
            events: 0,
            last_event_at: None,
            longest_pause: Duration::ZERO,
            longest_pause_before: 0,
            moves: 0,
            sends: 0,
            tried: Vec::new(),
            transfer: None,
            transfer_to: None,
            no_destination: None,
            first_event_at: None,
            review_at: None,
        }
    }

    /// Carries events until the stream ends.
    pub async fn run(mut self) {
        self.cx.metrics.streams.inc();
        let end = self.carry().await;
        if end == End::BrokenOff || end == End::TimedOut {
            // A caller that left does not hear of it.
            let _ = self.tx.send(Err(BrokenAnswer::BrokenOff)).await;
        }
        self.cx.metrics.streams.dec();
        self.log_end(end);
    }

    async fn carry(&mut self) -> End {
        let due_at = self.call.due_at.into();
        self.review();
        loop {
            let review_at = self.review_at.unwrap_or(self.call.due_at).into();
            tokio::select! {
                biased;
                () = self.tx.closed() => return End::CallerLeft,
                () = sleep_until(due_at) => return End::TimedOut,
                moved = wait_for(&mut self.transfer) => {
                    self.transfer = None;
                    match moved {
                        Ok(handover) => {
                            if let Err(end) = self.go_on(handover).await {
                                return end;
                            }
                        }
                        Err(err) => self.not_moved(&err),
                    }
                }
                step = next_step(&mut self.source.exchange) => {
                    if let Some(end) = self.take(step).await {
                        return end;
                    }
                }
                _ = self.news.changed() => self.schedule_review(),
                () = sleep_until(review_at), if self.review_at.is_some() => self.review(),
            }
        }
    }

    /// Takes what the source did. Returns how the stream ended, if it did.
    async fn take(&mut self, step: Step) -> Option<End> {
        match step {
            Step::Data(data) => self.relay(&data).await.err(),
            Step::Ended if self.splitter.has_partial() => {
                self.broke("ended within an event".to_owned()).await
            }
            Step::Ended => {
                // An answer without a length ends in the same way when a move stopped it.
                if let Some(handover) = self.settle_transfer().await {
                    return self.go_on(handover).await.err();
                }
                self.cx.metrics.sends.with_label_values(&["answered"]).inc();
                Some(End::Complete)
            }
            Step::Broke(detail) => self.broke(detail).await,
        }
    }

    /// Passes whole events on.
    pub(crate) async fn relay(&mut self, data: &[u8]) -> Result<(), End> {
        if !self.splitter.push(data) {
            warn!(self.cx.log, "event too large"; "call" => %self.call.id);
            return Err(End::BrokenOff);
        }
        let mut out = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            if let (Some(id), Some(last)) = (event.id, self.last_event) {
                if id <= last {
                    continue;
                }
                if id > last + 1 {
                    warn!(self.cx.log, "events missing"; "call" => %self.call.id,
                        "last" => last, "next" => id, "endpoint" => %self.source.name);
                    return Err(End::BrokenOff);
                }
            }
            self.last_event = event.id.or(self.last_event);
            self.events += 1;
            out.extend_from_slice(&event.bytes);
        }
        if out.is_empty() {
            return Ok(());
        }
        self.note_events();
        let sent = timeout_at(self.call.due_at.into(), self.tx.send(Ok(out.freeze()))).await;
        match sent {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(End::CallerLeft),
            Err(_) => Err(End::TimedOut),
        }
    }

    fn note_events(&mut self) {
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
        let tokens = self.events as u32 * self.tokens_per_event();
        let (endpoint, run) = (self.source.guard.endpoint, self.source.guard.run);
        self.cx.state.borrow_mut().fleet.record_progress(endpoint, run, tokens);
    }

    pub(crate) fn tokens_per_event(&self) -> u32 {
        self.call.service().engine.as_ref().map_or(1, |engine| engine.tokens_per_event)
    }

    pub(crate) fn replace_source(&mut self, sent: Sent<W, R>) {
        self.source = Source::from(sent);
        self.splitter = EventSplitter::default();
        self.moves += 1;
        self.tried.clear();
        self.review_at = None;
        self.review();
    }

    /// Takes that the source broke off. A move under way may have been the cause.
    async fn broke(&mut self, detail: String) -> Option<End> {
        let _ = self.splitter.take_partial();
        if let Some(handover) = self.settle_transfer().await {
            return self.go_on(handover).await.err();
        }
        broke_off(&self.cx, &self.call, self.source.guard.endpoint);
        self.cx.metrics.sends.with_label_values(&["broken"]).inc();
        self.reopen(&detail).await
    }

    /// Goes on at another engine without the memory, where the route allows it.
    pub(crate) async fn reopen(&mut self, detail: &str) -> Option<End> {
        let resumable = self.call.route().retry_mode.is_retryable();
        info!(self.cx.log, "stream broke off"; "call" => %self.call.id,
            "endpoint" => %self.source.name, "error" => detail, "events" => self.events,
            "resumable" => resumable);
        if !resumable {
            return Some(End::BrokenOff);
        }
        let endpoint = self.source.guard.endpoint;
        // An endpoint that ended does not count against the sends that the route allows.
        let is_there = self.cx.state.borrow().fleet.get(endpoint).is_some_and(Endpoint::is_ready);
        self.sends += u32::from(is_there);
        let placing =
            Placing::resuming(self.cx.clone(), self.call.clone(), vec![endpoint], self.sends);
        let after = self.last_event.unwrap_or(0);
        match placing.reopen(after).await {
            Some(sent) => {
                info!(self.cx.log, "stream resumed"; "call" => %self.call.id,
                    "endpoint" => %sent.name, "after_event" => after);
                self.replace_source(sent);
                None
            }
            None => Some(End::BrokenOff),
        }
    }

    fn log_end(&self, end: End) {
        let kind = self.call.route().retry_mode.to_string();
        let outcome = end.outcome();
        self.cx.metrics.requests.with_label_values(&[kind.as_str(), outcome.as_str()]).inc();
        self.cx.metrics.pause_seconds.observe(self.longest_pause.as_secs_f64());
        info!(self.cx.log, "stream ended"; "call" => %self.call.id,
            "route" => %self.call.route().name, "outcome" => %outcome, "end" => end.as_str(),
            "endpoint" => %self.source.name, "events" => self.events, "moves" => self.moves,
            "first_event_ms" => self.first_event_at
                .map(|at| (at - self.call.arrived_at).as_millis() as u64),
            "longest_pause_ms" => self.longest_pause.as_millis() as u64,
            "longest_pause_before_event" => self.longest_pause_before,
            "took_ms" => self.call.arrived_at.elapsed().as_millis() as u64);
    }
}

/// Returns the next part of a body.
pub(crate) async fn next_step(exchange: &mut Exchange) -> Step {
    loop {
        match exchange.body.frame().await {
            None => return Step::Ended,
            Some(Err(err)) => return Step::Broke(err.to_string()),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Step::Data(data);
                }
            }
        }
    }
}
