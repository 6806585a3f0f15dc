//! An endpoint as listed in the registry.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use camphorloft_types::prelude::*;
use camphorloft_types::rendezvous;

/// Start time of an endpoint's process, in milliseconds since the epoch, which distinguishes a
/// restarted endpoint from its predecessor. Zero when the endpoint does not report it.
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

/// An endpoint as listed in the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Name, unique in the list.
    pub name: EndpointName,
    /// Start time of its process.
    pub process_start: ProcessStart,
    /// Address at which it accepts requests.
    pub addr: SocketAddr,
    /// Service to which it belongs.
    pub service: ServiceName,
    /// Version of its software, if it states one.
    pub software: Option<SoftwareVersion>,
    /// Availability zone.
    pub zone: AvailabilityZone,
    /// Maximum concurrent requests.
    pub slots: u32,
    /// True when it is draining: it accepts no new work and shuts down soon.
    pub draining: bool,
    /// Time until its warm-up ends, as of when the entry was written.
    pub warmup_remaining: Duration,
}

impl EndpointEntry {
    /// Returns true if `other` describes the same process.
    pub fn is_same_process(&self, other: &Self) -> bool {
        self.name == other.name
            && self.process_start == other.process_start
            && self.addr == other.addr
            && self.software == other.software
    }

    /// Returns true if it runs a software version.
    pub fn has_software(&self, software: &SoftwareVersion) -> bool {
        self.software.as_ref() == Some(software)
    }

    /// Returns a digest of the name and the process, the same on every host.
    pub fn digest(&self) -> u64 {
        rendezvous::score(self.name.as_str(), &self.process_start.to_string())
    }
}
