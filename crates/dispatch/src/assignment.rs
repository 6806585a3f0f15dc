//! Which host does what for the others.
//!
//! Answers fleets of tens of hosts before tens of engines: if each host asked each engine and the
//! registry itself, the questions would cost more than they gain. Every host that sees the same
//! live hosts names the same one for a duty, without any message; when views differ, two hosts do
//! it for a while, which is harmless.

use camphorloft_types::prelude::HostName;
use camphorloft_types::rendezvous;

/// Returns true when `own` does a duty, with `others` alive beside it.
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
    let own_score = (rendezvous::score(task, own.as_str()), own);
    others.into_iter().all(|host| (rendezvous::score(task, host.as_str()), host) <= own_score)
}
