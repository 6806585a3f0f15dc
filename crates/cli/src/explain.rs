//! Shows the decisions about one request from decision logs.

use std::collections::BTreeSet;
use std::path::PathBuf;

use argh::FromArgs;
use serde_json::Value;

use crate::exit::{CommandError, CommandResult};
use crate::log_lines::{LogLine, field, print_lines, read_lines};

/// show the decisions about one request from decision logs, and the changes that the hosts recorded
/// meanwhile for the endpoints that it used
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// identifier of the generation, as in the log and in the header camphorloft-generation
    #[argh(option)]
    generation: Option<String>,
    /// identifier that the client gave to its attempt
    #[argh(option)]
    call: Option<String>,
    /// print the log lines as they are
    #[argh(switch)]
    json: bool,
    /// log files of the hosts; standard input when none is named
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

/// Fields that every line has and that the summary omits or shows separately.
const COMMON: [&str; 7] = ["msg", "level", "ts", "host", "generation", "call", "endpoint"];
/// Fields that name endpoints.
const ENDPOINTS: [&str; 3] = ["endpoint", "from", "to"];
/// Message of a change of a host's view of an endpoint.
const ENDPOINT_CHANGED: &str = "endpoint changed";

/// Runs the command.
pub fn run(args: &ExplainArgs) -> CommandResult {
    let (name, id) = match (&args.generation, &args.call) {
        (Some(generation), None) => ("generation", generation),
        (None, Some(call)) => ("call", call),
        _ => {
            let message = "name either --generation or --call".to_owned();
            return Err(CommandError::BadInput(message));
        }
    };
    let lines = read_lines(&args.logs)?;
    let timeline = timeline(&lines, name, id);
    if timeline.is_empty() {
        let message = format!("no decision about {name} {id} in these logs");
        return Err(CommandError::Failed(message));
    }
    print_lines(timeline.into_iter().map(|line| match args.json {
        true => Value::Object(line.clone()).to_string(),
        false => summary(line),
    }))
}

/// Returns the lines of one request, with the changes of its endpoints that its hosts recorded
/// between its first line and its last.
fn timeline<'l>(lines: &'l [LogLine], name: &str, id: &str) -> Vec<&'l LogLine> {
    let of_request = |line: &&LogLine| field(line, name) == id;
    let decisions: Vec<&LogLine> = lines.iter().filter(of_request).collect();
    let (Some(first), Some(last)) = (decisions.first(), decisions.last()) else {
        return Vec::new();
    };
    let (start, end) = (field(first, "ts"), field(last, "ts"));
    let hosts: BTreeSet<String> = decisions.iter().map(|line| field(line, "host")).collect();
    let endpoints: BTreeSet<String> = decisions
        .iter()
        .flat_map(|line| ENDPOINTS.map(|name| field(line, name)))
        .filter(|endpoint| !endpoint.is_empty())
        .collect();
    let is_relevant = |line: &&LogLine| {
        let ts = field(line, "ts");
        let within = start <= ts && ts <= end && hosts.contains(&field(line, "host"));
        let of_endpoint =
            field(line, "msg") == ENDPOINT_CHANGED && endpoints.contains(&field(line, "endpoint"));
        of_request(line) || within && of_endpoint
    };
    lines.iter().filter(is_relevant).collect()
}

fn summary(line: &LogLine) -> String {
    let fields: Vec<String> = line
        .keys()
        .filter(|name| !COMMON.contains(&name.as_str()))
        .map(|name| format!("{name}={}", field(line, name)))
        .collect();
    format!(
        "{} {} {} {} ({})",
        field(line, "ts"),
        field(line, "host"),
        field(line, "msg"),
        field(line, "endpoint"),
        fields.join(", ")
    )
}
