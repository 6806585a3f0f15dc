//! A request that this host sent to an endpoint.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Instant;

use quick_error::quick_error;

quick_error! {
    /// Reason that a string was refused as the identity of a call.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum CallIdError {
        /// It is empty or too long.
        BadLength(bytes: usize) {
            display("an identity has 1 to {} bytes, this one has {}", MAX_CALL_ID_BYTES, bytes)
        }
        /// It holds a character that cannot stand in a header or a path.
        BadCharacter {
            display("an identity has letters, digits, '-', '_' and '.' only")
        }
    }
}

/// Longest identity of a call, in bytes.
pub const MAX_CALL_ID_BYTES: usize = 128;

/// Identity that a caller gave to one attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(Arc<str>);

impl CallId {
    /// Returns the identity as text.
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

/// Identifies a run on this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// What a run does to the endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunWork {
    /// A call of a plain service.
    Plain,
    /// A generation.
    Generation {
        /// Tokens that it holds at its start: the prompt, and what was generated elsewhere.
        kv_tokens: u32,
        /// Tokens among them that the engine has to read.
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
    /// Identity on this host.
    pub id: RunId,
    /// Identity that the caller gave.
    pub call: CallId,
    /// Digest of what the caller asked for, the same in each of its attempts.
    pub fingerprint: u64,
    /// What it does to the endpoint.
    pub work: RunWork,
    /// When it was sent.
    pub sent_at: Instant,
}

impl Run {
    /// Returns the memory that the run holds, in tokens.
    pub fn kv_tokens(&self) -> u32 {
        match self.work {
            RunWork::Plain => 0,
            RunWork::Generation { kv_tokens, generated, .. } => kv_tokens + generated,
        }
    }

    /// Returns the tokens that the run is still expected to generate. A run that outlived its
    /// estimate is expected to go on for a part of what it has generated.
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
