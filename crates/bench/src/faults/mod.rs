//! Randomised fault-injection run over real sockets that checks invariants.
//!
//! - `cluster`: hosts as child processes, stand-ins in this process.
//! - `clients`: clients that request generations and check every token.
//! - `effects`: clients of a service whose calls must not be repeated.
//! - `operators`: concurrent operators and the monitor of configuration versions.
//! - `injector`: injects random faults.
//! - `recorder`: outcomes of requests and results of the checks.

mod clients;
mod cluster;
mod effects;
mod injector;
mod operators;
mod recorder;

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use argh::FromArgs;
use camphorloft_daemon::host::start_host;
use camphorloft_daemon::process::run_until_drained;
use camphorloft_daemon::settings::Settings;
use camphorloft_observe::logging::stderr_logger;
use serde::Serialize;

use clients::GenerationClient;
use cluster::Cluster;
use effects::{EffectClient, KeyOutcomes, check_effects};
use injector::Injector;
use operators::{AcceptedVersions, ConfigWatcher, Operator};
use recorder::{Invariant, InvariantRow, Recorder};

const ENGINES: usize = 9;
const GENERATION_CLIENTS: u64 = 24;
const EFFECT_CLIENTS: u64 = 8;
const OPERATORS: u64 = 2;

/// check invariants in a randomised run with faults
#[derive(FromArgs)]
#[argh(subcommand, name = "faults")]
pub struct FaultsArgs {
    /// seed of the schedule (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// length of the run, in seconds (default 30)
    #[argh(option, default = "30")]
    seconds: u64,
    /// number of hosts (default 8)
    #[argh(option, default = "8")]
    hosts: usize,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// run one host, as a child process of another command
#[derive(FromArgs)]
#[argh(subcommand, name = "host")]
pub struct HostArgs {
    /// settings of the host, as JSON text
    #[argh(option)]
    settings: String,
}

#[derive(Serialize)]
struct FaultRow {
    kind: String,
    injected: u64,
}

#[derive(Serialize)]
struct FaultsResult {
    seed: u64,
    seconds: u64,
    hosts: usize,
    requests: u64,
    completed: u64,
    not_run: u64,
    unknown: u64,
    effects: u64,
    availability: f64,
    longest_time_without_completion_ms: u64,
    #[serde(rename = "promises")]
    invariants: Vec<InvariantRow>,
    faults: Vec<FaultRow>,
}

/// Runs one host until it receives a signal to shut down.
pub fn run_host(args: &HostArgs) -> ExitCode {
    let settings = match Settings::parse(&args.settings) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(2);
        }
    };
    let log = stderr_logger(settings.host.as_str(), slog::Level::Info);
    let result = start_host(settings, log).and_then(|host| run_until_drained(&host));
    result.unwrap_or_else(|err| {
        eprintln!("{err}");
        ExitCode::FAILURE
    })
}

/// Runs the experiment.
pub fn run(args: &FaultsArgs) -> ExitCode {
    let cluster = match Cluster::start(args.hosts, ENGINES, args.seed) {
        Ok(cluster) => Arc::new(cluster),
        Err(err) => {
            eprintln!("the cluster did not start: {err}");
            return ExitCode::FAILURE;
        }
    };
    let recorder = Arc::new(Recorder::default());
    let keys = KeyOutcomes::default();
    run_load(args, &cluster, &recorder, &keys);
    let effects = check_effects(&cluster, &keys, &recorder);
    let totals = recorder.totals();
    let ended = totals.completed + totals.not_run + totals.unknown;
    recorder.check(Invariant::EveryRequestEnds, ended == totals.requests, || {
        format!("{ended} of {} requests ended", totals.requests)
    });
    let result = FaultsResult {
        seed: args.seed,
        seconds: args.seconds,
        hosts: args.hosts,
        requests: totals.requests,
        completed: totals.completed,
        not_run: totals.not_run,
        unknown: totals.unknown,
        effects,
        availability: totals.completed as f64 / totals.requests.max(1) as f64,
        longest_time_without_completion_ms: totals.longest_gap.as_millis() as u64,
        invariants: recorder.invariants(),
        faults: recorder
            .faults()
            .into_iter()
            .map(|(kind, injected)| FaultRow { kind, injected })
            .collect(),
    };
    print_result(&result, args.json);
    let holds = result.invariants.iter().all(|row| row.violations == 0);
    if holds { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs clients, operators and the injector for the duration of the run.
fn run_load(
    args: &FaultsArgs,
    cluster: &Arc<Cluster>,
    recorder: &Arc<Recorder>,
    keys: &KeyOutcomes,
) {
    let stop = Arc::new(AtomicBool::new(false));
    let accepted = AcceptedVersions::default();
    let mut threads: Vec<JoinHandle<()>> = Vec::new();
    let shared = || (cluster.clone(), recorder.clone(), stop.clone());
    for ix in 0..GENERATION_CLIENTS {
        let (cluster, recorder, stop) = shared();
        let seed = args.seed * 1000 + ix;
        let client = GenerationClient { cluster, recorder, stop, seed };
        threads.push(thread::spawn(move || client.run()));
    }
    for ix in 0..EFFECT_CLIENTS {
        let (cluster, recorder, stop) = shared();
        let (keys, seed) = (keys.clone(), args.seed * 1000 + 500 + ix);
        let client = EffectClient { cluster, recorder, keys, stop, seed };
        threads.push(thread::spawn(move || client.run()));
    }
    for ix in 0..OPERATORS {
        let (cluster, recorder, stop) = shared();
        let (accepted, seed) = (accepted.clone(), args.seed * 1000 + 800 + ix);
        let operator = Operator { cluster, recorder, accepted, stop, seed };
        threads.push(thread::spawn(move || operator.run()));
    }
    let (watcher_cluster, watcher_recorder, watcher_stop) = shared();
    let watcher = ConfigWatcher {
        cluster: watcher_cluster,
        recorder: watcher_recorder,
        accepted,
        stop: watcher_stop.clone(),
    };
    threads.push(thread::spawn(move || watcher.run()));
    let (cluster, recorder, injector_stop) = shared();
    let injector = Injector { cluster, recorder, stop: injector_stop, seed: args.seed };
    threads.push(thread::spawn(move || injector.run()));
    thread::sleep(Duration::from_secs(args.seconds));
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        // The panic hook has already printed the panic of a thread.
        let _ = thread.join();
    }
}

fn print_result(result: &FaultsResult, json: bool) {
    if json {
        println!("{}", serde_json::to_string(result).unwrap_or_default());
        return;
    }
    println!(
        "seed {} {} s: {} requests, {} completed, {} not run, {} unknown, {} effects",
        result.seed,
        result.seconds,
        result.requests,
        result.completed,
        result.not_run,
        result.unknown,
        result.effects
    );
    println!(
        "availability {:.4}, longest time without a completion {} ms",
        result.availability, result.longest_time_without_completion_ms
    );
    for row in &result.invariants {
        println!("{:<24} {:>8} trials {:>4} violations", row.name, row.trials, row.violations);
        for detail in &row.details {
            println!("    {detail}");
        }
    }
    let faults: Vec<String> =
        result.faults.iter().map(|row| format!("{} {}", row.kind, row.injected)).collect();
    println!("faults: {}", faults.join(", "));
}
