//! Writes tokens in the response format that the client requested.

use std::io;

use camphorloft_engine::completion::{Choice, Chunk};
use camphorloft_http::event_stream::{EventStream, RequestEventStream};
use camphorloft_http::header::response_header;
use camphorloft_http::problem::Problem;
use camphorloft_types::prelude::GenerationId;
use serde::Serialize;
use tiny_http::{Request, Response};

use crate::request::ApiKind;

/// One delivered token with its event identifier.
pub struct Delivery<'a> {
    /// Chunk that holds the token.
    pub chunk: &'a Chunk,
    /// Signed event identifier.
    pub event_id: &'a str,
}

#[derive(Serialize)]
struct Delta<'a> {
    content: &'a str,
}

#[derive(Serialize)]
struct ChatChoice<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Event<'a, Item> {
    id: String,
    object: &'static str,
    offset: u32,
    chain: &'a str,
    choices: [Item; 1],
}

/// Response to which the tokens of one generation are written.
pub struct Sink {
    api: ApiKind,
    generation: GenerationId,
    output: Output,
    buf: Vec<u8>,
}

enum Output {
    /// Event stream whose response head has not been sent.
    NotStarted(Request),
    /// Event stream whose response head has been sent.
    Events(RequestEventStream),
    /// Single JSON body: the request, the text so far and the finish reason.
    Buffered(Request, String, Option<String>),
    /// Sending the response head failed.
    Closed,
}

impl Sink {
    /// Builds a sink that responds to `req`.
    pub fn new(req: Request, api: ApiKind, stream: bool, generation: GenerationId) -> Self {
        let output = if stream {
            Output::NotStarted(req)
        } else {
            Output::Buffered(req, String::new(), None)
        };
        Self { api, generation, output, buf: Vec::new() }
    }

    /// Buffers a token. [`Sink::flush`] sends it.
    pub fn push(&mut self, delivery: &Delivery<'_>) {
        let Some(choice) = delivery.chunk.choices.first() else { return };
        if let Output::Buffered(_, text, reason) = &mut self.output {
            text.push_str(&choice.text);
            reason.clone_from(&choice.finish_reason);
            return;
        }
        self.buf.extend_from_slice(b"id: ");
        self.buf.extend_from_slice(delivery.event_id.as_bytes());
        self.buf.extend_from_slice(b"\ndata: ");
        self.write_event(delivery.chunk, choice);
        self.buf.extend_from_slice(b"\n\n");
    }

    fn write_event(&mut self, chunk: &Chunk, choice: &Choice) {
        let id = self.generation.to_string();
        let (offset, chain) = (chunk.offset, chunk.chain.as_str());
        // Writing to a vector cannot fail.
        let _ = match self.api {
            ApiKind::Completion => {
                let choices = [choice];
                let event = Event { id, object: "text_completion", offset, chain, choices };
                serde_json::to_writer(&mut self.buf, &event)
            }
            ApiKind::Chat => {
                let delta = Delta { content: &choice.text };
                let finish_reason = choice.finish_reason.as_deref();
                let choices = [ChatChoice { index: choice.index, delta, finish_reason }];
                let object = "chat.completion.chunk";
                serde_json::to_writer(&mut self.buf, &Event { id, object, offset, chain, choices })
            }
        };
    }

    /// Sends the buffered tokens.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection when the client has disconnected.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.buf.is_empty() {
            return Ok(());
        }
        self.start()?;
        let Output::Events(events) = &mut self.output else { return Ok(()) };
        let result = events.send(&self.buf);
        self.buf.clear();
        result
    }

    /// Sends an event-stream comment to detect a client that has disconnected.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection when the client has disconnected.
    pub fn probe(&mut self) -> io::Result<()> {
        match &mut self.output {
            Output::Events(events) => events.send(b": waiting\n\n"),
            _ => Ok(()),
        }
    }

    fn start(&mut self) -> io::Result<()> {
        if !matches!(self.output, Output::NotStarted(_)) {
            return Ok(());
        }
        if let Output::NotStarted(req) = std::mem::replace(&mut self.output, Output::Closed) {
            let extra = [("camphorloft-generation", self.generation.to_string())];
            let headers: Vec<(&str, &str)> =
                extra.iter().map(|(name, value)| (*name, value.as_str())).collect();
            self.output = Output::Events(EventStream::start(req, &headers)?);
        }
        Ok(())
    }

    /// Ends the response after its last token.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection when the client has disconnected.
    pub fn finish(mut self) -> io::Result<()> {
        self.buf.extend_from_slice(b"data: [DONE]\n\n");
        self.flush()?;
        match self.output {
            Output::Events(events) => events.finish(),
            Output::Buffered(req, text, reason) => {
                return respond_full(req, self.api, self.generation, &text, reason.as_deref());
            }
            Output::NotStarted(_) | Output::Closed => {}
        }
        Ok(())
    }

    /// Ends the response with a problem: as an error response before the first token, as an `error`
    /// event after it.
    pub fn fail(mut self, problem: &Problem) {
        // The client may have disconnected, in which case the problem cannot be delivered.
        let _ = self.flush();
        match self.output {
            Output::NotStarted(req) | Output::Buffered(req, _, _) => problem.respond(req),
            Output::Events(mut events) => {
                let event = format!("event: error\ndata: {}\n\n", problem.to_json());
                let _ = events.send(event.as_bytes());
                events.finish();
            }
            Output::Closed => {}
        }
    }
}

#[derive(Serialize)]
struct FullMessage<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Serialize)]
struct FullChoice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<FullMessage<'a>>,
    finish_reason: &'a str,
}

#[derive(Serialize)]
struct FullResponse<'a> {
    id: String,
    object: &'static str,
    choices: [FullChoice<'a>; 1],
}

fn respond_full(
    req: Request,
    api: ApiKind,
    generation: GenerationId,
    text: &str,
    finish_reason: Option<&str>,
) -> io::Result<()> {
    let (object, text, message) = match api {
        ApiKind::Completion => ("text_completion", Some(text), None),
        ApiKind::Chat => {
            let message = FullMessage { role: "assistant", content: text };
            ("chat.completion", None, Some(message))
        }
    };
    let finish_reason = finish_reason.unwrap_or("stop");
    let choices = [FullChoice { index: 0, text, message, finish_reason }];
    let body =
        serde_json::to_string(&FullResponse { id: generation.to_string(), object, choices })?;
    let response = Response::from_string(body)
        .with_header(response_header("content-type", "application/json"))
        .with_header(response_header("camphorloft-outcome", "completed"));
    req.respond(response)
}
