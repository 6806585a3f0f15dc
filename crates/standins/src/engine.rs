//! The engine model behind HTTP, stepped in real time.
//!
//! Paths: `POST /v1/completions`, `GET` and `DELETE /v1/generations/ID/ATTEMPT`, `GET /load`,
//! `GET /cache_events?after=N`, `POST /orders`, `POST /faults`.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use camphorloft_engine::command::{ModelAction, ModelCommand};
use camphorloft_engine::completion::{CompletionBody, DONE};
use camphorloft_engine::load_report::CacheEvents;
use camphorloft_http::body::read_body;
use camphorloft_http::event_stream::EventStream;
use camphorloft_http::header::{header, response_header};
use camphorloft_http::listener::bind;
use camphorloft_http::serve::{Handler, InFlightCount, serve};
use camphorloft_types::prelude::ByteSize;
use rand::Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tiny_http::{Method, Request, Response, Server};

use crate::engine_http::{EngineFault, StandinHints};
use crate::engine_model::{EngineLimits, SequenceId, Submission};
use crate::engine_paced::stream_paced;
use crate::engine_state::{EngineRecord, Generation, REPORT_LAG, State, Writing, lock};
use crate::text_model::{chain_of_text, chain_start};

/// Time that a generation without a reader keeps running.
const DETACH_GRACE: Duration = Duration::from_secs(10);
/// Time that a finished generation can still be read.
const KEEP_FINISHED: Duration = Duration::from_secs(60);
/// Wait of an idle engine.
const IDLE_WAIT: Duration = Duration::from_millis(5);
/// Time between two purges of old generations.
const PURGE_INTERVAL: Duration = Duration::from_secs(1);
/// Largest body.
const MAX_BODY: ByteSize = ByteSize(4 << 20);
/// Requests in flight.
const MAX_IN_FLIGHT: usize = 6000;
/// Characters that count as one token of a prompt.
const CHARACTERS_PER_TOKEN: usize = 4;
/// Prompt text that crashes the engine.
const POISON: &str = "POISON";

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Listening address; port 0 picks a free one.
    pub addr: SocketAddr,
    /// Costs and limits.
    pub limits: EngineLimits,
    /// Models that are loaded at the start.
    pub models: Vec<String>,
    /// True when orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// True when a crash ends the process.
    pub exit_on_crash: bool,
    /// Time between tokens when every stream is paced by itself instead of by the model, so that
    /// a measurement of the relay is not blurred by the phase of the engine's steps.
    pub paced: Option<Duration>,
    /// Seed of the samplings.
    pub seed: u64,
}

/// A running engine stand-in.
pub struct Engine {
    settings: EngineSettings,
    state: Mutex<State>,
    wake: Condvar,
    stop: Arc<AtomicBool>,
}

/// Owner of an engine and of its threads.
pub struct EngineHandle {
    /// Address that the engine listens on.
    pub addr: SocketAddr,
    /// The engine.
    pub engine: Arc<Engine>,
}

impl Drop for EngineHandle {
    fn drop(&mut self) {
        self.engine.stop.store(true, Ordering::Relaxed);
    }
}

/// Starts an engine on threads of this process.
///
/// # Errors
///
/// Returns the error of binding its address.
pub fn start_engine(settings: EngineSettings) -> std::io::Result<EngineHandle> {
    let (server, addr) = bind(settings.addr)?;
    let stop = Arc::new(AtomicBool::new(false));
    let state = State::new(&settings);
    let engine =
        Arc::new(Engine { settings, state: Mutex::new(state), wake: Condvar::new(), stop });
    let stepping = engine.clone();
    thread::spawn(move || stepping.run_steps());
    let serving = engine.clone();
    thread::spawn(move || serve_engine(&server, &serving));
    Ok(EngineHandle { addr, engine })
}

fn serve_engine(server: &Server, engine: &Arc<Engine>) {
    serve(server, engine, &engine.stop, &InFlightCount::default(), MAX_IN_FLIGHT);
}

