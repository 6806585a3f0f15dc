//! Sends a prompt and prints the response as it arrives.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use camphorloft_http::client::{Deadlines, unpooled_agent};
use camphorloft_http::event_reader::{EventReader, event_data, event_id};
use serde_json::{Value, json};

use crate::exit::{CommandError, CommandResult};
use crate::hosts::default_host;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout until the first token, which includes the wait for a placement.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(120);
/// Time without data after which the response is resumed.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of times that an interrupted response is resumed.
const MAX_RESUMES: u32 = 5;

/// send a prompt and print the response as it arrives
#[derive(FromArgs)]
#[argh(subcommand, name = "ask")]
pub struct AskArgs {
    /// address of a host
    #[argh(option, default = "default_host()")]
    host: SocketAddr,
    /// key of the organisation
    #[argh(option)]
    key: String,
    /// name of the route
    #[argh(option)]
    route: String,
    /// print the events as they arrive
    #[argh(switch)]
    json: bool,
    /// the prompt
    #[argh(positional)]
    prompt: String,
}

/// A prompt with its destination and output format.
pub struct PromptRequest<'a> {
    /// Address of a host.
    pub host: SocketAddr,
    /// Key of the organisation.
    pub key: &'a str,
    /// Name of the route.
    pub route: &'a str,
    /// Prompt.
    pub prompt: &'a str,
    /// Print events instead of text.
    pub json: bool,
}

/// The part of a response received so far.
#[derive(Default)]
struct Received {
    text: String,
    last_id: Option<String>,
}

/// How reading a response ended.
enum ReadOutcome {
    Done,
    Interrupted(String),
}

/// Runs the command.
pub fn run(args: &AskArgs) -> CommandResult {
    ask(&PromptRequest {
        host: args.host,
        key: &args.key,
        route: &args.route,
        prompt: &args.prompt,
        json: args.json,
    })
}

/// Sends a prompt, prints the response and resumes it after a connection error.
pub fn ask(request: &PromptRequest<'_>) -> CommandResult {
    let mut received = Received::default();
    let mut last_error = String::new();
    for _ in 0..=MAX_RESUMES {
        match read_response(request, &mut received)? {
            ReadOutcome::Done => {
                println!();
                return Ok(());
            }
            ReadOutcome::Interrupted(detail) => last_error = detail,
        }
        eprintln!("camphorloft: {last_error}; resuming");
    }
    Err(CommandError::Unknown(last_error))
}

fn read_response(
    request: &PromptRequest<'_>,
    received: &mut Received,
) -> Result<ReadOutcome, CommandError> {
    let deadlines = Deadlines {
        connect: CONNECT_TIMEOUT,
        response: RESPONSE_TIMEOUT,
        progress: PROGRESS_TIMEOUT,
    };
    let agent = unpooled_agent(deadlines);
    let mut body = json!({ "model": request.route, "prompt": request.prompt, "stream": true });
    if received.last_id.is_some() {
        body["camphorloft"] = json!({ "delivered": received.text });
    }
    let mut call = agent
        .post(format!("http://{}/v1/completions", request.host))
        .header("authorization", format!("Bearer {}", request.key));
    if let Some(id) = &received.last_id {
        call = call.header("last-event-id", id);
    }
    let mut response = match call.send_json(&body) {
        Ok(response) => response,
        Err(err) if received.last_id.is_none() => {
            return Err(CommandError::Failed(format!("host {}: {err}", request.host)));
        }
        Err(err) => return Ok(ReadOutcome::Interrupted(err.to_string())),
    };
    if response.status() != 200 {
        let text = response.body_mut().read_to_string().unwrap_or_default();
        return Err(problem_error(&text));
    }
    let mut events = EventReader::new(response.into_body().into_reader());
    loop {
        match events.next_event() {
            Ok(Some(event)) => {
                if print_event(request, &event, received)? {
                    return Ok(ReadOutcome::Done);
                }
            }
            Ok(None) => return Ok(ReadOutcome::Interrupted("the response ended early".to_owned())),
            Err(err) => return Ok(ReadOutcome::Interrupted(err.to_string())),
        }
    }
}

/// Prints one event. Returns true at the end of the response.
fn print_event(
    request: &PromptRequest<'_>,
    event: &str,
    received: &mut Received,
) -> Result<bool, CommandError> {
    let data = event_data(event).unwrap_or_default();
    if event.starts_with("event: error") {
        return Err(problem_error(data));
    }
    if data == "[DONE]" {
        return Ok(true);
    }
    if let Some(id) = event_id(event) {
        received.last_id = Some(id.to_owned());
    }
    let chunk: Value = serde_json::from_str(data).unwrap_or_default();
    let text = chunk["choices"][0]["text"].as_str().unwrap_or_default();
    received.text.push_str(text);
    if request.json {
        println!("{data}");
    } else {
        print!("{text}");
    }
    // If standard output is closed, the next print ends the process.
    let _ = io::stdout().flush();
    Ok(false)
}

/// Converts problem+json into an error with the matching exit code.
fn problem_error(text: &str) -> CommandError {
    let problem: Value = serde_json::from_str(text).unwrap_or_default();
    let detail = problem["detail"].as_str().unwrap_or(text);
    let mut message = format!("{}: {detail}", problem["code"].as_str().unwrap_or("error"));
    if let Some(seconds) = problem["retry_after"].as_u64() {
        message.push_str(&format!("; try again in {seconds} s"));
    }
    if problem["outcome"] == "not_run" {
        CommandError::NotRun(message)
    } else {
        CommandError::Unknown(message)
    }
}
