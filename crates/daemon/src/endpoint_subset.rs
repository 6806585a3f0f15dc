//! The subset of endpoints on which a host places generations.
//!
//! In a small system each host places on all endpoints. In a larger one, each endpoint is assigned
//! to the few live hosts of its region that rank highest for it by rendezvous hashing, so that no
//! host reads the load of thousands of endpoints. The assignment is not exclusive: hosts with
//! different views of the membership may both place on an endpoint, whose load report then includes
//! the work of both.

use std::collections::BTreeSet;

use camphorloft_membership::Member;
use camphorloft_types::prelude::*;
use camphorloft_types::rendezvous;

use crate::control_plane::MAX_PLACEMENT_RECIPIENTS;

/// Number of hosts that place on one endpoint in a large system, if its region has as many.
pub const HOSTS_PER_ENDPOINT: usize = 4;

/// The endpoints of one host, derived from the live hosts.
#[derive(Clone, Debug)]
pub struct EndpointSubset {
    own: HostName,
    region: Region,
    /// Live hosts of the region, this one included.
    local: BTreeSet<HostName>,
    /// Number of all live hosts, this one included.
    count: usize,
}

impl EndpointSubset {
    /// Builds the subset of a host that knows no other host.
    pub fn new(own: HostName, region: Region) -> Self {
        Self { local: BTreeSet::from([own.clone()]), own, region, count: 1 }
    }

    /// Sets the other live hosts.
    pub fn set_live(&mut self, others: &[Member]) {
        let local = others.iter().filter(|member| member.region == self.region);
        self.local = local.map(|member| member.host.clone()).collect();
        self.local.insert(self.own.clone());
        self.count = others.len() + 1;
    }

    /// Returns true while the hosts are few enough for each to place on all endpoints and to
    /// announce its placements to the others.
    pub fn is_small(&self) -> bool {
        self.count <= MAX_PLACEMENT_RECIPIENTS + 1
    }

    /// Returns the number of hosts that place on an endpoint.
    pub fn hosts_per_endpoint(&self) -> u32 {
        let hosts = if self.is_small() { self.count } else { self.local.len() };
        let most = if self.is_small() { hosts } else { HOSTS_PER_ENDPOINT };
        hosts.min(most) as u32
    }

    /// Returns true when this host places on an endpoint.
    ///
    /// ```
    /// use camphorloft_daemon::endpoint_subset::EndpointSubset;
    /// let region = "khomas".parse().unwrap();
    /// let subset = EndpointSubset::new("h1".parse().unwrap(), "khomas".parse().unwrap());
    /// assert!(subset.includes(&"engine-1".parse().unwrap(), &region));
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
