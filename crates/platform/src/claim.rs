//! Claim records, which ensure that a call with side effects is executed at most once.
//!
//! A claim is written before the call is dispatched and is never taken over by another host, so
//! that a holder that resumes after a long pause cannot cause a second execution. Only the holder
//! itself may release a claim, and only when it has not dispatched the call and never will.

use std::fmt;

use camphorloft_types::prelude::{HostName, OrganisationName, ServiceName};
use serde::{Deserialize, Serialize};

/// Maximum size of a response body that is stored with its claim, in bytes.
pub const MAX_STORED_RESPONSE_BYTES: usize = 16 * 1024;

/// Key of a claim: organisation, service and the client's idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey(String);

impl ClaimKey {
    /// Creates the key. The client's idempotency key is hashed, so any text is accepted.
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

    /// Returns the key of the row in the table.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A response that is stored with its claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: String,
    /// Body; `None` when it was larger than [`MAX_STORED_RESPONSE_BYTES`].
    pub body: Option<String>,
}

/// State of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder may have dispatched the call.
    Claimed,
    /// The holder released the claim without dispatching the call.
    Released,
    /// The service responded to the call.
    Done(StoredResponse),
    /// The call was dispatched and the response was lost.
    Lost,
}

/// The value of a row of the table `claims`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Distinguishes this claim from every other one with the same key.
    pub nonce: String,
    /// Host of the holder.
    pub host: HostName,
    /// Start time of the holder's process, in milliseconds since the epoch.
    pub started_ms: u64,
    /// Digest of method, path and body, to reject the reuse of a key for a different call.
    pub fingerprint: String,
    /// State of the call.
    pub state: ClaimState,
}

/// Result of a request for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claim is durable, and the call may be dispatched once.
    Granted,
    /// The key is already claimed, with this record.
    Existing(ClaimRecord),
    /// The claim could not be confirmed. The call must not be dispatched.
    Unconfirmed,
}
