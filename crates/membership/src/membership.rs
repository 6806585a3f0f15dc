//! The context that owns the view.

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
use crate::rumor_queue::RumorQueue;
use crate::settings::MembershipSettings;

/// Probes made for other hosts at a time.
const MAX_RELAYED: usize = 256;
/// One comparison of views in this many goes to a host that is taken for dead, so that regions
/// that lost each other join again.
const SYNC_DEAD_EVERY: u64 = 3;
/// Hosts that are told of news at once, by each host that hears of it.
const NEWS_FANOUT: usize = 3;
/// Hosts that probe a suspected one out of turn, on average.
const CONFIRMING_HOSTS: f64 = 6.0;
/// Largest factor of the probe timeouts while this host's own probes fail.
const MAX_HEALTH_FACTOR: u32 = 2;

/// The view of one host.
pub struct Membership {
    settings: MembershipSettings,
    own: Member,
    config_version: ConfigVersion,
    members: BTreeMap<HostName, KnownMember>,
    rumors: RumorQueue,
    probe: Option<Probe>,
    relayed: Vec<RelayedProbe>,
    order: Vec<HostName>,
    remote_order: Vec<HostName>,
    next_probe_at: Instant,
    next_sync_at: Instant,
    probes: u64,
    syncs: u64,
    /// Raised when probes of this host fail, lowered when they succeed.
    health: u32,
    evictions: u64,
    rng: Pcg64Mcg,
}

