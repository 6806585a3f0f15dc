//! Zones that receive no requests because the operator evacuates them.
//!
//! Answers the load of a zone that is about to be shut down: from one moment to the next its share of the
//! requests goes to the endpoints of other zones, while its engines finish what they run. The state is
//! small and always sent complete, and the greatest revision wins, so that lost, late and repeated
//! datagrams do no harm.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use camphorloft_types::prelude::AvailabilityZone;

use crate::revision::Revision;

/// Time for which a zone stays evacuated after the registry was restored from a copy without the
/// evacuation. The operator, like the endpoints, needs a moment to write again what was lost.
const KEPT_AFTER_RESTORATION: Duration = Duration::from_secs(5);

/// Start or end of the evacuation of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The zone is evacuated.
    Started(AvailabilityZone),
    /// The zone is not evacuated any more.
    Ended(AvailabilityZone),
}

/// The evacuated zones as of a revision of the registry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Revision at which they were read.
    pub revision: Revision,
    /// Evacuated zones.
    pub zones: BTreeSet<AvailabilityZone>,
}

impl Evacuations {
    /// Applies a change that was read later.
    ///
    /// ```
    /// use camphorloft_dispatch::evacuation::{EvacuationChange, Evacuations};
    /// let mut evacuations = Evacuations::default();
    /// evacuations.apply(EvacuationChange::Started("north-a".parse().unwrap()));
    /// assert_eq!(evacuations.zones.len(), 1);
    /// evacuations.apply(EvacuationChange::Ended("north-a".parse().unwrap()));
    /// assert!(evacuations.zones.is_empty());
    /// ```
    pub fn apply(&mut self, change: EvacuationChange) {
        match change {
            EvacuationChange::Started(zone) => self.zones.insert(zone),
            EvacuationChange::Ended(zone) => self.zones.remove(&zone),
        };
    }
}

/// What a host knows of the evacuations.
#[derive(Clone, Debug, Default)]
pub struct KnownEvacuations {
    latest: Option<Evacuations>,
    /// Zones whose evacuation a restoration of the registry has lost, and until when they are kept.
    kept: BTreeMap<AvailabilityZone, Instant>,
}

impl KnownEvacuations {
    /// Returns the latest state, if one is known.
    pub fn latest(&self) -> Option<&Evacuations> {
        self.latest.as_ref()
    }

    /// Records a state. One that is not newer than the known one is ignored. Returns true if other zones
    /// are evacuated than before.
    ///
    /// ```
    /// use camphorloft_dispatch::evacuation::{Evacuations, KnownEvacuations};
    /// use camphorloft_dispatch::revision::{RegistryEra, Revision};
    /// use std::time::Instant;
    /// let at = |number| Revision { era: RegistryEra(0), number };
    /// let zones = ["north-a".parse().unwrap()].into();
    /// let (mut known, now) = (KnownEvacuations::default(), Instant::now());
    /// assert!(known.record(&Evacuations { revision: at(7), zones }, now));
    /// assert!(!known.record(&Evacuations { revision: at(6), ..Evacuations::default() }, now));
    /// assert!(known.includes(&"north-a".parse().unwrap()));
    /// ```
    pub fn record(&mut self, new: &Evacuations, now: Instant) -> bool {
        if self.latest.as_ref().is_some_and(|known| new.revision <= known.revision) {
            return false;
        }
        let before = self.zones();
        let known = self.latest.replace(new.clone()).unwrap_or_default();
        if known.revision.era < new.revision.era {
            let until = now + KEPT_AFTER_RESTORATION;
            self.kept.extend(known.zones.into_iter().map(|zone| (zone, until)));
        }
        // A later removal is the operator's.
        self.kept.retain(|zone, _| !new.zones.contains(zone));
        before != self.zones()
    }

    /// Ends the evacuations that were kept after a restoration, if it is time. Returns true if there was
    /// one.
    pub fn expire(&mut self, now: Instant) -> bool {
        let count = self.kept.len();
        self.kept.retain(|_, until| now < *until);
        self.kept.len() < count
    }

    /// Returns true if a zone is evacuated.
    pub fn includes(&self, zone: &AvailabilityZone) -> bool {
        self.kept.contains_key(zone)
            || self.latest.as_ref().is_some_and(|known| known.zones.contains(zone))
    }

    /// Returns the evacuated zones.
    pub fn zones(&self) -> BTreeSet<AvailabilityZone> {
        let latest = self.latest.iter().flat_map(|known| &known.zones);
        latest.chain(self.kept.keys()).cloned().collect()
    }
}
