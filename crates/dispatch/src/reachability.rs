//! Whether this host reaches the endpoints over its own links.
//!
//! Answers the load of a host that is cut off from all endpoints while clients and other hosts still reach
//! it: several endpoints in a row accept no connection, and none does in between. Such a host connects
//! through other hosts, and must not take its lost links for the loss of endpoints.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Number of endpoints that accept no connection from which a host counts as cut off.
const MIN_FAILED: usize = 2;
/// Minimum time between two connects of a cut-off host over its own links.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Whether this host reaches the endpoints over its own links.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    /// Digests of the endpoints that accepted no connection since one last did.
    failed: BTreeSet<u64>,
    reached_at: Option<Instant>,
    cut_off_since: Option<Instant>,
    probed_at: Option<Instant>,
}

impl Reachability {
    /// Records that an endpoint accepted a connection. Returns for how long the host was cut off, if it
    /// was.
    pub fn record_reached(&mut self, now: Instant) -> Option<Duration> {
        self.failed.clear();
        self.reached_at = Some(now);
        let since = self.cut_off_since.take()?;
        Some(now.saturating_duration_since(since))
    }

    /// Records that an endpoint accepted no connection that was begun at `begun_at`. `ready` is the
    /// number of endpoints that should accept one. Returns true if the host is cut off since then.
    ///
    /// ```
    /// use camphorloft_dispatch::reachability::Reachability;
    /// use std::time::Instant;
    /// let now = Instant::now();
    /// let mut reachability = Reachability::default();
    /// assert!(!reachability.record_failed(1, 12, now, now));
    /// assert!(!reachability.record_failed(1, 12, now, now), "the same endpoint again");
    /// assert!(reachability.record_failed(2, 12, now, now));
    /// assert!(reachability.record_reached(now).is_some());
    /// assert!(!reachability.is_cut_off());
    /// ```
    pub fn record_failed(
        &mut self,
        endpoint: u64,
        ready: usize,
        begun_at: Instant,
        now: Instant,
    ) -> bool {
        // Another endpoint accepted a connection meanwhile.
        if self.reached_at.is_some_and(|at| at > begun_at) {
            return false;
        }
        self.failed.insert(endpoint);
        if self.is_cut_off() || self.failed.len() < MIN_FAILED.min(ready) {
            return false;
        }
        self.cut_off_since = Some(now);
        true
    }

    /// Returns true while this host does not reach the endpoints.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Returns the digests of the endpoints that accepted no connection since one last did.
    pub fn failed(&self) -> &BTreeSet<u64> {
        &self.failed
    }

    /// Returns true if a cut-off host may try its own links again, and records the time.
    pub fn begin_probe(&mut self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < PROBE_INTERVAL;
        if !self.is_cut_off() || self.probed_at.is_some_and(is_recent) {
            return false;
        }
        self.probed_at = Some(now);
        true
    }
}
