//! What a host knows of the others, and what they told it lately.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_dispatch::assignment;
use camphorloft_membership::Member;
use camphorloft_peer::link::{Datagram, Link};
use camphorloft_peer::wire::{WireDatagram, WireEndpointChange, WireRegistryState};
use camphorloft_types::prelude::*;
use tokio::net::UdpSocket;

/// Age at which another host's knowledge of the endpoint list is stale, and a host of the region
/// stands in for the reader. Readers tell several times in this time.
const LIST_STALE_AFTER: Duration = Duration::from_millis(1100);
/// Age up to which a host that does not stand in for the reader relies on its knowledge, so that one
/// host of the region reads first.
const LIST_RELIANCE_LIMIT: Duration = Duration::from_millis(1500);
/// Age up to which another host's knowledge of the version in force is relied on. Readers wait two
/// seconds for a new version at a time.
const VERSION_RELIANCE_LIMIT: Duration = Duration::from_millis(3600);
/// Time for which a list may differ from the reader's: changes are on their way.
const MISMATCH_TOLERANCE: Duration = Duration::from_millis(1000);
/// Time for which a reader that lost the registry is passed over. Then its turn comes again, so that
/// it finds out whether the registry is back.
const FAILED_READER_EXCLUSION: Duration = Duration::from_millis(2500);
/// Silence after which no reader is taken to be there: several statements were lost.
const READER_TIMEOUT: Duration = Duration::from_millis(1100);
/// Time for which a change of the list is told again, as datagrams may be lost.
const CHANGE_RESEND_PERIOD: Duration = Duration::from_millis(1500);
/// Time for which the largest number of hosts counts, so that a partition does not let each side
/// spend the whole quota.
const PEAK_HOSTS_RETENTION: Duration = Duration::from_secs(60);
/// Hosts up to which each is told of placements and reports. Larger fleets share endpoints between
/// a few hosts each.
pub const MAX_UPDATE_RECIPIENTS: usize = 128;

/// Duty of the host that reads the registry for others.
const REGISTRY_READER_TASK: &str = "registry";

/// Which hosts are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// All hosts.
    All,
    /// The hosts of this host's region.
    Region,
}

impl UpdateScope {
    /// Returns true when a host of `region` belongs to the scope of a host of `own`.
    fn includes(self, region: &Region, own: &Region) -> bool {
        self == UpdateScope::All || region == own
    }
}

/// What a host knows of the others.
#[derive(Debug)]
pub struct Peers {
    own: HostName,
    region: Region,
    link: Option<(Link, Rc<UdpSocket>)>,
    /// When any reader was last heard of.
    reader_seen_at: Option<Instant>,
    /// When this host last failed to reach the registry.
    own_failed_at: Option<Instant>,
    /// Readers that lost the registry, and when they told.
    failed_readers: BTreeMap<HostName, Instant>,
    /// When a reader last knew the list to be complete.
    list_known_at: Option<Instant>,
    /// Since when the list differs from the reader's.
    mismatch_since: Option<Instant>,
    /// When a reader last knew the version in force to be the newest.
    version_known_at: Option<Instant>,
    /// Changes that this host told lately, and when it learned of them.
    recent_changes: VecDeque<(Instant, WireEndpointChange)>,
    peak_hosts: (u32, Option<Instant>),
}

impl Peers {
    /// Builds the state of a host that knows no other. `assumed` is the number of hosts to assume.
    pub fn new(own: HostName, region: Region, assumed: u32) -> Self {
        Self {
            own,
            region,
            link: None,
            reader_seen_at: None,
            own_failed_at: None,
            failed_readers: BTreeMap::new(),
            list_known_at: None,
            mismatch_since: None,
            version_known_at: None,
            recent_changes: VecDeque::new(),
            peak_hosts: (assumed.max(1), None),
        }
    }

    /// Sets the link to the other hosts.
    pub fn connect(&mut self, link: Link, socket: Rc<UdpSocket>) {
        self.link = Some((link, socket));
    }

    /// Returns the link and its socket.
    pub fn link_mut(&mut self) -> Option<(&mut Link, Rc<UdpSocket>)> {
        self.link.as_mut().map(|(link, socket)| (link, socket.clone()))
    }

