//! Writes tokens in the shape that the caller asked for.

use std::io;

use camphorloft_engine::completion::{Choice, Chunk};
use camphorloft_http::event_stream::{EventStream, RequestEventStream};
use camphorloft_http::header::response_header;
use camphorloft_http::problem::Problem;
use camphorloft_types::prelude::GenerationId;
use serde::Serialize;
use tiny_http::{Request, Response};

use crate::request::Shape;

/// One delivered token with its event identifier.
pub struct Delivery<'a> {
    /// The token.
    pub chunk: &'a Chunk,
    /// Sealed event identifier.
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

/// Where the tokens of one generation go.
pub struct Sink {
    shape: Shape,
    generation: GenerationId,
    output: Output,
    buf: Vec<u8>,
}

enum Output {
    /// Events, not yet begun.
    Unstarted(Request),
    /// Events, begun.
    Events(RequestEventStream),
    /// One JSON body, gathered until the end.
    Gathered(Request, String, Option<String>),
    /// The caller left or was answered.
    Closed,
}

impl Sink {
    /// Builds a sink over the connection of a request.
    pub fn new(req: Request, shape: Shape, stream: bool, generation: GenerationId) -> Self {
        let output = if stream {
            Output::Unstarted(req)
        } else {
            Output::Gathered(req, String::new(), None)
        };
        Self { shape, generation, output, buf: Vec::new() }
    }

    /// Queues a token. [`Sink::flush`] sends it.
    pub fn push(&mut self, delivery: &Delivery<'_>) {
        let Some(choice) = delivery.chunk.choices.first() else { return };
        if let Output::Gathered(_, text, reason) = &mut self.output {
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
        let _ = match self.shape {
            Shape::Completion => {
                let choices = [choice];
                let event = Event { id, object: "text_completion", offset, chain, choices };
                serde_json::to_writer(&mut self.buf, &event)
            }
            Shape::Chat => {
                let delta = Delta { content: &choice.text };
                let finish_reason = choice.finish_reason.as_deref();
                let choices = [ChatChoice { index: choice.index, delta, finish_reason }];
                let object = "chat.completion.chunk";
                serde_json::to_writer(&mut self.buf, &Event { id, object, offset, chain, choices })
            }
        };
    }

    /// Sends the queued tokens.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection when the caller left.
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

    /// Sends a comment so that a caller that left is noticed.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection when the caller left.
    pub fn probe(&mut self) -> io::Result<()> {
        match &mut self.output {
            Output::Events(events) => events.send(b": waiting\n\n"),
            _ => Ok(()),
        }
    }

    fn start(&mut self) -> io::Result<()> {
        if !matches!(self.output, Output::Unstarted(_)) {
            return Ok(());
        }
        if let Output::Unstarted(req) = std::mem::replace(&mut self.output, Output::Closed) {
            let outcome = [("camphorloft-generation", self.generation.to_string())];
            let headers: Vec<(&str, &str)> =
                outcome.iter().map(|(name, value)| (*name, value.as_str())).collect();
            self.output = Output::Events(EventStream::start(req, &headers)?);
        }
        Ok(())
    }

    /// Ends the answer after its last token.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection when the caller left.
    pub fn finish(mut self) -> io::Result<()> {
        self.buf.extend_from_slice(b"data: [DONE]\n\n");
        self.flush()?;
        match self.output {
            Output::Events(events) => events.finish(),
            Output::Gathered(req, text, reason) => {
                return respond_gathered(
                    req,
                    self.shape,
                    self.generation,
                    &text,
                    reason.as_deref(),
                );
            }
            Output::Unstarted(_) | Output::Closed => {}
        }
        Ok(())
    }

    /// Ends the answer with a problem: as its status before the first token, as an `error` event
    /// after it.
    pub fn fail(mut self, problem: &Problem) {
        // The caller may have left, in which case nobody reads the problem.
        let _ = self.flush();
        match self.output {
            Output::Unstarted(req) | Output::Gathered(req, _, _) => problem.respond(req),
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
struct GatheredMessage<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Serialize)]
struct GatheredChoice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<GatheredMessage<'a>>,
    finish_reason: &'a str,
}

#[derive(Serialize)]
struct Gathered<'a> {
    id: String,
    object: &'static str,
    choices: [GatheredChoice<'a>; 1],
}

fn respond_gathered(
    req: Request,
    shape: Shape,
    generation: GenerationId,
    text: &str,
    finish_reason: Option<&str>,
) -> io::Result<()> {
    let (object, text, message) = match shape {
        Shape::Completion => ("text_completion", Some(text), None),
        Shape::Chat => {
            let message = GatheredMessage { role: "assistant", content: text };
            ("chat.completion", None, Some(message))
        }
    };
    let finish_reason = finish_reason.unwrap_or("stop");
    let choices = [GatheredChoice { index: 0, text, message, finish_reason }];
    let body = serde_json::to_string(&Gathered { id: generation.to_string(), object, choices })?;
    let response = Response::from_string(body)
        .with_header(response_header("content-type", "application/json"))
        .with_header(response_header("camphorloft-outcome", "completed"));
    req.respond(response)
}
