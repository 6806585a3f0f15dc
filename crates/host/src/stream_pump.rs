//! Carries the events of a generation to its caller, and moves the generation to another engine
//! when its own leaves or breaks off.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use camphorloft_dispatch::prelude::*;
use camphorloft_dispatch::reclaim;
use camphorloft_types::prelude::*;
use camphorloft_types::rendezvous;
use http_body_util::BodyExt;
use slog::{info, warn};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, timeout, timeout_at};

use crate::answer_body::BrokenAnswer;
use crate::boundary::{AnswerKind, EngineRank, Registry, Resume, Wire};
use crate::call::Call;
use crate::context::Host;
use crate::event_splitter::EventSplitter;
use crate::generation_call::Placing;
use crate::sending::{RunGuard, SendPlan, Sent, broke_off, send};
use crate::task::OwnedTask;
use crate::transfer::{Handover, TransferError, transfer};
use crate::upstream::Exchange;

/// Distinguishes the identities of moves from other digests of calls.
const MOVE_KEY: &str = "move";
/// Time between two looks at a generation on an engine that leaves.
const REVIEW_STEP: Duration = Duration::from_millis(100);
/// Time between the turns in which generations of one engine begin to move: news of reserved links
/// cross a region in less.
const TURN: Duration = Duration::from_millis(6);
/// Time after which the moves that hosts of another region have begun are known here.
const REMOTE_NEWS: Duration = Duration::from_millis(60);
/// Time for the events of a stopped generation that are still on their way.
const DRAIN_WITHIN: Duration = Duration::from_millis(150);
/// Time for the destination to go on with a stopped generation. Its memory lasts a few seconds.
const CONTINUE_WITHIN: Duration = Duration::from_secs(6);

/// Where the events come from.
#[derive(Debug)]
pub struct Source<W, R> {
    guard: RunGuard<W, R>,
    name: EndpointName,
    exchange: Exchange,
}

