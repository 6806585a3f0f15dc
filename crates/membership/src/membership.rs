//! The membership view of one host and the protocol logic.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::member::{KnownMember, Member, MemberState};
use crate::message::{Message, MessageKind, Outgoing, ProbeId};
use crate::probe::{Probe, ProbeStage, RelayedProbe};
use crate::settings::MembershipSettings;
use crate::update_queue::UpdateQueue;

/// Maximum number of concurrent probes on behalf of other hosts.
const MAX_RELAYED_PROBES: usize = 256;
/// One synchronisation in this many goes to a host that is considered dead, so that regions merge
/// again after a partition.
const SYNC_DEAD_EVERY: u64 = 3;
/// Delay of the first synchronisation after a host discovered another one. When many hosts start at
/// once, the first views that they exchange are incomplete.
const FIRST_SYNC_DELAY: Duration = Duration::from_millis(1000);
/// Factor by which the delay grows after each synchronisation, up to the regular interval.
const SYNC_DELAY_GROWTH: f64 = 1.5;
/// One synchronisation in this many goes to a host of any region, and the others to the own region,
/// because views are large.
const SYNC_ANY_REGION_EVERY: u64 = 4;
/// Number of hosts to which each host immediately sends updates that are new to it.
const UPDATE_FANOUT: usize = 3;
/// Mean number of hosts that probe a suspect ahead of their regular order.
const CONFIRMING_HOSTS: f64 = 6.0;
/// Upper bound of the factor applied to the probe timeouts while this host's own probes fail.
const MAX_TIMEOUT_FACTOR: u32 = 2;

/// The membership view of one host.
pub struct Membership {
    settings: MembershipSettings,
    own: Member,
    config_version: ConfigVersion,
    members: BTreeMap<HostName, KnownMember>,
    revision: u64,
    update_queue: UpdateQueue,
    probe: Option<Probe>,
    relayed: Vec<RelayedProbe>,
    probe_order: Vec<HostName>,
    remote_probe_order: Vec<HostName>,
    next_probe_at: Instant,
    next_sync_at: Instant,
    sync_delay: Duration,
    probes: u64,
    syncs: u64,
    /// Raised when this host's probes fail, lowered when they succeed. Larger values lengthen the
    /// probe timeouts.
    health_score: u32,
    evictions: u64,
    rng: Pcg64Mcg,
}

