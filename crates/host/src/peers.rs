//! State of the other hosts and the updates recently exchanged with them.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_dispatch::assignment;
use camphorloft_dispatch::prelude::Fleet;
use camphorloft_membership::member::KnownMember;
use camphorloft_membership::{Member, MemberState};
use camphorloft_peer::distribution::Distribution;
use camphorloft_peer::forward_scope::{ForwardScope, ForwardScopeError};
use camphorloft_peer::link::{Datagram, Link, LinkCounts};
use camphorloft_peer::updates::Updates;
use camphorloft_peer::wire::{WireDatagram, WireEndpointChange, WireRegistryState};
use camphorloft_types::prelude::*;
use camphorloft_types::rendezvous;
use tokio::net::UdpSocket;

use crate::subset_table::SubsetTable;

/// Age at which a reader's confirmation of the endpoint list is stale, and a host of the region takes
/// over reading for its region. Readers send several updates within this time.
const LIST_STALE_AFTER: Duration = Duration::from_millis(1100);
/// Age up to which the other hosts of the region still rely on that confirmation. It is longer than
/// [`LIST_STALE_AFTER`], so that only the host that takes over reads at first.
const LIST_RELIANCE_LIMIT: Duration = Duration::from_millis(1500);
/// Age up to which a host relies on a reader's confirmation of the version in force. A reader's long
/// poll for a new version lasts 2 s.
const VERSION_RELIANCE_LIMIT: Duration = Duration::from_millis(3600);
/// Time by which each further host of the region waits longer before it reads by itself, in the order
/// of their ranks. When the registry is unavailable, a large fleet would otherwise call it at once.
const STAND_IN_STEP: Duration = Duration::from_millis(250);
/// Maximum of that delay. A host that alone reaches the registry must notice a draining endpoint in time.
const MAX_STAND_IN_DELAY: Duration = Duration::from_secs(4);
/// Time without datagrams after which a host counts as isolated. Every host is probed about once a
/// second.
const ISOLATED_AFTER: Duration = Duration::from_millis(2500);
/// Time for which a list may differ from the reader's, because changes are still in transit.
const MISMATCH_TOLERANCE: Duration = Duration::from_millis(1000);
/// Time for which a reader that failed to reach the registry is excluded from the assignment. Then
/// it becomes eligible again, so that it can detect that the registry is available again.
const FAILED_READER_EXCLUSION: Duration = Duration::from_millis(2500);
/// Time without updates after which a host assumes that there is no reader; several updates are then
/// missing.
const READER_TIMEOUT: Duration = Duration::from_millis(1100);
/// Time for which a change of the list is sent repeatedly, because datagrams may be lost.
const CHANGE_RESEND_PERIOD: Duration = Duration::from_millis(1500);
/// Time between two sendings of the changes of endpoints that stay cold for longer than that.
const COLD_RESEND_INTERVAL: Duration = Duration::from_millis(1000);
/// Maximum number of recent changes that are sent repeatedly. A host that misses some of more changes
/// reads the list again.
const MAX_CHANGES_RESENT: usize = 256;
/// Time for which the largest observed number of hosts stays in effect, so that the two sides of a
/// network partition do not each spend the whole quota.
const PEAK_HOSTS_RETENTION: Duration = Duration::from_secs(60);
/// Time for which a host that was lost keeps its share of the rate of cold endpoints. A partition may last
/// longer than one of the other periods; the share of a host that is really gone is not used.
const LOST_HOST_RETENTION: Duration = Duration::from_secs(600);
/// The same for a host that left. It still accepts requests for 2.5 s and completes them.
const LEFT_HOST_RETENTION: Duration = Duration::from_secs(10);
/// Name of the task to read the registry for other hosts, as input to the assignment.
const REGISTRY_READER_TASK: &str = "registry";

/// Set of hosts that an update is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// All hosts.
    All,
    /// The hosts of this host's region.
    Region,
}

impl UpdateScope {
    /// Returns true when an update from a host in region `own` is sent to hosts in `region`.
    fn includes(self, region: &Region, own: &Region) -> bool {
        self == UpdateScope::All || region == own
    }
}

impl From<UpdateScope> for ForwardScope {
    fn from(scope: UpdateScope) -> Self {
        match scope {
            UpdateScope::All => ForwardScope::Fleet,
            UpdateScope::Region => ForwardScope::Region,
        }
    }
}

