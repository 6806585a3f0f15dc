//! Extensions of the engine protocol by the stand-in: hints and faults.

use camphorloft_engine::completion::CompletionBody;
use serde::{Deserialize, Serialize};

/// Instructions to the stand-in within a completion request, which a real engine does not support.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct StandinHints {
    /// Number of tokens to generate.
    pub output_tokens: Option<u32>,
}

impl StandinHints {
    /// Reads the hints from the field `standin` of a body. Missing or invalid hints are empty.
    pub fn of(body: &CompletionBody) -> Self {
        let hints = body.other.get("standin").cloned().unwrap_or_default();
        serde_json::from_value(hints).unwrap_or_default()
    }
}

/// A fault that the engine stand-in can inject.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineFault {
    /// Loses all sequences and rejects requests for a duration, in milliseconds.
    Crash(u64),
    /// Runs no step, and so generates neither tokens nor load reports, for a duration, in
    /// milliseconds.
    Freeze(u64),
    /// Open streams send nothing more but stay connected; new connections work.
    SilenceStreams,
    /// Starts to drain: reports `draining` and rejects new work.
    Drain,
    /// Stops draining, ends any downtime and accepts work again.
    Return,
    /// Starts to drain and loses all sequences after a notice period, in milliseconds.
    Reclaim(u64),
}
