//! What requests may have in common.

use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Seed of the digests of prompt parts, which separates them from those of whole requests.
const PART_SEED: u64 = 0x7061_7274;

/// Digest of something that several requests may have in common: the content of a whole request, or one
/// part of its prompt. It is the same on all hosts, in each attempt of a client and with each version of
/// the configuration.
///
/// ```
/// use camphorloft_types::request_feature::RequestFeature;
/// let part = RequestFeature::of_prompt_part("5c1e07a2");
/// assert_eq!(part.to_string().parse(), Ok(part));
/// assert_ne!(part, RequestFeature::of_prompt_part("91bd3f06"));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFeature(pub u64);

impl RequestFeature {
    /// Returns the feature of requests with the same content, which is given as its fields.
    ///
    /// ```
    /// use camphorloft_types::request_feature::RequestFeature;
    /// let first = RequestFeature::of_content([&b"POST"[..], b"/drafts/1", b"prompt"]);
    /// assert_eq!(first, RequestFeature::of_content([&b"POST"[..], b"/drafts/1", b"prompt"]));
    /// assert_ne!(first, RequestFeature::of_content([&b"POST"[..], b"/drafts/", b"1prompt"]));
    /// ```
    pub fn of_content<'f, Fields>(fields: Fields) -> Self
    where
        Fields: IntoIterator<Item = &'f [u8]>,
    {
        let mut digest = Xxh3::new();
        for field in fields {
            digest.update(&(field.len() as u64).to_le_bytes());
            digest.update(field);
        }
        Self(digest.digest())
    }

    /// Returns the feature of requests whose prompts contain a part.
    pub fn of_prompt_part(part: &str) -> Self {
        Self(xxh3_64_with_seed(part.as_bytes(), PART_SEED))
    }
}

impl fmt::Display for RequestFeature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for RequestFeature {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
