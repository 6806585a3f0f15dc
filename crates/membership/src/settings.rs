//! Intervals and limits of the protocol.

use std::time::Duration;

/// Intervals and limits of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct MembershipSettings {
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Time after which a probe without an answer becomes indirect.
    pub probe_timeout: Duration,
    /// The same for a host of another region.
    pub remote_probe_timeout: Duration,
    /// Hosts asked to probe indirectly.
    pub indirect_probes: usize,
    /// One probe in this many goes to another region.
    pub remote_probe_every: u64,
    /// Time to refute when one host suspects.
    pub suspicion_max: Duration,
    /// Time to refute when [`MembershipSettings::confirmations`] hosts suspect.
    pub suspicion_min: Duration,
    /// Independent suspicions that shorten the time to refute to the least.
    pub confirmations: usize,
    /// Updates in one message.
    pub updates_per_message: usize,
    /// Times that an update is spread, multiplied by the logarithm of the number of hosts.
    pub spread_factor: u32,
    /// Time between two comparisons with another view.
    pub sync_interval: Duration,
    /// Time for which a dead host is remembered and tried now and then.
    pub forget_after: Duration,
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
            spread_factor: 3,
            sync_interval: Duration::from_secs(20),
            forget_after: Duration::from_secs(1800),
        }
    }
}
