//! Compares placement policies in virtual time.
//!
//! - `workload`: workload files.
//! - `arrivals`: random arrivals of a workload.
//! - `simulation`: runs a policy against model engines in virtual time.
//! - `baselines`: common placement policies to compare with.
//! - `decider_policy`: the decision library as a policy.
//! - `many_hosts`: several hosts that place on the same engines independently.
//! - `metrics`: measurements of a run.
//! - `report`: HTML page with plots.

mod arrivals;
mod baselines;
mod decider_policy;
mod many_hosts;
mod metrics;
mod report;
mod simulation;
mod workload;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use argh::FromArgs;
use camphorloft_decide::lengths::{ExactLengths, LearnedLengths};
use camphorloft_decide::policy_settings::PolicySettings;
use serde::Serialize;

use arrivals::{Arrival, draw_arrivals};
use baselines::{Baseline, Rule};
use decider_policy::DeciderPolicy;
use many_hosts::ManyHosts;
use metrics::{Figures, Metrics};
use simulation::Simulation;
use workload::Workload;

/// Policy names, in the order of the output.
const POLICIES: [&str; 6] = [
    "camphorloft",
    "round_robin",
    "least_outstanding",
    "two_choices",
    "least_reported_kv",
    "oracle",
];
/// Difference between the seeds of two hosts.
const HOST_SEED_STEP: u64 = 1_000_003;
/// Two-sided 95% quantile of the normal distribution.
const Z95: f64 = 1.96;

/// compare placement policies on a workload in virtual time
#[derive(FromArgs)]
#[argh(subcommand, name = "policy")]
pub struct PolicyArgs {
    /// first seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds (default 10)
    #[argh(option, default = "10")]
    seeds: u64,
    /// workload file
    #[argh(option)]
    workload: PathBuf,
    /// policy name or "all"
    #[argh(option, default = "String::from(\"all\")")]
    policy: String,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
    /// number of hosts that place on the same engines, each independently (default 1); the oracle
    /// always runs as one host
    #[argh(option, default = "1")]
    hosts: u32,
    /// hosts do not send their placements to each other
    #[argh(switch)]
    silent: bool,
    /// JSON file with constants of the policy that replace the default ones
    #[argh(option)]
    settings: Option<PathBuf>,
    /// directory for an HTML page with plots
    #[argh(option)]
    report: Option<PathBuf>,
}

/// Result of one run.
#[derive(Clone, Debug, Default)]
struct RunResult {
    figures: Figures,
    /// Tokens per second over time.
    curve: Vec<(f64, f64)>,
}

#[derive(Serialize)]
struct PolicyRow {
    name: String,
    stall_seconds_mean: f64,
    stall_seconds_mean_ci95: f64,
    stall_seconds_p99: f64,
    stall_and_queue_seconds_mean: f64,
    preemptions_per_thousand: f64,
    preemptions_per_thousand_ci95: f64,
    #[serde(rename = "moves_per_thousand")]
    migrations_per_thousand: f64,
    interruptions_max: f64,
    gap_ms_p95: f64,
    gap_ms_p99: f64,
    first_token_ms_p95: f64,
    goodput_tokens_per_second: f64,
    refused: f64,
    unfinished: f64,
    fairness: f64,
    kv_occupancy: f64,
}

#[derive(Serialize)]
struct PolicyResult {
    workload: String,
    seeds: u64,
    hosts: u32,
    policies: Vec<PolicyRow>,
}

/// Runs the comparison.
pub fn run(args: &PolicyArgs) -> ExitCode {
    let workload = match Workload::read(&args.workload) {
        Ok(workload) => workload,
        Err(err) => {
            eprintln!("{err}");
            return ExitCode::from(2);
        }
    };
    let settings = match read_settings(args.settings.as_deref()) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("{err}");
            return ExitCode::from(2);
        }
    };
    let experiment = Experiment {
        workload: &workload,
        settings,
        hosts: args.hosts.max(1),
        shares_placements: !args.silent,
    };
    let names: Vec<&str> = if args.policy == "all" {
        POLICIES.to_vec()
    } else {
        POLICIES.into_iter().filter(|name| *name == args.policy).collect()
    };
    if names.is_empty() {
        eprintln!("unknown policy {:?}; known policies: {}", args.policy, POLICIES.join(", "));
        return ExitCode::from(2);
    }
    let mut rows = Vec::new();
    let mut curves = Vec::new();
    for name in names {
        let results = run_seeds(&experiment, name, args.seed, args.seeds);
        rows.push(summarize(name, &results));
        curves.push(report::Curve { name: name.to_owned(), points: results[0].curve.clone() });
    }
    let result = PolicyResult {
        workload: workload.name,
        seeds: args.seeds,
        hosts: args.hosts.max(1),
        policies: rows,
    };
    print_result(&result, args.json);
    match &args.report {
        Some(dir) => write_report(dir, &result, &curves),
        None => ExitCode::SUCCESS,
    }
}

/// Parameters that all policies of a comparison share.
struct Experiment<'a> {
    workload: &'a Workload,
    settings: PolicySettings,
    hosts: u32,
    /// True when hosts send their placements to their peers.
    shares_placements: bool,
}

fn read_settings(path: Option<&Path>) -> Result<PolicySettings, String> {
    let Some(path) = path else { return Ok(PolicySettings::default()) };
    let at = |err: String| format!("{}: {err}", path.display());
    let text = std::fs::read_to_string(path).map_err(|err| at(err.to_string()))?;
    serde_json::from_str(&text).map_err(|err| at(err.to_string()))
}

