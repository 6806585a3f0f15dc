//! Signed event identifiers.
//!
//! The identifier of an event names the endpoint, the generation, the attempt and the index of
//! the token, with a digest of the text delivered so far. It is signed with a MAC under a key of
//! the organisation. Any host can therefore resume a stream from it without a lookup or a write,
//! and no organisation can resume a stream of another.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use camphorloft_types::prelude::*;
use quick_error::quick_error;
use subtle::ConstantTimeEq;

const KEY_CONTEXT: &str = "camphorloft event identifier 2026-12-03";
/// Length of the MAC tag, in bytes.
const TAG_BYTES: usize = 12;
/// Length of the fields before the name of the endpoint: generation, attempt, offset and digest.
const FIXED_BYTES: usize = 16 + 4 + 4 + 8;

quick_error! {
    /// Reason that an event identifier was rejected.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum EventIdError {
        /// The text is not an event identifier.
        Malformed {
            display("the text is not an event identifier of this system")
        }
        /// The tag was not made with the key of the organisation.
        WrongTag {
            display("the event identifier does not belong to this organisation")
        }
    }
}

/// Identifies one delivered token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventId {
    /// Generation of the token.
    pub generation: GenerationId,
    /// Attempt that generated the token.
    pub attempt: Attempt,
    /// Index of the token within the generation, from 0.
    pub offset: u32,
    /// Digest of the text up to and including the token.
    pub text_digest: u64,
    /// Endpoint that generated the token.
    pub endpoint: EndpointName,
}

/// Key that signs the event identifiers of one organisation.
#[derive(Clone)]
pub struct EventIdKey([u8; 32]);

impl EventIdKey {
    /// Derives the key of an organisation from the secret shared by all hosts.
    pub fn derive(secret: &[u8], organisation: &OrganisationName) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(KEY_CONTEXT);
        hasher.update(&(secret.len() as u64).to_le_bytes());
        hasher.update(secret);
        hasher.update(organisation.as_str().as_bytes());
        Self(*hasher.finalize().as_bytes())
    }

    fn tag(&self, payload: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, payload)
    }

    /// Encodes and signs an identifier.
    ///
    /// ```
    /// use camphorloft_gateway::event_id::{EventId, EventIdKey};
    /// use camphorloft_types::prelude::*;
    /// let id = EventId {
    ///     generation: GenerationId(7),
    ///     attempt: Attempt(1),
    ///     offset: 41,
    ///     text_digest: 9,
    ///     endpoint: "khomas-1".parse().unwrap(),
    /// };
    /// let key = EventIdKey::derive(b"secret", &"kpc".parse().unwrap());
    /// assert_eq!(key.verify(&key.sign(&id)).unwrap(), id);
    /// let other = EventIdKey::derive(b"secret", &"other".parse().unwrap());
    /// assert!(other.verify(&key.sign(&id)).is_err());
    /// ```
    pub fn sign(&self, id: &EventId) -> String {
        let name = id.endpoint.as_str().as_bytes();
        let mut bytes = Vec::with_capacity(FIXED_BYTES + name.len() + TAG_BYTES);
        bytes.extend_from_slice(&id.generation.0.to_le_bytes());
        bytes.extend_from_slice(&id.attempt.0.to_le_bytes());
        bytes.extend_from_slice(&id.offset.to_le_bytes());
        bytes.extend_from_slice(&id.text_digest.to_le_bytes());
        bytes.extend_from_slice(name);
        let tag = self.tag(&bytes);
        bytes.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
        URL_SAFE_NO_PAD.encode(&bytes)
    }

    /// Verifies and decodes a signed identifier.
    ///
    /// # Errors
    ///
    /// Returns [`EventIdError`] for text that was not signed with this key.
    pub fn verify(&self, text: &str) -> Result<EventId, EventIdError> {
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| EventIdError::Malformed)?;
        if bytes.len() <= FIXED_BYTES + TAG_BYTES {
            return Err(EventIdError::Malformed);
        }
        let (payload, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        let expected = self.tag(payload);
        if !bool::from(expected.as_bytes()[..TAG_BYTES].ct_eq(tag)) {
            return Err(EventIdError::WrongTag);
        }
        parse_payload(payload).ok_or(EventIdError::Malformed)
    }
}

fn parse_payload(payload: &[u8]) -> Option<EventId> {
    let (generation, rest) = payload.split_first_chunk::<16>()?;
    let (attempt, rest) = rest.split_first_chunk::<4>()?;
    let (offset, rest) = rest.split_first_chunk::<4>()?;
    let (digest, name) = rest.split_first_chunk::<8>()?;
    Some(EventId {
        generation: GenerationId(u128::from_le_bytes(*generation)),
        attempt: Attempt(u32::from_le_bytes(*attempt)),
        offset: u32::from_le_bytes(*offset),
        text_digest: u64::from_le_bytes(*digest),
        endpoint: std::str::from_utf8(name).ok()?.parse().ok()?,
    })
}
