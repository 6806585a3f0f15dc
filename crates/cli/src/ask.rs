//! Sends a prompt and prints the answer as it arrives.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use camphorloft_http::client::{Deadlines, unpooled_agent};
use camphorloft_http::event_reader::{EventReader, event_data, event_id};
use serde_json::{Value, json};

use crate::exit::{CommandError, CommandResult};
use crate::hosts::default_host;

const CONNECT: Duration = Duration::from_secs(5);
/// Time until the first token, which includes the wait for a place.
const RESPONSE: Duration = Duration::from_secs(120);
/// Silence after which the answer is asked for again.
const PROGRESS: Duration = Duration::from_secs(10);
/// Times that a broken answer is asked for again.
const MAX_RESUMES: u32 = 5;

/// send a prompt and print the answer as it arrives
#[derive(FromArgs)]
#[argh(subcommand, name = "ask")]
pub struct AskArgs {
    /// address of a host
    #[argh(option, default = "default_host()")]
    host: SocketAddr,
    /// key of the organisation
    #[argh(option)]
    key: String,
    /// route
    #[argh(option)]
    route: String,
    /// print the events as they arrive
    #[argh(switch)]
    json: bool,
    /// the prompt
    #[argh(positional)]
    prompt: String,
}

/// A prompt and where it goes.
pub struct Question<'a> {
    /// Address of a host.
    pub host: SocketAddr,
    /// Key of the organisation.
    pub key: &'a str,
    /// Route.
    pub route: &'a str,
    /// Prompt.
    pub prompt: &'a str,
    /// Print events instead of text.
    pub json: bool,
}

/// The part of an answer that has arrived.
#[derive(Default)]
struct Received {
    text: String,
    last_id: Option<String>,
}

/// How reading an answer ended.
enum Ended {
    Done,
    Broken(String),
}

/// Runs the command.
pub fn run(args: &AskArgs) -> CommandResult {
    ask(&Question {
        host: args.host,
        key: &args.key,
        route: &args.route,
        prompt: &args.prompt,
        json: args.json,
    })
}

/// Sends a prompt, prints the answer and resumes it when the connection breaks.
pub fn ask(question: &Question<'_>) -> CommandResult {
    let mut received = Received::default();
    let mut last = String::new();
    for _ in 0..=MAX_RESUMES {
        match read_answer(question, &mut received)? {
            Ended::Done => {
                println!();
                return Ok(());
            }
            Ended::Broken(detail) => last = detail,
        }
        eprintln!("camphorloft: {last}; resuming");
    }
    Err(CommandError::Unknown(last))
}

fn read_answer(question: &Question<'_>, received: &mut Received) -> Result<Ended, CommandError> {
    let deadlines = Deadlines { connect: CONNECT, response: RESPONSE, progress: PROGRESS };
    let agent = unpooled_agent(deadlines);
    let mut body = json!({ "model": question.route, "prompt": question.prompt, "stream": true });
    if received.last_id.is_some() {
        body["camphorloft"] = json!({ "delivered": received.text });
    }
    let mut call = agent
        .post(format!("http://{}/v1/completions", question.host))
        .header("authorization", format!("Bearer {}", question.key));
    if let Some(id) = &received.last_id {
        call = call.header("last-event-id", id);
    }
    let mut response = match call.send_json(&body) {
        Ok(response) => response,
        Err(err) if received.last_id.is_none() => {
            return Err(CommandError::Failed(format!("host {}: {err}", question.host)));
        }
        Err(err) => return Ok(Ended::Broken(err.to_string())),
    };
    if response.status() != 200 {
        let text = response.body_mut().read_to_string().unwrap_or_default();
        return Err(problem_error(&text));
    }
    let mut events = EventReader::new(response.into_body().into_reader());
    loop {
        match events.next_event() {
            Ok(Some(event)) => {
                if print_event(question, &event, received)? {
                    return Ok(Ended::Done);
                }
            }
            Ok(None) => return Ok(Ended::Broken("the answer ended early".to_owned())),
            Err(err) => return Ok(Ended::Broken(err.to_string())),
        }
    }
}

/// Prints one event. Returns true at the end of the answer.
fn print_event(
    question: &Question<'_>,
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
    if question.json {
        println!("{data}");
    } else {
        print!("{text}");
    }
    // A closed standard output ends the process with the next write.
    let _ = io::stdout().flush();
    Ok(false)
}

/// Turns problem+json into an error with the right exit code.
fn problem_error(text: &str) -> CommandError {
    let problem: Value = serde_json::from_str(text).unwrap_or_default();
    let detail = problem["detail"].as_str().unwrap_or(text);
    let mut what = format!("{}: {detail}", problem["code"].as_str().unwrap_or("error"));
    if let Some(seconds) = problem["retry_after"].as_u64() {
        what.push_str(&format!("; try again in {seconds} s"));
    }
    if problem["outcome"] == "not_run" {
        CommandError::NotRun(what)
    } else {
        CommandError::Unknown(what)
    }
}
