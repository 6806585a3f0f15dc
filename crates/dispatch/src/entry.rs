//! What the endpoint list says of one endpoint.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use camphorloft_types::prelude::*;
use camphorloft_types::rendezvous;

/// When the process of an endpoint started, in milliseconds since the epoch. Tells a restarted
/// endpoint from the one before it. Zero when the endpoint does not say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessStart(pub u64);

impl fmt::Display for ProcessStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for ProcessStart {
    type Err = NumberError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.parse()?))
    }
}

/// What the endpoint list says of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Name, unique in the list.
    pub name: EndpointName,
    /// Start of its process.
    pub process_start: ProcessStart,
    /// Address that takes requests.
    pub addr: SocketAddr,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: AvailabilityZone,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// True when it takes no new work and leaves soon.
    pub draining: bool,
    /// Time for which it is still slow after its start, as of when the entry was written.
    pub warmup_remaining: Duration,
}

impl EndpointEntry {
    /// Returns true when `other` describes the same process.
    pub fn is_same_process(&self, other: &Self) -> bool {
        self.name == other.name
            && self.process_start == other.process_start
            && self.addr == other.addr
    }

    /// Returns a digest of the name and the process, the same on every host.
    pub fn digest(&self) -> u64 {
        rendezvous::score(self.name.as_str(), &self.process_start.to_string())
    }
}
