//! Organisation keys. The object set contains only the hash of a key.

use subtle::ConstantTimeEq;

const KEY_CONTEXT: &str = "camphorloft organisation key 2026-12-03";

/// BLAKE3 hash of an organisation key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Computes the hash of a key.
    ///
    /// ```
    /// use camphorloft_config::org_key::KeyHash;
    /// let hash = KeyHash::of("secret");
    /// assert!(hash.matches(&KeyHash::of("secret")));
    /// assert!(!hash.matches(&KeyHash::of("other")));
    /// ```
    pub fn of(key: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, key.as_bytes()))
    }

    /// Parses 64 hexadecimal digits. Returns `None` for any other text.
    pub fn from_hex(text: &str) -> Option<Self> {
        blake3::Hash::from_hex(text).ok().map(|hash| Self(*hash.as_bytes()))
    }

    /// Returns the hash as 64 hexadecimal digits.
    pub fn to_hex(self) -> String {
        blake3::Hash::from_bytes(self.0).to_hex().to_string()
    }

    /// Compares two hashes in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}
