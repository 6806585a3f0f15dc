//! The possible outcomes of a request.

use std::fmt;

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The client received the complete response.
    Completed,
    /// No endpoint executed the request. It can be retried safely.
    NotRun,
    /// An endpoint may have executed the request.
    Unknown,
}

impl Outcome {
    /// Returns the name used in JSON and in metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Completed => "completed",
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