impl<W, R> From<Sent<W, R>> for Source<W, R> {
    fn from(sent: Sent<W, R>) -> Self {
        Self { guard: sent.guard, name: sent.name, exchange: sent.exchange }
    }
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
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
enum Step {
    Data(Bytes),
    Ended,
    Broke(String),
}

/// Carries the events of one generation.
pub struct Pump<W, R> {
    cx: Rc<Host<W, R>>,
    call: Rc<Call>,
    source: Source<W, R>,
    tx: mpsc::Sender<Result<Bytes, BrokenAnswer>>,
    splitter: EventSplitter,
    news: watch::Receiver<u64>,
    /// Last event that the caller was sent.
    last_event: Option<u64>,
    events: u64,
    first_event_at: Option<Instant>,
    last_event_at: Option<Instant>,
    longest_pause: Duration,
    /// Event that the longest pause preceded.
    longest_pause_before: u64,
    moves: u32,
    /// Engines that refused a copy or broke off.
    tried: Vec<EndpointIx>,
    transfer: Option<OwnedTask<Result<Handover, TransferError>>>,
    /// Destination of the transfer.
    transfer_to: Option<EndpointIx>,
    /// Why it had no destination when that was last logged.
    no_destination: Option<NoDestination>,
    /// When a generation on an engine that leaves is looked at again.
    review_at: Option<Instant>,
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
        let news = cx.fleet_changes();
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
        self.cx.metrics.in_progress.inc();
        let end = self.carry().await;
        if end == End::BrokenOff || end == End::TimedOut {
            // A caller that left does not hear of it.
            let _ = self.tx.send(Err(BrokenAnswer::BrokenOff)).await;
        }
        self.cx.metrics.in_progress.dec();
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
    async fn relay(&mut self, data: &[u8]) -> Result<(), End> {
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
                self.cx.metrics.answered("first_event", now - self.call.arrived_at);
            }
        }
        self.last_event_at = Some(now);
        let tokens = self.events as u32 * self.tokens_per_event();
        let (endpoint, run) = (self.source.guard.endpoint, self.source.guard.run);
        self.cx.state.borrow_mut().fleet.progress(endpoint, run, tokens);
    }

    fn tokens_per_event(&self) -> u32 {
        self.call.service().engine.as_ref().map_or(1, |engine| engine.tokens_per_event)
    }

    /// Schedules a look at a generation whose engine may have begun to leave. Generations of one
    /// engine begin to move one after the other, so that each host sees what the others began.
    fn schedule_review(&mut self) {
        if self.review_at.is_some() {
            return;
        }
        let state = self.cx.state.borrow();
        let Some(endpoint) = state.fleet.get(self.source.guard.endpoint) else { return };
        let run = endpoint.runs.iter().find(|run| run.id == self.source.guard.run);
        if let (false, Some(run)) = (endpoint.is_ready(), run) {
            let far = match endpoint.distance {
                Distance::Zone | Distance::Region => Duration::ZERO,
                Distance::Remote => REMOTE_NEWS,
            };
            let turn = reclaim::turn(run) * TURN + self.jitter();
            self.review_at = Some(Instant::now() + turn + far);
        }
    }

    /// Returns a part of a turn that differs between generations.
    fn jitter(&self) -> Duration {
        const PARTS: u32 = 8;
        TURN / PARTS * (self.call.fingerprint % u64::from(PARTS)) as u32
    }

    /// Looks whether the generation must leave its engine, and begins to move it.
    fn review(&mut self) {
        self.review_at = None;
        let Some(spec) = self.call.service().engine.as_ref().filter(|spec| spec.moves) else {
            return;
        };
        let now = Instant::now();
        let from = self.source.guard.endpoint;
        let fate = {
            let state = self.cx.state.borrow();
            let Some(endpoint) = state.fleet.get(from) else { return };
            if endpoint.is_ready() || self.transfer.is_some() {
                return;
            }
            let run = endpoint.runs.iter().find(|run| run.id == self.source.guard.run);
            let Some(run) = run else { return };
            reclaim::decide(&state.fleet, spec, from, run, &self.tried, now)
        };
        self.review_at = Some(now + REVIEW_STEP);
        match fate {
            Fate::Move { to, takes } => self.begin_transfer(from, to, takes),
            Fate::NoDestination(reasons) => self.no_destination(reasons),
            Fate::Finish => {}
        }
    }

    /// Logs why a generation has no destination, when the reason is a new one.
    fn no_destination(&mut self, reasons: NoDestination) {
        if self.no_destination == Some(reasons) {
            return;
        }
        self.no_destination = Some(reasons);
        info!(self.cx.log, "generation cannot move"; "call" => %self.call.id,
            "from" => %self.source.name, "events" => self.events, "full" => reasons.full,
            "too_late" => reasons.too_late, "refusing" => reasons.refusing);
    }

    fn begin_transfer(&mut self, from: EndpointIx, to: EndpointIx, takes: Duration) {
        let now = Instant::now();
        let key = rendezvous::score(self.call.id.as_str(), MOVE_KEY);
        let (name, held, plan) = {
            let mut guard = self.cx.state.borrow_mut();
            let fleet = &mut guard.fleet;
            let run = fleet.run_mut(from, self.source.guard.run);
            let held = run.map_or(0, |run| run.held_tokens());
            let plan = fleet.moves.plan(key, from, to, takes, now);
            fleet.learn_move(plan, held, now);
            (fleet.get(to).map(|endpoint| endpoint.entry.name.to_string()), held, plan)
        };
        self.cx.tell_move(&plan, held);
        info!(self.cx.log, "generation moves"; "call" => %self.call.id,
            "from" => %self.source.name, "to" => name, "events" => self.events,
            "held" => held, "takes_ms" => takes.as_millis() as u64,
            "begins_in_ms" => (plan.begins - now).as_millis() as u64);
        self.transfer_to = Some(to);
        self.transfer =
            Some(OwnedTask::spawn(transfer(self.cx.clone(), self.call.clone(), plan, held)));
    }

    fn not_moved(&mut self, err: &TransferError) {
        let to = self.transfer_to.take();
        if let Some(to) = to {
            self.tried.push(to);
        }
        let result = match err {
            TransferError::Refused => "refused",
            TransferError::Unreachable => "unreachable",
            TransferError::Ended => "ended",
            TransferError::TooLate => "too_late",
            TransferError::Unclear(_) => "unclear",
        };
        self.cx.metrics.moves.with_label_values(&[result]).inc();
        info!(self.cx.log, "generation not moved"; "call" => %self.call.id,
            "from" => %self.source.name, "error" => %err);
        if *err == TransferError::Refused {
            if let Some(to) = to
                && let Some(endpoint) = self.cx.state.borrow_mut().fleet.get_mut(to)
            {
                endpoint.load.refused_copy(Instant::now());
            }
            self.review();
        }
    }

    /// Goes on with a stopped generation where its memory is.
    async fn go_on(&mut self, handover: Handover) -> Result<(), End> {
        self.drain_source().await?;
        let after = self.last_event.unwrap_or(0);
        let began = Instant::now();
        let copy = Some(handover.copy.clone());
        let resume = Resume { after, copy };
        let mut places = vec![(handover.to, handover.connected)];
        if handover.to != handover.from {
            places.push((handover.from, None));
        }
        for (endpoint, connected) in places {
            let plan = SendPlan {
                endpoint,
                work: self.work(),
                rank: Some(EngineRank::Continued),
                resume: Some(resume.clone()),
            };
            let sent = timeout(CONTINUE_WITHIN, send(&self.cx, &self.call, plan, connected)).await;
            if let Ok(Ok(sent)) = sent
                && sent.kind == AnswerKind::Success
            {
                let result = if endpoint == handover.from { "back" } else { "moved" };
                self.cx.metrics.moves.with_label_values(&[result]).inc();
                info!(self.cx.log, "generation went on"; "call" => %self.call.id,
                    "from" => %self.source.name, "to" => %sent.name, "after_event" => after,
                    "stopped_at_event" => handover.events,
                    "took_ms" => began.elapsed().as_millis() as u64);
                self.replace_source(sent);
                return Ok(());
            }
        }
        self.cx.metrics.moves.with_label_values(&["lost"]).inc();
        match self.reopen("the copy was not taken up").await {
            Some(end) => Err(end),
            None => Ok(()),
        }
    }

    /// Returns what the generation does to the engine that it goes on at.
    fn work(&self) -> RunWork {
        let made = self.events as u32 * self.tokens_per_event();
        let expected = self.call.expected_tokens().saturating_sub(made);
        RunWork::Generation {
            held: self.call.generation.prompt.0 + made,
            unread: 0,
            expected: expected.max(made / 3),
            generated: 0,
        }
    }

    /// Passes on the events of a stopped generation that are still on their way.
    async fn drain_source(&mut self) -> Result<(), End> {
        let by = Instant::now() + DRAIN_WITHIN;
        while let Ok(Step::Data(data)) =
            tokio::time::timeout_at(by.into(), next_step(&mut self.source.exchange)).await
        {
            self.relay(&data).await?;
        }
        // The destination makes the unfinished event again.
        let _ = self.splitter.take_partial();
        Ok(())
    }

    fn replace_source(&mut self, sent: Sent<W, R>) {
        self.source = Source::from(sent);
        self.splitter = EventSplitter::default();
        self.moves += 1;
        self.tried.clear();
        self.review_at = None;
        self.review();
    }

    /// Waits for the end of a move under way. Returns the handover if the generation was moved.
    async fn settle_transfer(&mut self) -> Option<Handover> {
        let task = self.transfer.take()?;
        match task.await {
            Ok(Ok(handover)) => Some(handover),
            Ok(Err(err)) => {
                self.not_moved(&err);
                None
            }
            Err(err) => {
                warn!(self.cx.log, "move task failed"; "call" => %self.call.id, "error" => %err);
                None
            }
        }
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
    async fn reopen(&mut self, detail: &str) -> Option<End> {
        let resumable = self.call.route().repeat.is_repeatable();
        info!(self.cx.log, "stream broke off"; "call" => %self.call.id,
            "endpoint" => %self.source.name, "error" => detail, "events" => self.events,
            "resumable" => resumable);
        if !resumable {
            return Some(End::BrokenOff);
        }
        let tried = vec![self.source.guard.endpoint];
        let placing = Placing::resuming(self.cx.clone(), self.call.clone(), tried);
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
        let kind = self.call.route().repeat.to_string();
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

/// Waits for a transfer; forever when there is none.
async fn wait_for(
    transfer: &mut Option<OwnedTask<Result<Handover, TransferError>>>,
) -> Result<Handover, TransferError> {
    match transfer {
        Some(task) => match task.await {
            Ok(result) => result,
            Err(err) => Err(TransferError::Unclear(err.to_string())),
        },
        None => std::future::pending().await,
    }
}

/// Returns the next part of a body.
async fn next_step(exchange: &mut Exchange) -> Step {
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
