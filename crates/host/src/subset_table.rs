//! The endpoints that this host sends work to, and the other hosts that use them.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_dispatch::subset;
use camphorloft_membership::Member;
use camphorloft_types::prelude::*;

/// Minimum time between two updates after changes of the membership. Each ranks all hosts for every
/// endpoint of the region.
const MEMBERSHIP_UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// Hosts that use an endpoint that this host uses too.
#[derive(Clone, Debug)]
struct Sharing {
    /// Process of the endpoint.
    digest: u64,
    /// Position of this host among those that use the endpoint, if it does.
    rank: Option<usize>,
    /// The other hosts, if this host uses the endpoint.
    others: Vec<Member>,
}

/// Hosts to which updates about an endpoint are sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recipients {
    /// All hosts.
    All,
    /// The other hosts that use the endpoint.
    Hosts(Vec<Member>),
}

/// The endpoints that this host sends work to, and the other hosts that use them.
#[derive(Debug, Default)]
pub struct SubsetTable {
    /// Number of hosts that use each endpoint, by service, for the services of which this host uses
    /// only a subset.
    limited: BTreeMap<ServiceName, usize>,
    sharing: HashMap<EndpointIx, Sharing>,
    list_revision: Option<u64>,
    membership_revision: Option<u64>,
    membership_used_at: Option<Instant>,
}

impl SubsetTable {
    /// Returns true when the endpoint list or the live hosts changed since the last update. A change of
    /// `membership_revision` takes effect after a minimum interval.
    pub fn is_outdated(&self, fleet: &Fleet, membership_revision: u64, now: Instant) -> bool {
        self.list_revision != Some(fleet.list_revision())
            || self.is_membership_outdated(membership_revision, now)
    }

    fn is_membership_outdated(&self, revision: u64, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < MEMBERSHIP_UPDATE_INTERVAL;
        self.membership_revision != Some(revision)
            && !self.membership_used_at.is_some_and(is_recent)
    }

    /// Derives the subset from the endpoint list and the live hosts. `region` holds the other live
    /// hosts of the region, and `membership_revision` changes whenever they do.
    pub fn update(
        &mut self,
        fleet: &mut Fleet,
        own: &HostName,
        region: &[Member],
        membership_revision: u64,
        now: Instant,
    ) {
        let limited = limited_services(fleet, region.len() + 1);
        if self.is_membership_outdated(membership_revision, now) || limited != self.limited {
            self.sharing.clear();
            self.membership_revision = Some(membership_revision);
            self.membership_used_at = Some(now);
        }
        self.list_revision = Some(fleet.list_revision());
        self.limited = limited;
        self.rank_hosts(fleet, own, region);
    }

    /// Ranks the hosts for each endpoint that is not in the table, and removes those that left.
    fn rank_hosts(&mut self, fleet: &mut Fleet, own: &HostName, region: &[Member]) {
        let mut sharing = HashMap::new();
        let mut subset = Vec::new();
        for (ix, endpoint) in fleet.iter() {
            let Some(count) = self.limited.get(&endpoint.entry.service) else {
                subset.push((ix, true));
                continue;
            };
            if endpoint.distance == Distance::Remote {
                subset.push((ix, false));
                continue;
            }
            let known = self.sharing.remove(&ix).filter(|known| known.digest == endpoint.digest);
            let entry = known.unwrap_or_else(|| {
                let (rank, others) = share(&endpoint.entry.name, own, region, *count);
                Sharing { digest: endpoint.digest, rank, others }
            });
            subset.push((ix, entry.rank.is_some()));
            sharing.insert(ix, entry);
        }
        self.sharing = sharing;
        for (ix, in_subset) in subset {
            if let Some(endpoint) = fleet.get_mut(ix) {
                endpoint.in_subset = in_subset;
            }
        }
    }

    /// Returns true when each endpoint of a service is used by only some hosts.
    pub fn is_limited(&self, service: &ServiceName) -> bool {
        self.limited.contains_key(service)
    }

    /// Returns the position of this host among those that use an endpoint, if it does.
    pub fn rank(&self, ix: EndpointIx) -> Option<usize> {
        self.sharing.get(&ix)?.rank
    }

    /// Returns the hosts to which updates about an endpoint are sent. `live` holds the other live
    /// hosts.
    pub fn recipients<'m, Live>(&self, fleet: &Fleet, ix: EndpointIx, live: Live) -> Recipients
    where
        Live: Iterator<Item = &'m Member>,
    {
        let Some(endpoint) = fleet.get(ix) else { return Recipients::Hosts(Vec::new()) };
        let Some(count) = self.limited.get(&endpoint.entry.service) else {
            return Recipients::All;
        };
        if let Some(known) = self.sharing.get(&ix)
            && known.rank.is_some()
        {
            return Recipients::Hosts(known.others.clone());
        }
        // An endpoint outside of the subset.
        let region = fleet.locality().regions.get(&endpoint.entry.zone);
        let hosts: Vec<&Member> = live.filter(|member| Some(&member.region) == region).collect();
        let names = hosts.iter().map(|member| &member.host);
        let ranked = subset::hosts_of_endpoint(&endpoint.entry.name, names, *count);
        Recipients::Hosts(ranked.into_iter().map(|at| hosts[at].clone()).collect())
    }
}

/// Returns the rank of this host among those that use an endpoint, if it does, and the other hosts.
fn share(
    endpoint: &EndpointName,
    own: &HostName,
    region: &[Member],
    count: usize,
) -> (Option<usize>, Vec<Member>) {
    let names = region.iter().map(|member| &member.host).chain([own]);
    let ranked = subset::hosts_of_endpoint(endpoint, names, count);
    let Some(rank) = ranked.iter().position(|at| *at == region.len()) else {
        return (None, Vec::new());
    };
    let others = ranked.iter().filter_map(|at| region.get(*at)).cloned();
    (Some(rank), others.collect())
}

/// Returns the number of hosts that use each endpoint of a service, for the services of which a host
/// uses only a subset. `hosts` is the number of hosts of the region.
fn limited_services(fleet: &Fleet, hosts: usize) -> BTreeMap<ServiceName, usize> {
    let mut counts: BTreeMap<&ServiceName, (usize, usize)> = BTreeMap::new();
    for (_, endpoint) in fleet.iter() {
        let (total, in_region) = counts.entry(&endpoint.entry.service).or_default();
        *total += 1;
        *in_region += usize::from(endpoint.distance != Distance::Remote);
    }
    let limit = |(service, (total, in_region)): (&ServiceName, (usize, usize))| {
        let count = subset::hosts_per_endpoint(total, in_region, hosts)?;
        Some((service.clone(), count))
    };
    counts.into_iter().filter_map(limit).collect()
}
