//! The record that lets a call with an effect run at most once.
//!
//! A claim is written before the call is dispatched and is never taken over by another host, so
//! that a paused holder which wakes up late cannot cause a second effect. Only the holder itself
//! may release a claim, and only when it has not dispatched the call and never will.

use std::fmt;

use camphorloft_types::prelude::{HostName, OrganisationName, ServiceName};
use serde::{Deserialize, Serialize};

/// Largest answer that is kept with its claim, in bytes.
pub const MAX_STORED_RESPONSE_BYTES: usize = 16 * 1024;

/// Key of a claim: organisation, service and the caller's idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey(String);

impl ClaimKey {
    /// Builds the key. The caller's part is hashed, so any text is accepted.
    ///
    /// ```
    /// use camphorloft_platform::claim::ClaimKey;
    /// let org = "a".parse().unwrap();
    /// let service = "booking".parse().unwrap();
    /// let one = ClaimKey::new(&org, &service, "k");
    /// assert_eq!(one, ClaimKey::new(&org, &service, "k"));
    /// assert_ne!(one, ClaimKey::new(&org, &service, "l"));
    /// ```
    pub fn new(organisation: &OrganisationName, service: &ServiceName, key: &str) -> Self {
        let hash = blake3::hash(key.as_bytes()).to_hex();
        Self(format!("{organisation}.{service}.{hash}"))
    }

    /// Returns the key as it stands in the table.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// An answer that is kept with its claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: String,
    /// Body; `None` when it was larger than [`MAX_STORED_RESPONSE_BYTES`].
    pub body: Option<String>,
}

/// How far a claimed call has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder may have dispatched the call.
    Claimed,
    /// The holder gave the claim up before it dispatched the call.
    Released,
    /// The call was answered.
    Done(StoredResponse),
    /// The call was dispatched and its answer was lost.
    Lost,
}

/// The value of a row of the table `claims`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Tells this claim from every other one of the same key.
    pub nonce: String,
    /// Host of the holder.
    pub host: HostName,
    /// When the holder's process started, in milliseconds since the epoch.
    pub started_ms: u64,
    /// Digest of method, path and body, to refuse a key that is used for another call.
    pub fingerprint: String,
    /// How far the call has come.
    pub state: ClaimState,
}

/// What a host learns when it asks for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claim is durable and the call may be dispatched once.
    Granted,
    /// The key was claimed before, with this record.
    Existing(ClaimRecord),
    /// The claim could not be confirmed. The call must not be dispatched.
    Unconfirmed,
}
