//! Rebuilds the tables of docs/CAPACITY.md from recorded runs.
//!
//! - `fit`: linear regression.
//! - `sweep`: table of the users' sweep.

mod fit;
mod sweep;

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use serde_json::Value;

use fit::{Line, Point};
use sweep::Sweep;

const BEGIN: &str = "<!-- tables: begin -->";
const END: &str = "<!-- tables: end -->";
/// File with the recorded output of the users' sweep.
const SWEEP_FILE: &str = "sweep.txt";
/// Number of streams per host at peak load.
const STREAMS_PER_HOST: f64 = 2750.0;

/// rebuild the tables of docs/CAPACITY.md from recorded runs
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct CapacityArgs {
    /// directory with recorded runs (default docs/runs)
    #[argh(option, default = "PathBuf::from(\"docs/runs\")")]
    runs: PathBuf,
    /// page whose tables are rebuilt (default docs/CAPACITY.md)
    #[argh(option, default = "PathBuf::from(\"docs/CAPACITY.md\")")]
    page: PathBuf,
    /// check the page instead of writing it; fail if its tables differ from the recorded runs
    #[argh(switch)]
    check: bool,
}

/// A figure of the recorded runs, fitted against the size of the run.
struct Measure {
    title: &'static str,
    member: &'static str,
    scale: f64,
    unit: &'static str,
    limit: Option<f64>,
}

const RELAY: [Measure; 5] = [
    Measure {
        title: "processor time of the host",
        member: "host_cpu_cores",
        scale: 1.0,
        unit: "cores",
        limit: None,
    },
    Measure {
        title: "memory a stream",
        member: "resident_bytes_per_stream",
        scale: 1e-3,
        unit: "KB",
        limit: None,
    },
    Measure { title: "tokens", member: "tokens_per_second", scale: 1.0, unit: "/s", limit: None },
    Measure {
        title: "added to the first token, p95",
        member: "added_first_token_ms.p95",
        scale: 1.0,
        unit: "ms",
        limit: Some(2.0),
    },
    Measure {
        title: "added to a gap, p95",
        member: "added_gap_ms.p95",
        scale: 1.0,
        unit: "ms",
        limit: Some(1.0),
    },
];

/// Runs the command.
pub fn run(args: &CapacityArgs) -> ExitCode {
    match rebuild(args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("the tables in {} differ from the recorded runs", args.page.display());
            ExitCode::FAILURE
        }
        Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}

/// Rebuilds the tables. Returns false if `check` is set and the page differs.
fn rebuild(args: &CapacityArgs) -> io::Result<bool> {
    let sweep = Sweep::read(&args.runs.join(SWEEP_FILE))?;
    let relay = read_runs(&args.runs, "relay-", "streams")?;
    let mut tables = String::new();
    tables.push_str("### Hosts on the users' platform, by number of hosts\n\n");
    tables.push_str(&sweep.to_markdown());
    tables.push_str("\n### Relay of one host, by number of streams\n\n");
    tables.push_str(&table(&relay, &RELAY, STREAMS_PER_HOST));
    let page = fs::read_to_string(&args.page)?;
    let missing = || io::Error::other(format!("{} has no table markers", args.page.display()));
    let begin = page.find(BEGIN).ok_or_else(missing)? + BEGIN.len();
    let end = page.find(END).ok_or_else(missing)?;
    let rebuilt = format!("{}\n\n{}\n{}", &page[..begin], tables, &page[end..]);
    if args.check {
        return Ok(rebuilt == page);
    }
    fs::write(&args.page, rebuilt)?;
    Ok(true)
}

/// A recorded run and its size.
struct Run {
    size: f64,
    result: Value,
}

fn read_runs(dir: &Path, prefix: &str, size: &str) -> io::Result<Vec<Run>> {
    let mut runs = Vec::new();
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        let name = path.file_name().map(|name| name.to_string_lossy().into_owned());
        if !name.is_some_and(|name| name.starts_with(prefix) && name.ends_with(".json")) {
            continue;
        }
        let result: Value = serde_json::from_str(&fs::read_to_string(&path)?)
            .map_err(|err| io::Error::other(format!("{}: {err}", path.display())))?;
        runs.push(Run { size: result[size].as_f64().unwrap_or(0.0), result });
    }
    runs.sort_by(|a, b| a.size.total_cmp(&b.size));
    Ok(runs)
}

/// Returns a figure of a run. Names of nested JSON members are joined with dots.
fn figure(run: &Run, measure: &Measure) -> Option<f64> {
    let mut value = &run.result;
    for member in measure.member.split('.') {
        value = &value[member];
    }
    value.as_f64().map(|value| value * measure.scale)
}

fn table(runs: &[Run], measures: &[Measure], size: f64) -> String {
    let mut text = String::from("| |");
    for run in runs {
        text.push_str(&format!(" {:.0} |", run.size));
    }
    text.push_str(&format!(" slope per 100 | residual | fit at {size:.0} | limit |\n|---|"));
    text.push_str(&"---:|".repeat(runs.len() + 4));
    text.push('\n');
    for measure in measures {
        text.push_str(&row(runs, measure, size));
    }
    text
}

fn row(runs: &[Run], measure: &Measure, size: f64) -> String {
    let mut text = format!("| {}, {} |", measure.title, measure.unit);
    let mut points = Vec::new();
    for run in runs {
        match figure(run, measure) {
            Some(y) => {
                points.push(Point { x: run.size, y });
                text.push_str(&format!(" {y:.3} |"));
            }
            None => text.push_str(" - |"),
        }
    }
    let line = Line::fit(&points);
    let limit = measure.limit.map_or("-".to_owned(), |limit| limit.to_string());
    let (slope, residual, fitted) = (line.slope * 100.0, line.residual, line.at(size));
    text.push_str(&format!(" {slope:.4} | {residual:.3} | {fitted:.3} | {limit} |\n"));
    text
}
