//! Clients of a relay measurement, identical for both targets.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

use camphorloft_http::client::{Deadlines, unpooled_agent};
use camphorloft_http::event_reader::{EventReader, event_data};
use hdrhistogram::Histogram;
use serde_json::json;
use ureq::Agent;

use super::{Shared, merge};

/// Stack size of a client thread.
const STACK_BYTES: usize = 256 * 1024;
/// Number of streams started per second: the request rate of one host in the largest intended
/// deployment.
const STARTS_PER_SECOND: f64 = 125.0;
const MAX_MICROS: u64 = 60_000_000;

/// Streams to run.
#[derive(Clone, Copy, Debug)]
pub struct StreamPlan {
    /// Number of concurrent streams.
    pub streams: usize,
    /// Interval between tokens.
    pub token_interval: Duration,
    /// Duration for which all streams run concurrently.
    pub window: Duration,
}

impl StreamPlan {
    /// Returns the duration over which the streams are started.
    pub fn ramp_up(&self) -> Duration {
        Duration::from_secs_f64(self.streams as f64 / STARTS_PER_SECOND)
    }

    /// Returns the number of tokens per stream, enough for all streams to run during the window.
    pub fn tokens(&self) -> u32 {
        const MARGIN: Duration = Duration::from_secs(2);
        let duration = self.ramp_up() + self.window + MARGIN;
        (duration.as_secs_f64() / self.token_interval.as_secs_f64()) as u32
    }
}

/// The server that a stream is requested from.
#[derive(Clone, Debug)]
pub enum Target {
    /// An engine.
    Engine(SocketAddr),
    /// A host.
    Host {
        /// Address.
        addr: SocketAddr,
        /// API key of the organisation.
        key: String,
        /// Route.
        route: String,
    },
}

/// Measurements of the clients.
pub struct Measured {
    /// Time to the first token, in microseconds.
    pub first_tokens: Histogram<u64>,
    /// Time between tokens, in microseconds.
    pub gaps: Histogram<u64>,
    /// Tokens received.
    pub tokens: u64,
    /// Tokens received during the window in which all streams run.
    pub window_tokens: u64,
    /// Streams that completed.
    pub completed: usize,
    /// Streams that failed.
    pub failed: usize,
}

impl Default for Measured {
    fn default() -> Self {
        let histogram = || Histogram::new_with_max(MAX_MICROS, 3).expect("the bounds are valid");
        Self {
            first_tokens: histogram(),
            gaps: histogram(),
            tokens: 0,
            window_tokens: 0,
            completed: 0,
            failed: 0,
        }
    }
}

impl Measured {
    /// Adds the measurements of another thread.
    pub fn add(&mut self, other: &Self) {
        // Adding histograms with equal bounds does not fail.
        let _ = self.first_tokens.add(&other.first_tokens);
        let _ = self.gaps.add(&other.gaps);
        self.tokens += other.tokens;
        self.window_tokens += other.window_tokens;
        self.completed += other.completed;
        self.failed += other.failed;
    }
}

/// Runs all streams concurrently, distributed over the targets.
pub fn run_streams(plan: &StreamPlan, targets: &[Target]) -> Measured {
    let barrier = Shared::new(Barrier::new(plan.streams));
    let mut threads = Vec::new();
    for ix in 0..plan.streams {
        let target = targets[ix % targets.len()].clone();
        let plan = *plan;
        let barrier = Arc::clone(&barrier);
        let run = move || {
            let mut measured = Measured::default();
            let agent = agent();
            barrier.wait();
            let window_start = Instant::now() + plan.ramp_up();
            thread::sleep(plan.ramp_up().mul_f64(ix as f64 / plan.streams as f64));
            let window = window_start..window_start + plan.window;
            match run_stream(&agent, &target, ix, plan.tokens(), &window, &mut measured) {
                Ok(()) => measured.completed += 1,
                Err(_) => measured.failed += 1,
            }
            measured
        };
        let spawned = thread::Builder::new().stack_size(STACK_BYTES).spawn(run);
        threads.extend(spawned.ok());
    }
    merge(threads.into_iter().filter_map(|thread| thread.join().ok()).collect())
}

fn agent() -> Agent {
    unpooled_agent(Deadlines {
        connect: Duration::from_secs(5),
        response: Duration::from_secs(30),
        progress: Duration::from_secs(30),
    })
}

/// Requests one stream and measures the latency of its tokens.
fn run_stream(
    agent: &Agent,
    target: &Target,
    ix: usize,
    tokens: u32,
    window: &Range<Instant>,
    measured: &mut Measured,
) -> Result<(), String> {
    let mut body = json!({
        "prompt": format!("stream {ix}"), "stream": true, "max_tokens": tokens,
        "standin": { "output_tokens": tokens }
    });
    let started = Instant::now();
    let call = match target {
        Target::Engine(addr) => agent
            .post(format!("http://{addr}/v1/completions"))
            .header("x-generation", format!("{ix}"))
            .header("x-attempt", "0"),
        Target::Host { addr, key, route } => {
            body["model"] = json!(route);
            agent
                .post(format!("http://{addr}/v1/completions"))
                .header("authorization", format!("Bearer {key}"))
        }
    };
    let call = call.header("connection", "close");
    let response = call.send_json(&body).map_err(|err| err.to_string())?;
    if response.status() != 200 {
        return Err(format!("status {}", response.status()));
    }
    let mut events = EventReader::new(response.into_body().into_reader());
    let mut last: Option<Instant> = None;
    loop {
        let event = events.next_event().map_err(|err| err.to_string())?;
        let Some(event) = event else { return Err("the stream ended early".to_owned()) };
        let now = Instant::now();
        if event_data(&event) == Some("[DONE]") {
            return Ok(());
        }
        let previous = last.unwrap_or(started);
        let micros = (now - previous).as_micros() as u64;
        let histogram =
            if last.is_none() { &mut measured.first_tokens } else { &mut measured.gaps };
        histogram.saturating_record(micros);
        measured.tokens += 1;
        measured.window_tokens += u64::from(window.contains(&now));
        last = Some(now);
    }
}
