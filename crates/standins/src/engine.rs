//! Serves the engine model over HTTP and runs its steps in real time.
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
use crate::engine_state::{EngineRecord, Generation, REPORT_LAG, SequenceOutput, State, lock};
use crate::text_model::{chain_of_text, chain_start};

/// Time after which a generation without a reader is cancelled.
const DETACHED_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a finished generation can still be read.
const FINISHED_RETENTION: Duration = Duration::from_secs(60);
/// Longest wait between two steps of an idle engine.
const IDLE_WAIT: Duration = Duration::from_millis(5);
/// Interval between purges of old generations.
const PURGE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum size of a request body.
const MAX_BODY_SIZE: ByteSize = ByteSize(4 << 20);
/// Maximum number of requests in flight.
const MAX_IN_FLIGHT: usize = 6000;
/// Bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Text that makes a prompt crash the engine.
const POISON_MARKER: &str = "POISON";

/// Settings of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Address to listen on; port 0 selects a free port.
    pub addr: SocketAddr,
    /// Step times and limits.
    pub limits: EngineLimits,
    /// Models that are loaded at the start.
    pub models: Vec<String>,
    /// True when commands with an outdated fencing token are rejected.
    pub checks_fencing: bool,
    /// True when a crash terminates the process.
    pub exit_on_crash: bool,
    /// Interval between tokens when each stream is paced independently of the model. The timing of
    /// the model's steps would distort a measurement of the relay.
    pub token_interval: Option<Duration>,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// A running engine stand-in.
pub struct Engine {
    settings: EngineSettings,
    state: Mutex<State>,
    wake: Condvar,
    stop: Arc<AtomicBool>,
}

/// Handle of a running engine. Dropping it stops the threads of the engine.
pub struct EngineHandle {
    /// Address on which the engine listens.
    pub addr: SocketAddr,
    /// The engine.
    pub engine: Arc<Engine>,
}

impl Drop for EngineHandle {
    fn drop(&mut self) {
        self.engine.stop.store(true, Ordering::Relaxed);
    }
}

/// Starts an engine on threads of the current process.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
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
    /// Injects a fault.
    pub fn inject(&self, fault: EngineFault) {
        let mut state = lock(&self.state);
        let now = Instant::now();
        match fault {
            EngineFault::Crash(ms) => {
                if self.settings.exit_on_crash {
                    std::process::exit(3);
                }
                state.abort_all();
                state.down_until = Some(now + Duration::from_millis(ms));
            }
            EngineFault::Freeze(ms) => {
                state.frozen_until = Some(now + Duration::from_millis(ms));
            }
            EngineFault::SilenceStreams => state.silence_count += 1,
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

    /// Returns the current load, without the delay of load reports.
    pub fn load_now(&self) -> crate::engine_model::Load {
        lock(&self.state).model.load()
    }

    /// Returns the record that tests and benchmarks check after a run.
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

    /// Runs one step of the model and publishes its tokens. Returns the simulated duration of the
    /// step, which is zero when the engine is idle, down or frozen.
    fn step_once(&self) -> Duration {
        let mut state = lock(&self.state);
        if state.reclaim_at.is_some_and(|at| Instant::now() >= at) {
            state.reclaim_at = None;
            state.abort_all();
            state.down_until = Some(Instant::now() + FINISHED_RETENTION);
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
                return finished.elapsed() < FINISHED_RETENTION;
            }
            let detached = progress.last_disconnect.filter(|_| progress.readers == 0);
            let keep = detached.is_none_or(|at| at.elapsed() < DETACHED_TIMEOUT);
            if !keep {
                cancelled.push(generation.sequence);
            }
            keep
        });
        for sequence in cancelled {
            state.model.cancel(sequence);
            state.outputs.remove(&sequence);
        }
    }

    fn submit(&self, key: &str, body: &CompletionBody) -> Result<Arc<Generation>, &'static str> {
        let mut state = lock(&self.state);
        if state.draining {
            state.record.received_while_draining.push(Instant::now());
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
        let prompt_tokens = (body.prompt.len() / BYTES_PER_TOKEN) as u32 + offset + 1;
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
            let output = SequenceOutput {
                generation: generation.clone(),
                chain,
                salt,
                offset,
                poison: body.prompt.contains(POISON_MARKER),
                start,
                truncated: wanted > limit,
            };
            state.outputs.insert(sequence, output);
        }
        state.generations.insert(key.to_owned(), generation.clone());
        drop(state);
        self.wake.notify_all();
        Ok(generation)
    }

    /// Streams the tokens from ordinal `from` onwards as they are decoded.
    fn stream(&self, req: Request, generation: &Generation, from: u32) {
        let silence_count = lock(&self.state).silence_count;
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
            self.block_if_silenced(silence_count);
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
        progress.last_disconnect = Some(Instant::now());
    }

    /// Blocks a stream until the engine stops if a `SilenceStreams` fault occurred since it was
    /// opened.
    fn block_if_silenced(&self, count_at_open: u64) {
        while lock(&self.state).silence_count != count_at_open && !self.stop.load(Ordering::Relaxed)
        {
            thread::sleep(REPORT_LAG);
        }
    }

    fn complete(&self, mut req: Request) {
        let Some(body) = parse_body::<CompletionBody>(&mut req) else {
            return respond_text(req, 400, "the body is not a completion request");
        };
        if let Some(interval) = self.settings.token_interval {
            return stream_paced(req, &body, interval, &self.stop);
        }
        let generation = header(&req, "x-generation").unwrap_or("none").to_owned();
        let attempt = header(&req, "x-attempt").unwrap_or("0").to_owned();
        match self.submit(&format!("{generation}/{attempt}"), &body) {
            Ok(generation) => self.stream(req, &generation, 0),
            Err(reason) => respond_not_run(req, reason),
        }
    }

    fn resume(&self, req: Request, key: &str, from: u32) {
        let generation = {
            let state = lock(&self.state);
            if state.is_down() { None } else { state.generations.get(key).cloned() }
        };
        match generation {
            Some(generation) => self.stream(req, &generation, from),
            None => respond_text(req, 404, "the generation is not known"),
        }
    }

    fn cancel(&self, req: Request, key: &str) {
        let mut state = lock(&self.state);
        if let Some(generation) = state.generations.remove(key) {
            state.model.cancel(generation.sequence);
            state.outputs.remove(&generation.sequence);
            lock(&generation.progress).lost = true;
            generation.changed.notify_all();
        }
        drop(state);
        respond_text(req, 200, "cancelled");
    }

    fn apply_command(&self, mut req: Request) {
        let Some(command) = parse_body::<ModelCommand>(&mut req) else {
            return respond_text(req, 400, "the body is not an order");
        };
        let mut state = lock(&self.state);
        if self.settings.checks_fencing && command.fencing < state.fencing {
            drop(state);
            return respond_text(req, 412, "the fencing number is old");
        }
        state.fencing = state.fencing.max(command.fencing);
        state.models.retain(|model| *model != command.model.as_str());
        if command.action == ModelAction::Load {
            state.models.push(command.model.to_string());
        }
        state.record.commands.push(command);
        drop(state);
        respond_text(req, 200, "done");
    }

    fn cache_events(&self, req: Request, after: usize) {
        let state = lock(&self.state);
        let events = state.cache_events.get(after..).unwrap_or_default().to_vec();
        let next = state.cache_events.len();
        drop(state);
        respond_json(req, &CacheEvents { next, prefixes: events });
    }
}