/// State of the other hosts.
#[derive(Debug)]
pub struct Peers {
    own: HostName,
    region: Region,
    link: Option<(Link, Rc<UdpSocket>)>,
    distribution: Distribution,
    /// When the last datagram of another host arrived.
    contact_at: Option<Instant>,
    /// When the last update of any reader arrived.
    reader_seen_at: Option<Instant>,
    /// When this host last failed to reach the registry.
    own_failed_at: Option<Instant>,
    /// Readers that failed to reach the registry, and when they reported it.
    failed_readers: BTreeMap<HostName, Instant>,
    /// When a reader last confirmed that the list is complete.
    list_known_at: Option<Instant>,
    /// When a reader asked for the list that this host has as well.
    list_asked_at: Option<Instant>,
    /// When the list started to differ from the reader's.
    mismatch_since: Option<Instant>,
    /// When a reader last confirmed that the version in force is the latest.
    version_known_at: Option<Instant>,
    /// Recent changes that this host sends, and when it received them.
    recent_changes: VecDeque<(Instant, WireEndpointChange)>,
    /// When changes of endpoints that stay cold for long were last sent.
    cold_sent_at: Option<Instant>,
    /// Number of hosts that the registry listed when this one started.
    announced: usize,
    /// Largest recent number of hosts, and when it was last observed.
    peak_hosts: (u32, Option<Instant>),
}

impl Peers {
    /// Creates the state of a host that has discovered no other. `assumed` is the number of hosts to
    /// assume until then.
    pub fn new(own: HostName, region: Region, assumed: u32) -> Self {
        Self {
            own,
            region,
            link: None,
            distribution: Distribution::default(),
            contact_at: None,
            reader_seen_at: None,
            own_failed_at: None,
            failed_readers: BTreeMap::new(),
            list_known_at: None,
            list_asked_at: None,
            mismatch_since: None,
            version_known_at: None,
            recent_changes: VecDeque::new(),
            cold_sent_at: None,
            announced: 0,
            peak_hosts: (assumed.max(1), None),
        }
    }

    /// Sets the link and the socket to the other hosts.
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

    /// Returns true if another live host has a version in force.
    pub fn knows_version(&self) -> bool {
        let members = self.link.iter().flat_map(|(link, _)| link.membership().members());
        members.into_iter().any(|known| {
            known.member.state <= MemberState::Suspect && known.config_version > ConfigVersion(0)
        })
    }

    /// Returns the traffic counters of the link to the other hosts.
    pub fn link_counts(&self) -> LinkCounts {
        self.link.as_ref().map(|(link, _)| link.counts()).unwrap_or_default()
    }

    /// Returns the number of hosts that share a quota, including this one.
    pub fn quota_hosts(&mut self, now: Instant) -> u32 {
        let live = self.live().count() as u32 + 1;
        let (most, seen_at) = self.peak_hosts;
        let expired =
            seen_at.is_some_and(|at| now.saturating_duration_since(at) > PEAK_HOSTS_RETENTION);
        // The initial assumption stays in effect until other hosts are discovered.
        let first = seen_at.is_none() && live > 1;
        if live >= most || expired || first {
            self.peak_hosts = (live, Some(now));
        }
        self.peak_hosts.0
    }

    /// Returns the rank of this host among the hosts that send requests to a limited endpoint, and the
    /// number of hosts. Hosts of the endpoint's region rank first. The number is the largest recent
    /// one, so that the two sides of a network partition do not each use the whole limit.
    pub fn sender_rank(&self, endpoint: &EndpointName, region: Option<&Region>) -> (usize, usize) {
        let own_is_near = Some(&self.region) == region;
        let others = self.live().filter(|member| {
            let is_near = Some(&member.region) == region;
            is_near && !own_is_near
                || is_near == own_is_near
                    && assignment::rank(endpoint.as_str(), &self.own, [&member.host]) == 1
        });
        (others.count(), self.peak_hosts.0 as usize)
    }

    /// Returns the same for an endpoint that crashes if hosts together exceed its rate, whether they are in
    /// contact or not. Hosts that were lost lately keep their ranks, because they may be alive behind a
    /// partition. A host that has not found any other takes a rank by its name among those that the
    /// registry lists.
    pub fn cold_sender_rank(
        &self,
        endpoint: &EndpointName,
        region: Option<&Region>,
        now: Instant,
    ) -> (usize, usize) {
        let peak = self.peak_hosts.0 as usize;
        let own_is_near = Some(&self.region) == region;
        let members = self.link.iter().flat_map(|(link, _)| link.membership().members());
        let (mut rank, mut hosts) = (0, 1);
        for known in members.filter(|known| is_sender(known, now)) {
            let member = &known.member;
            let is_near = Some(&member.region) == region;
            let ranks_first = is_near && !own_is_near
                || is_near == own_is_near
                    && assignment::rank(endpoint.as_str(), &self.own, [&member.host]) == 1;
            rank += usize::from(ranks_first);
            hosts += 1;
        }
        if hosts == 1 {
            let hosts = peak.max(self.announced);
            let score = rendezvous::score(endpoint.as_str(), self.own.as_str());
            return ((score % hosts.max(1) as u64) as usize, hosts);
        }
        (rank, peak.max(hosts))
    }

