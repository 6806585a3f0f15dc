//! Parses and checks the body of a generation request.

use camphorloft_http::problem::Problem;
use camphorloft_types::prelude::TokenCount;
use serde::Deserialize;
use serde_json::{Map, Value};
use xxhash_rust::xxh3::xxh3_64;

/// Estimated length of a prompt token, in bytes.
const BYTES_PER_TOKEN: usize = 4;
/// Length of the start of a prompt that identifies its shared prefix, in bytes.
const PREFIX_BYTES: usize = 1024;

/// API of a request, which sets the format of the request and the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApiKind {
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

/// Fields that are extensions of this system.
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
    /// API of the request.
    pub api: ApiKind,
    /// Name of the route.
    pub route: String,
    /// Text of the prompt.
    pub prompt: String,
    /// Maximum length of the output that the client requested.
    pub max_tokens: Option<TokenCount>,
    /// True when the client requested server-sent events.
    pub stream: bool,
    /// Text that the client received before it reconnected.
    pub delivered: Option<String>,
    /// Fields that are forwarded to the engine unchanged.
    pub other: Map<String, Value>,
}

impl GenerationRequest {
    /// Parses and checks a body.
    ///
    /// # Errors
    ///
    /// Returns the problem to respond with. Its detail names the invalid field or the position in
    /// the body.
    ///
    /// ```
    /// use camphorloft_gateway::request::{GenerationRequest, ApiKind};
    /// let body = br#"{"model": "verdict", "prompt": "Is it safe?"}"#;
    /// let request = GenerationRequest::parse(ApiKind::Completion, body).unwrap();
    /// assert_eq!(request.route, "verdict");
    /// let problem = GenerationRequest::parse(ApiKind::Completion, b"{").unwrap_err();
    /// assert!(problem.detail.contains("line 1"));
    /// ```
    pub fn parse(api: ApiKind, body: &[u8]) -> Result<Self, Problem> {
        let bad_request = |detail: String| Problem::not_run(400, "bad_request", detail);
        let raw: RawRequest =
            serde_json::from_slice(body).map_err(|err| bad_request(err.to_string()))?;
        let prompt = match api {
            ApiKind::Completion => {
                raw.prompt.ok_or_else(|| bad_request("/prompt is missing".to_owned()))?
            }
            ApiKind::Chat => {
                let messages = raw.messages.filter(|messages| !messages.is_empty());
                let missing = || bad_request("/messages is missing or empty".to_owned());
                join_messages(&messages.ok_or_else(missing)?)
            }
        };
        if raw.max_tokens == Some(0) {
            return Err(bad_request("/max_tokens must be at least 1".to_owned()));
        }
        Ok(Self {
            api,
            route: raw.model,
            prompt,
            max_tokens: raw.max_tokens.map(TokenCount),
            stream: raw.stream,
            delivered: raw.camphorloft.delivered,
            other: raw.other,
        })
    }

    /// Returns the estimated number of prompt tokens.
    pub fn prompt_tokens(&self) -> TokenCount {
        TokenCount((self.prompt.len() / BYTES_PER_TOKEN) as u32 + 1)
    }

    /// Returns the identifier of the shared prefix of the prompt.
    pub fn prefix(&self) -> u64 {
        let end = self.prompt.len().min(PREFIX_BYTES);
        xxh3_64(&self.prompt.as_bytes()[..end])
    }
}

fn join_messages(messages: &[Message]) -> String {
    let lines = messages.iter().map(|message| format!("{}: {}\n", message.role, message.content));
    lines.collect::<String>() + "assistant:"
}