impl Membership {
    /// Builds a view that knows only its own host.
    pub fn new(own: Member, settings: MembershipSettings, seed: u64, now: Instant) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let offset = settings.probe_interval.mul_f64(rng.random());
        Self {
            settings,
            own,
            config_version: ConfigVersion(0),
            members: BTreeMap::new(),
            rumors: RumorQueue::default(),
            probe: None,
            relayed: Vec::new(),
            order: Vec::new(),
            remote_order: Vec::new(),
            next_probe_at: now + offset,
            next_sync_at: now + offset,
            probes: 0,
            syncs: 0,
            health: 0,
            evictions: 0,
            rng,
        }
    }

    /// Returns this host as others see it.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Sets the version that this host tells others to have.
    pub fn set_config_version(&mut self, version: ConfigVersion) {
        self.config_version = version;
    }

    /// Returns the other hosts.
    pub fn members(&self) -> impl Iterator<Item = &KnownMember> {
        self.members.values()
    }

    /// Returns the other hosts that are not dead and did not leave.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        let live = |known: &&KnownMember| known.member.state <= MemberState::Suspect;
        self.members.values().filter(live).map(|known| &known.member)
    }

    /// Returns the number of hosts that this host declared dead.
    pub fn evictions(&self) -> u64 {
        self.evictions
    }

    /// Adds a host of the platform's list. A host that is known already stays as it is, since the
    /// list lags.
    pub fn add_seed(&mut self, seed: Member, now: Instant) {
        if seed.host != self.own.host && !self.members.contains_key(&seed.host) {
            let first = self.members.is_empty();
            self.insert(Member { incarnation: Incarnation(0), ..seed }, now);
            if first {
                self.next_sync_at = now;
            }
        }
    }

    /// Asks a host of which only the address is known for its view.
    pub fn ask_address(&mut self, addr: SocketAddr, out: &mut Vec<Outgoing>) {
        let digest = self.view_digest();
        out.push(self.message(addr, MessageKind::SyncRequest(digest), Vec::new()));
    }

    /// Returns up to `count` live hosts, drawn at random.
    pub fn random_live(&mut self, count: usize) -> Vec<Member> {
        let live: Vec<Member> = self.live().cloned().collect();
        live.choose_multiple(&mut self.rng, count).cloned().collect()
    }

    /// Leaves: tells a few hosts, which spread it.
    pub fn leave(&mut self, out: &mut Vec<Outgoing>) {
        const TOLD: usize = 8;
        self.own.state = MemberState::Left;
        for target in self.random_live(TOLD) {
            let own = self.own.clone();
            out.push(self.message(target.addr, MessageKind::Updates, vec![own]));
        }
    }

    /// Lets the protocol act on the passage of time. To be called every 50 to 100 milliseconds.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        self.advance_probe(now, out);
        self.expire_suspicions(now);
        self.relayed.retain(|relayed| now < relayed.deadline);
        self.spread_news(out);
        if now >= self.next_probe_at && self.probe.is_none() {
            self.next_probe_at = now + self.settings.probe_interval;
            self.warn_suspects(out);
            self.start_probe(now, out);
        }
        if now >= self.next_sync_at {
            let jitter = self.rng.random_range(0.75..1.25);
            self.next_sync_at = now + self.settings.sync_interval.mul_f64(jitter);
            self.start_sync(out);
        }
    }

    /// Tells a few hosts at once of what is new. Without this, news would travel one hop for each
    /// probe, and a refutation could arrive too late.
    fn spread_news(&mut self, out: &mut Vec<Outgoing>) {
        if !self.rumors.has_unsent() {
            return;
        }
        for target in self.random_live(NEWS_FANOUT) {
            out.push(self.gossip(target.addr, MessageKind::Updates));
        }
    }

    /// Tells the hosts that this one suspects of it, so that they can refute even when the gossip
    /// about them is lost.
    fn warn_suspects(&mut self, out: &mut Vec<Outgoing>) {
        let own = &self.own.host;
        let suspected = self.members.values().filter(|known| {
            known.member.state == MemberState::Suspect && known.suspected_by.contains(own)
        });
        let statements: Vec<Member> = suspected.map(|known| known.member.clone()).collect();
        for statement in statements {
            out.push(self.message(statement.addr, MessageKind::Updates, vec![statement]));
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
        let limit = self.settings.spread_factor * hosts.ilog2().max(1);
        let updates = self.rumors.take(self.settings.updates_per_message, limit);
        self.message(to, kind, updates)
    }

    fn timeout(&self, target: &Member) -> Duration {
        let remote = target.region != self.own.region;
        let base =
            if remote { self.settings.remote_probe_timeout } else { self.settings.probe_timeout };
        base * (1 + self.health)
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

    /// Returns the next host to probe: each one once per round, in random order, mostly within
    /// the region.
    fn next_target(&mut self) -> Option<HostName> {
        let remote = self.probes.is_multiple_of(self.settings.remote_probe_every);
        if remote && let Some(target) = self.pop_target(true) {
            return Some(target);
        }
        self.pop_target(false).or_else(|| self.pop_target(true))
    }

    fn pop_target(&mut self, remote: bool) -> Option<HostName> {
        for refilled in [false, true] {
            if refilled {
                self.refill_order(remote);
            }
            let order = if remote { &mut self.remote_order } else { &mut self.order };
            while let Some(host) = order.pop() {
                let known = self.members.get(&host);
                if known.is_some_and(|known| known.member.state <= MemberState::Suspect) {
                    return Some(host);
                }
            }
        }
        None
    }

    fn refill_order(&mut self, remote: bool) {
        let own_region = self.own.region.clone();
        let live = self.live().filter(|member| (member.region != own_region) == remote);
        let mut order: Vec<HostName> = live.map(|member| member.host.clone()).collect();
        order.shuffle(&mut self.rng);
        if remote {
            self.remote_order = order;
        } else {
            self.order = order;
        }
    }

    fn advance_probe(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        let Some(probe) = self.probe.take_if(|probe| now >= probe.deadline) else { return };
        match probe.stage {
            ProbeStage::Direct => self.probe_indirectly(probe, now, out),
            ProbeStage::Indirect => {
                self.health = (self.health + 1).min(MAX_HEALTH_FACTOR - 1);
                self.suspect(&probe.target, now);
            }
        }
    }

    /// Asks hosts of the target's region and of this one, so that one broken link between two
    /// hosts does not look like a dead host.
    fn probe_indirectly(&mut self, probe: Probe, now: Instant, out: &mut Vec<Outgoing>) {
        let Some(known) = self.members.get(&probe.target) else { return };
        let target = known.member.clone();
        let helpers = self.helpers(&target);
        // The second ping of this host counts as well: one lost datagram is no failure.
        out.push(self.gossip(target.addr, MessageKind::Ping(probe.id)));
        for helper in helpers {
            out.push(self.gossip(helper, MessageKind::PingRequest(probe.id, target.addr)));
        }
        let deadline = now + self.timeout(&target) * 2;
        self.probe = Some(Probe { stage: ProbeStage::Indirect, deadline, ..probe });
    }

    fn helpers(&mut self, target: &Member) -> Vec<SocketAddr> {
        let alive =
            |member: &&Member| member.state == MemberState::Alive && member.host != target.host;
        let mut near: Vec<SocketAddr> = Vec::new();
        let mut other: Vec<SocketAddr> = Vec::new();
        for member in self.live().filter(alive) {
            let side = if member.region == target.region { &mut near } else { &mut other };
            side.push(member.addr);
        }
        near.shuffle(&mut self.rng);
        other.shuffle(&mut self.rng);
        near.into_iter().chain(other).take(self.settings.indirect_probes).collect()
    }

    /// Suspects a host after an own probe failed.
    fn suspect(&mut self, host: &HostName, now: Instant) {
        let Some(known) = self.members.get(host) else { return };
        let accuser = Some(self.own.host.clone());
        let update = Member { state: MemberState::Suspect, accuser, ..known.member.clone() };
        match known.member.state {
            MemberState::Alive => self.insert(update, now),
            MemberState::Suspect => self.confirm(update),
            MemberState::Dead | MemberState::Left => {}
        }
    }

    /// Counts one more host that suspects independently, and spreads it.
    fn confirm(&mut self, update: Member) {
        let Some(known) = self.members.get_mut(&update.host) else { return };
        let Some(accuser) = &update.accuser else { return };
        let enough = known.suspected_by.len() > self.settings.confirmations;
        let same = known.member.state == MemberState::Suspect
            && known.member.incarnation == update.incarnation;
        if !same || enough || known.suspected_by.contains(accuser) {
            return;
        }
        known.suspected_by.push(accuser.clone());
        self.rumors.push(update);
    }

    /// Declares suspects dead that did not refute in time. The time shrinks as more hosts suspect
    /// independently.
    fn expire_suspicions(&mut self, now: Instant) {
        let expired: Vec<Member> = self
            .members
            .values()
            .filter(|known| known.member.state == MemberState::Suspect)
            .filter(|known| {
                let allowed = self.suspicion_time(known.suspected_by.len());
                now.saturating_duration_since(known.changed_at) >= allowed
            })
            .map(|known| Member { state: MemberState::Dead, accuser: None, ..known.member.clone() })
            .collect();
        for dead in expired {
            self.evictions += 1;
            self.insert(dead, now);
        }
        let forget = self.settings.forget_after;
        self.members.retain(|_, known| {
            let gone = known.member.state >= MemberState::Dead;
            !gone || now.saturating_duration_since(known.changed_at) < forget
        });
    }

    fn suspicion_time(&self, suspecting: usize) -> Duration {
        let confirmed = suspecting.saturating_sub(1).min(self.settings.confirmations) as f64;
        let part = confirmed / self.settings.confirmations.max(1) as f64;
        let span = self.settings.suspicion_max.saturating_sub(self.settings.suspicion_min);
        self.settings.suspicion_max - span.mul_f64(part)
    }

    /// Compares views with another host; now and then with one that is taken for dead.
    fn start_sync(&mut self, out: &mut Vec<Outgoing>) {
        self.syncs += 1;
        let dead = self.syncs.is_multiple_of(SYNC_DEAD_EVERY);
        let wanted = |known: &&KnownMember| {
            let is_dead = known.member.state == MemberState::Dead;
            let is_live = known.member.state <= MemberState::Suspect;
            if dead { is_dead } else { is_live }
        };
        let candidates: Vec<Member> =
            self.members.values().filter(wanted).map(|known| known.member.clone()).collect();
        let Some(target) = candidates.choose(&mut self.rng).cloned() else { return };
        let digest = self.view_digest();
        // The statement about the target itself lets it refute.
        out.push(self.message(target.addr, MessageKind::SyncRequest(digest), vec![target]));
    }

    /// Digests the view, equal for equal views.
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

    /// Takes a message.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        message: &Message,
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) {
        self.take_update(&message.sender, now);
        if let Some(known) = self.members.get_mut(&message.sender.host) {
            known.config_version = known.config_version.max(message.config_version);
            if known.member.state != MemberState::Alive
                && message.sender.state == MemberState::Alive
            {
                // The sender lives and must learn what is said of it to refute.
                let statement = known.member.clone();
                out.push(self.message(from, MessageKind::Updates, vec![statement]));
            }
        }
        for update in &message.updates {
            self.take_update(update, now);
        }
        match message.kind {
            MessageKind::Ping(id) => out.push(self.gossip(from, MessageKind::Ack(id))),
            MessageKind::Ack(id) => self.take_ack(id, out),
            MessageKind::PingRequest(id, target) => self.relay_probe(id, target, from, now, out),
            MessageKind::SyncRequest(digest) => self.answer_sync(digest, from, out),
            MessageKind::Updates => {}
        }
    }

    fn take_ack(&mut self, id: ProbeId, out: &mut Vec<Outgoing>) {
        if self.probe.take_if(|probe| probe.id == id).is_some() {
            self.health = self.health.saturating_sub(1);
            return;
        }
        let Some(ix) = self.relayed.iter().position(|relayed| relayed.id == id) else { return };
        let relayed = self.relayed.swap_remove(ix);
        out.push(self.gossip(relayed.asked_by, MessageKind::Ack(relayed.asked_id)));
    }

    fn relay_probe(
        &mut self,
        asked_id: ProbeId,
        target: SocketAddr,
        asked_by: SocketAddr,
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) {
        if self.relayed.len() >= MAX_RELAYED {
            return;
        }
        let id = ProbeId(self.rng.random());
        let deadline = now + self.settings.remote_probe_timeout * 2;
        self.relayed.push(RelayedProbe { id, asked_id, asked_by, deadline });
        out.push(self.gossip(target, MessageKind::Ping(id)));
    }

    /// Sends the whole view to a host whose view differs, and asks for its view in turn.
    fn answer_sync(&mut self, digest: u64, from: SocketAddr, out: &mut Vec<Outgoing>) {
        if digest == self.view_digest() {
            return;
        }
        let all: Vec<Member> = self.members.values().map(|known| known.member.clone()).collect();
        for part in all.chunks(self.settings.updates_per_message) {
            out.push(self.message(from, MessageKind::Updates, part.to_vec()));
        }
    }

    /// Takes a statement about a host, said by another.
    fn take_update(&mut self, update: &Member, now: Instant) {
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
            self.confirm(update.clone());
        }
    }

    /// Raises the own incarnation when another host says something worse about this one.
    fn refute(&mut self, update: &Member) {
        let leaving = self.own.state == MemberState::Left;
        let worse = update.state != MemberState::Alive;
        let stale = update.incarnation < self.own.incarnation;
        if leaving || stale || (!worse && update.incarnation == self.own.incarnation) {
            return;
        }
        self.own.incarnation = update.incarnation.next();
        self.rumors.push(self.own.clone());
    }

    /// Probes a host next that another one suspects, so that the suspicion is confirmed or refuted
    /// soon. Only a few hosts do, whatever their number.
    fn consider_probing(&mut self, member: &Member) {
        let own = Some(&self.own.host);
        if member.state != MemberState::Suspect || member.accuser.as_ref() == own {
            return;
        }
        let chance = CONFIRMING_HOSTS / (self.members.len() as f64 + 1.0);
        if self.rng.random_bool(chance.min(1.0)) {
            let remote = member.region != self.own.region;
            let order = if remote { &mut self.remote_order } else { &mut self.order };
            order.push(member.host.clone());
        }
    }

    fn insert(&mut self, member: Member, now: Instant) {
        self.rumors.push(member.clone());
        let known = self.members.get(&member.host);
        let config_version = known.map_or(ConfigVersion(0), |known| known.config_version);
        let host = member.host.clone();
        self.consider_probing(&member);
        let suspected_by = member.accuser.iter().cloned().collect();
        let known = KnownMember { member, changed_at: now, suspected_by, config_version };
        self.members.insert(host, known);
    }
}
