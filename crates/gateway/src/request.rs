//! Checks the body of a generation request.

use camphorloft_http::problem::Problem;
use camphorloft_types::prelude::TokenCount;
use serde::Deserialize;
use serde_json::{Map, Value};
use xxhash_rust::xxh3::xxh3_64;

/// Bytes that count as one token of a prompt.
const BYTES_PER_TOKEN: usize = 4;
/// Bytes of a prompt that identify its shared prefix.
const PREFIX_BYTES: usize = 1024;

/// Shape of a request and of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// `/v1/completions`.
    Completion,
    /// `/v1/chat/completions`.
    Chat,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// Members that only this system reads.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Extension {
    #[serde(default)]
    delivered: Option<String>,
}

#[derive(Deserialize)]
struct RawRequest {
    model: String,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Option<Vec<Message>>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    camphorloft: Extension,
    #[serde(flatten)]
    other: Map<String, Value>,
}

/// A checked generation request.
#[derive(Clone, Debug)]
pub struct GenerationRequest {
    /// Shape of the answer.
    pub shape: Shape,
    /// Name of the route.
    pub route: String,
    /// Prompt text.
    pub prompt: String,
    /// Longest output that the caller wants.
    pub max_tokens: Option<TokenCount>,
    /// True when the caller wants server-sent events.
    pub stream: bool,
    /// Text that the caller received before it reconnected.
    pub delivered: Option<String>,
    /// Members that are passed on to the engine.
    pub other: Map<String, Value>,
}

impl GenerationRequest {
    /// Parses and checks a body.
    ///
    /// # Errors
    ///
    /// Returns the refusal to give to the caller, with the place of the mistake.
    ///
    /// ```
    /// use camphorloft_gateway::request::{GenerationRequest, Shape};
    /// let body = br#"{"model": "verdict", "prompt": "Is it safe?"}"#;
    /// let request = GenerationRequest::parse(Shape::Completion, body).unwrap();
    /// assert_eq!(request.route, "verdict");
    /// let problem = GenerationRequest::parse(Shape::Completion, b"{").unwrap_err();
    /// assert!(problem.detail.contains("line 1"));
    /// ```
    pub fn parse(shape: Shape, body: &[u8]) -> Result<Self, Problem> {
        let bad = |detail: String| Problem::not_run(400, "bad_request", detail);
        let raw: RawRequest = serde_json::from_slice(body).map_err(|err| bad(err.to_string()))?;
        let prompt = match shape {
            Shape::Completion => raw.prompt.ok_or_else(|| bad("/prompt is missing".to_owned()))?,
            Shape::Chat => {
                let messages = raw.messages.filter(|messages| !messages.is_empty());
                let missing = || bad("/messages is missing or empty".to_owned());
                join_messages(&messages.ok_or_else(missing)?)
            }
        };
        if raw.max_tokens == Some(0) {
            return Err(bad("/max_tokens must be at least 1".to_owned()));
        }
        Ok(Self {
            shape,
            route: raw.model,
            prompt,
            max_tokens: raw.max_tokens.map(TokenCount),
            stream: raw.stream,
            delivered: raw.camphorloft.delivered,
            other: raw.other,
        })
    }

    /// Returns the estimated tokens of the prompt.
    pub fn prompt_tokens(&self) -> TokenCount {
        TokenCount((self.prompt.len() / BYTES_PER_TOKEN) as u32 + 1)
    }

    /// Returns the identity of the shared prefix of the prompt.
    pub fn prefix(&self) -> u64 {
        let end = self.prompt.len().min(PREFIX_BYTES);
        xxh3_64(&self.prompt.as_bytes()[..end])
    }
}

fn join_messages(messages: &[Message]) -> String {
    let lines = messages.iter().map(|message| format!("{}: {}\n", message.role, message.content));
    lines.collect::<String>() + "assistant:"
}
