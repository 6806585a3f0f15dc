//! What other hosts state about the generations that wait there.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;

/// Age at which a statement expires. Hosts repeat it every 200 ms while generations wait.
const MAX_AGE: Duration = Duration::from_secs(1);

/// The most urgent generations that wait at a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueState {
    /// Their priority; 0 is the highest.
    pub priority: u8,
    /// Memory that they need, in tokens.
    pub tokens: u32,
}

/// What other hosts state about the generations of one service that wait there.
#[derive(Clone, Debug, Default)]
pub struct PeerQueues {
    states: BTreeMap<HostName, (QueueState, Instant)>,
}

impl PeerQueues {
    /// Records the statement of another host.
    pub fn record(&mut self, host: &HostName, state: QueueState, now: Instant) {
        self.states.retain(|_, (_, at)| is_fresh(*at, now));
        self.states.insert(host.clone(), (state, now));
    }

    /// Returns the number of other hosts at which generations wait.
    pub fn hosts(&self, now: Instant) -> usize {
        self.fresh(now).count()
    }

    /// Returns the most urgent priority that waits at another host.
    pub fn most_urgent(&self, now: Instant) -> Option<u8> {
        self.fresh(now).map(|state| state.priority).min()
    }

    /// Returns the memory, in tokens, that generations at other hosts need whose priority is `priority`
    /// or more urgent.
    pub fn tokens(&self, priority: u8, now: Instant) -> u64 {
        let ahead = self.fresh(now).filter(|state| state.priority <= priority);
        ahead.map(|state| u64::from(state.tokens)).sum()
    }

    fn fresh(&self, now: Instant) -> impl Iterator<Item = &QueueState> {
        let fresh = self.states.values().filter(move |(_, at)| is_fresh(*at, now));
        fresh.map(|(state, _)| state)
    }
}

fn is_fresh(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) <= MAX_AGE
}
