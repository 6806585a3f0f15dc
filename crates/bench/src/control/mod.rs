//! Measures the resource use and the convergence time of many control planes.
//!
//! - `fleet`: many control planes in one process.

mod fleet;

use std::io;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use argh::FromArgs;
use camphorloft_peer::link::LinkCounts;
use camphorloft_types::prelude::ConfigVersion;
use serde::Serialize;

use fleet::Fleet;

/// Timeout for all hosts to list each other as live.
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout for a version to be in force on every host.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(9);
/// Timeout for the detection of stopped hosts.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of published versions.
const PROPOSALS: usize = 5;
/// Number of hosts that are stopped one by one.
const SINGLE_STOPS: usize = 3;
/// Datagram loss rates at which false evictions are counted.
const LOSS_RATES: [f64; 2] = [0.01, 0.05];

/// measure the resource use and the convergence time of many control planes
#[derive(FromArgs)]
#[argh(subcommand, name = "control")]
pub struct ControlArgs {
    /// number of hosts (default 8)
    #[argh(option, default = "8")]
    hosts: usize,
    /// length of each measured phase, in seconds (default 10)
    #[argh(option, default = "10")]
    seconds: u64,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

#[derive(Serialize)]
struct Percentiles {
    p50: u64,
    p99: u64,
}

#[derive(Serialize)]
struct LossRow {
    loss: f64,
    seconds: u64,
    false_evictions: u64,
}

#[derive(Serialize)]
struct ControlResult {
    hosts: usize,
    seconds: u64,
    joined_ms: u64,
    cpu_share_per_host: f64,
    resident_bytes_per_host: u64,
    bytes_per_second_per_host: f64,
    bytes_out_per_second_per_host: f64,
    remote_bytes_out_per_second_per_host: f64,
    platform_reads_per_second: f64,
    platform_writes_per_second: f64,
    detection_ms: Percentiles,
    third_lost_detection_ms: Percentiles,
    configuration_in_force_ms_max: u64,
    configuration_in_force_ms_p50: u64,
    false_evictions: u64,
    loss: Vec<LossRow>,
    undetected: u64,
    not_in_force: u64,
}

/// Runs the experiment.
pub fn run(args: &ControlArgs) -> ExitCode {
    let result = match measure(args) {
        Ok(result) => result,
        Err(err) => {
            eprintln!("the experiment failed: {err}");
            return ExitCode::FAILURE;
        }
    };
    if args.json {
        println!("{}", serde_json::to_string(&result).unwrap_or_default());
    } else {
        println!("{}", serde_json::to_string_pretty(&result).unwrap_or_default());
    }
    let passed = result.undetected == 0 && result.not_in_force == 0 && result.false_evictions == 0;
    if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn measure(args: &ControlArgs) -> io::Result<ControlResult> {
    let before = resident_bytes();
    let mut fleet = Fleet::start(args.hosts)?;
    let others = args.hosts - 1;
    let joined = fleet.wait_each(JOIN_TIMEOUT, |_, link| link.live() as usize == others);
    let joined_ms = millis(joined.iter().flatten().max().copied().unwrap_or(JOIN_TIMEOUT));
    let steady_state = measure_steady_state(&fleet, Duration::from_secs(args.seconds));
    let resident = resident_bytes().saturating_sub(before) / args.hosts as u64;
    let (in_force, not_in_force) = measure_config(&mut fleet)?;
    let loss = measure_loss(&fleet, args.seconds);
    let false_evictions =
        steady_state.evictions + loss.iter().map(|row| row.false_evictions).sum::<u64>();
    let mut single_detections = Vec::new();
    let mut undetected = 0;
    for ix in 0..SINGLE_STOPS.min(args.hosts / 4) {
        undetected += stop_and_detect(&mut fleet, &[ix], &mut single_detections);
    }
    let third: Vec<usize> = (args.hosts - args.hosts / 3..args.hosts).collect();
    let mut third_detections = Vec::new();
    undetected += stop_and_detect(&mut fleet, &third, &mut third_detections);
    Ok(ControlResult {
        hosts: args.hosts,
        seconds: args.seconds,
        joined_ms,
        cpu_share_per_host: steady_state.cpu_share,
        resident_bytes_per_host: resident,
        bytes_per_second_per_host: steady_state.bytes_in + steady_state.bytes_out,
        bytes_out_per_second_per_host: steady_state.bytes_out,
        remote_bytes_out_per_second_per_host: steady_state.remote_bytes_out,
        platform_reads_per_second: steady_state.reads,
        platform_writes_per_second: steady_state.writes,
        detection_ms: percentiles(&single_detections),
        third_lost_detection_ms: percentiles(&third_detections),
        configuration_in_force_ms_max: in_force.iter().max().copied().unwrap_or(0),
        configuration_in_force_ms_p50: percentiles(&in_force).p50,
        false_evictions,
        loss,
        undetected,
        not_in_force,
    })
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// Returns the resident memory of the process, in bytes.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Averages over a phase, per host and second. Reads and writes are those of all hosts per second,
/// evictions the total of the phase.
struct SteadyState {
    cpu_share: f64,
    bytes_in: f64,
    bytes_out: f64,
    remote_bytes_out: f64,
    reads: f64,
    writes: f64,
    evictions: u64,
}

/// Totals over all running hosts.
struct Totals {
    cpu: Duration,
    counts: LinkCounts,
    evictions: u64,
}

fn totals(fleet: &Fleet) -> Totals {
    let mut totals = Totals { cpu: Duration::ZERO, counts: LinkCounts::default(), evictions: 0 };
    for (_, link) in fleet.running() {
        let counts = link.counts();
        totals.cpu += link.cpu_time();
        totals.counts.bytes_in += counts.bytes_in;
        totals.counts.bytes_out += counts.bytes_out;
        totals.counts.remote_bytes_out += counts.remote_bytes_out;
        totals.evictions += link.evictions();
    }
    totals
}

fn measure_steady_state(fleet: &Fleet, duration: Duration) -> SteadyState {
    let hosts = fleet.running().count() as f64;
    let before = totals(fleet);
    let platform_before = fleet.platform.platform.state().counts;
    let started = Instant::now();
    thread::sleep(duration);
    let seconds = started.elapsed().as_secs_f64();
    let after = totals(fleet);
    let platform_after = fleet.platform.platform.state().counts;
    let each = |total: u64| total as f64 / seconds / hosts;
    SteadyState {
        cpu_share: (after.cpu - before.cpu).as_secs_f64() / seconds / hosts,
        bytes_in: each(after.counts.bytes_in - before.counts.bytes_in),
        bytes_out: each(after.counts.bytes_out - before.counts.bytes_out),
        remote_bytes_out: each(after.counts.remote_bytes_out - before.counts.remote_bytes_out),
        reads: (platform_after.reads - platform_before.reads) as f64 / seconds,
        writes: (platform_after.writes - platform_before.writes) as f64 / seconds,
        evictions: after.evictions - before.evictions,
    }
}

/// Publishes versions. Returns the times until they were in force on each host, in milliseconds,
/// and the number of timeouts.
fn measure_config(fleet: &mut Fleet) -> io::Result<(Vec<u64>, u64)> {
    let mut times = Vec::new();
    let mut timed_out = 0;
    for _ in 0..PROPOSALS {
        let version: ConfigVersion = fleet.propose()?;
        let in_force =
            fleet.wait_each(IN_FORCE_TIMEOUT, |host, _| host.config.version() >= version);
        timed_out += in_force.iter().filter(|time| time.is_none()).count() as u64;
        times.extend(in_force.into_iter().flatten().map(millis));
    }
    Ok((times, timed_out))
}

fn measure_loss(fleet: &Fleet, seconds: u64) -> Vec<LossRow> {
    let rows = LOSS_RATES.iter().map(|rate| {
        fleet.loss.set(*rate);
        let before = totals(fleet).evictions;
        thread::sleep(Duration::from_secs(seconds));
        let false_evictions = totals(fleet).evictions - before;
        fleet.loss.set(0.0);
        LossRow { loss: *rate, seconds, false_evictions }
    });
    rows.collect()
}

/// Stops hosts and adds the time until each remaining host records all of them as dead, in
/// milliseconds. Returns the number of remaining hosts that timed out.
fn stop_and_detect(fleet: &mut Fleet, hosts: &[usize], times: &mut Vec<u64>) -> u64 {
    fleet.stop(hosts);
    let stopped = fleet.hosts.iter().filter(|host| host.link.is_none()).count() as u32;
    let detected = fleet.wait_each(DETECTION_TIMEOUT, |_, link| link.dead() >= stopped);
    times.extend(detected.iter().flatten().map(|time| millis(*time)));
    detected.iter().filter(|time| time.is_none()).count() as u64
}

fn percentiles(times: &[u64]) -> Percentiles {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let at = |q: f64| {
        let ix = ((sorted.len() as f64 * q).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
        sorted.get(ix).copied().unwrap_or(0)
    };
    Percentiles { p50: at(0.5), p99: at(0.99) }
}
