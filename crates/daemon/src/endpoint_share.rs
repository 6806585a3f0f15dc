//! Which endpoints a host places on.
//!
//! While hosts are few, each places on all endpoints. Beyond that, each endpoint belongs to the
//! few hosts of its region that rank highest for it by rendezvous hashing over the live ones, so
//! that no host reads the load of thousands of endpoints. The choice is soft: hosts with different
//! views may both place on an endpoint, which its load report then shows.

use std::collections::BTreeSet;

use camphorloft_membership::Member;
use camphorloft_types::prelude::*;
use camphorloft_types::rendezvous;

use crate::control_plane::MAX_TOLD_HOSTS;

/// Hosts that place on one endpoint in a large region.
pub const HOSTS_PER_ENDPOINT: usize = 4;

/// The live hosts as far as they decide who places where.
#[derive(Clone, Debug)]
pub struct EndpointShare {
    own: HostName,
    region: Region,
    /// Live hosts of the region, this one included.
    local: BTreeSet<HostName>,
    /// All live hosts, this one included.
    count: usize,
}

impl EndpointShare {
    /// Builds the share of a host that knows no other.
    pub fn new(own: HostName, region: Region) -> Self {
        Self { local: BTreeSet::from([own.clone()]), own, region, count: 1 }
    }

    /// Takes the other live hosts.
    pub fn set_live(&mut self, others: &[Member]) {
        let local = others.iter().filter(|member| member.region == self.region);
        self.local = local.map(|member| member.host.clone()).collect();
        self.local.insert(self.own.clone());
        self.count = others.len() + 1;
    }

    /// Returns true while hosts are few enough to place on all endpoints and to tell each other.
    pub fn is_small(&self) -> bool {
        self.count <= MAX_TOLD_HOSTS + 1
    }

    /// Returns the number of hosts that place on an endpoint.
    pub fn sharers(&self) -> u32 {
        let hosts = if self.is_small() { self.count } else { self.local.len() };
        let most = if self.is_small() { hosts } else { HOSTS_PER_ENDPOINT };
        hosts.min(most) as u32
    }

    /// Returns true when this host places on an endpoint.
    ///
    /// ```
    /// use camphorloft_daemon::endpoint_share::EndpointShare;
    /// let region = "khomas".parse().unwrap();
    /// let share = EndpointShare::new("h1".parse().unwrap(), "khomas".parse().unwrap());
    /// assert!(share.includes(&"engine-1".parse().unwrap(), &region));
    /// ```
    pub fn includes(&self, endpoint: &EndpointName, region: &Region) -> bool {
        if self.is_small() {
            return true;
        }
        if *region != self.region {
            return false;
        }
        let names = self.local.iter().map(HostName::as_str);
        let ranked = rendezvous::rank(endpoint.as_str(), names, HOSTS_PER_ENDPOINT);
        let own = self.local.iter().position(|host| *host == self.own);
        own.is_some_and(|own| ranked.contains(&own))
    }
}
