//! The change between two object sets.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use crate::key::ObjectKey;
use crate::raw::RawSet;

/// The change from one object set to another.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct SetDelta {
    /// Objects added or replaced.
    pub upserts: BTreeMap<ObjectKey, Value>,
    /// Objects removed.
    pub removals: BTreeSet<ObjectKey>,
}

impl SetDelta {
    /// Returns the change that turns `from` into `to`.
    ///
    /// ```
    /// use camphorloft_config::{RawSet, SetDelta};
    /// let a = RawSet::parse(r#"{"models": {"m": {"max_output_tokens": 16}}}"#).unwrap();
    /// let b = RawSet::parse(r#"{"models": {"n": {"max_output_tokens": 16}}}"#).unwrap();
    /// assert_eq!(SetDelta::between(&a, &b).apply(&a), b);
    /// ```
    pub fn between(from: &RawSet, to: &RawSet) -> Self {
        let changed = |(key, value): &(&ObjectKey, &Value)| from.objects.get(*key) != Some(*value);
        let upserts = to.objects.iter().filter(changed).map(|(k, v)| (k.clone(), v.clone()));
        let removals = from.objects.keys().filter(|k| !to.objects.contains_key(*k)).cloned();
        Self { upserts: upserts.collect(), removals: removals.collect() }
    }

    /// Returns `base` with the change applied.
    pub fn apply(&self, base: &RawSet) -> RawSet {
        let mut set = base.clone();
        for key in &self.removals {
            set.objects.remove(key);
        }
        for (key, value) in &self.upserts {
            set.objects.insert(key.clone(), value.clone());
        }
        set
    }

    /// Returns the keys of all changed objects.
    pub fn keys(&self) -> BTreeSet<ObjectKey> {
        self.upserts.keys().chain(&self.removals).cloned().collect()
    }
}
