//! Network distance of an endpoint from this host.

use std::collections::BTreeMap;
use std::fmt;

use camphorloft_types::prelude::*;

/// Network distance between two locations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// The same availability zone.
    Zone,
    /// Different availability zones of one region.
    Region,
    /// Different regions, where traffic is slow and billed by volume.
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

/// Location of this host, and the region of each zone.
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
    /// Returns the region of a zone, if the settings state it.
    pub fn region_of(&self, zone: &AvailabilityZone) -> Option<&Region> {
        self.regions.get(zone).or((*zone == self.zone).then_some(&self.region))
    }

    /// Returns true if a zone of the settings is in the region.
    pub fn has_region(&self, region: &Region) -> bool {
        self.region == *region || self.regions.values().any(|known| known == region)
    }

    /// Returns the distance from this host to a zone. A zone that is not listed counts as remote.
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
