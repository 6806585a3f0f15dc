//! Validated settings of a host.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use camphorloft_dispatch::prelude::{Locality, QuotaSettings};
use camphorloft_types::prelude::*;

/// Validated settings of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// Name of the host.
    pub host: HostName,
    /// Availability zone and region of the host.
    pub locality: Locality,
    /// Address for clients.
    pub clients: SocketAddr,
    /// Address of the readiness probe.
    pub readiness: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// Address for peer messages.
    pub peers: SocketAddr,
    /// Address of a gateway that forwards the ports of all endpoints, if this host does not reach them at
    /// their listed addresses.
    pub endpoint_gateway: Option<IpAddr>,
    /// Addresses of other hosts to join through, possibly outdated.
    pub seeds: Vec<SocketAddr>,
    /// True when all hosts start for the first time, with no traffic for some seconds.
    pub is_first_start: bool,
    /// Reads a second that the registry serves to all hosts together, if configured.
    pub registry_reads_per_s: Option<u32>,
    /// Memory limit of the process.
    pub memory: ByteSize,
    /// Maximum number of open connections of the process.
    pub max_connections: usize,
    /// Bandwidth of the host's own link, if configured.
    pub bandwidth: Option<ByteRate>,
    /// Grace period from the termination signal to the end of the process.
    pub grace: Duration,
    /// Whether requests wait in the order of their priority.
    pub prioritised: bool,
    /// Quota of retries across all hosts.
    pub quota: QuotaSettings,
}

impl HostSettings {
    /// Returns the address at which this host reaches the endpoint with a listed address.
    pub fn endpoint_addr(&self, listed: SocketAddr) -> SocketAddr {
        self.endpoint_gateway.map_or(listed, |gateway| SocketAddr::new(gateway, listed.port()))
    }

    /// Returns true when `other` differs only in settings that a running host can reload: the grace
    /// period and the quota. Whether it is the first start does not matter to a running host.
    pub fn is_reloadable(&self, other: &Self) -> bool {
        let Self { grace, quota, is_first_start, .. } = self.clone();
        *self == Self { grace, quota, is_first_start, ..other.clone() }
    }
}
