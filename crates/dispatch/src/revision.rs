//! Position in the registry's change history.

use std::fmt;

/// Number of times that the registry was restored from an older copy of its contents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RegistryEra(pub u64);

impl fmt::Display for RegistryEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Position in the registry's change history. Numbers are assigned again after a restoration, so that
/// they are comparable only within an era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision {
    /// Era of the history.
    pub era: RegistryEra,
    /// Number of the change in its era.
    pub number: u64,
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
