//! How far an endpoint is from this host.

use std::collections::BTreeMap;
use std::fmt;

use camphorloft_types::prelude::*;

/// How far an endpoint is from this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// The same availability zone.
    Zone,
    /// Another availability zone of the region.
    Region,
    /// Another region, where traffic is slow and paid by volume.
    Remote,
}

impl fmt::Display for Distance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Distance::Zone => "zone",
            Distance::Region => "region",
            Distance::Remote => "remote",
        })
    }
}

/// Where this host is, and which region each zone belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Locality {
    /// Zone of this host.
    pub zone: AvailabilityZone,
    /// Region of this host.
    pub region: Region,
    /// Regions of all zones.
    pub regions: BTreeMap<AvailabilityZone, Region>,
}

impl Locality {
    /// Returns the distance of a zone. One that is not listed counts as remote.
    pub fn distance(&self, zone: &AvailabilityZone) -> Distance {
        self.between(&self.zone, zone)
    }

    /// Returns the distance between two zones.
    pub fn between(&self, a: &AvailabilityZone, b: &AvailabilityZone) -> Distance {
        if a == b {
            return Distance::Zone;
        }
        match (self.regions.get(a), self.regions.get(b)) {
            (Some(a), Some(b)) if a == b => Distance::Region,
            _ => Distance::Remote,
        }
    }
}
