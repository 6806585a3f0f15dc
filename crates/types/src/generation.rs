//! Identifiers of generations and of their attempts.

use std::fmt;
use std::str::FromStr;

use crate::number::NumberError;

/// Identifies one generation, written as 32 hexadecimal digits.
///
/// ```
/// use camphorloft_types::generation::GenerationId;
/// let id = GenerationId(0xab);
/// assert_eq!(id.to_string().parse::<GenerationId>().unwrap(), id);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GenerationId(pub u128);

impl fmt::Display for GenerationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for GenerationId {
    type Err = NumberError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(u128::from_str_radix(text, 16)?))
    }
}

/// Number of an attempt of a generation. Events of an older attempt are stale.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(pub u32);

impl Attempt {
    /// Returns the next attempt, saturating at the maximum.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
