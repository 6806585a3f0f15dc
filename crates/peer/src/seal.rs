//! Frame authentication with a shared secret.
//!
//! A sealed frame consists of a keyed BLAKE3 tag and a payload that does not depend on the
//! destination. Frames are sealed with the first secret and accepted with any of them. A secret is
//! rotated in three steps, each on all hosts: add the new secret after the old one, swap the two,
//! remove the old one.

use quick_error::quick_error;
use subtle::ConstantTimeEq;

const FRAME_CONTEXT: &str = "camphorloft peer frame 2026-12-03";
/// Length of the authentication tag, in bytes.
pub const TAG_BYTES: usize = 16;

quick_error! {
    /// Reason that a frame was dropped.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum FrameError {
        /// The frame is shorter than its tag or does not parse.
        Malformed {
            display("the frame is malformed")
        }
        /// The tag does not match any accepted secret.
        InvalidTag {
            display("the frame tag does not match any accepted secret")
        }
        /// The frame was received before.
        Replayed {
            display("the frame is a replay")
        }
    }
}

/// Keys derived from the accepted secrets. The first one seals.
#[derive(Clone)]
pub struct FrameKeys {
    keys: Vec<[u8; 32]>,
}

impl FrameKeys {
    /// Derives one key from each secret, in order. With no secrets, every frame is rejected.
    ///
    /// ```
    /// use camphorloft_peer::seal::FrameKeys;
    /// let old = FrameKeys::derive(&[b"old-secret".to_vec()]);
    /// let both = FrameKeys::derive(&[b"new-secret".to_vec(), b"old-secret".to_vec()]);
    /// let frame = old.seal(b"payload");
    /// assert_eq!(both.open(&frame).unwrap(), b"payload");
    /// assert!(old.open(&both.seal(b"payload")).is_err());
    /// ```
    pub fn derive(secrets: &[Vec<u8>]) -> Self {
        let derive = |secret: &Vec<u8>| blake3::derive_key(FRAME_CONTEXT, secret);
        Self { keys: secrets.iter().map(derive).collect() }
    }

    /// Seals a payload into a frame.
    pub fn seal(&self, payload: &[u8]) -> Vec<u8> {
        let mut frame = Vec::with_capacity(TAG_BYTES + payload.len());
        let key = self.keys.first().copied().unwrap_or_default();
        frame.extend_from_slice(&blake3::keyed_hash(&key, payload).as_bytes()[..TAG_BYTES]);
        frame.extend_from_slice(payload);
        frame
    }

    /// Opens a frame and returns its payload.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::Malformed`] for a frame that is shorter than its tag, and
    /// [`FrameError::InvalidTag`] when the tag does not match any accepted secret.
    pub fn open<'f>(&self, frame: &'f [u8]) -> Result<&'f [u8], FrameError> {
        let Some((tag, payload)) = frame.split_at_checked(TAG_BYTES) else {
            return Err(FrameError::Malformed);
        };
        for key in &self.keys {
            let expected = blake3::keyed_hash(key, payload);
            if expected.as_bytes()[..TAG_BYTES].ct_eq(tag).into() {
                return Ok(payload);
            }
        }
        Err(FrameError::InvalidTag)
    }
}
