//! Migrates a relayed generation to another engine when its engine is draining.

use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_dispatch::reclaim;
use camphorloft_types::prelude::*;
use camphorloft_types::rendezvous;
use slog::{info, warn};
use tokio::time::timeout;

use crate::boundary::{EnginePriority, Registry, ResponseKind, Resume, Wire};
use crate::call::Call;
use crate::sending::{SendPlan, send};
use crate::stream_relay::{BodyRead, StreamEnd, StreamRelay, read_body, software_name};
use crate::task::OwnedTask;
use crate::transfer::{Handover, StopState, TransferError, transfer};

/// Separates the identifiers of migrations from other digests of call IDs.
const MIGRATION_KEY: &str = "move";
/// Interval between reviews of a generation on a draining engine.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between the rounds in which the generations of one engine start to migrate. Migration
/// plans reach the other hosts of a region in less time.
const ROUND_DURATION: Duration = Duration::from_millis(6);
/// Time within which the migration plans of hosts in another region are received.
const REMOTE_UPDATE_DELAY: Duration = Duration::from_millis(60);
/// Timeout for receiving the remaining events of a stopped generation.
const REMAINING_EVENTS_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout for the destination to resume a stopped generation, whose copy expires after a few
/// seconds.
const RESUME_TIMEOUT: Duration = Duration::from_secs(6);