impl Engine {
    /// Shows a fault.
    pub fn inject(&self, fault: EngineFault) {
        let mut state = lock(&self.state);
        let now = Instant::now();
        match fault {
            EngineFault::Crash(ms) => {
                if self.settings.exit_on_crash {
                    std::process::exit(3);
                }
                state.lose_everything();
                state.down_until = Some(now + Duration::from_millis(ms));
            }
            EngineFault::Freeze(ms) => {
                state.frozen_until = Some(now + Duration::from_millis(ms));
            }
            EngineFault::SilenceStreams => state.silenced += 1,
            EngineFault::Drain => state.start_draining(now),
            EngineFault::Return => {
                state.draining = false;
                state.down_until = None;
                state.record.draining_since = None;
            }
            EngineFault::Reclaim(ms) => {
                state.start_draining(now);
                state.reclaim_at = Some(now + Duration::from_millis(ms));
            }
        }
        drop(state);
        self.wake.notify_all();
    }

    /// Returns the load at this instant, without the lag.
    pub fn load_now(&self) -> crate::engine_model::Load {
        lock(&self.state).model.load()
    }

    /// Returns what an experiment checks afterwards.
    pub fn record(&self) -> EngineRecord {
        lock(&self.state).record.clone()
    }

    fn run_steps(&self) {
        let mut purge_at = Instant::now() + PURGE_INTERVAL;
        while !self.stop.load(Ordering::Relaxed) {
            let started = Instant::now();
            let busy = self.step_once();
            if Instant::now() >= purge_at {
                self.purge();
                purge_at = Instant::now() + PURGE_INTERVAL;
            }
            if busy.is_zero() {
                let state = lock(&self.state);
                let _ = self.wake.wait_timeout(state, IDLE_WAIT);
            } else {
                thread::sleep(busy.saturating_sub(started.elapsed()));
            }
        }
    }

    /// Runs one step of the model and publishes its tokens. Returns the time it takes.
    fn step_once(&self) -> Duration {
        let mut state = lock(&self.state);
        if state.reclaim_at.is_some_and(|at| Instant::now() >= at) {
            state.reclaim_at = None;
            state.lose_everything();
            state.down_until = Some(Instant::now() + KEEP_FINISHED);
        }
        if state.is_down() || state.is_frozen() {
            return Duration::ZERO;
        }
        let (busy, events) = state.model.step();
        let events = events.to_vec();
        let mut poisoned = false;
        for event in &events {
            poisoned |= state.publish(*event);
        }
        state.report_load();
        state.publish_cache_events();
        drop(state);
        if poisoned {
            const RESTART_MS: u64 = 500;
            self.inject(EngineFault::Crash(RESTART_MS));
        }
        busy
    }

    fn purge(&self) {
        let mut state = lock(&self.state);
        let mut cancelled = Vec::new();
        state.generations.retain(|_, generation| {
            let progress = lock(&generation.progress);
            if let Some(finished) = progress.finished {
                return finished.elapsed() < KEEP_FINISHED;
            }
            let left = progress.reader_left.filter(|_| progress.readers == 0);
            let keep = left.is_none_or(|left| left.elapsed() < DETACH_GRACE);
            if !keep {
                cancelled.push(generation.sequence);
            }
            keep
        });
        for sequence in cancelled {
            state.model.cancel(sequence);
            state.writing.remove(&sequence);
        }
    }

