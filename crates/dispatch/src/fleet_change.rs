//! Change of an endpoint's state as known to this host.

use std::fmt;

use camphorloft_types::prelude::EndpointIx;

/// Change of an endpoint's state as known to this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetChange {
    /// The endpoint was listed.
    Joined(EndpointIx),
    /// The endpoint started draining.
    Draining(EndpointIx),
    /// The endpoint turned cold, or stays cold for longer than was known.
    Cold(EndpointIx),
    /// The endpoint is no longer listed.
    Removed(EndpointIx),
}

impl FleetChange {
    /// Returns the endpoint.
    pub fn endpoint(self) -> EndpointIx {
        match self {
            FleetChange::Joined(ix)
            | FleetChange::Draining(ix)
            | FleetChange::Cold(ix)
            | FleetChange::Removed(ix) => ix,
        }
    }
}

impl fmt::Display for FleetChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FleetChange::Joined(_) => "joined",
            FleetChange::Draining(_) => "leaving",
            FleetChange::Cold(_) => "cold",
            FleetChange::Removed(_) => "gone",
        })
    }
}
