//! Identifier of an event of a stream.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Identifier of an event, as its engine chose it. Identifiers increase within a stream and say nothing else:
/// engines may begin with any number, and may leave numbers out.
///
/// ```
/// use camphorloft_host::event_id::EventId;
/// let first: EventId = "0".parse().unwrap();
/// assert!(first < "4".parse().unwrap());
/// assert_eq!(first.to_string(), "0");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventId(u64);

impl EventId {
    /// Returns by how much the identifier exceeds that of an earlier event.
    ///
    /// ```
    /// use camphorloft_host::event_id::EventId;
    /// let (first, second): (EventId, EventId) = ("4".parse().unwrap(), "8".parse().unwrap());
    /// assert_eq!(second.distance_from(first), 4);
    /// ```
    pub fn distance_from(self, earlier: EventId) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for EventId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.parse()?))
    }
}