    /// Records the number of hosts that the registry listed when this one started.
    pub fn set_announced(&mut self, hosts: usize) {
        self.announced = hosts;
    }

    /// Returns the number of hosts of the region that rank before this one for `task`.
    pub fn rank_in_region(&self, task: &str) -> usize {
        let region = self.live().filter(|member| member.region == self.region);
        assignment::rank(task, &self.own, region.map(|member| &member.host))
    }

    /// Returns the scope of hosts for which this host is the assigned reader of the registry, if any.
    /// The scope is all hosts if it ranks first among the hosts that have not recently failed to
    /// reach the registry, and its region if it ranks first there and has no recent confirmation of
    /// the list from a reader.
    pub fn registry_read_scope(&self, now: Instant) -> Option<UpdateScope> {
        if self.is_assigned_reader(UpdateScope::All, now) {
            return Some(UpdateScope::All);
        }
        let is_informed = is_fresh(self.list_known_at, LIST_STALE_AFTER, now);
        let reads_for_region = !is_informed && self.is_assigned_reader(UpdateScope::Region, now);
        reads_for_region.then_some(UpdateScope::Region)
    }

    fn is_assigned_reader(&self, among: UpdateScope, now: Instant) -> bool {
        let own_failed = is_fresh(self.own_failed_at, FAILED_READER_EXCLUSION, now);
        let hosts = self.live().filter(|member| among.includes(&member.region, &self.region));
        let hosts: Vec<&HostName> = hosts.map(|member| &member.host).collect();
        let able = hosts.iter().copied().filter(|host| !self.is_failed_reader(host, now));
        match (able.clone().next(), own_failed) {
            (Some(_), true) => false,
            (Some(_), false) => assignment::is_assigned(REGISTRY_READER_TASK, &self.own, able),
            // While no host can reach the registry, one host keeps trying on behalf of all.
            (None, _) => assignment::is_assigned(REGISTRY_READER_TASK, &self.own, hosts),
        }
    }

    /// Records that this host failed to reach the registry. It is excluded from the assignment for a
    /// while, as it is by the other hosts.
    pub fn record_registry_failure(&mut self, now: Instant) {
        self.own_failed_at = Some(now);
    }

    fn is_failed_reader(&self, host: &HostName, now: Instant) -> bool {
        let failed_at = self.failed_readers.get(host);
        failed_at.is_some_and(|at| now.saturating_duration_since(*at) < FAILED_READER_EXCLUSION)
    }

    /// Returns true while updates of a reader arrive, whether or not it can reach the registry.
    pub fn has_live_reader(&self, now: Instant) -> bool {
        is_fresh(self.reader_seen_at, READER_TIMEOUT, now)
    }

    /// Records a reader's view of the registry, as of `now`. `own_digest` is the digest of this host's list.
    /// Returns false if the reader does not reach the registry.
    pub fn record_registry_state(
        &mut self,
        reader: &HostName,
        state: &WireRegistryState,
        own_digest: u64,
        now: Instant,
    ) -> bool {
        self.reader_seen_at = Some(now);
        if u128::from(state.list_age_ms) > LIST_STALE_AFTER.as_millis() {
            self.failed_readers
                .retain(|_, at| now.saturating_duration_since(*at) < FAILED_READER_EXCLUSION);
            self.failed_readers.entry(reader.clone()).or_insert(now);
            return false;
        }
        self.failed_readers.remove(reader);
        let at = |age_ms: u32| now.checked_sub(Duration::from_millis(u64::from(age_ms)));
        let newer = |known: Option<Instant>, received: Option<Instant>| known.max(received);
        self.list_known_at = newer(self.list_known_at, at(state.list_age_ms));
        self.version_known_at = newer(self.version_known_at, at(state.version_age_ms));
        if state.list_digest == own_digest {
            self.mismatch_since = None;
            let asked_at = state.list_asked_age_ms.and_then(at);
            self.list_asked_at = newer(self.list_asked_at, asked_at);
        } else if self.mismatch_since.is_none() {
            self.mismatch_since = Some(now);
        }
        true
    }