fn write_report(dir: &Path, result: &PolicyResult, curves: &[report::Curve]) -> ExitCode {
    match report::write(dir, result, curves) {
        Ok(path) => {
            eprintln!("wrote {}", path.display());
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("{}: {err}", dir.display());
            ExitCode::FAILURE
        }
    }
}

/// Runs one policy with several seeds in parallel, on all cores.
fn run_seeds(experiment: &Experiment<'_>, name: &str, first: u64, count: u64) -> Vec<RunResult> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(vec![RunResult::default(); count as usize]);
    let workers = thread::available_parallelism().map_or(1, usize::from);
    thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                loop {
                    let ix = next.fetch_add(1, Ordering::Relaxed);
                    if ix >= count as usize {
                        return;
                    }
                    let seed = first + ix as u64;
                    let arrivals = draw_arrivals(experiment.workload, seed);
                    let metrics = run_policy(experiment, &arrivals, name, seed);
                    let result = RunResult { figures: metrics.figures(), curve: metrics.curve() };
                    results.lock().expect("no worker panics while it holds the lock")[ix] = result;
                }
            });
        }
    });
    results.into_inner().expect("no worker panics while it holds the lock")
}

fn run_policy(experiment: &Experiment<'_>, arrivals: &[Arrival], name: &str, seed: u64) -> Metrics {
    let Experiment { workload, settings, hosts, shares_placements } = *experiment;
    let baseline = |rule| {
        let engines = workload.engine_count() as usize;
        let host = |ix| Baseline::new(rule, engines, seed + u64::from(ix) * HOST_SEED_STEP);
        let placer = ManyHosts::new((0..hosts).map(host).collect(), shares_placements, seed);
        Simulation::new(workload, arrivals, placer).run()
    };
    match name {
        "round_robin" => baseline(Rule::RoundRobin),
        "least_outstanding" => baseline(Rule::LeastOutstanding),
        "two_choices" => baseline(Rule::TwoChoices),
        "least_reported_kv" => baseline(Rule::LeastReportedKv),
        "oracle" => {
            let placer = DeciderPolicy::new(workload, settings, ExactLengths::default(), seed);
            Simulation::new(workload, arrivals, placer).run()
        }
        _ => {
            let host = |ix| {
                let seed = seed + u64::from(ix) * HOST_SEED_STEP;
                DeciderPolicy::new(workload, settings, LearnedLengths::default(), seed)
                    .with_sharing_hosts(hosts, shares_placements)
            };
            let placer = ManyHosts::new((0..hosts).map(host).collect(), shares_placements, seed);
            Simulation::new(workload, arrivals, placer).run()
        }
    }
}

fn summarize(name: &str, results: &[RunResult]) -> PolicyRow {
    let figures: Vec<&Figures> = results.iter().map(|result| &result.figures).collect();
    let mean = |value: fn(&Figures) -> f64| {
        figures.iter().map(|f| value(f)).sum::<f64>() / figures.len() as f64
    };
    let ci95 = |value: fn(&Figures) -> f64| {
        let center = mean(value);
        let count = figures.len() as f64;
        let squares: f64 = figures.iter().map(|f| (value(f) - center).powi(2)).sum();
        Z95 * (squares / (count - 1.0).max(1.0) / count).sqrt()
    };
    PolicyRow {
        name: name.to_owned(),
        stall_seconds_mean: mean(|f| f.stall_seconds_mean),
        stall_seconds_mean_ci95: ci95(|f| f.stall_seconds_mean),
        stall_seconds_p99: mean(|f| f.stall_seconds_p99),
        stall_and_queue_seconds_mean: mean(|f| f.stall_and_queue_seconds_mean),
        preemptions_per_thousand: mean(|f| f.preemptions_per_thousand),
        preemptions_per_thousand_ci95: ci95(|f| f.preemptions_per_thousand),
        migrations_per_thousand: mean(|f| f.migrations_per_thousand),
        interruptions_max: figures.iter().map(|f| f.interruptions_max).fold(0.0, f64::max),
        gap_ms_p95: mean(|f| f.gap_ms_p95),
        gap_ms_p99: mean(|f| f.gap_ms_p99),
        first_token_ms_p95: mean(|f| f.first_token_ms_p95),
        goodput_tokens_per_second: mean(|f| f.goodput_tokens_per_second),
        refused: mean(|f| f.refused),
        unfinished: mean(|f| f.unfinished),
        fairness: mean(|f| f.fairness),
        kv_occupancy: mean(|f| f.kv_occupancy),
    }
}

fn print_result(result: &PolicyResult, json: bool) {
    if json {
        println!("{}", serde_json::to_string(result).unwrap_or_default());
        return;
    }
    println!("{} over {} seeds", result.workload, result.seeds);
    println!(
        "{:<18} {:>8} {:>8} {:>8} {:>8} {:>7} {:>7} {:>7} {:>9} {:>8} {:>6} {:>6} {:>6}",
        "policy",
        "stall s",
        "p99 s",
        "+queue",
        "preempt",
        "moves",
        "gap95",
        "gap99",
        "first95",
        "goodput",
        "refus",
        "fair",
        "kv"
    );
    for row in &result.policies {
        println!(
            "{:<18} {:>8.3} {:>8.2} {:>8.2} {:>8.1} {:>7.1} {:>7.1} {:>7.1} {:>9.0} {:>8.0} {:>6.1} {:>6.3} {:>6.3}",
            row.name,
            row.stall_seconds_mean,
            row.stall_seconds_p99,
            row.stall_and_queue_seconds_mean,
            row.preemptions_per_thousand,
            row.migrations_per_thousand,
            row.gap_ms_p95,
            row.gap_ms_p99,
            row.first_token_ms_p95,
            row.goodput_tokens_per_second,
            row.refused,
            row.fairness,
            row.kv_occupancy,
        );
    }
}
