//! The version of the object set in force on a host. It never decreases.

use std::sync::{Arc, PoisonError, RwLock};

use camphorloft_config::{Findings, verify};
use camphorloft_gateway::control::ServingSet;
use camphorloft_platform::publication::VersionedSet;
use camphorloft_types::prelude::ConfigVersion;

/// Result of [`ConfigState::apply`].
#[derive(Debug)]
pub enum ApplyOutcome {
    /// The version is in force.
    InForce(Arc<ServingSet>),
    /// The version in force is the same or newer.
    Stale,
    /// The set is invalid on this host; the version in force stays.
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

    /// Puts a version into force if it is valid and newer than the one in force.
    ///
    /// ```
    /// use camphorloft_config::RawSet;
    /// use camphorloft_daemon::config_state::{ConfigState, ApplyOutcome};
    /// use camphorloft_platform::publication::VersionedSet;
    /// use camphorloft_types::prelude::ConfigVersion;
    /// let state = ConfigState::default();
    /// let two = VersionedSet { version: ConfigVersion(2), set: RawSet::default() };
    /// assert!(matches!(state.apply(two.clone()), ApplyOutcome::InForce(_)));
    /// assert!(matches!(state.apply(two), ApplyOutcome::Stale));
    /// ```
    pub fn apply(&self, candidate: VersionedSet) -> ApplyOutcome {
        if candidate.version <= self.version() {
            return ApplyOutcome::Stale;
        }
        let set = match verify(&candidate.set) {
            Ok(set) => set,
            Err(findings) => return ApplyOutcome::Invalid(findings),
        };
        let serving = Arc::new(ServingSet { version: candidate.version, set });
        let mut known = self.known.write().unwrap_or_else(PoisonError::into_inner);
        // Another thread may have applied a newer version since the first comparison.
        if candidate.version <= known.raw.version {
            return ApplyOutcome::Stale;
        }
        known.raw = candidate;
        known.serving = Some(serving.clone());
        ApplyOutcome::InForce(serving)
    }
}
