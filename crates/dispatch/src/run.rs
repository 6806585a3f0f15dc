//! A request that this host sent to an endpoint.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Instant;

use quick_error::quick_error;

quick_error! {
    /// Error returned when a string is not a valid call ID.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum CallIdError {
        /// The string is empty or too long.
        BadLength(bytes: usize) {
            display("call ID must have 1 to {} bytes, got {}", MAX_CALL_ID_BYTES, bytes)
        }
        /// The string contains a character that is not allowed in a header or a path.
        BadCharacter {
            display("call ID may contain only letters, digits, '-', '_' and '.'")
        }
    }
}

/// Maximum length of a call ID, in bytes.
pub const MAX_CALL_ID_BYTES: usize = 128;

/// Identifier that a client gave to one attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(Arc<str>);

impl CallId {
    /// Returns the identifier as a string.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for CallId {
    type Err = CallIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() || text.len() > MAX_CALL_ID_BYTES {
            return Err(CallIdError::BadLength(text.len()));
        }
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if !text.chars().all(is_allowed) {
            return Err(CallIdError::BadCharacter);
        }
        Ok(Self(Arc::from(text)))
    }
}

/// Identifier of a run on this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// Kind and size of the work of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunWork {
    /// A call of a plain service.
    Plain,
    /// A generation.
    Generation {
        /// Tokens in the KV cache at its start: the prompt, and what was generated elsewhere.
        kv_tokens: u32,
        /// Tokens among them that the engine has to prefill.
        prefill_tokens: u32,
        /// Tokens that it is expected to generate from there.
        expected: u32,
        /// Tokens generated here so far.
        generated: u32,
    },
}

/// A request that this host sent to an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// Identifier on this host.
    pub id: RunId,
    /// Identifier given by the client.
    pub call: CallId,
    /// Work done at the endpoint.
    pub work: RunWork,
    /// When the request was sent.
    pub sent_at: Instant,
}

impl Run {
    /// Returns the memory in use by the run, in tokens.
    pub fn kv_tokens(&self) -> u32 {
        match self.work {
            RunWork::Plain => 0,
            RunWork::Generation { kv_tokens, generated, .. } => kv_tokens.saturating_add(generated),
        }
    }

    /// Returns the number of tokens that the run is still expected to generate. A run close to or
    /// beyond its estimate is expected to generate at least a third of what it has generated so
    /// far.
    pub fn expected_remaining(&self) -> u32 {
        const OVERRUN_DIVISOR: u32 = 3;
        match self.work {
            RunWork::Plain => 0,
            RunWork::Generation { expected, generated, .. } => {
                expected.saturating_sub(generated).max(generated / OVERRUN_DIVISOR)
            }
        }
    }
}