    fn submit(&self, key: &str, body: &CompletionBody) -> Result<Arc<Generation>, &'static str> {
        let mut state = lock(&self.state);
        if state.draining {
            state.record.offered_while_draining.push(Instant::now());
        }
        if state.is_down() || state.draining {
            return Err("the engine accepts no work");
        }
        if let Some(generation) = state.generations.get(key) {
            return Ok(generation.clone());
        }
        state.next_sequence += 1;
        let sequence = SequenceId(state.next_sequence);
        let start = chain_start(&body.prompt);
        *state.record.started.entry(start).or_default() += 1;
        let delivered = body.continue_from.as_ref();
        let chain = delivered.map_or(start, |d| chain_of_text(start, &d.text));
        let offset = delivered.map_or(0, |d| d.tokens);
        let salt = state.rng.random();
        let hints = StandinHints::of(body);
        let wanted = hints.output_tokens.unwrap_or_else(|| 8 + (start % 48) as u32);
        let limit = body.max_tokens.unwrap_or(u32::MAX);
        let total = wanted.min(limit).max(1);
        let generation = Arc::new(Generation {
            sequence,
            base: offset,
            progress: Mutex::default(),
            changed: Condvar::new(),
        });
        let prompt_tokens = (body.prompt.len() / CHARACTERS_PER_TOKEN) as u32 + offset + 1;
        if total <= offset {
            lock(&generation.progress).finished = Some(Instant::now());
        } else {
            state.model.submit(Submission {
                id: sequence,
                prompt_tokens,
                prefix: start,
                prefix_tokens: prompt_tokens,
                output_tokens: total - offset,
                priority: body.priority,
            });
            let writing = Writing {
                generation: generation.clone(),
                chain,
                salt,
                offset,
                poison: body.prompt.contains(POISON),
                start,
                truncated: wanted > limit,
            };
            state.writing.insert(sequence, writing);
        }
        state.generations.insert(key.to_owned(), generation.clone());
        drop(state);
        self.wake.notify_all();
        Ok(generation)
    }

    /// Copies tokens to the connection as they are decoded, from ordinal `from` on.
    fn stream(&self, req: Request, generation: &Generation, from: u32) {
        let silenced = lock(&self.state).silenced;
        let Ok(mut stream) = EventStream::start(req, &[]) else { return };
        lock(&generation.progress).readers += 1;
        let mut sent = from.saturating_sub(generation.base) as usize;
        let mut connected = true;
        while connected && !self.stop.load(Ordering::Relaxed) {
            let mut progress = lock(&generation.progress);
            while progress.events.len() <= sent && progress.finished.is_none() && !progress.lost {
                let wait = generation.changed.wait_timeout(progress, PURGE_INTERVAL);
                progress = wait.unwrap_or_else(PoisonError::into_inner).0;
            }
            if progress.lost {
                break;
            }
            let mut out: String = progress.events.get(sent..).unwrap_or_default().concat();
            sent = progress.events.len().max(sent);
            let finished = progress.finished.is_some();
            drop(progress);
            self.hold_if_silenced(silenced);
            if finished {
                out.push_str(&format!("data: {DONE}\n\n"));
            }
            connected = stream.send(out.as_bytes()).is_ok();
            if finished {
                break;
            }
        }
        let mut progress = lock(&generation.progress);
        progress.readers -= 1;
        progress.reader_left = Some(Instant::now());
    }

    /// Holds a stream that went silent until the engine stops.
    fn hold_if_silenced(&self, opened_at: u64) {
        while lock(&self.state).silenced != opened_at && !self.stop.load(Ordering::Relaxed) {
            thread::sleep(REPORT_LAG);
        }
    }

    fn complete(&self, mut req: Request) {
        let Some(body) = parse_body::<CompletionBody>(&mut req) else {
            return answer_text(req, 400, "the body is not a completion request");
        };
        if let Some(interval) = self.settings.paced {
            return stream_paced(req, &body, interval, &self.stop);
        }
        let generation = header(&req, "x-generation").unwrap_or("none").to_owned();
        let attempt = header(&req, "x-attempt").unwrap_or("0").to_owned();
        match self.submit(&format!("{generation}/{attempt}"), &body) {
            Ok(generation) => self.stream(req, &generation, 0),
            Err(what) => answer_refusal(req, what),
        }
    }

    fn resume(&self, req: Request, key: &str, from: u32) {
        let generation = {
            let state = lock(&self.state);
            if state.is_down() { None } else { state.generations.get(key).cloned() }
        };
        match generation {
            Some(generation) => self.stream(req, &generation, from),
            None => answer_text(req, 404, "the generation is not known"),
        }
    }

    fn cancel(&self, req: Request, key: &str) {
        let mut state = lock(&self.state);
        if let Some(generation) = state.generations.remove(key) {
            state.model.cancel(generation.sequence);
            state.writing.remove(&generation.sequence);
            lock(&generation.progress).lost = true;
            generation.changed.notify_all();
        }
        drop(state);
        answer_text(req, 200, "cancelled");
    }

    fn order(&self, mut req: Request) {
        let Some(order) = parse_body::<ModelCommand>(&mut req) else {
            return answer_text(req, 400, "the body is not an order");
        };
        let mut state = lock(&self.state);
        if self.settings.checks_fencing && order.fencing < state.fencing {
            drop(state);
            return answer_text(req, 412, "the fencing number is old");
        }
        state.fencing = state.fencing.max(order.fencing);
        state.models.retain(|model| *model != order.model.as_str());
        if order.action == ModelAction::Load {
            state.models.push(order.model.to_string());
        }
        state.record.orders.push(order);
        drop(state);
        answer_text(req, 200, "done");
    }

    fn cache_events(&self, req: Request, after: usize) {
        let state = lock(&self.state);
        let events = state.cache_events.get(after..).unwrap_or_default().to_vec();
        let next = state.cache_events.len();
        drop(state);
        answer_json(req, &CacheEvents { next, prefixes: events });
    }
}

