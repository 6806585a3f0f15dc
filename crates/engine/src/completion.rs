//! Completion requests and the chunks of their responses, in the OpenAI format with extensions.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Text delivered by an earlier attempt, from which the engine continues.
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
    /// Text of the prompt.
    pub prompt: String,
    /// Name of the model or adapter.
    #[serde(default)]
    pub model: String,
    /// Always true: the gateway collects the tokens itself when its client does not stream.
    #[serde(default)]
    pub stream: bool,
    /// Maximum length of the output, in tokens.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Scheduling priority; a larger value is scheduled first.
    #[serde(default)]
    pub priority: i32,
    /// Delivered prefix to continue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub continue_from: Option<ContinueFrom>,
    /// Other fields, which the gateway forwards unchanged.
    #[serde(flatten)]
    pub other: Map<String, Value>,
}

/// One choice of a chunk.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Choice {
    /// Index of the choice, always 0.
    pub index: u32,
    /// Text of the token.
    pub text: String,
    /// `stop` or `length` on the last chunk, `None` before it.
    pub finish_reason: Option<String>,
}

/// One event of a completion stream, which holds exactly one token.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Chunk {
    /// Object type, always `text_completion`.
    #[serde(default)]
    pub object: String,
    /// Index of the token within the generation, from 0, including a continued prefix.
    pub offset: u32,
    /// Chained digest of the prompt and the tokens up to this one, in hexadecimal.
    #[serde(default)]
    pub chain: String,
    /// Choices of the completion, always exactly one.
    pub choices: Vec<Choice>,
}

/// Data of the event that ends a stream.
pub const DONE: &str = "[DONE]";
