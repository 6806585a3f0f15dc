//! Shows the decisions about one request from decision logs.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

use argh::FromArgs;
use serde_json::{Map, Value};

use crate::exit::{CommandError, CommandResult};

/// show the decisions about one request from decision logs
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// generation, as in the log and in the header camphorloft-generation
    #[argh(option)]
    generation: String,
    /// print the log lines as they are
    #[argh(switch)]
    json: bool,
    /// log files of the hosts
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

/// Members that every line has and that the summary shows by itself.
const COMMON: [&str; 6] = ["msg", "level", "ts", "host", "generation", "endpoint"];

/// Runs the command.
pub fn run(args: &ExplainArgs) -> CommandResult {
    let mut lines = Vec::new();
    for path in &args.logs {
        let at = |err: String| CommandError::BadInput(format!("{}: {err}", path.display()));
        let file = File::open(path).map_err(|err| at(err.to_string()))?;
        for line in BufReader::new(file).lines() {
            let line = line.map_err(|err| at(err.to_string()))?;
            // Other lines of the log are not JSON or concern other requests.
            let Ok(Value::Object(record)) = serde_json::from_str(&line) else { continue };
            if record.get("generation").and_then(Value::as_str) == Some(&args.generation) {
                lines.push(record);
            }
        }
    }
    if lines.is_empty() {
        let what = format!("no decision about generation {} in these logs", args.generation);
        return Err(CommandError::Failed(what));
    }
    lines.sort_by_key(|record| text(record, "ts"));
    for record in &lines {
        if args.json {
            println!("{}", Value::Object(record.clone()));
        } else {
            println!("{}", summary(record));
        }
    }
    Ok(())
}

fn text(record: &Map<String, Value>, member: &str) -> String {
    match record.get(member) {
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
        None => String::new(),
    }
}

fn summary(record: &Map<String, Value>) -> String {
    let inputs: Vec<String> = record
        .keys()
        .filter(|member| !COMMON.contains(&member.as_str()))
        .map(|member| format!("{member}={}", text(record, member)))
        .collect();
    format!(
        "{} {} {} {} ({})",
        text(record, "ts"),
        text(record, "host"),
        text(record, "msg"),
        text(record, "endpoint"),
        inputs.join(", ")
    )
}
