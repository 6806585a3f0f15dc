//! What the stand-in adds to the engine's protocol: hints and faults.

use camphorloft_engine::completion::CompletionBody;
use serde::{Deserialize, Serialize};

/// Instructions to the stand-in that a real engine does not know.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct StandinHints {
    /// Tokens to generate.
    pub output_tokens: Option<u32>,
}

impl StandinHints {
    /// Reads the hints from the member `standin` of a body.
    pub fn of(body: &CompletionBody) -> Self {
        let hints = body.other.get("standin").cloned().unwrap_or_default();
        serde_json::from_value(hints).unwrap_or_default()
    }
}

/// A fault for the stand-in to show.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineFault {
    /// Loses all sequences and refuses requests for a time, in milliseconds.
    Crash(u64),
    /// Makes no step and sends nothing for a time, in milliseconds.
    Freeze(u64),
    /// Open streams go silent for good; new connections work.
    SilenceStreams,
    /// Reports that it is about to leave.
    Drain,
    /// Takes work again.
    Return,
    /// Drops every stream at short notice, in milliseconds, and refuses new work.
    Reclaim(u64),
}