    /// Returns when a reader asked for the list that this host has as well, if known.
    pub fn list_asked_at(&self) -> Option<Instant> {
        self.list_asked_at
    }

    /// Returns true while a reader keeps this host's endpoint list up to date.
    pub fn is_list_maintained(&self, now: Instant) -> bool {
        let fresh = is_fresh(self.list_known_at, LIST_RELIANCE_LIMIT, now);
        let same = self
            .mismatch_since
            .is_none_or(|since| now.saturating_duration_since(since) < MISMATCH_TOLERANCE);
        fresh && same
    }

    /// Returns true while a reader confirms that this host's endpoint list is complete. Unlike
    /// [`Self::is_list_maintained`], a list that differs for a moment does not count.
    pub fn is_list_confirmed(&self, now: Instant) -> bool {
        is_fresh(self.list_known_at, LIST_RELIANCE_LIMIT, now) && self.mismatch_since.is_none()
    }

    /// Returns true while a stale list is left to the hosts of the region that stand in for the reader
    /// before this one.
    pub fn is_list_left_to_others(&self, now: Instant) -> bool {
        self.mismatch_since.is_none()
            && self.is_left_to_others(self.list_known_at, LIST_RELIANCE_LIMIT, now)
    }

    /// Like [`Self::is_list_left_to_others`], for the version in force.
    pub fn is_version_left_to_others(&self, now: Instant) -> bool {
        self.is_left_to_others(self.version_known_at, VERSION_RELIANCE_LIMIT, now)
    }

    fn is_left_to_others(
        &self,
        known_at: Option<Instant>,
        reliance_limit: Duration,
        now: Instant,
    ) -> bool {
        known_at.is_some_and(|at| {
            now.saturating_duration_since(at) < reliance_limit + self.stand_in_delay(now)
        })
    }

    /// Records that a datagram of another host arrived.
    pub fn record_contact(&mut self, now: Instant) {
        self.contact_at = Some(now);
    }

    /// Returns the delay after which this host stands in for the reader of the registry. An isolated
    /// host does not wait for others.
    pub fn stand_in_delay(&self, now: Instant) -> Duration {
        if !is_fresh(self.contact_at, ISOLATED_AFTER, now) {
            return Duration::ZERO;
        }
        let rank = u32::try_from(self.rank_in_region(REGISTRY_READER_TASK)).unwrap_or(u32::MAX);
        STAND_IN_STEP.saturating_mul(rank).min(MAX_STAND_IN_DELAY)
    }

    /// Clears the list mismatch after this host read the list itself.
    pub fn clear_list_mismatch(&mut self) {
        self.mismatch_since = None;
    }

    /// Returns true while a reader announces new versions.
    pub fn is_version_maintained(&self, now: Instant) -> bool {
        is_fresh(self.version_known_at, VERSION_RELIANCE_LIMIT, now)
    }

    /// Adds changes to those sent repeatedly, and returns all changes to send now.
    pub fn changes_to_send(
        &mut self,
        new: Vec<WireEndpointChange>,
        now: Instant,
    ) -> Vec<WireEndpointChange> {
        let age = |at: Instant| now.saturating_duration_since(at);
        // A host that misses the last of them would not limit its requests while the endpoint is cold.
        self.recent_changes.retain(|(at, change)| {
            age(*at) <= CHANGE_RESEND_PERIOD || !cold_left(change, age(*at)).is_zero()
        });
        let is_due =
            self.cold_sent_at.is_none_or(|at| age(at) >= COLD_RESEND_INTERVAL) || !new.is_empty();
        if is_due {
            self.cold_sent_at = Some(now);
        }
        for change in new.iter().cloned() {
            self.recent_changes.retain(|(_, sent)| sent.name != change.name);
            self.recent_changes.push_back((now, change));
        }
        if self.recent_changes.len() > MAX_CHANGES_RESENT {
            return new;
        }
        let resent = self.recent_changes.iter();
        let resent = resent.filter(|(at, _)| is_due || age(*at) <= CHANGE_RESEND_PERIOD);
        resent.map(|(at, change)| aged(change, age(*at))).collect()
    }

    /// Derives the endpoints that this host sends work to from the endpoint list and the live hosts.
    pub fn update_subset(&self, subset: &mut SubsetTable, fleet: &mut Fleet, now: Instant) {
        let revision = self.link.as_ref().map_or(0, |(link, _)| link.membership().revision());
        if !subset.is_outdated(fleet, revision, now) {
            return;
        }
        let region: Vec<Member> =
            self.live().filter(|member| member.region == self.region).cloned().collect();
        subset.update(fleet, &self.own, &region, revision, now);
    }

