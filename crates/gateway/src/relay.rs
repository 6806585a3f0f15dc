//! Relays one generation from engines to its client, across attempts.
//!
//! A token is delivered when its index is the next one; a token with a lower index is a duplicate
//! and is dropped. When a connection fails or times out, the same attempt is read over a new one.
//! When the engine lost the attempt, a new attempt on another engine continues from the delivered
//! text, so the outputs of two independent samplings are never mixed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use camphorloft_engine::client::{EngineClient, EngineError, TokenStream};
use camphorloft_engine::completion::{Chunk, CompletionBody, ContinueFrom};
use camphorloft_http::problem::Problem;
use camphorloft_types::prelude::*;

use crate::control::{
    AttemptEnd, Control, Directive, Invariant, Placement, PlacementRequest, Refusal,
};
use crate::event_id::{EventId, EventIdKey};
use crate::sink::{Delivery, Sink};
use crate::transcript::Transcript;

/// Consecutive reconnects that may fail before an engine is considered lost.
const MAX_RECONNECTS: u32 = 3;
/// Delay between two reconnects.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Time after its decision for which a placement is valid.
const PLACEMENT_VALIDITY: Duration = Duration::from_secs(1);
/// Interval between progress reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Reason that an attempt ended before its last token.
enum StopReason {
    /// The client disconnected.
    ClientDisconnected,
    /// The engine did not run the attempt.
    NotRun,
    /// The decision core requested a migration.
    Migrated,
    /// The engine lost the attempt.
    EngineLost(String),
}

/// A running attempt and its stream.
pub struct RunningAttempt {
    /// Placement of the attempt.
    pub placement: Placement,
    /// Stream of its tokens.
    pub stream: TokenStream,
}

/// Relays one generation.
pub struct Relay<'a, C>
where
    C: Control,
{
    /// The decision core.
    pub control: &'a Arc<C>,
    /// HTTP client for the engines.
    pub engines: &'a EngineClient,
    /// Key that signs event identifiers.
    pub event_id_key: EventIdKey,
    /// Placement request, updated for each attempt.
    pub request: PlacementRequest,
    /// Body of the request to the engine.
    pub body: CompletionBody,
    /// Delivered part of the generation.
    pub transcript: Transcript,
    /// Destination of the tokens.
    pub sink: Sink,
    /// True when an attempt may have run.
    pub may_have_run: bool,
}

