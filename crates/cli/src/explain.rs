//! Shows the decisions about one request from decision logs.

use std::collections::BTreeSet;
use std::path::PathBuf;

use argh::FromArgs;
use serde_json::Value;

use crate::exit::{CommandError, CommandResult};
use crate::log_lines::{LogLine, member, print_lines, read_lines};

/// show the decisions about one request from decision logs, and what the hosts came to believe
/// meanwhile of the endpoints that it used
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// generation, as in the log and in the header camphorloft-generation
    #[argh(option)]
    generation: Option<String>,
    /// identity that the caller gave to its attempt
    #[argh(option)]
    call: Option<String>,
    /// print the log lines as they are
    #[argh(switch)]
    json: bool,
    /// log files of the hosts; standard input when none is named
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

/// Members that every line has and that the summary shows by itself.
const COMMON: [&str; 7] = ["msg", "level", "ts", "host", "generation", "call", "endpoint"];
/// Members that name endpoints.
const ENDPOINTS: [&str; 3] = ["endpoint", "from", "to"];
/// Line of a change of belief about an endpoint.
const ENDPOINT_CHANGED: &str = "endpoint changed";

/// Runs the command.
pub fn run(args: &ExplainArgs) -> CommandResult {
    let (name, identity) = match (&args.generation, &args.call) {
        (Some(generation), None) => ("generation", generation),
        (None, Some(call)) => ("call", call),
        _ => {
            let what = "name either --generation or --call".to_owned();
            return Err(CommandError::BadInput(what));
        }
    };
    let lines = read_lines(&args.logs)?;
    let story = story(&lines, name, identity);
    if story.is_empty() {
        let what = format!("no decision about {name} {identity} in these logs");
        return Err(CommandError::Failed(what));
    }
    print_lines(story.into_iter().map(|line| match args.json {
        true => Value::Object(line.clone()).to_string(),
        false => summary(line),
    }))
}

/// Returns the lines of one request, with the changes of its endpoints that its hosts learned of
/// between its first line and its last.
fn story<'l>(lines: &'l [LogLine], name: &str, identity: &str) -> Vec<&'l LogLine> {
    let own = |line: &&LogLine| member(line, name) == identity;
    let decisions: Vec<&LogLine> = lines.iter().filter(own).collect();
    let (Some(first), Some(last)) = (decisions.first(), decisions.last()) else {
        return Vec::new();
    };
    let (begin, end) = (member(first, "ts"), member(last, "ts"));
    let hosts: BTreeSet<String> = decisions.iter().map(|line| member(line, "host")).collect();
    let endpoints: BTreeSet<String> = decisions
        .iter()
        .flat_map(|line| ENDPOINTS.map(|name| member(line, name)))
        .filter(|endpoint| !endpoint.is_empty())
        .collect();
    let belongs = |line: &&LogLine| {
        let ts = member(line, "ts");
        let within = begin <= ts && ts <= end && hosts.contains(&member(line, "host"));
        let of_endpoint = member(line, "msg") == ENDPOINT_CHANGED
            && endpoints.contains(&member(line, "endpoint"));
        own(line) || within && of_endpoint
    };
    lines.iter().filter(belongs).collect()
}

fn summary(line: &LogLine) -> String {
    let inputs: Vec<String> = line
        .keys()
        .filter(|name| !COMMON.contains(&name.as_str()))
        .map(|name| format!("{name}={}", member(line, name)))
        .collect();
    format!(
        "{} {} {} {} ({})",
        member(line, "ts"),
        member(line, "host"),
        member(line, "msg"),
        member(line, "endpoint"),
        inputs.join(", ")
    )
}
