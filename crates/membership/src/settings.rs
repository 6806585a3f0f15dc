//! Intervals and limits of the protocol.

use std::time::Duration;

/// Intervals and limits of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct MembershipSettings {
    /// Interval between probes.
    pub probe_interval: Duration,
    /// Timeout after which an unanswered probe becomes indirect.
    pub probe_timeout: Duration,
    /// Like `probe_timeout`, for a host in another region.
    pub remote_probe_timeout: Duration,
    /// Number of hosts requested to probe indirectly.
    pub indirect_probes: usize,
    /// One probe in this many goes to another region.
    pub remote_probe_every: u64,
    /// Time to refute a suspicion that only one host has.
    pub suspicion_max: Duration,
    /// Time to refute a suspicion that [`MembershipSettings::confirmations`] further hosts confirmed.
    pub suspicion_min: Duration,
    /// Number of independent confirmations that shorten the time to refute to its minimum.
    pub confirmations: usize,
    /// Maximum number of updates in one message.
    pub updates_per_message: usize,
    /// Multiplied by the binary logarithm of the number of hosts, the number of times that an update
    /// is sent.
    pub retransmit_factor: u32,
    /// Mean interval between synchronisations with another host's view.
    pub sync_interval: Duration,
    /// Duration for which a dead or departed host is kept in the view. A dead host is contacted
    /// occasionally during this time.
    pub dead_retention: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            remote_probe_timeout: Duration::from_millis(600),
            indirect_probes: 3,
            remote_probe_every: 8,
            suspicion_max: Duration::from_secs(5),
            suspicion_min: Duration::from_millis(1500),
            confirmations: 3,
            updates_per_message: 12,
            retransmit_factor: 3,
            sync_interval: Duration::from_secs(20),
            dead_retention: Duration::from_secs(1800),
        }
    }
}