impl<W, R> StreamRelay<W, R>
where
    W: Wire,
    R: Registry,
{
    /// Schedules a review of a generation whose engine may have started to drain. The generations
    /// of one engine start to migrate in rounds, so that each host knows the plans of the others.
    pub(crate) fn schedule_review(&mut self) {
        if self.review_at.is_some() {
            return;
        }
        let state = self.cx.state.borrow();
        let Some(endpoint) = state.fleet.get(self.source.guard.endpoint) else { return };
        let run = endpoint.runs.iter().find(|run| run.id == self.source.guard.run);
        if let (false, Some(run)) = (endpoint.is_ready(), run) {
            let update_delay = match endpoint.distance {
                Distance::Zone | Distance::Region => Duration::ZERO,
                Distance::Remote => REMOTE_UPDATE_DELAY,
            };
            let round_delay = reclaim::start_round(run) * ROUND_DURATION + self.jitter();
            self.review_at = Some(Instant::now() + round_delay + update_delay);
        }
    }

    /// Returns a fraction of a round that differs between generations.
    fn jitter(&self) -> Duration {
        const PARTS: u32 = 8;
        ROUND_DURATION / PARTS * (self.call.content().0 % u64::from(PARTS)) as u32
    }

    /// Checks whether the generation must be migrated, and starts the transfer if so.
    pub(crate) fn review(&mut self) {
        self.review_at = None;
        let Some(spec) = self.call.service().engine.as_ref().filter(|spec| spec.supports_migration)
        else {
            return;
        };
        let now = Instant::now();
        let from = self.source.guard.endpoint;
        let residency = self.cx.residency(&self.call);
        let decision = {
            let state = self.cx.state.borrow();
            let Some(endpoint) = state.fleet.get(from) else { return };
            if endpoint.is_ready() || self.transfer.is_some() {
                return;
            }
            let run = endpoint.runs.iter().find(|run| run.id == self.source.guard.run);
            let Some(run) = run else { return };
            let reclaimed = ReclaimedRun { run, tried: &self.tried, residency: &residency };
            reclaim::decide(&state.fleet, spec, from, &reclaimed, now)
        };
        self.review_at = Some(now + REVIEW_INTERVAL);
        if self.may_have_stopped() || !self.order.last().can_resume() {
            return;
        }
        match decision {
            ReclaimDecision::Migrate { to, duration: transfer_duration } => {
                self.start_transfer(from, to, transfer_duration)
            }
            ReclaimDecision::NoDestination(reasons) => self.no_destination(reasons),
            ReclaimDecision::Finish => {}
        }
    }

    /// Logs why a generation has no destination, if the reason has changed.
    fn no_destination(&mut self, reasons: NoDestination) {
        if self.no_destination == Some(reasons) {
            return;
        }
        self.no_destination = Some(reasons);
        info!(self.cx.log, "no migration destination"; "call" => %self.call.id,
            "from" => %self.source.name, "events" => self.events, "full" => reasons.full,
            "too_late" => reasons.too_late, "refusing" => reasons.refusing,
            "limited" => reasons.limited, "other_version" => reasons.other_version,
            "other_region" => reasons.other_region);
    }

    fn start_transfer(&mut self, from: EndpointIx, to: EndpointIx, transfer_duration: Duration) {
        let now = Instant::now();
        let key = migration_key(&self.call);
        let (name, kv_tokens, plan) = {
            let mut guard = self.cx.state.borrow_mut();
            let fleet = &mut guard.fleet;
            let run = fleet.run_mut(from, self.source.guard.run);
            let kv_tokens = run.map_or(0, |run| run.kv_tokens());
            fleet.reserve_send(to, now);
            let plan = fleet.plan_migration(key, (from, to), kv_tokens, transfer_duration, now);
            (fleet.get(to).map(|endpoint| endpoint.entry.name.to_string()), kv_tokens, plan)
        };
        self.cx.send_migration(&plan, kv_tokens);
        info!(self.cx.log, "migration planned"; "call" => %self.call.id,
            "from" => %self.source.name, "to" => name, "events" => self.events,
            "held" => kv_tokens, "takes_ms" => transfer_duration.as_millis() as u64,
            "begins_in_ms" => (plan.start - now).as_millis() as u64);
        self.transfer_to = Some(to);
        self.stop = StopState::default();
        let (cx, call, stop) = (self.cx.clone(), self.call.clone(), self.stop.clone());
        self.transfer = Some(OwnedTask::spawn(transfer(cx, call, plan, kv_tokens, stop)));
    }

    pub(crate) fn handle_transfer_error(&mut self, err: &TransferError) {
        let to = self.transfer_to.take();
        if let Some(to) = to {
            self.tried.push(to);
        }
        let result = match err {
            TransferError::Refused => "refused",
            TransferError::Evacuated => "evacuated",
            TransferError::Unreachable => "unreachable",
            TransferError::Ended => "ended",
            TransferError::TooLate => "too_late",
            TransferError::OutOfRegion => "out_of_region",
            TransferError::Failed(_) => "unclear",
        };
        self.cx.metrics.migrations.with_label_values(&[result]).inc();
        info!(self.cx.log, "migration failed"; "call" => %self.call.id,
            "from" => %self.source.name, "error" => %err);
        if *err == TransferError::Refused {
            if let Some(to) = to
                && let Some(endpoint) = self.cx.state.borrow_mut().fleet.get_mut(to)
            {
                endpoint.load.record_refused_copy(Instant::now());
            }
            self.review();
        }
        if *err == TransferError::Evacuated {
            self.review();
        }
    }

    /// Resumes a stopped generation at the destination or, failing that, at the source.
    pub(crate) async fn resume_from_copy(&mut self, handover: Handover) -> Result<(), StreamEnd> {
        self.forward_remaining_events().await?;
        if !self.order.last().can_resume() {
            self.cx.metrics.migrations.with_label_values(&["lost"]).inc();
            return match self.resume("the events have no identifiers").await {
                Some(end) => Err(end),
                None => Ok(()),
            };
        }
        let started_at = Instant::now();
        let copy = Some(handover.copy.clone());
        let resume = Resume { copy, ..self.resume_point() };
        // The run keeps the slot of the source. That of a destination that left may belong to another endpoint, even of another service.
        let is_listed = {
            let state = self.cx.state.borrow();
            let endpoint = state.fleet.get(handover.to);
            endpoint.is_some_and(|endpoint| endpoint.entry.name == handover.to_name)
        };
        let mut candidates = Vec::new();
        if is_listed {
            candidates.push((handover.to, handover.connection));
        }
        if handover.to != handover.from {
            candidates.push((handover.from, None));
        }
        for (endpoint, connection) in candidates {
            if endpoint == handover.from {
                self.cx.state.borrow_mut().fleet.reserve_send(endpoint, Instant::now());
            }
            let plan = SendPlan {
                reservation: None,
                endpoint,
                work: self.work(),
                priority: Some(EnginePriority::Resumed),
                resume: Some(resume.clone()),
            };
            let sent = timeout(RESUME_TIMEOUT, send(&self.cx, &self.call, plan, connection));
            if let Ok(Ok(upstream)) = sent.await
                && upstream.kind == ResponseKind::Success
            {
                let result = if endpoint == handover.from { "back" } else { "moved" };
                self.cx.metrics.migrations.with_label_values(&[result]).inc();
                info!(self.cx.log, "generation resumed from copy"; "call" => %self.call.id,
                    "from" => %self.source.name, "to" => %upstream.name, "after_event" => %self.order.last(),
                    "software" => software_name(&self.cx, upstream.guard.endpoint),
                    "events_at_stop" => handover.events,
                    "took_ms" => started_at.elapsed().as_millis() as u64);
                self.replace_source(upstream);
                return Ok(());
            }
        }
        self.cx.metrics.migrations.with_label_values(&["lost"]).inc();
        match self.resume("no engine resumed from the copy").await {
            Some(end) => Err(end),
            None => Ok(()),
        }
    }

    /// Returns the work of the generation on the engine that resumes it.
    fn work(&self) -> RunWork {
        let generated = self.generated_tokens();
        let expected = self.call.expected_tokens().saturating_sub(generated);
        RunWork::Generation {
            kv_tokens: self.call.generation.prompt.0.saturating_add(generated),
            prefill_tokens: 0,
            expected: expected.max(generated / 3),
            generated: 0,
        }
    }

    /// Forwards the remaining events of a stopped generation.
    async fn forward_remaining_events(&mut self) -> Result<(), StreamEnd> {
        let deadline = Instant::now() + REMAINING_EVENTS_TIMEOUT;
        while let Ok(BodyRead::Data(data)) =
            tokio::time::timeout_at(deadline.into(), read_body(&mut self.source.exchange)).await
        {
            if !self.forward_events(&data).await? {
                break;
            }
        }
        // The destination sends the incomplete event again.
        let _ = self.splitter.take_partial();
        Ok(())
    }

    /// Abandons a transfer in progress, which the generation does not need any more.
    pub(crate) fn abandon_transfer(&mut self) {
        if self.transfer.take().is_none() {
            return;
        }
        self.transfer_to = None;
        let key = migration_key(&self.call);
        self.cx.state.borrow_mut().fleet.migrations.cancel(key);
        self.cx.metrics.migrations.with_label_values(&["abandoned"]).inc();
        info!(self.cx.log, "migration abandoned"; "call" => %self.call.id,
            "from" => %self.source.name, "events" => self.events);
    }

    /// Waits for a transfer in progress if the source was asked to stop the generation, which may be why
    /// its response has ended, and abandons any other. Returns the handover if the generation was stopped.
    pub(crate) async fn finish_stop(&mut self) -> Option<Handover> {
        if !self.may_have_stopped() {
            self.abandon_transfer();
        }
        self.finish_transfer().await
    }

    /// Waits for a transfer in progress. Returns the handover if the generation was stopped for it.
    pub(crate) async fn finish_transfer(&mut self) -> Option<Handover> {
        let task = self.transfer.take()?;
        match task.await {
            Ok(Ok(handover)) => Some(handover),
            Ok(Err(err)) => {
                self.handle_transfer_error(&err);
                None
            }
            Err(err) => {
                warn!(self.cx.log, "migration task failed"; "call" => %self.call.id,
                    "error" => %err);
                None
            }
        }
    }
}

/// Returns the identifier of the migration of a generation.
fn migration_key(call: &Call) -> u64 {
    rendezvous::score(call.id.as_str(), MIGRATION_KEY)
}

/// Waits for the result of a transfer, or forever if there is none.
pub(crate) async fn transfer_result(
    transfer: &mut Option<OwnedTask<Result<Handover, TransferError>>>,
) -> Result<Handover, TransferError> {
    match transfer {
        Some(task) => match task.await {
            Ok(result) => result,
            Err(err) => Err(TransferError::Failed(err.to_string())),
        },
        None => std::future::pending().await,
    }
}
