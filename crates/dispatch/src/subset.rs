//! Selects the endpoints of a service that a host sends work to.
//!
//! While a service has few endpoints, every host uses all of them. If a service has hundreds, the
//! load reports and placements that a host would have to receive exceed what it can process. Each
//! endpoint is then used by a few hosts of its region, which exchange updates about it directly. Their
//! number is such that each host uses enough endpoints for the load to be balanced.

use camphorloft_types::prelude::*;
use camphorloft_types::rendezvous;

/// Number of endpoints of a service up to which every host uses all of them.
pub const MAX_SHARED_BY_ALL: usize = 128;
/// Number of endpoints that a host uses of a service with more. Balance improves little beyond some
/// tens.
const SUBSET_ENDPOINTS: usize = 48;
/// Minimum number of hosts that use an endpoint. Views of the membership differ while hosts come and
/// go, and an endpoint must not be left without hosts.
const MIN_HOSTS_PER_ENDPOINT: usize = 3;

/// Returns the number of hosts that use each endpoint of a service, or `None` if all hosts use all.
/// `total` is the number of its endpoints, `in_region` that of those in the region, and `hosts` the
/// number of hosts of the region.
///
/// ```
/// use camphorloft_dispatch::subset::hosts_per_endpoint;
/// assert_eq!(hosts_per_endpoint(50, 16, 65), None);
/// assert_eq!(hosts_per_endpoint(3_000, 1_000, 100), Some(5));
/// ```
pub fn hosts_per_endpoint(total: usize, in_region: usize, hosts: usize) -> Option<usize> {
    if total <= MAX_SHARED_BY_ALL {
        return None;
    }
    let balanced = (SUBSET_ENDPOINTS * hosts).div_ceil(in_region.max(1));
    Some(balanced.clamp(MIN_HOSTS_PER_ENDPOINT, hosts.max(MIN_HOSTS_PER_ENDPOINT)))
}

/// Returns the positions in `hosts` of the hosts that use an endpoint, in the order in which they poll
/// it: the first one polls, the others stand in.
pub fn hosts_of_endpoint<'h, Hosts>(
    endpoint: &EndpointName,
    hosts: Hosts,
    count: usize,
) -> Vec<usize>
where
    Hosts: IntoIterator<Item = &'h HostName>,
{
    rendezvous::rank(endpoint.as_str(), hosts.into_iter().map(HostName::as_str), count)
}
