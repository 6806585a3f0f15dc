//! Whether this host reaches the endpoints over its own links.
//!
//! Answers the load of a host that is cut off from all endpoints while clients and other hosts still reach
//! it: several endpoints in a row accept no connection, and none does in between. Such a host connects
//! through other hosts, and must not take its lost links for the loss of endpoints.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;

use crate::endpoint::Endpoint;
use crate::fleet::Fleet;

/// Number of endpoints that accept no connection from which a host counts as cut off.
const MIN_FAILED: usize = 2;
/// Minimum time between two connects of a cut-off host over its own links.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of other endpoints that are probed to find out whether this host is cut off.
const MAX_WITNESSES: usize = 3;

/// Returns the endpoints to probe, in this order, to find out whether only one endpoint is unreachable, or this
/// host is cut off from all.
///
/// Answers a load in which several endpoints crash, which stay in the list for a while. Those that accepted a
/// connection last come first, and those that then refused one come last, however near they are.
pub fn witnesses(
    fleet: &Fleet,
    reachability: &Reachability,
    unreachable: EndpointIx,
    now: Instant,
) -> Vec<EndpointIx> {
    let others = fleet.iter().filter(|(ix, other)| *ix != unreachable && other.is_usable(now));
    let order = |other: &Endpoint| {
        let has_failed = reachability.has_failed(other.digest);
        (has_failed, Reverse(other.reached_at), other.connect_time())
    };
    let mut others: Vec<_> = others.map(|(ix, other)| (order(other), ix)).collect();
    others.sort_unstable();
    others.into_iter().take(MAX_WITNESSES).map(|(_, ix)| ix).collect()
}

/// Whether this host reaches the endpoints over its own links.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    /// Digests of the endpoints that accepted no connection since one last did.
    failed: BTreeSet<u64>,
    /// Digests of those that accepted none before another endpoint did. Until one of them accepts a connection, its
    /// failures say nothing about the links.
    down: BTreeSet<u64>,
    reached_at: Option<Instant>,
    cut_off_since: Option<Instant>,
    probed_at: Option<Instant>,
}

impl Reachability {
    /// Records that an endpoint accepted a connection. Returns for how long the host was cut off, if it
    /// was.
    pub fn record_reached(&mut self, endpoint: u64, now: Instant) -> Option<Duration> {
        self.down.append(&mut self.failed);
        self.down.remove(&endpoint);
        self.reached_at = Some(now);
        let since = self.cut_off_since.take()?;
        Some(now.saturating_duration_since(since))
    }

    /// Records that an endpoint accepted no connection that was begun at `begun_at`. `ready` is the number of
    /// endpoints that should accept one and are not known to be down. Returns true if the host is cut off since
    /// then.
    ///
    /// ```
    /// use camphorloft_dispatch::reachability::Reachability;
    /// use std::time::Instant;
    /// let now = Instant::now();
    /// let mut reachability = Reachability::default();
    /// assert!(!reachability.record_failed(1, 12, now, now));
    /// assert!(!reachability.record_failed(1, 12, now, now), "the same endpoint again");
    /// assert!(reachability.record_failed(2, 12, now, now));
    /// assert!(reachability.record_reached(3, now).is_some());
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
        if self.down.contains(&endpoint) || self.reached_at.is_some_and(|at| at > begun_at) {
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

    /// Returns true if an endpoint accepted no connection when it was last tried, and another one has accepted one since.
    pub fn is_down(&self, endpoint: u64) -> bool {
        self.down.contains(&endpoint)
    }

    /// Returns true if an endpoint accepted no connection when it was last tried.
    pub fn has_failed(&self, endpoint: u64) -> bool {
        self.is_down(endpoint) || self.failed.contains(&endpoint)
    }

    /// Forgets the endpoints that are down and of which `is_known` returns false.
    pub fn retain_down<Test>(&mut self, is_known: Test)
    where
        Test: Fn(u64) -> bool,
    {
        self.down.retain(|endpoint| is_known(*endpoint));
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
