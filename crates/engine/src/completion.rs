//! Completion requests and the chunks of their answers, in the OpenAI shape with extensions.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Text that an earlier attempt delivered and that the engine must continue.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ContinueFrom {
    /// Delivered text.
    pub text: String,
    /// Number of delivered tokens.
    pub tokens: u32,
}

/// Body of a completion request to an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompletionBody {
    /// Prompt text.
    pub prompt: String,
    /// Model or adapter.
    #[serde(default)]
    pub model: String,
    /// Always true: the gateway gathers the answer itself when its caller does not stream.
    #[serde(default)]
    pub stream: bool,
    /// Longest output, in tokens.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Scheduling priority; larger is served first.
    #[serde(default)]
    pub priority: i32,
    /// Delivered prefix to continue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub continue_from: Option<ContinueFrom>,
    /// Members that the gateway passes on without reading them.
    #[serde(flatten)]
    pub other: Map<String, Value>,
}

/// One choice of a chunk.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// Text of the token.
    pub text: String,
    /// `stop` or `length` on the last chunk.
    pub finish_reason: Option<String>,
}

/// One event of a completion stream: exactly one token.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Chunk {
    /// Always `text_completion`.
    #[serde(default)]
    pub object: String,
    /// Ordinal of the token within the generation, from 0, counting a continued prefix.
    pub offset: u32,
    /// Chain digest after the token, in hexadecimal.
    #[serde(default)]
    pub chain: String,
    /// The single choice.
    pub choices: Vec<Choice>,
}

/// Data of the event that ends a stream.
pub const DONE: &str = "[DONE]";
