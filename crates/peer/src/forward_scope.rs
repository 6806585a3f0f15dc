//! Hosts that the receiver of a datagram forwards its updates to.

use quick_error::quick_error;

quick_error! {
    /// Error returned for a number that names no scope.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum ForwardScopeError {
        /// The number is not in use.
        Unknown(number: u32) {
            display("unknown forward scope {}", number)
        }
    }
}

/// Hosts that the receiver of a datagram forwards its updates to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ForwardScope {
    /// No other host.
    #[default]
    None,
    /// The hosts of the receiver's zone.
    Zone,
    /// The hosts of the receiver's region.
    Region,
    /// All hosts.
    Fleet,
}

impl ForwardScope {
    /// Returns the number of the scope in a datagram.
    pub fn to_wire(self) -> u32 {
        self as u32
    }
}

impl TryFrom<u32> for ForwardScope {
    type Error = ForwardScopeError;

    fn try_from(number: u32) -> Result<Self, Self::Error> {
        match number {
            0 => Ok(Self::None),
            1 => Ok(Self::Zone),
            2 => Ok(Self::Region),
            3 => Ok(Self::Fleet),
            _ => Err(ForwardScopeError::Unknown(number)),
        }
    }
}
