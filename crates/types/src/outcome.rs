//! The three ends that a request can have.

use std::fmt;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The caller received the whole answer.
    Completed,
    /// No endpoint ran the request. It is safe to send again.
    NotRun,
    /// An endpoint may have run the request.
    Unknown,
}

impl Outcome {
    /// Returns the outcome as it stands in JSON and in metric labels.
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