impl Handler for Engine {
    fn handle(&self, req: Request) {
        let url = req.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let number = query.split_once('=').and_then(|(_, n)| n.parse().ok()).unwrap_or(0);
        if lock(&self.state).is_down() && path != "/faults" {
            return respond_not_run(req, "the engine is down");
        }
        let key = path.strip_prefix("/v1/generations/");
        match (req.method(), path, key) {
            (Method::Post, "/v1/completions", _) => self.complete(req),
            (Method::Get, _, Some(key)) => self.resume(req, key, number as u32),
            (Method::Delete, _, Some(key)) => self.cancel(req, key),
            (Method::Get, "/load", _) => {
                let report = lock(&self.state).lagged_report();
                respond_json(req, &report);
            }
            (Method::Get, "/cache_events", _) => self.cache_events(req, number),
            (Method::Post, "/orders", _) => self.apply_command(req),
            (Method::Post, "/faults", _) => self.handle_fault(req),
            _ => respond_text(req, 404, "no such path"),
        }
    }
}

impl Engine {
    fn handle_fault(&self, mut req: Request) {
        match parse_body::<EngineFault>(&mut req) {
            Some(fault) => {
                respond_text(req, 200, "done");
                self.inject(fault);
            }
            None => respond_text(req, 400, "the body is not a fault"),
        }
    }
}

/// Reads and parses a JSON body. Returns `None` when either fails.
pub(crate) fn parse_body<Body>(req: &mut Request) -> Option<Body>
where
    Body: DeserializeOwned,
{
    serde_json::from_slice(&read_body(req, MAX_BODY_SIZE).ok()?).ok()
}

/// Responds with plain text.
pub(crate) fn respond_text(req: Request, status: u16, text: &str) {
    let _ = req.respond(Response::from_string(text).with_status_code(status));
}

/// Responds with JSON.
pub(crate) fn respond_json<Body>(req: Request, body: &Body)
where
    Body: Serialize,
{
    let text = serde_json::to_string(body).unwrap_or_default();
    let json = response_header("content-type", "application/json");
    let _ = req.respond(Response::from_string(text).with_header(json));
}

/// Responds that the request was rejected without running it.
fn respond_not_run(req: Request, reason: &str) {
    let not_run = response_header("x-not-run", "true");
    let _ = req.respond(Response::from_string(reason).with_status_code(503).with_header(not_run));
}
