//! What other hosts state about the generations that wait there.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Age at which a statement expires.
const MAX_AGE: Duration = Duration::from_secs(1);
/// Shortest time between two statements of a host.
const MIN_INTERVAL: Duration = Duration::from_millis(200);
/// Statements that all hosts together make within that time. A host receives each of them, of up to
/// 19 bytes, and a relay sends each of them to the hosts of its zone: 3 KB a second to each.
const STATEMENTS_PER_INTERVAL: u32 = 32;

/// The most urgent generations that wait at a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueState {
    /// Their priority; 0 is the highest.
    pub priority: u8,
    /// Memory that they need, in tokens.
    pub tokens: u32,
}

/// Identifies a host in statements: a digest of its name. A collision makes two hosts count as one.
pub type HostDigest = u32;

/// What other hosts state about the generations of one service that wait there.
///
/// In a large fleet each host makes statements less often than they expire, and the known ones are a
/// sample.
#[derive(Clone, Debug)]
pub struct PeerQueues {
    states: BTreeMap<HostDigest, (QueueState, Instant)>,
    /// Number of hosts, including this one.
    hosts: u32,
}

impl Default for PeerQueues {
    fn default() -> Self {
        Self { states: BTreeMap::new(), hosts: 1 }
    }
}

/// Returns the time between two statements of a host, in a fleet of `hosts` hosts.
///
/// ```
/// use std::time::Duration;
/// use camphorloft_dispatch::peer_queues::statement_interval;
/// assert_eq!(statement_interval(8), Duration::from_millis(200));
/// assert_eq!(statement_interval(64), Duration::from_millis(400));
/// ```
pub fn statement_interval(hosts: u32) -> Duration {
    MIN_INTERVAL.mul_f64((f64::from(hosts) / f64::from(STATEMENTS_PER_INTERVAL)).max(1.0))
}

impl PeerQueues {
    /// Sets the number of hosts, including this one.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.hosts = hosts;
    }

    /// Records the statement of another host.
    pub fn record(&mut self, host: HostDigest, state: QueueState, now: Instant) {
        self.states.retain(|_, (_, at)| is_fresh(*at, now));
        self.states.insert(host, (state, now));
    }

    /// Returns the estimated number of other hosts at which generations wait.
    pub fn waiting_hosts(&self, now: Instant) -> usize {
        (self.fresh(now).count() as f64 * self.sampling_factor()).round() as usize
    }

    /// Returns the most urgent priority that waits at another host.
    pub fn most_urgent(&self, now: Instant) -> Option<u8> {
        self.fresh(now).map(|state| state.priority).min()
    }

    /// Returns the memory, in tokens, that generations at other hosts are estimated to need whose
    /// priority is `priority` or more urgent.
    pub fn tokens(&self, priority: u8, now: Instant) -> u64 {
        let ahead = self.fresh(now).filter(|state| state.priority <= priority);
        let tokens = ahead.map(|state| u64::from(state.tokens)).sum::<u64>();
        (tokens as f64 * self.sampling_factor()) as u64
    }

    /// Returns the number of waiting hosts for each one whose statement is known.
    fn sampling_factor(&self) -> f64 {
        let interval = statement_interval(self.hosts);
        (interval.as_secs_f64() / MAX_AGE.as_secs_f64()).max(1.0)
    }

    fn fresh(&self, now: Instant) -> impl Iterator<Item = &QueueState> {
        let fresh = self.states.values().filter(move |(_, at)| is_fresh(*at, now));
        fresh.map(|(state, _)| state)
    }
}

fn is_fresh(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) <= MAX_AGE
}