impl Membership {
    /// Creates a view that contains only the own host.
    pub fn new(own: Member, settings: MembershipSettings, seed: u64, now: Instant) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let offset = settings.probe_interval.mul_f64(rng.random());
        Self {
            settings,
            own,
            config_version: ConfigVersion(0),
            members: BTreeMap::new(),
            revision: 0,
            update_queue: UpdateQueue::default(),
            probe: None,
            relayed: Vec::new(),
            probe_order: Vec::new(),
            remote_probe_order: Vec::new(),
            next_probe_at: now + offset,
            next_sync_at: now + offset,
            sync_delay: FIRST_SYNC_DELAY.min(settings.sync_interval),
            probes: 0,
            syncs: 0,
            health_score: 0,
            evictions: 0,
            rng,
        }
    }

    /// Returns the membership record of this host.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Sets the version of the object set that this host reports to others.
    pub fn set_config_version(&mut self, version: ConfigVersion) {
        self.config_version = version;
    }

    /// Returns the other hosts.
    pub fn members(&self) -> impl Iterator<Item = &KnownMember> {
        self.members.values()
    }

    /// Returns the other hosts that are alive or suspect.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        let live = |known: &&KnownMember| known.member.state <= MemberState::Suspect;
        self.members.values().filter(live).map(|known| &known.member)
    }

    /// Returns a number that changes whenever the record of another host changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns how many times this host declared another one dead.
    pub fn evictions(&self) -> u64 {
        self.evictions
    }

    /// Adds a host from the platform's host list. A host that is already known is left unchanged,
    /// because the list is delayed.
    pub fn add_seed(&mut self, seed: Member, now: Instant) {
        if seed.host != self.own.host && !self.members.contains_key(&seed.host) {
            let first = self.members.is_empty();
            self.insert(Member { incarnation: Incarnation(0), ..seed }, now);
            if first {
                self.next_sync_at = now;
            }
        }
    }

    /// Requests the view of a host of which only the address is known.
    pub fn request_sync(&mut self, addr: SocketAddr, out: &mut Vec<Outgoing>) {
        let digest = self.view_digest();
        out.push(self.message(addr, MessageKind::SyncRequest(digest), Vec::new()));
    }

    /// Returns up to `count` randomly selected live hosts.
    pub fn random_live(&mut self, count: usize) -> Vec<Member> {
        let live: Vec<Member> = self.live().cloned().collect();
        live.choose_multiple(&mut self.rng, count).cloned().collect()
    }

    /// Marks this host as left and notifies a few hosts, which gossip it further.
    pub fn leave(&mut self, out: &mut Vec<Outgoing>) {
        const LEAVE_FANOUT: usize = 8;
        self.own.state = MemberState::Left;
        for target in self.random_live(LEAVE_FANOUT) {
            let own = self.own.clone();
            out.push(self.message(target.addr, MessageKind::Updates, vec![own]));
        }
    }

    /// Runs the timers of the protocol. Must be called every 50 to 100 milliseconds.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        self.advance_probe(now, out);
        self.expire_suspicions(now);
        self.relayed.retain(|relayed| now < relayed.deadline);
        self.send_new_updates(out);
        if now >= self.next_probe_at && self.probe.is_none() {
            self.next_probe_at = now + self.settings.probe_interval;
            self.notify_suspects(out);
            self.start_probe(now, out);
        }
        if now >= self.next_sync_at {
            let jitter = self.rng.random_range(0.75..1.25);
            self.next_sync_at = now + self.sync_delay.mul_f64(jitter);
            self.sync_delay =
                self.sync_delay.mul_f64(SYNC_DELAY_GROWTH).min(self.settings.sync_interval);
            self.start_sync(out);
        }
    }

    /// Sends new updates to a few hosts immediately. If they only piggybacked on probes, they would
    /// travel one hop per probe, and a refutation could arrive too late.
    fn send_new_updates(&mut self, out: &mut Vec<Outgoing>) {
        if !self.update_queue.has_unsent() {
            return;
        }
        for target in self.random_live(UPDATE_FANOUT) {
            out.push(self.gossip(target.addr, MessageKind::Updates));
        }
    }

    /// Notifies the hosts that this host suspects, so that they can refute even when the gossip
    /// about them is lost.
    fn notify_suspects(&mut self, out: &mut Vec<Outgoing>) {
        let own = &self.own.host;
        let suspected = self.members.values().filter(|known| {
            known.member.state == MemberState::Suspect && known.suspecting_hosts.contains(own)
        });
        let updates: Vec<Member> = suspected.map(|known| known.member.clone()).collect();
        for update in updates {
            out.push(self.message(update.addr, MessageKind::Updates, vec![update]));
        }
    }

    fn message(&mut self, to: SocketAddr, kind: MessageKind, updates: Vec<Member>) -> Outgoing {
        let config_version = self.config_version;
        Outgoing {
            to,
            message: Message { kind, sender: self.own.clone(), config_version, updates },
        }
    }

    fn gossip(&mut self, to: SocketAddr, kind: MessageKind) -> Outgoing {
        let hosts = self.members.len() as u32 + 2;
        let limit = self.settings.retransmit_factor * hosts.ilog2().max(1);
        let updates = self.update_queue.take(self.settings.updates_per_message, limit);
        self.message(to, kind, updates)
    }

    fn timeout(&self, target: &Member) -> Duration {
        let remote = target.region != self.own.region;
        let base =
            if remote { self.settings.remote_probe_timeout } else { self.settings.probe_timeout };
        base * (1 + self.health_score)
    }

    fn start_probe(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        self.probes += 1;
        let Some(target) = self.next_target() else { return };
        let Some(known) = self.members.get(&target) else { return };
        let (addr, timeout) = (known.member.addr, self.timeout(&known.member));
        let id = ProbeId(self.rng.random());
        let deadline = now + timeout;
        self.probe = Some(Probe { id, target, stage: ProbeStage::Direct, deadline });
        out.push(self.gossip(addr, MessageKind::Ping(id)));
    }

    /// Returns the next host to probe: each host once per round, in random order, mostly within
    /// the own region.
    fn next_target(&mut self) -> Option<HostName> {
        let remote = self.probes.is_multiple_of(self.settings.remote_probe_every);
        if remote && let Some(target) = self.pop_target(true) {
            return Some(target);
        }
        self.pop_target(false).or_else(|| self.pop_target(true))
    }

    fn pop_target(&mut self, remote: bool) -> Option<HostName> {
        for refill in [false, true] {
            if refill {
                self.refill_probe_order(remote);
            }
            let order = if remote { &mut self.remote_probe_order } else { &mut self.probe_order };
            while let Some(host) = order.pop() {
                let known = self.members.get(&host);
                if known.is_some_and(|known| known.member.state <= MemberState::Suspect) {
                    return Some(host);
                }
            }
        }
        None
    }

    fn refill_probe_order(&mut self, remote: bool) {
        let own_region = self.own.region.clone();
        let live = self.live().filter(|member| (member.region != own_region) == remote);
        let mut order: Vec<HostName> = live.map(|member| member.host.clone()).collect();
        order.shuffle(&mut self.rng);
        if remote {
            self.remote_probe_order = order;
        } else {
            self.probe_order = order;
        }
    }

    fn advance_probe(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        let Some(probe) = self.probe.take_if(|probe| now >= probe.deadline) else { return };
        match probe.stage {
            ProbeStage::Direct => self.probe_indirectly(probe, now, out),
            ProbeStage::Indirect => {
                self.health_score = (self.health_score + 1).min(MAX_TIMEOUT_FACTOR - 1);
                self.suspect(&probe.target, now);
            }
        }
    }

    /// Requests indirect probes, preferably from hosts in the target's region, so that one broken
    /// link between two hosts is not mistaken for a dead host.
    fn probe_indirectly(&mut self, probe: Probe, now: Instant, out: &mut Vec<Outgoing>) {
        let Some(known) = self.members.get(&probe.target) else { return };
        let target = known.member.clone();
        let indirect_probers = self.indirect_probers(&target);
        // This host also pings again, so that a single lost datagram is not a failure.
        out.push(self.gossip(target.addr, MessageKind::Ping(probe.id)));
        for prober in indirect_probers {
            out.push(self.gossip(prober, MessageKind::PingRequest(probe.id, target.addr)));
        }
        let deadline = now + self.timeout(&target) * 2;
        self.probe = Some(Probe { stage: ProbeStage::Indirect, deadline, ..probe });
    }

    fn indirect_probers(&mut self, target: &Member) -> Vec<SocketAddr> {
        let alive =
            |member: &&Member| member.state == MemberState::Alive && member.host != target.host;
        let mut near: Vec<SocketAddr> = Vec::new();
        let mut other: Vec<SocketAddr> = Vec::new();
        for member in self.live().filter(alive) {
            let group = if member.region == target.region { &mut near } else { &mut other };
            group.push(member.addr);
        }
        near.shuffle(&mut self.rng);
        other.shuffle(&mut self.rng);
        near.into_iter().chain(other).take(self.settings.indirect_probes).collect()
    }

    /// Marks a host as suspect after this host's own probe failed.
    fn suspect(&mut self, host: &HostName, now: Instant) {
        let Some(known) = self.members.get(host) else { return };
        let suspected_by = Some(self.own.host.clone());
        let update = Member { state: MemberState::Suspect, suspected_by, ..known.member.clone() };
        match known.member.state {
            MemberState::Alive => self.insert(update, now),
            MemberState::Suspect => self.confirm_suspicion(update),
            MemberState::Dead | MemberState::Left => {}
        }
    }

    /// Records one more host that suspects independently, and gossips its suspicion.
    fn confirm_suspicion(&mut self, update: Member) {
        let Some(known) = self.members.get_mut(&update.host) else { return };
        let Some(suspected_by) = &update.suspected_by else { return };
        let confirmed = known.suspecting_hosts.len() > self.settings.confirmations;
        let still_suspect = known.member.state == MemberState::Suspect
            && known.member.incarnation == update.incarnation;
        if !still_suspect || confirmed || known.suspecting_hosts.contains(suspected_by) {
            return;
        }
        known.suspecting_hosts.push(suspected_by.clone());
        self.update_queue.push(update);
    }

    /// Declares suspects dead whose suspicion timeout has passed, and removes dead and departed
    /// hosts after their retention. The timeout shrinks as more hosts suspect independently.
    fn expire_suspicions(&mut self, now: Instant) {
        let expired: Vec<Member> = self
            .members
            .values()
            .filter(|known| known.member.state == MemberState::Suspect)
            .filter(|known| {
                let timeout = self.suspicion_timeout(known.suspecting_hosts.len());
                now.saturating_duration_since(known.changed_at) >= timeout
            })
            .map(|known| Member {
                state: MemberState::Dead,
                suspected_by: None,
                ..known.member.clone()
            })
            .collect();
        for dead in expired {
            self.evictions += 1;
            self.insert(dead, now);
        }
        let retention = self.settings.dead_retention;
        self.members.retain(|_, known| {
            let dead_or_left = known.member.state >= MemberState::Dead;
            !dead_or_left || now.saturating_duration_since(known.changed_at) < retention
        });
    }

    fn suspicion_timeout(&self, suspecting_hosts: usize) -> Duration {
        let confirmed = suspecting_hosts.saturating_sub(1).min(self.settings.confirmations) as f64;
        let fraction = confirmed / self.settings.confirmations.max(1) as f64;
        let span = self.settings.suspicion_max.saturating_sub(self.settings.suspicion_min);
        self.settings.suspicion_max - span.mul_f64(fraction)
    }

    /// Synchronises the view with another host, and regularly with one that is considered dead.
    fn start_sync(&mut self, out: &mut Vec<Outgoing>) {
        self.syncs += 1;
        let sync_dead = self.syncs.is_multiple_of(SYNC_DEAD_EVERY);
        let is_candidate = |known: &&KnownMember| {
            let is_dead = known.member.state == MemberState::Dead;
            let is_live = known.member.state <= MemberState::Suspect;
            if sync_dead { is_dead } else { is_live }
        };
        let mut candidates: Vec<Member> =
            self.members.values().filter(is_candidate).map(|known| known.member.clone()).collect();
        let is_near = |member: &Member| member.region == self.own.region;
        if !self.syncs.is_multiple_of(SYNC_ANY_REGION_EVERY) && candidates.iter().any(is_near) {
            candidates.retain(is_near);
        }
        let Some(target) = candidates.choose(&mut self.rng).cloned() else { return };
        let digest = self.view_digest();
        // The target needs the record about itself to refute it.
        out.push(self.message(target.addr, MessageKind::SyncRequest(digest), vec![target]));
    }

    /// Returns a digest of the view that is equal for equal views.
    pub fn view_digest(&self) -> u64 {
        let mut all: Vec<&Member> = self.members.values().map(|known| &known.member).collect();
        all.push(&self.own);
        all.sort_unstable_by(|a, b| a.host.cmp(&b.host));
        let mut hasher = DefaultHasher::new();
        for member in all {
            (&member.host, member.incarnation, member.state).hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Processes a message; replies are added to `out`.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        message: &Message,
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) {
        self.apply_update(&message.sender, now);
        if let Some(known) = self.members.get_mut(&message.sender.host) {
            known.config_version = known.config_version.max(message.config_version);
            if known.member.state != MemberState::Alive
                && message.sender.state == MemberState::Alive
            {
                // The sender is alive and can refute only after it receives the record about itself.
                let update = known.member.clone();
                out.push(self.message(from, MessageKind::Updates, vec![update]));
            }
        }
        for update in &message.updates {
            self.apply_update(update, now);
        }
        match message.kind {
            MessageKind::Ping(id) => out.push(self.gossip(from, MessageKind::Ack(id))),
            MessageKind::Ack(id) => self.handle_ack(id, out),
            MessageKind::PingRequest(id, target) => self.relay_probe(id, target, from, now, out),
            MessageKind::SyncRequest(digest) => self.handle_sync_request(digest, from, out),
            MessageKind::Updates => {}
        }
    }

    fn handle_ack(&mut self, id: ProbeId, out: &mut Vec<Outgoing>) {
        if self.probe.take_if(|probe| probe.id == id).is_some() {
            self.health_score = self.health_score.saturating_sub(1);
            return;
        }
        let Some(ix) = self.relayed.iter().position(|relayed| relayed.id == id) else { return };
        let relayed = self.relayed.swap_remove(ix);
        out.push(self.gossip(relayed.reply_to, MessageKind::Ack(relayed.request_id)));
    }

    fn relay_probe(
        &mut self,
        request_id: ProbeId,
        target: SocketAddr,
        reply_to: SocketAddr,
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) {
        if self.relayed.len() >= MAX_RELAYED_PROBES {
            return;
        }
        let id = ProbeId(self.rng.random());
        let deadline = now + self.settings.remote_probe_timeout * 2;
        self.relayed.push(RelayedProbe { id, request_id, reply_to, deadline });
        out.push(self.gossip(target, MessageKind::Ping(id)));
    }

    /// Sends the whole view to a host whose view differs.
    fn handle_sync_request(&mut self, digest: u64, from: SocketAddr, out: &mut Vec<Outgoing>) {
        if digest == self.view_digest() {
            return;
        }
        let all: Vec<Member> = self.members.values().map(|known| known.member.clone()).collect();
        for chunk in all.chunks(self.settings.updates_per_message) {
            out.push(self.message(from, MessageKind::Updates, chunk.to_vec()));
        }
    }

    /// Applies a membership update received from another host.
    fn apply_update(&mut self, update: &Member, now: Instant) {
        if update.host == self.own.host {
            return self.refute(update);
        }
        let Some(known) = self.members.get(&update.host) else {
            if update.state <= MemberState::Suspect {
                self.insert(update.clone(), now);
            }
            return;
        };
        if update.supersedes(&known.member) {
            self.insert(update.clone(), now);
        } else if update.state == MemberState::Suspect {
            self.confirm_suspicion(update.clone());
        }
    }

    /// Raises the own incarnation when an update contradicts that this host is alive or carries a
    /// larger incarnation.
    fn refute(&mut self, update: &Member) {
        let leaving = self.own.state == MemberState::Left;
        let worse = update.state != MemberState::Alive;
        let stale = update.incarnation < self.own.incarnation;
        if leaving || stale || (!worse && update.incarnation == self.own.incarnation) {
            return;
        }
        self.own.incarnation = update.incarnation.next();
        self.update_queue.push(self.own.clone());
    }

    /// Schedules a host that another one suspects as the next to probe, so that the suspicion is
    /// confirmed or refuted soon. The mean number of hosts that do so is independent of the number
    /// of hosts.
    fn schedule_confirming_probe(&mut self, member: &Member) {
        let own = Some(&self.own.host);
        if member.state != MemberState::Suspect || member.suspected_by.as_ref() == own {
            return;
        }
        let chance = CONFIRMING_HOSTS / (self.members.len() as f64 + 1.0);
        if self.rng.random_bool(chance.min(1.0)) {
            let remote = member.region != self.own.region;
            let order = if remote { &mut self.remote_probe_order } else { &mut self.probe_order };
            order.push(member.host.clone());
        }
    }

    fn insert(&mut self, member: Member, now: Instant) {
        self.revision += 1;
        if self.members.is_empty() {
            self.sync_delay = FIRST_SYNC_DELAY.min(self.settings.sync_interval);
            self.next_sync_at = self.next_sync_at.min(now + self.sync_delay);
        }
        self.update_queue.push(member.clone());
        let known = self.members.get(&member.host);
        let config_version = known.map_or(ConfigVersion(0), |known| known.config_version);
        let host = member.host.clone();
        self.schedule_confirming_probe(&member);
        let suspecting_hosts = member.suspected_by.iter().cloned().collect();
        let known = KnownMember { member, changed_at: now, suspecting_hosts, config_version };
        self.members.insert(host, known);
    }
}
