//! Moves the generation of a pump to another engine when its own leaves.

use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_dispatch::reclaim;
use camphorloft_types::prelude::*;
use camphorloft_types::rendezvous;
use slog::{info, warn};
use tokio::time::timeout;

use crate::boundary::{EnginePriority, Registry, ResponseKind, Resume, Wire};
use crate::sending::{SendPlan, send};
use crate::stream_pump::{End, Pump, Step, next_step};
use crate::task::OwnedTask;
use crate::transfer::{Handover, TransferError, transfer};

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

impl<W, R> Pump<W, R>
where
    W: Wire,
    R: Registry,
{
    /// Schedules a look at a generation whose engine may have begun to leave. Generations of one
    /// engine begin to move one after the other, so that each host sees what the others began.
    pub(crate) fn schedule_review(&mut self) {
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
            let turn = reclaim::start_round(run) * TURN + self.jitter();
            self.review_at = Some(Instant::now() + turn + far);
        }
    }

    /// Returns a part of a turn that differs between generations.
    fn jitter(&self) -> Duration {
        const PARTS: u32 = 8;
        TURN / PARTS * (self.call.fingerprint % u64::from(PARTS)) as u32
    }

    /// Looks whether the generation must leave its engine, and begins to move it.
    pub(crate) fn review(&mut self) {
        self.review_at = None;
        let Some(spec) = self.call.service().engine.as_ref().filter(|spec| spec.supports_migration)
        else {
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
            ReclaimDecision::Migrate { to, duration: takes } => {
                self.begin_transfer(from, to, takes)
            }
            ReclaimDecision::NoDestination(reasons) => self.no_destination(reasons),
            ReclaimDecision::Finish => {}
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
            let held = run.map_or(0, |run| run.kv_tokens());
            let plan = fleet.plan_migration(key, (from, to), held, takes, now);
            (fleet.get(to).map(|endpoint| endpoint.entry.name.to_string()), held, plan)
        };
        self.cx.send_migration(&plan, held);
        info!(self.cx.log, "generation moves"; "call" => %self.call.id,
            "from" => %self.source.name, "to" => name, "events" => self.events,
            "held" => held, "takes_ms" => takes.as_millis() as u64,
            "begins_in_ms" => (plan.start - now).as_millis() as u64);
        self.transfer_to = Some(to);
        self.transfer =
            Some(OwnedTask::spawn(transfer(self.cx.clone(), self.call.clone(), plan, held)));
    }

    pub(crate) fn not_moved(&mut self, err: &TransferError) {
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
        self.cx.metrics.migrations.with_label_values(&[result]).inc();
        info!(self.cx.log, "generation not moved"; "call" => %self.call.id,
            "from" => %self.source.name, "error" => %err);
        if *err == TransferError::Refused {
            if let Some(to) = to
                && let Some(endpoint) = self.cx.state.borrow_mut().fleet.get_mut(to)
            {
                endpoint.load.record_refused_copy(Instant::now());
            }
            self.review();
        }
    }

    /// Goes on with a stopped generation where its memory is.
    pub(crate) async fn go_on(&mut self, handover: Handover) -> Result<(), End> {
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
                rank: Some(EnginePriority::Resumed),
                resume: Some(resume.clone()),
            };
            let sent = timeout(CONTINUE_WITHIN, send(&self.cx, &self.call, plan, connected)).await;
            if let Ok(Ok(sent)) = sent
                && sent.kind == ResponseKind::Success
            {
                let result = if endpoint == handover.from { "back" } else { "moved" };
                self.cx.metrics.migrations.with_label_values(&[result]).inc();
                info!(self.cx.log, "generation went on"; "call" => %self.call.id,
                    "from" => %self.source.name, "to" => %sent.name, "after_event" => after,
                    "stopped_at_event" => handover.events,
                    "took_ms" => began.elapsed().as_millis() as u64);
                self.replace_source(sent);
                return Ok(());
            }
        }
        self.cx.metrics.migrations.with_label_values(&["lost"]).inc();
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
            kv_tokens: self.call.generation.prompt.0 + made,
            prefill_tokens: 0,
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

    /// Waits for the end of a move under way. Returns the handover if the generation was moved.
    pub(crate) async fn settle_transfer(&mut self) -> Option<Handover> {
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
}

/// Waits for a transfer; forever when there is none.
pub(crate) async fn wait_for(
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
