//! Carries one generation from engines to its caller, across attempts.
//!
//! A token is delivered when its ordinal is the next one; an older ordinal is a repetition and is
//! dropped. When a connection goes silent, the same attempt is read over a new connection. When
//! the engine lost the attempt, a new attempt continues the delivered text on another engine, so
//! two independent samplings are never joined.

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
use crate::event_id::{EventId, SealKey};
use crate::sink::{Delivery, Sink};
use crate::transcript::Transcript;

/// New connections tried, without any token between them, before an engine is called lost.
const MAX_RECONNECTS: u32 = 3;
/// Wait between two of them.
const RECONNECT_WAIT: Duration = Duration::from_millis(100);
/// Time after its decision in which a placement may be used.
const PLACEMENT_VALIDITY: Duration = Duration::from_secs(1);
/// Time between progress reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Why a relay stopped before the last token.
enum Stop {
    /// The caller left.
    CallerLeft,
    /// The engine did not run the attempt.
    NotRun,
    /// The core wants the attempt elsewhere.
    Moved,
    /// The engine lost the attempt.
    EngineLost(String),
}

/// An attempt that is being relayed.
pub struct Running {
    /// Where it runs.
    pub placement: Placement,
    /// Its stream.
    pub stream: TokenStream,
}

/// Carries one generation.
pub struct Relay<'a, C>
where
    C: Control,
{
    /// The decision core.
    pub control: &'a Arc<C>,
    /// Client of the engines.
    pub engines: &'a EngineClient,
    /// Key that seals event identifiers.
    pub seal: SealKey,
    /// Request for a place, updated per attempt.
    pub request: PlacementRequest,
    /// Body for the engine.
    pub body: CompletionBody,
    /// Delivered part.
    pub transcript: Transcript,
    /// Where tokens go.
    pub sink: Sink,
    /// True once an attempt may have run.
    pub may_have_run: bool,
}

