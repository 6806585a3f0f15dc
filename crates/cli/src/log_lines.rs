//! Reads the decision logs of hosts.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

use crate::exit::{CommandError, CommandResult};

/// A line of a decision log.
pub type LogLine = Map<String, Value>;

/// Reads every line of the logs that contains a JSON object, from standard input when no file is
/// named. Text before the object, such as the prefix of a log collector, is skipped.
pub fn read_lines(logs: &[PathBuf]) -> Result<Vec<LogLine>, CommandError> {
    let mut lines = Vec::new();
    if logs.is_empty() {
        read_from("standard input", io::stdin().lock(), &mut lines)?;
    }
    for path in logs {
        let source = path.display().to_string();
        read_from(&source, open(path)?, &mut lines)?;
    }
    lines.sort_by_key(|line| field(line, "ts"));
    Ok(lines)
}

fn open(path: &Path) -> Result<BufReader<File>, CommandError> {
    let file = File::open(path)
        .map_err(|err| CommandError::BadInput(format!("{}: {err}", path.display())))?;
    Ok(BufReader::new(file))
}

fn read_from<Input>(
    source: &str,
    input: Input,
    lines: &mut Vec<LogLine>,
) -> Result<(), CommandError>
where
    Input: BufRead,
{
    for line in input.lines() {
        let line = line.map_err(|err| CommandError::BadInput(format!("{source}: {err}")))?;
        let Some(start) = line.find('{') else { continue };
        // A log may contain lines that are not JSON.
        if let Ok(Value::Object(record)) = serde_json::from_str(&line[start..]) {
            lines.push(record);
        }
    }
    Ok(())
}

/// Returns a field of a line as text; empty when it is missing.
pub fn field(line: &LogLine, name: &str) -> String {
    match line.get(name) {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Null) | None => String::new(),
        Some(other) => other.to_string(),
    }
}

/// Prints lines to standard output. Stops without an error when the reader closes the pipe.
pub fn print_lines<Lines>(lines: Lines) -> CommandResult
where
    Lines: IntoIterator<Item = String>,
{
    let mut out = io::stdout().lock();
    for line in lines {
        match writeln!(out, "{line}") {
            Ok(()) => {}
            Err(err) if err.kind() == io::ErrorKind::BrokenPipe => return Ok(()),
            Err(err) => return Err(CommandError::Failed(format!("standard output: {err}"))),
        }
    }
    Ok(())
}
