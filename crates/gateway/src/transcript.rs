//! Records the delivered part of a generation.

use std::hash::Hasher;

use fnv::FnvHasher;

/// Text that was delivered to the client, with its digest.
///
/// The digest is FNV-1a, because it can be continued from its value alone and does not depend on
/// token boundaries. It detects mistakes, not attacks: a client that forges the text affects only
/// its own response.
pub struct Transcript {
    text: String,
    tokens: u32,
    /// False when the stream was resumed and the client did not send the text that it received.
    is_complete: bool,
    digest: FnvHasher,
}

impl Transcript {
    /// Builds an empty transcript.
    ///
    /// ```
    /// use camphorloft_gateway::transcript::Transcript;
    /// let mut transcript = Transcript::new();
    /// transcript.push(" a");
    /// assert_eq!(transcript.tokens(), 1);
    /// assert!(Transcript::resumed(Some(" a"), 1, transcript.digest()).is_some());
    /// assert!(Transcript::resumed(Some(" b"), 1, transcript.digest()).is_none());
    /// ```
    pub fn new() -> Self {
        let digest = FnvHasher::default();
        Self { text: String::new(), tokens: 0, is_complete: true, digest }
    }

    /// Builds the transcript of a resumed stream from the text that the client received, if it sent
    /// that text. Returns `None` when the text does not match the digest.
    pub fn resumed(text: Option<&str>, tokens: u32, digest: u64) -> Option<Self> {
        let mut transcript = Self::new();
        transcript.tokens = tokens;
        match text {
            Some(text) => {
                transcript.digest.write(text.as_bytes());
                transcript.text.push_str(text);
            }
            None => {
                transcript.is_complete = false;
                transcript.digest = FnvHasher::with_key(digest);
            }
        }
        (transcript.digest() == digest).then_some(transcript)
    }

    /// Appends a token.
    pub fn push(&mut self, token: &str) {
        self.tokens += 1;
        self.digest.write(token.as_bytes());
        if self.is_complete {
            self.text.push_str(token);
        }
    }

    /// Returns the number of delivered tokens.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns the complete delivered text, or `None` when this host does not have its start.
    pub fn text(&self) -> Option<&str> {
        self.is_complete.then_some(self.text.as_str())
    }

    /// Returns the digest of the delivered text.
    pub fn digest(&self) -> u64 {
        self.digest.finish()
    }
}

impl Default for Transcript {
    fn default() -> Self {
        Self::new()
    }
}