    /// Returns the other live hosts.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.link.iter().flat_map(|(link, _)| link.membership().live())
    }

    /// Returns the number of hosts to share a quota with, this one included.
    pub fn quota_hosts(&mut self, now: Instant) -> u32 {
        let live = self.live().count() as u32 + 1;
        let (most, seen_at) = self.peak_hosts;
        let expired =
            seen_at.is_some_and(|at| now.saturating_duration_since(at) > PEAK_HOSTS_RETENTION);
        // The number assumed at the start stands until others were heard of.
        let first = seen_at.is_none() && live > 1;
        if live >= most || expired || first {
            self.peak_hosts = (live, Some(now));
        }
        self.peak_hosts.0
    }

    /// Returns true when this host does a duty for the hosts of its region.
    pub fn is_assigned(&self, duty: &str) -> bool {
        let region = self.live().filter(|member| member.region == self.region);
        assignment::is_assigned(duty, &self.own, region.map(|member| &member.host))
    }

    /// Returns the hosts for which this host reads the registry, if any: for all when it ranks first
    /// among those that have not lost the registry lately, and for its region when it ranks first
    /// there and hears of no reader that knows the list.
    pub fn registry_read_scope(&self, now: Instant) -> Option<UpdateScope> {
        if self.is_assigned_reader(UpdateScope::All, now) {
            return Some(UpdateScope::All);
        }
        let is_informed = is_fresh(self.list_known_at, LIST_STALE_AFTER, now);
        let stands_in = !is_informed && self.is_assigned_reader(UpdateScope::Region, now);
        stands_in.then_some(UpdateScope::Region)
    }

    fn is_assigned_reader(&self, among: UpdateScope, now: Instant) -> bool {
        let own_failed = is_fresh(self.own_failed_at, FAILED_READER_EXCLUSION, now);
        let hosts = self.live().filter(|member| among.includes(&member.region, &self.region));
        let hosts: Vec<&HostName> = hosts.map(|member| &member.host).collect();
        let able = hosts.iter().copied().filter(|host| !self.is_failed_reader(host, now));
        match (able.clone().next(), own_failed) {
            (Some(_), true) => false,
            (Some(_), false) => assignment::is_assigned(REGISTRY_READER_TASK, &self.own, able),
            // In an outage one host goes on asking for all.
            (None, _) => assignment::is_assigned(REGISTRY_READER_TASK, &self.own, hosts),
        }
    }

    /// Takes that this host did not reach the registry. It leaves the duty to others for a while, as
    /// they pass it over.
    pub fn record_registry_failure(&mut self, now: Instant) {
        self.own_failed_at = Some(now);
    }

    fn is_failed_reader(&self, host: &HostName, now: Instant) -> bool {
        let failed_at = self.failed_readers.get(host);
        failed_at.is_some_and(|at| now.saturating_duration_since(*at) < FAILED_READER_EXCLUSION)
    }

    /// Returns true while some reader is heard of, whether it knows the registry or
    /// not.
    pub fn has_live_reader(&self, now: Instant) -> bool {
        is_fresh(self.reader_seen_at, READER_TIMEOUT, now)
    }

    /// Takes what a reader knows of the registry. `own_digest` is of this host's list.
    pub fn record_registry_state(
        &mut self,
        reader: &HostName,
        state: &WireRegistryState,
        own_digest: u64,
        now: Instant,
    ) {
        self.reader_seen_at = Some(now);
        if u128::from(state.list_age_ms) > LIST_STALE_AFTER.as_millis() {
            self.failed_readers
                .retain(|_, at| now.saturating_duration_since(*at) < FAILED_READER_EXCLUSION);
            self.failed_readers.entry(reader.clone()).or_insert(now);
            return;
        }
        self.failed_readers.remove(reader);
        let at = |age_ms: u32| now.checked_sub(Duration::from_millis(u64::from(age_ms)));
        let newer = |known: Option<Instant>, received: Option<Instant>| known.max(received);
        self.list_known_at = newer(self.list_known_at, at(state.list_age_ms));
        self.version_known_at = newer(self.version_known_at, at(state.version_age_ms));
        if state.list_digest == own_digest {
            self.mismatch_since = None;
        } else if self.mismatch_since.is_none() {
            self.mismatch_since = Some(now);
        }
    }

    /// Returns true while a reader keeps this host's endpoint list complete.
    pub fn is_list_maintained(&self, now: Instant) -> bool {
        let fresh = is_fresh(self.list_known_at, LIST_RELIANCE_LIMIT, now);
        let same = self
            .mismatch_since
            .is_none_or(|since| now.saturating_duration_since(since) < MISMATCH_TOLERANCE);
        fresh && same
    }

    /// Forgets that the list differed: it was read anew.
    pub fn clear_list_mismatch(&mut self) {
        self.mismatch_since = None;
    }

    /// Returns true while a reader tells of new versions.
    pub fn is_version_maintained(&self, now: Instant) -> bool {
        is_fresh(self.version_known_at, VERSION_RELIANCE_LIMIT, now)
    }

    /// Remembers changes to tell, and returns all that are told now.
    pub fn changes_to_send(
        &mut self,
        new: Vec<WireEndpointChange>,
        now: Instant,
    ) -> Vec<WireEndpointChange> {
        let is_old = |sent: &(Instant, WireEndpointChange)| {
            now.saturating_duration_since(sent.0) > CHANGE_RESEND_PERIOD
        };
        while self.recent_changes.front().is_some_and(is_old) {
            self.recent_changes.pop_front();
        }
        for change in new {
            self.recent_changes.retain(|(_, sent)| sent.name != change.name);
            self.recent_changes.push_back((now, change));
        }
        self.recent_changes.iter().map(|(_, change)| change.clone()).collect()
    }

    /// Seals a datagram for the hosts of the scope. `fill` adds to the empty datagram.
    pub fn seal_update<Fill>(&mut self, scope: UpdateScope, fill: Fill) -> Vec<Datagram>
    where
        Fill: FnOnce(&mut WireDatagram),
    {
        let Some((link, _)) = &mut self.link else { return Vec::new() };
        let own_region = &self.region;
        let is_recipient = |member: &Member| scope.includes(&member.region, own_region);
        let mut datagram = link.empty_datagram();
        fill(&mut datagram);
        let mut out = Vec::new();
        link.broadcast(datagram, is_recipient, MAX_UPDATE_RECIPIENTS, &mut out);
        out
    }
}

fn is_fresh(known_at: Option<Instant>, fresh: Duration, now: Instant) -> bool {
    known_at.is_some_and(|at| now.saturating_duration_since(at) < fresh)
}