impl<C> Relay<'_, C>
where
    C: Control,
{
    /// Runs attempts until the generation ends, starting with `resumed` if an attempt is already
    /// running. Returns the outcome of the request.
    pub fn run(mut self, resumed: Option<RunningAttempt>) -> Outcome {
        let mut resumed = resumed;
        loop {
            let running = match resumed.take() {
                Some(running) => Ok(running),
                None => self.start_attempt(),
            };
            let result = match running {
                Ok(running) => self.copy(running),
                Err(StartError::Refused(refusal)) => return self.refuse(&refusal),
                Err(StartError::Failed(reason)) => Err(reason),
            };
            let end = match &result {
                Ok(()) => AttemptEnd::Finished,
                Err(StopReason::ClientDisconnected) => AttemptEnd::ClientDisconnected,
                Err(StopReason::NotRun) => AttemptEnd::NotRun,
                Err(StopReason::Migrated) => AttemptEnd::Migrated,
                Err(StopReason::EngineLost(_)) => AttemptEnd::EngineLost,
            };
            let _ = self.report_progress();
            self.control.end_attempt(self.request.generation, self.request.attempt, end);
            match result {
                Ok(()) => return self.finish(),
                Err(StopReason::ClientDisconnected) => return Outcome::Unknown,
                Err(StopReason::NotRun | StopReason::Migrated) => self.prepare_next(),
                Err(StopReason::EngineLost(detail)) => {
                    if self.transcript.text().is_none() {
                        return self.fail_lost(&detail);
                    }
                    self.prepare_next();
                }
            }
        }
    }

    fn finish(self) -> Outcome {
        match self.sink.finish() {
            Ok(()) => Outcome::Completed,
            Err(_) => Outcome::Unknown,
        }
    }

    /// Responds with the refusal. Its outcome is `not_run` only when no attempt may have run.
    fn refuse(self, refusal: &Refusal) -> Outcome {
        let Refusal { status, code, detail, retry_after } = refusal;
        let mut problem = if self.may_have_run {
            Problem::unknown(*status, code, detail.clone())
        } else {
            Problem::not_run(*status, code, detail.clone())
        };
        if let Some(delay) = retry_after {
            problem = problem.retry_after(*delay);
        }
        self.sink.fail(&problem);
        problem.outcome
    }

    /// Responds that the generation cannot be continued, because this host does not have its start.
    fn fail_lost(self, detail: &str) -> Outcome {
        let detail = format!(
            "{detail}; send the request again with Last-Event-ID and the received text in \
             camphorloft.delivered to continue it"
        );
        let problem = Problem::unknown(502, "generation_lost", detail);
        self.sink.fail(&problem);
        problem.outcome
    }

    fn prepare_next(&mut self) {
        self.request.attempt = self.request.attempt.next();
        self.request.delivered = TokenCount(self.transcript.tokens());
    }

    fn start_attempt(&mut self) -> Result<RunningAttempt, StartError> {
        let placement = self.place()?;
        self.request.avoid = Some(placement.endpoint.clone());
        self.body.priority = placement.priority;
        self.body.continue_from = self.delivered_prefix();
        let PlacementRequest { generation, attempt, .. } = self.request;
        let started = self.engines.start(placement.addr, generation, attempt, &self.body);
        match started {
            Ok(stream) => {
                self.may_have_run = true;
                Ok(RunningAttempt { placement, stream })
            }
            Err(err) if err.is_not_run() => Err(StartError::Failed(StopReason::NotRun)),
            Err(err) => {
                self.may_have_run = true;
                self.reconnect_start(placement, &err)
            }
        }
    }

    /// Requests placements until one is still valid. The process may have been paused after the
    /// decision, and the endpoint may have started draining or been removed in the meantime.
    fn place(&mut self) -> Result<Placement, StartError> {
        loop {
            let placement =
                self.control.place(self.request.clone()).map_err(StartError::Refused)?;
            if placement.decided_at.elapsed() <= PLACEMENT_VALIDITY {
                return Ok(placement);
            }
            let PlacementRequest { generation, attempt, .. } = self.request;
            self.control.end_attempt(generation, attempt, AttemptEnd::Expired);
        }
    }

    /// Reads an attempt whose start request was sent but got no response.
    fn reconnect_start(
        &mut self,
        placement: Placement,
        err: &EngineError,
    ) -> Result<RunningAttempt, StartError> {
        match self.reconnect(&placement, err) {
            Ok(stream) => Ok(RunningAttempt { placement, stream }),
            Err(reason) => Err(StartError::Failed(reason)),
        }
    }

    fn delivered_prefix(&self) -> Option<ContinueFrom> {
        let tokens = self.transcript.tokens();
        let text = self.transcript.text().filter(|_| tokens > 0)?;
        Some(ContinueFrom { text: text.to_owned(), tokens })
    }

    /// Copies tokens to the client until the generation ends or the attempt stops.
    fn copy(&mut self, running: RunningAttempt) -> Result<(), StopReason> {
        let RunningAttempt { placement, mut stream } = running;
        let mut reported = Instant::now();
        loop {
            match stream.next_chunk() {
                Ok(Some(chunk)) => {
                    self.deliver(&placement.endpoint, &chunk)?;
                    if !stream.has_buffered() {
                        self.sink.flush().map_err(|_| StopReason::ClientDisconnected)?;
                    }
                }
                Ok(None) => return Ok(()),
                Err(err) => {
                    self.check_migration(&placement)?;
                    stream = self.reconnect(&placement, &err)?;
                }
            }
            if reported.elapsed() >= REPORT_INTERVAL {
                reported = Instant::now();
                self.check_migration(&placement)?;
            }
        }
    }

    /// Reports progress and stops the attempt when the core requests a migration. The attempt
    /// continues when the delivered text is incomplete, because another engine could not continue
    /// from it.
    fn check_migration(&self, placement: &Placement) -> Result<(), StopReason> {
        let requested = self.report_progress() == Directive::Migrate;
        if !requested || self.transcript.text().is_none() {
            return Ok(());
        }
        self.cancel(placement.addr);
        Err(StopReason::Migrated)
    }

    /// Delivers a token if it is the next one and drops it if it is a duplicate.
    fn deliver(&mut self, endpoint: &EndpointName, chunk: &Chunk) -> Result<(), StopReason> {
        let next = self.transcript.tokens();
        if chunk.offset < next {
            return Ok(());
        }
        if chunk.offset > next {
            let detail = format!("token {} arrived where {} was due", chunk.offset, next);
            return Err(StopReason::EngineLost(detail));
        }
        let Some(choice) = chunk.choices.first() else {
            return Err(StopReason::EngineLost("a chunk has no choice".to_owned()));
        };
        self.transcript.push(&choice.text);
        if self.transcript.tokens() != chunk.offset + 1 {
            self.control
                .report_violation(Invariant::TokenOrder, "a token was delivered out of order");
        }
        let event_id = self.event_id_key.sign(&EventId {
            generation: self.request.generation,
            attempt: self.request.attempt,
            offset: chunk.offset,
            text_digest: self.transcript.digest(),
            endpoint: endpoint.clone(),
        });
        self.sink.push(&Delivery { chunk, event_id: &event_id });
        Ok(())
    }

    /// Reads the attempt over a new connection. After [`MAX_RECONNECTS`] failures, or when the
    /// engine no longer has the attempt, cancels it and returns [`StopReason::EngineLost`].
    fn reconnect(
        &mut self,
        placement: &Placement,
        err: &EngineError,
    ) -> Result<TokenStream, StopReason> {
        let mut last = err.to_string();
        for _ in 0..MAX_RECONNECTS {
            self.sink.flush().map_err(|_| StopReason::ClientDisconnected)?;
            self.sink.probe().map_err(|_| StopReason::ClientDisconnected)?;
            let PlacementRequest { generation, attempt, .. } = self.request;
            let from = self.transcript.tokens();
            match self.engines.resume(placement.addr, generation, attempt, from) {
                Ok(stream) => return Ok(stream),
                Err(EngineError::UnknownGeneration) => {
                    last = EngineError::UnknownGeneration.to_string();
                    break;
                }
                Err(err) => last = err.to_string(),
            }
            std::thread::sleep(RECONNECT_DELAY);
        }
        self.cancel(placement.addr);
        Err(StopReason::EngineLost(format!("endpoint {}: {last}", placement.endpoint)))
    }

    /// Cancels an attempt that will be replaced, in case its engine is still running it.
    fn cancel(&self, addr: SocketAddr) {
        let PlacementRequest { generation, attempt, .. } = self.request;
        // If this call fails, the engine cancels the attempt because its stream has no reader.
        let _ = self.engines.cancel(addr, generation, attempt);
    }

    fn report_progress(&self) -> Directive {
        let tokens = TokenCount(self.transcript.tokens());
        self.control.report_progress(self.request.generation, tokens)
    }
}

/// Reason that an attempt did not start.
enum StartError {
    /// The decision core refused to place it.
    Refused(Refusal),
    /// The attempt failed to start on its engine, or the client disconnected.
    Failed(StopReason),
}
