//! Measures the latency that the relay adds to a stream, compared with the same client connected
//! directly to the engine.
//!
//! Engines, host and clients run in separate processes on one machine: this process runs the
//! clients and starts the other two from its own binary.

mod client;

use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use argh::FromArgs;
use camphorloft_config::RawSet;
use camphorloft_config::org_key::KeyHash;
use camphorloft_platform::http::HttpPlatform;
use camphorloft_platform::publication::{Proposal, propose};
use camphorloft_standins::engine::{EngineSettings, start_engine};
use camphorloft_standins::engine_model::EngineLimits;
use camphorloft_standins::platform_http::start_platform;
use camphorloft_types::prelude::ConfigVersion;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::json;

use client::{Measured, StreamPlan, Target, run_streams};

const MODEL: &str = "relay-model";
const ROUTE: &str = "relay";
const KEY: &str = "relay-key";
/// Interval between the tokens of a stream.
const TOKEN_INTERVAL: Duration = Duration::from_millis(48);
/// Timeout for the start of a process.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of engines that the streams are distributed over.
const ENGINES: usize = 3;

/// measure the latency that the relay adds to streams, and the resource use of the host
#[derive(FromArgs)]
#[argh(subcommand, name = "relay")]
pub struct RelayArgs {
    /// number of concurrent streams (default 100)
    #[argh(option, default = "100")]
    streams: usize,
    /// duration for which all streams run concurrently, in seconds (default 10)
    #[argh(option, default = "10")]
    seconds: u64,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// run the engines of a relay measurement
#[derive(FromArgs)]
#[argh(subcommand, name = "relay-engines")]
pub struct RelayEnginesArgs {}

#[derive(Serialize)]
struct Percentiles {
    p50: f64,
    p95: f64,
    p99: f64,
}

#[derive(Serialize)]
struct RelayResult {
    streams: usize,
    completed: usize,
    failed: usize,
    tokens_per_second: f64,
    tokens_per_core_second: f64,
    host_cpu_cores: f64,
    resident_bytes_per_stream: f64,
    host_threads_peak: u64,
    added_first_token_ms: Percentiles,
    added_gap_ms: Percentiles,
    direct_first_token_ms: Percentiles,
    relayed_first_token_ms: Percentiles,
    direct_gap_ms: Percentiles,
    relayed_gap_ms: Percentiles,
}

/// A child process that is killed when this value is dropped.
struct ChildGuard(Child);

impl Drop for ChildGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts the engines, prints their addresses and runs until the process is killed.
pub fn run_engines(_args: &RelayEnginesArgs) -> ExitCode {
    let limits = EngineLimits { kv_tokens: u32::MAX / 2, ..EngineLimits::default() };
    let mut engines = Vec::new();
    for seed in 0..ENGINES {
        let settings = EngineSettings {
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            limits,
            models: vec![MODEL.to_owned()],
            checks_fencing: false,
            exit_on_crash: false,
            token_interval: Some(TOKEN_INTERVAL),
            seed: seed as u64,
        };
        match start_engine(settings) {
            Ok(engine) => engines.push(engine),
            Err(err) => {
                eprintln!("{err}");
                return ExitCode::FAILURE;
            }
        }
    }
    for engine in &engines {
        println!("{}", engine.addr);
    }
    loop {
        thread::park();
    }
}

/// Runs the measurement.
pub fn run(args: &RelayArgs) -> ExitCode {
    match measure(args) {
        Ok(result) => {
            let text = if args.json {
                serde_json::to_string(&result)
            } else {
                serde_json::to_string_pretty(&result)
            };
            println!("{}", text.unwrap_or_default());
            if result.failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(err) => {
            eprintln!("the measurement did not start: {err}");
            ExitCode::FAILURE
        }
    }
}

fn start_engines() -> io::Result<(ChildGuard, Vec<SocketAddr>)> {
    let mut child = Command::new(std::env::current_exe()?)
        .arg("relay-engines")
        .stdout(Stdio::piped())
        .spawn()?;
    let stdout = child.stdout.take().ok_or_else(|| io::Error::other("no output"))?;
    let guard = ChildGuard(child);
    let mut addresses = Vec::new();
    for line in BufReader::new(stdout).lines().take(ENGINES) {
        addresses.push(line?.parse().map_err(io::Error::other)?);
    }
    Ok((guard, addresses))
}

fn start_host(
    platform: SocketAddr,
    engines: &[SocketAddr],
) -> io::Result<(ChildGuard, SocketAddr)> {
    let endpoints: serde_json::Map<_, _> = engines
        .iter()
        .enumerate()
        .map(|(ix, addr)| {
            let object = json!({
                "address": addr.to_string(), "region": "r", "zone": "z",
                "kv_tokens": u32::MAX / 2, "max_sequences": 20000, "models": [MODEL]
            });
            (format!("engine-{ix}"), object)
        })
        .collect();
    let document = json!({
        "models": { MODEL: { "max_output_tokens": 65536 } },
        "pools": { "p": { "endpoints": endpoints } },
        "organisations": { "o": { "key_hash": KeyHash::of(KEY).to_hex(), "weight": 1 } },
        "routes": { ROUTE: { "model": MODEL, "pools": ["p"], "organisations": ["o"] } }
    });
    let set = RawSet::parse(&document.to_string()).map_err(io::Error::other)?;
    let proposal = Proposal {
        id: "relay".to_owned(),
        author: "bench".to_owned(),
        base: ConfigVersion(0),
        set,
    };
    propose(&HttpPlatform::new(platform), &proposal).map_err(io::Error::other)?;
    let listen = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let peer = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let settings = json!({
        "host": "relay-host", "region": "r", "zone": "z",
        "listen": listen.to_string(), "peer_listen": peer.to_string(),
        "platform": platform.to_string(), "secrets": ["a-secret-of-the-relay-bench"],
        "operator_key": "operator", "expected_hosts": 1, "max_in_flight": 20000
    });
    let child = Command::new(std::env::current_exe()?)
        .args(["host", "--settings", &settings.to_string()])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()?;
    let guard = ChildGuard(child);
    let deadline = Instant::now() + START_TIMEOUT;
    while ureq::get(format!("http://{listen}/readyz")).call().is_err() {
        if Instant::now() > deadline {
            return Err(io::Error::other("the host did not become ready"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    // Wait for the first load reports of the engines.
    thread::sleep(Duration::from_secs(1));
    Ok((guard, listen))
}

fn measure(args: &RelayArgs) -> io::Result<RelayResult> {
    let (_engines, addresses) = start_engines()?;
    let platform = start_platform(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let (host, addr) = start_host(platform.addr, &addresses)?;
    let window = Duration::from_secs(args.seconds);
    let plan = StreamPlan { streams: args.streams, token_interval: TOKEN_INTERVAL, window };
    let targets = addresses.into_iter().map(Target::Engine).collect::<Vec<_>>();
    let direct = run_streams(&plan, &targets);
    let pid = host.0.id();
    let before = process_state(pid);
    let started = Instant::now();
    let peak_monitor = thread::spawn(move || monitor_peak(pid));
    let relay = Target::Host { addr, key: KEY.to_owned(), route: ROUTE.to_owned() };
    let relayed = run_streams(&plan, &[relay]);
    let seconds = started.elapsed().as_secs_f64();
    let after = process_state(pid);
    drop(host);
    let peak = peak_monitor.join().unwrap_or_default();
    let cpu = (after.cpu - before.cpu).as_secs_f64();
    let streams = args.streams as f64;
    Ok(RelayResult {
        streams: args.streams,
        completed: relayed.completed,
        failed: relayed.failed + direct.failed,
        tokens_per_second: relayed.window_tokens as f64 / window.as_secs_f64(),
        tokens_per_core_second: relayed.tokens as f64 / cpu.max(f64::EPSILON),
        host_cpu_cores: cpu / seconds,
        resident_bytes_per_stream: peak.resident.saturating_sub(before.resident) as f64 / streams,
        host_threads_peak: peak.threads,
        added_first_token_ms: added(&direct.first_tokens, &relayed.first_tokens),
        added_gap_ms: added(&direct.gaps, &relayed.gaps),
        direct_first_token_ms: percentiles(&direct.first_tokens),
        relayed_first_token_ms: percentiles(&relayed.first_tokens),
        direct_gap_ms: percentiles(&direct.gaps),
        relayed_gap_ms: percentiles(&relayed.gaps),
    })
}

/// Resource use of a process, from `/proc`.
#[derive(Clone, Copy, Debug, Default)]
struct ProcessState {
    cpu: Duration,
    resident: u64,
    threads: u64,
}

fn process_state(pid: u32) -> ProcessState {
    const TICKS_PER_SECOND: u64 = 100;
    const PAGE_BYTES: u64 = 4096;
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> =
        text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let number =
        |ix: usize| fields.get(ix).and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
    ProcessState {
        cpu: Duration::from_millis((number(11) + number(12)) * 1000 / TICKS_PER_SECOND),
        threads: number(17),
        resident: number(21) * PAGE_BYTES,
    }
}

/// Polls a process until it ends. Returns its peak memory and number of threads.
fn monitor_peak(pid: u32) -> ProcessState {
    const INTERVAL: Duration = Duration::from_millis(100);
    let mut peak = ProcessState::default();
    loop {
        let state = process_state(pid);
        if state.threads == 0 {
            return peak;
        }
        peak.resident = peak.resident.max(state.resident);
        peak.threads = peak.threads.max(state.threads);
        thread::sleep(INTERVAL);
    }
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e3
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    Percentiles {
        p50: quantile_ms(histogram, 0.50),
        p95: quantile_ms(histogram, 0.95),
        p99: quantile_ms(histogram, 0.99),
    }
}

/// Returns the differences between the percentiles of two histograms, in milliseconds.
fn added(direct: &Histogram<u64>, relayed: &Histogram<u64>) -> Percentiles {
    let at = |q: f64| quantile_ms(relayed, q) - quantile_ms(direct, q);
    Percentiles { p50: at(0.50), p95: at(0.95), p99: at(0.99) }
}

/// Merges the measurements of the threads of a run.
fn merge(parts: Vec<Measured>) -> Measured {
    let mut total = Measured::default();
    for part in parts {
        total.add(&part);
    }
    total
}

/// A value shared between the threads of a run.
type Shared<Value> = Arc<Value>;