    /// Calls `act` with the distribution and the link, and returns the datagrams that it adds.
    fn with_distribution<Act>(&mut self, act: Act) -> Vec<Datagram>
    where
        Act: FnOnce(&mut Distribution, &mut Link, &mut Vec<Datagram>),
    {
        let mut out = Vec::new();
        if let Some((link, _)) = &mut self.link {
            act(&mut self.distribution, link, &mut out);
        }
        out
    }

    /// Sends updates about endpoints directly to the hosts that use them.
    pub fn send_to_hosts(&mut self, recipients: &[Member], updates: Updates) -> Vec<Datagram> {
        self.with_distribution(|_, link, out| {
            let mut datagram = link.empty_datagram();
            updates.fill(&mut datagram);
            link.send_to_all(datagram, recipients, out);
        })
    }

    /// Distributes updates to the hosts in scope.
    pub fn distribute(
        &mut self,
        scope: UpdateScope,
        updates: Updates,
        now: Instant,
    ) -> Vec<Datagram> {
        self.with_distribution(|distribution, link, out| {
            distribution.submit(link, scope.into(), updates, now, out);
            distribution.flush(link, now, out);
        })
    }

    /// Distributes updates about an endpoint in `region` to all hosts, and to those of that region
    /// without the delay of a relay.
    pub fn distribute_urgently(
        &mut self,
        region: &Region,
        updates: Updates,
        now: Instant,
    ) -> Vec<Datagram> {
        self.with_distribution(|distribution, link, out| {
            distribution.submit_to_region(link, region, updates.clone(), out);
            distribution.submit(link, UpdateScope::All.into(), updates, now, out);
            distribution.flush(link, now, out);
        })
    }

    /// Announces this host's configuration version. `is_source` is true if it read the version from
    /// the registry.
    pub fn announce_version(
        &mut self,
        version: ConfigVersion,
        is_source: bool,
        now: Instant,
    ) -> Vec<Datagram> {
        self.with_distribution(|distribution, link, out| {
            link.set_config_version(version);
            distribution.announce_version(link, is_source, now, out);
        })
    }

    /// Buffers the updates in a received datagram that this host forwards.
    ///
    /// # Errors
    ///
    /// Returns [`ForwardScopeError`] if the datagram is to be forwarded to an unknown scope.
    pub fn receive_for_others(
        &mut self,
        sender: &Member,
        received: &WireDatagram,
        now: Instant,
    ) -> Result<(), ForwardScopeError> {
        self.distribution.receive(sender, received, now)
    }

    /// Returns when [`Self::forward`] must be called next.
    pub fn forward_at(&self) -> Option<Instant> {
        self.distribution.due_at()
    }

    /// Forwards the updates of other hosts that are due.
    pub fn forward(&mut self, now: Instant) -> Vec<Datagram> {
        self.with_distribution(|distribution, link, out| distribution.flush(link, now, out))
    }

    /// Acknowledges forwarded updates. Returns the relays that are excluded from now on because
    /// they did not acknowledge.
    pub fn tick_relays(&mut self, now: Instant, out: &mut Vec<Datagram>) -> Vec<HostName> {
        match &mut self.link {
            Some((link, _)) => self.distribution.tick(link, now, out),
            None => Vec::new(),
        }
    }
}

/// Returns how long the endpoint of a change that was received `age` ago stays cold.
fn cold_left(change: &WireEndpointChange, age: Duration) -> Duration {
    let cold_left_ms = change.entry.as_ref().map_or(0, |entry| entry.cold_left_ms);
    Duration::from_millis(u64::from(cold_left_ms)).saturating_sub(age)
}

/// Returns a change that was received `age` ago as it is now.
fn aged(change: &WireEndpointChange, age: Duration) -> WireEndpointChange {
    let mut aged = change.clone();
    aged.add_age(age);
    aged
}

/// Returns true if a host may send requests: it is alive or may be behind a partition, or it left and
/// completes what it accepted.
fn is_sender(known: &KnownMember, now: Instant) -> bool {
    let since = now.saturating_duration_since(known.changed_at);
    match known.member.state {
        MemberState::Alive | MemberState::Suspect => true,
        MemberState::Dead => since < LOST_HOST_RETENTION,
        MemberState::Left => since < LEFT_HOST_RETENTION,
    }
}

fn is_fresh(known_at: Option<Instant>, max_age: Duration, now: Instant) -> bool {
    known_at.is_some_and(|at| now.saturating_duration_since(at) < max_age)
}
