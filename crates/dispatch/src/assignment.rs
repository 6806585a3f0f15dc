//! Selects the host that performs a task for the others.
//!
//! There can be tens of hosts and tens of engines: if each host polled each engine and the registry
//! itself, the polling would cost more than it gains. All hosts with the same view of the live
//! hosts select the same host for a task without communicating. While views differ, two hosts may
//! perform the task, which is harmless.

use camphorloft_types::prelude::HostName;
use camphorloft_types::rendezvous;

/// Returns the number of hosts that rank before `own` for a task, where `others` are the other live
/// hosts. The host with rank 0 is assigned the task; the others stand in for it in the order of their
/// ranks.
///
/// ```
/// use camphorloft_dispatch::assignment::rank;
/// let (a, b) = ("a".parse().unwrap(), "b".parse().unwrap());
/// assert_eq!(rank("list", &a, [&b]) + rank("list", &b, [&a]), 1);
/// assert_eq!(rank("list", &a, []), 0);
/// ```
pub fn rank<'h, Hosts>(task: &str, own: &HostName, others: Hosts) -> usize
where
    Hosts: IntoIterator<Item = &'h HostName>,
{
    let own_score = (rendezvous::score(task, own.as_str()), own);
    let precedes = |host: &&HostName| (rendezvous::score(task, host.as_str()), *host) > own_score;
    others.into_iter().filter(precedes).count()
}

/// Returns true if `own` is assigned a task, where `others` are the other live hosts.
///
/// ```
/// use camphorloft_dispatch::assignment::is_assigned;
/// let (a, b) = ("a".parse().unwrap(), "b".parse().unwrap());
/// assert!(is_assigned("list", &a, [&b]) != is_assigned("list", &b, [&a]));
/// assert!(is_assigned("list", &a, []));
/// ```
pub fn is_assigned<'h, Hosts>(task: &str, own: &HostName, others: Hosts) -> bool
where
    Hosts: IntoIterator<Item = &'h HostName>,
{
    rank(task, own, others) == 0
}