impl<C> Relay<'_, C>
where
    C: Control,
{
    /// Runs attempts until the generation ends, starting with one that already runs, if any.
    /// Returns how the request ended.
    pub fn run(mut self, resumed: Option<Running>) -> Outcome {
        let mut resumed = resumed;
        loop {
            let running = match resumed.take() {
                Some(running) => Ok(running),
                None => self.start_attempt(),
            };
            let result = match running {
                Ok(running) => self.copy(running),
                Err(Start::Refused(refusal)) => return self.refuse(&refusal),
                Err(Start::Failed(stop)) => Err(stop),
            };
            let end = match &result {
                Ok(()) => AttemptEnd::Finished,
                Err(Stop::CallerLeft) => AttemptEnd::CallerLeft,
                Err(Stop::NotRun) => AttemptEnd::NotRun,
                Err(Stop::Moved) => AttemptEnd::Moved,
                Err(Stop::EngineLost(_)) => AttemptEnd::EngineLost,
            };
            let _ = self.report_progress();
            self.control.end_attempt(self.request.generation, self.request.attempt, end);
            match result {
                Ok(()) => return self.finish(),
                Err(Stop::CallerLeft) => return Outcome::Unknown,
                Err(Stop::NotRun | Stop::Moved) => self.prepare_next(),
                Err(Stop::EngineLost(detail)) => {
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

    /// Answers with the refusal. It is `not_run` only when no attempt may have run.
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

    /// Answers that the generation cannot be continued because its start is not known here.
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

    fn start_attempt(&mut self) -> Result<Running, Start> {
        let placement = self.place()?;
        self.request.avoid = Some(placement.endpoint.clone());
        self.body.priority = placement.priority;
        self.body.continue_from = self.delivered_prefix();
        let PlacementRequest { generation, attempt, .. } = self.request;
        let started = self.engines.start(placement.addr, generation, attempt, &self.body);
        match started {
            Ok(stream) => {
                self.may_have_run = true;
                Ok(Running { placement, stream })
            }
            Err(err) if err.is_not_run() => Err(Start::Failed(Stop::NotRun)),
            Err(err) => {
                self.may_have_run = true;
                self.reconnect_start(placement, &err)
            }
        }
    }

    /// Asks for a place until one is given that is still valid. Between the decision and this
    /// point the process may have been paused, and the endpoint may have left meanwhile.
    fn place(&mut self) -> Result<Placement, Start> {
        loop {
            let placement = self.control.place(self.request.clone()).map_err(Start::Refused)?;
            if placement.decided_at.elapsed() <= PLACEMENT_VALIDITY {
                return Ok(placement);
            }
            let PlacementRequest { generation, attempt, .. } = self.request;
            self.control.end_attempt(generation, attempt, AttemptEnd::Expired);
        }
    }

    /// Looks for an attempt whose start was sent but not answered.
    fn reconnect_start(
        &mut self,
        placement: Placement,
        err: &EngineError,
    ) -> Result<Running, Start> {
        match self.reconnect(&placement, err) {
            Ok(stream) => Ok(Running { placement, stream }),
            Err(stop) => Err(Start::Failed(stop)),
        }
    }

    fn delivered_prefix(&self) -> Option<ContinueFrom> {
        let tokens = self.transcript.tokens();
        let text = self.transcript.text().filter(|_| tokens > 0)?;
        Some(ContinueFrom { text: text.to_owned(), tokens })
    }

    /// Copies tokens until the generation ends or the attempt is lost.
    fn copy(&mut self, running: Running) -> Result<(), Stop> {
        let Running { placement, mut stream } = running;
        let mut reported = Instant::now();
        loop {
            match stream.next_chunk() {
                Ok(Some(chunk)) => {
                    self.deliver(&placement.endpoint, &chunk)?;
                    if !stream.has_buffered() {
                        self.sink.flush().map_err(|_| Stop::CallerLeft)?;
                    }
                }
                Ok(None) => return Ok(()),
                Err(err) => {
                    self.move_if_told(&placement)?;
                    stream = self.reconnect(&placement, &err)?;
                }
            }
            if reported.elapsed() >= REPORT_INTERVAL {
                reported = Instant::now();
                self.move_if_told(&placement)?;
            }
        }
    }

    /// Reports progress and stops the attempt when the core wants it elsewhere.
    fn move_if_told(&self, placement: &Placement) -> Result<(), Stop> {
        let told = self.report_progress() == Directive::Move;
        if !told || self.transcript.text().is_none() {
            return Ok(());
        }
        self.cancel(placement.addr);
        Err(Stop::Moved)
    }

    /// Delivers a token if it is the next one.
    fn deliver(&mut self, endpoint: &EndpointName, chunk: &Chunk) -> Result<(), Stop> {
        let next = self.transcript.tokens();
        if chunk.offset < next {
            return Ok(());
        }
        if chunk.offset > next {
            let detail = format!("token {} arrived where {} was due", chunk.offset, next);
            return Err(Stop::EngineLost(detail));
        }
        let Some(choice) = chunk.choices.first() else {
            return Err(Stop::EngineLost("a chunk has no choice".to_owned()));
        };
        self.transcript.push(&choice.text);
        if self.transcript.tokens() != chunk.offset + 1 {
            self.control.violated(Invariant::TokenOrder, "a token was delivered out of order");
        }
        let event_id = self.seal.seal(&EventId {
            generation: self.request.generation,
            attempt: self.request.attempt,
            offset: chunk.offset,
            text_digest: self.transcript.digest(),
            endpoint: endpoint.clone(),
        });
        self.sink.push(&Delivery { chunk, event_id: &event_id });
        Ok(())
    }

    /// Reads the attempt over new connections before its engine is called lost.
    fn reconnect(&mut self, placement: &Placement, err: &EngineError) -> Result<TokenStream, Stop> {
        let mut last = err.to_string();
        for _ in 0..MAX_RECONNECTS {
            self.sink.flush().map_err(|_| Stop::CallerLeft)?;
            self.sink.probe().map_err(|_| Stop::CallerLeft)?;
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
            std::thread::sleep(RECONNECT_WAIT);
        }
        self.cancel(placement.addr);
        Err(Stop::EngineLost(format!("endpoint {}: {last}", placement.endpoint)))
    }

    /// Tells an engine that may still live to stop an attempt that will be replaced.
    fn cancel(&self, addr: SocketAddr) {
        let PlacementRequest { generation, attempt, .. } = self.request;
        // The engine cancels an attempt without a reader by itself when this call fails.
        let _ = self.engines.cancel(addr, generation, attempt);
    }

    fn report_progress(&self) -> Directive {
        let tokens = TokenCount(self.transcript.tokens());
        self.control.report_progress(self.request.generation, tokens)
    }
}

/// Why an attempt did not start.
enum Start {
    /// The core refused it.
    Refused(Refusal),
    /// The engine did not take it.
    Failed(Stop),
}
