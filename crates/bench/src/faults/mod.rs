//! A long randomised run over real sockets, with faults.
//!
//! - `cluster`: hosts as processes, stand-ins in this one.
//! - `callers`: callers that check every token.
//! - `effects`: callers whose calls must not be repeated.
//! - `operators`: racing operators and the watch over versions.
//! - `injector`: draws and injects faults.
//! - `ledger`: what was seen.

mod callers;
mod cluster;
mod effects;
mod injector;
mod ledger;
mod operators;

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

use callers::GenerationCaller;
use cluster::Cluster;
use effects::{EffectCaller, KeyLedger, check_effects};
use injector::Injector;
use ledger::{Ledger, Promise, PromiseRow};
use operators::{Accepted, ConfigWatcher, Operator};

const ENGINES: usize = 9;
const GENERATION_CALLERS: u64 = 24;
const EFFECT_CALLERS: u64 = 8;
const OPERATORS: u64 = 2;

/// check the promises in a randomised run with faults
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

/// run one host for a run with faults
#[derive(FromArgs)]
#[argh(subcommand, name = "host")]
pub struct HostArgs {
    /// settings as JSON text
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
    promises: Vec<PromiseRow>,
    faults: Vec<FaultRow>,
}

/// Runs one host until it is told to shut down.
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
    let ledger = Arc::new(Ledger::default());
    let keys = KeyLedger::default();
    run_load(args, &cluster, &ledger, &keys);
    let effects = check_effects(&cluster, &keys, &ledger);
    let totals = ledger.totals();
    let ended = totals.completed + totals.not_run + totals.unknown;
    ledger.check(Promise::EveryRequestEnds, ended == totals.requests, || {
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
        promises: ledger.promises(),
        faults: ledger
            .faults()
            .into_iter()
            .map(|(kind, injected)| FaultRow { kind, injected })
            .collect(),
    };
    print_result(&result, args.json);
    let held = result.promises.iter().all(|promise| promise.violations == 0);
    if held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs callers, operators and the injector for the given time.
fn run_load(args: &FaultsArgs, cluster: &Arc<Cluster>, ledger: &Arc<Ledger>, keys: &KeyLedger) {
    let stop = Arc::new(AtomicBool::new(false));
    let accepted = Accepted::default();
    let mut threads: Vec<JoinHandle<()>> = Vec::new();
    let shared = || (cluster.clone(), ledger.clone(), stop.clone());
    for ix in 0..GENERATION_CALLERS {
        let (cluster, ledger, stop) = shared();
        let seed = args.seed * 1000 + ix;
        let caller = GenerationCaller { cluster, ledger, stop, seed };
        threads.push(thread::spawn(move || caller.run()));
    }
    for ix in 0..EFFECT_CALLERS {
        let (cluster, ledger, stop) = shared();
        let (keys, seed) = (keys.clone(), args.seed * 1000 + 500 + ix);
        let caller = EffectCaller { cluster, ledger, keys, stop, seed };
        threads.push(thread::spawn(move || caller.run()));
    }
    for ix in 0..OPERATORS {
        let (cluster, ledger, stop) = shared();
        let (accepted, seed) = (accepted.clone(), args.seed * 1000 + 800 + ix);
        let operator = Operator { cluster, ledger, accepted, stop, seed };
        threads.push(thread::spawn(move || operator.run()));
    }
    let (watched, ledger_of_watch, watch_stop) = shared();
    let watcher = ConfigWatcher {
        cluster: watched,
        ledger: ledger_of_watch,
        accepted,
        stop: watch_stop.clone(),
    };
    threads.push(thread::spawn(move || watcher.run()));
    let (cluster, ledger, stop_injector) = shared();
    let injector = Injector { cluster, ledger, stop: stop_injector, seed: args.seed };
    threads.push(thread::spawn(move || injector.run()));
    thread::sleep(Duration::from_secs(args.seconds));
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        // A panic was printed by its thread.
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
    for promise in &result.promises {
        println!(
            "{:<24} {:>8} trials {:>4} violations",
            promise.name, promise.trials, promise.violations
        );
        for detail in &promise.details {
            println!("    {detail}");
        }
    }
    let faults: Vec<String> =
        result.faults.iter().map(|row| format!("{} {}", row.kind, row.injected)).collect();
    println!("faults: {}", faults.join(", "));
}
