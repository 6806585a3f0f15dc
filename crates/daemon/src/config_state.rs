//! The version of the object set in force on a host. It never decreases.

use std::sync::{Arc, PoisonError, RwLock};

use camphorloft_config::{Findings, verify};
use camphorloft_gateway::control::ServingSet;
use camphorloft_platform::publication::VersionedSet;
use camphorloft_types::prelude::ConfigVersion;

/// What became of a version that was offered.
#[derive(Debug)]
pub enum Offer {
    /// The version is in force.
    InForce(Arc<ServingSet>),
    /// The version in force is as new or newer.
    Stale,
    /// The set has findings on this host; the version in force stays.
    Invalid(Findings),
}

#[derive(Default)]
struct Known {
    raw: VersionedSet,
    serving: Option<Arc<ServingSet>>,
}

/// The version in force, shared between threads.
#[derive(Clone, Default)]
pub struct ConfigState {
    known: Arc<RwLock<Known>>,
}

impl ConfigState {
    /// Returns the set in force.
    pub fn serving(&self) -> Option<Arc<ServingSet>> {
        self.known.read().unwrap_or_else(PoisonError::into_inner).serving.clone()
    }

    /// Returns the version in force; 0 when none is.
    pub fn version(&self) -> ConfigVersion {
        self.known.read().unwrap_or_else(PoisonError::into_inner).raw.version
    }

    /// Returns the set in force as JSON values, with its version.
    pub fn raw(&self) -> VersionedSet {
        self.known.read().unwrap_or_else(PoisonError::into_inner).raw.clone()
    }

    /// Puts a version into force if it is newer than the one that is.
    ///
    /// ```
    /// use camphorloft_config::RawSet;
    /// use camphorloft_daemon::config_state::{ConfigState, Offer};
    /// use camphorloft_platform::publication::VersionedSet;
    /// use camphorloft_types::prelude::ConfigVersion;
    /// let state = ConfigState::default();
    /// let two = VersionedSet { version: ConfigVersion(2), set: RawSet::default() };
    /// assert!(matches!(state.offer(two.clone()), Offer::InForce(_)));
    /// assert!(matches!(state.offer(two), Offer::Stale));
    /// ```
    pub fn offer(&self, offered: VersionedSet) -> Offer {
        if offered.version <= self.version() {
            return Offer::Stale;
        }
        let set = match verify(&offered.set) {
            Ok(set) => set,
            Err(findings) => return Offer::Invalid(findings),
        };
        let serving = Arc::new(ServingSet { version: offered.version, set });
        let mut known = self.known.write().unwrap_or_else(PoisonError::into_inner);
        // Another thread may have offered a newer version since the first comparison.
        if offered.version <= known.raw.version {
            return Offer::Stale;
        }
        known.raw = offered;
        known.serving = Some(serving.clone());
        Offer::InForce(serving)
    }
}