impl Handler for Engine {
    fn handle(&self, req: Request) {
        let url = req.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let number = query.split_once('=').and_then(|(_, n)| n.parse().ok()).unwrap_or(0);
        if lock(&self.state).is_down() && path != "/faults" {
            return answer_refusal(req, "the engine is down");
        }
        let key = path.strip_prefix("/v1/generations/");
        match (req.method(), path, key) {
            (Method::Post, "/v1/completions", _) => self.complete(req),
            (Method::Get, _, Some(key)) => self.resume(req, key, number as u32),
            (Method::Delete, _, Some(key)) => self.cancel(req, key),
            (Method::Get, "/load", _) => {
                let report = lock(&self.state).lagged_report();
                answer_json(req, &report);
            }
            (Method::Get, "/cache_events", _) => self.cache_events(req, number),
            (Method::Post, "/orders", _) => self.order(req),
            (Method::Post, "/faults", _) => self.fault(req),
            _ => answer_text(req, 404, "no such path"),
        }
    }
}

impl Engine {
    fn fault(&self, mut req: Request) {
        match parse_body::<EngineFault>(&mut req) {
            Some(fault) => {
                answer_text(req, 200, "done");
                self.inject(fault);
            }
            None => answer_text(req, 400, "the body is not a fault"),
        }
    }
}

/// Reads a JSON body.
pub(crate) fn parse_body<Body>(req: &mut Request) -> Option<Body>
where
    Body: DeserializeOwned,
{
    serde_json::from_slice(&read_body(req, MAX_BODY).ok()?).ok()
}

/// Answers with plain text.
pub(crate) fn answer_text(req: Request, status: u16, text: &str) {
    let _ = req.respond(Response::from_string(text).with_status_code(status));
}

/// Answers with JSON.
pub(crate) fn answer_json<Body>(req: Request, body: &Body)
where
    Body: Serialize,
{
    let text = serde_json::to_string(body).unwrap_or_default();
    let json = response_header("content-type", "application/json");
    let _ = req.respond(Response::from_string(text).with_header(json));
}

/// Refuses work that was not run.
fn answer_refusal(req: Request, what: &str) {
    let not_run = response_header("x-not-run", "true");
    let _ = req.respond(Response::from_string(what).with_status_code(503).with_header(not_run));
}
