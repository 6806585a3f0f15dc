//! Authenticates frames with a shared secret.
//!
//! A sealed frame is a keyed BLAKE3 tag, the destination-independent payload and nothing else. The
//! first secret seals and every one is accepted, so that a secret is rotated by adding the new one
//! behind the old on all hosts, then exchanging their order, then dropping the old.

use quick_error::quick_error;
use subtle::ConstantTimeEq;

const FRAME_CONTEXT: &str = "camphorloft peer frame 2026-12-03";
/// Bytes of the tag.
pub const TAG_BYTES: usize = 16;

quick_error! {
    /// Reason that a frame was dropped.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum FrameError {
        /// The frame is shorter than its tag or does not parse.
        Malformed {
            display("the frame is malformed")
        }
        /// No accepted secret sealed the frame.
        WrongSeal {
            display("the frame was not sealed with an accepted secret")
        }
        /// The frame was seen before.
        Replayed {
            display("the frame was seen before")
        }
    }
}

/// Keys derived from the accepted secrets, the sealing one first.
#[derive(Clone)]
pub struct FrameKeys {
    keys: Vec<[u8; 32]>,
}

impl FrameKeys {
    /// Derives the keys. The first secret seals. Without a secret nothing is accepted.
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
    /// Returns [`FrameError`] for a frame that is malformed or sealed with another secret.
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
        Err(FrameError::WrongSeal)
    }
}
