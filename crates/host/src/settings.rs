//! What a host is told at its start, checked.

use std::net::SocketAddr;
use std::time::Duration;

use camphorloft_dispatch::prelude::{Locality, QuotaSettings};
use camphorloft_types::prelude::*;

/// What a host is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// Name.
    pub host: HostName,
    /// Where it is.
    pub locality: Locality,
    /// Address for callers.
    pub clients: SocketAddr,
    /// Address of the readiness probe.
    pub readiness: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// Address for messages between hosts.
    pub peers: SocketAddr,
    /// Addresses of other hosts, possibly stale.
    pub seeds: Vec<SocketAddr>,
    /// Memory that the process may use.
    pub memory: ByteSize,
    /// Connections that the process may have open.
    pub max_connections: usize,
    /// Bandwidth of the host's own link, if told.
    pub bandwidth: Option<ByteRate>,
    /// Time from the termination signal to the end of the process.
    pub grace: Duration,
    /// What may be sent again, over all hosts.
    pub quota: QuotaSettings,
}

impl HostSettings {
    /// Returns true when `other` differs in nothing but what a running host can take over: the
    /// grace period and the quota.
    pub fn is_reloadable(&self, other: &Self) -> bool {
        let Self { grace, quota, .. } = self.clone();
        *self == Self { grace, quota, ..other.clone() }
    }
}
