//! Counts how requests ended, from decision logs.

use std::collections::BTreeMap;
use std::path::PathBuf;

use argh::FromArgs;
use serde_json::json;

use crate::exit::CommandResult;
use crate::log_lines::{LogLine, field, print_lines, read_lines};

/// count how requests ended, by cause and second
#[derive(FromArgs)]
#[argh(subcommand, name = "logs")]
pub struct LogsArgs {
    /// print one JSON object
    #[argh(switch)]
    json: bool,
    /// log files of the hosts; standard input when none is named
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

/// Length of a timestamp's prefix up to the seconds.
const SECONDS_PREFIX_LEN: usize = "2026-12-04T01:02:03".len();

/// Messages that end a request, and the field that holds the cause.
const ENDS: [(&str, &str); 4] = [
    ("request refused", "reason"),
    ("call answered", "reason"),
    ("generation not served", "reason"),
    ("stream ended", "end"),
];

/// How requests ended.
#[derive(Debug, Default)]
struct Counts {
    /// Requests by message, outcome and cause.
    causes: BTreeMap<String, u64>,
    /// Requests that were not completed, by second and cause.
    failures: BTreeMap<String, BTreeMap<String, u64>>,
}

impl Counts {
    fn add(&mut self, line: &LogLine) {
        let message = field(line, "msg");
        let Some((_, cause)) = ENDS.iter().find(|(end, _)| *end == message) else { return };
        let outcome = match field(line, "outcome") {
            outcome if outcome.is_empty() => "not_run".to_owned(),
            outcome => outcome,
        };
        let cause = field(line, cause);
        *self.causes.entry(format!("{message}: {outcome}: {cause}")).or_default() += 1;
        if outcome != "completed" {
            let ts = field(line, "ts");
            let second = ts.get(..SECONDS_PREFIX_LEN).unwrap_or(&ts).to_owned();
            *self.failures.entry(second).or_default().entry(cause).or_default() += 1;
        }
    }
}

/// Runs the command.
pub fn run(args: &LogsArgs) -> CommandResult {
    let mut counts = Counts::default();
    for line in read_lines(&args.logs)? {
        counts.add(&line);
    }
    if args.json {
        let all = json!({ "causes": counts.causes, "failures": counts.failures });
        return print_lines([all.to_string()]);
    }
    let causes = counts.causes.iter().map(|(cause, count)| format!("{count:8} {cause}"));
    let seconds = counts.failures.iter().map(|(second, causes)| {
        let causes: Vec<String> =
            causes.iter().map(|(cause, count)| format!("{cause} {count}")).collect();
        format!("{second} {}", causes.join(", "))
    });
    print_lines(causes.chain(seconds))
}
