//! Version of an endpoint's software.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use quick_error::quick_error;

/// Longest accepted version, in bytes.
const MAX_VERSION_BYTES: usize = 64;

quick_error! {
    /// Error for a string that is not a software version.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum SoftwareVersionError {
        /// The string is empty or too long.
        BadLength(bytes: usize) {
            display("a software version has 1 to {} bytes, got {}", MAX_VERSION_BYTES, bytes)
        }
        /// The string contains a character that is not visible ASCII.
        BadCharacter {
            display("a software version contains only visible ASCII characters")
        }
    }
}

/// Version of an endpoint's software. Versions are only compared for equality: they have no order.
///
/// ```
/// use camphorloft_types::software_version::SoftwareVersion;
/// let version: SoftwareVersion = "v1.2+b7".parse().unwrap();
/// assert_eq!(version.to_string(), "v1.2+b7");
/// assert!("".parse::<SoftwareVersion>().is_err());
/// assert!("v 1".parse::<SoftwareVersion>().is_err());
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SoftwareVersion(Arc<str>);

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = SoftwareVersionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() || text.len() > MAX_VERSION_BYTES {
            return Err(SoftwareVersionError::BadLength(text.len()));
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(SoftwareVersionError::BadCharacter);
        }
        Ok(Self(Arc::from(text)))
    }
}
