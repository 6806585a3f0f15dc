//! What hosts agree on by gossip: membership, versions of the object set, blame. Does no I/O.

use std::net::SocketAddr;
use std::time::Instant;

use camphorloft_decide::poison::Blame;
use camphorloft_membership::member::KnownMember;
use camphorloft_membership::settings::MembershipSettings;
use camphorloft_membership::{Member, Membership, Outgoing};
use camphorloft_peer::convert::{member_to_wire, message_from_wire, message_to_wire};
use camphorloft_peer::replay::ReplayGuard;
use camphorloft_peer::seal::{FrameError, FrameKeys};
use camphorloft_peer::wire::{WireAnnouncement, WireBlame, WireDatagram, WirePlacement};
use camphorloft_platform::publication::{PublishedDelta, VersionedSet};
use camphorloft_types::prelude::*;
use prost::Message as _;

use crate::config_state::{ConfigState, Offer};

/// Hosts that a new version is announced to by each host that learns it.
const ANNOUNCE_FANOUT: usize = 4;
/// Largest delta that is sent within a datagram, in bytes.
const MAX_INLINE_DELTA: usize = 1000;
/// Blame in one datagram.
const BLAMES_PER_DATAGRAM: usize = 4;
/// Datagrams that carry a piece of blame.
const BLAME_SENDS: u32 = 24;
/// Other hosts up to which placements are told.
pub const MAX_TOLD_HOSTS: usize = 15;
/// Placements in one datagram.
const PLACEMENTS_PER_DATAGRAM: usize = 64;
/// Hosts that are told of blame at once.
const BLAME_FANOUT: usize = 8;

/// A sealed datagram with its destination.
#[derive(Clone, Debug)]
pub struct Datagram {
    /// Destination.
    pub to: SocketAddr,
    /// Sealed frame.
    pub frame: Vec<u8>,
}

/// What a host learned from others.
#[derive(Debug)]
pub enum ControlEvent {
    /// A version came into force.
    InForce(std::sync::Arc<camphorloft_gateway::control::ServingSet>),
    /// A host has a version that must be fetched from it.
    Fetch(SocketAddr, ConfigVersion),
    /// Another host found blame.
    Blame(Blame),
    /// Another host made placements.
    Placements(Vec<WirePlacement>),
}

/// Datagrams counted since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControlCounts {
    /// Sealed bytes sent.
    pub bytes_out: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent to other regions.
    pub remote_bytes_out: u64,
    /// Datagrams dropped as malformed, not authentic or replayed.
    pub dropped: u64,
}

/// The part of a host that gossips.
pub struct ControlPlane {
    membership: Membership,
    config: ConfigState,
    keys: FrameKeys,
    replay: ReplayGuard,
    started_ms: u64,
    sequence: u64,
    blames: Vec<(Blame, u32)>,
    outgoing: Vec<Outgoing>,
    counts: ControlCounts,
}

/// What a control plane is built from.
pub struct ControlSetup {
    /// This host as others see it.
    pub own: Member,
    /// Intervals and limits of membership.
    pub membership: MembershipSettings,
    /// The version in force.
    pub config: ConfigState,
    /// Keys derived from the shared secrets.
    pub keys: FrameKeys,
    /// When the process started, in milliseconds since the epoch.
    pub started_ms: u64,
    /// Seed of random choices.
    pub seed: u64,
}

impl ControlPlane {
    /// Builds a control plane that knows no other host.
    pub fn new(setup: ControlSetup, now: Instant) -> Self {
        Self {
            membership: Membership::new(setup.own, setup.membership, setup.seed, now),
            config: setup.config,
            keys: setup.keys,
            replay: ReplayGuard::default(),
            started_ms: setup.started_ms,
            sequence: 0,
            blames: Vec::new(),
            outgoing: Vec::new(),
            counts: ControlCounts::default(),
        }
    }

    /// Returns the datagrams counted.
    pub fn counts(&self) -> ControlCounts {
        self.counts
    }

    /// Returns the other hosts.
    pub fn members(&self) -> impl Iterator<Item = &KnownMember> {
        self.membership.members()
    }

    /// Returns the other hosts that are not dead and did not leave.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.membership.live()
    }

    /// Returns the version in force on this host.
    pub fn config_version(&self) -> ConfigVersion {
        self.config.version()
    }

    /// Returns this host as others see it.
    pub fn own(&self) -> &Member {
        self.membership.own()
    }

    /// Returns the number of hosts that this host declared dead.
    pub fn evictions(&self) -> u64 {
        self.membership.evictions()
    }

    /// Adds a host of the platform's list.
    pub fn add_seed(&mut self, seed: Member, now: Instant) {
        self.membership.add_seed(seed, now);
    }

    /// Asks hosts of which only the address is known.
    pub fn ask_addresses(&mut self, addresses: &[SocketAddr], out: &mut Vec<Datagram>) {
        for addr in addresses {
            self.membership.ask_address(*addr, &mut self.outgoing);
        }
        self.flush(out);
    }

    /// Tells others that this host leaves.
    pub fn leave(&mut self, out: &mut Vec<Datagram>) {
        self.membership.leave(&mut self.outgoing);
        self.flush(out);
    }

    /// Lets the protocols act on the passage of time.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Datagram>) {
        self.membership.set_config_version(self.config.version());
        self.membership.tick(now, &mut self.outgoing);
        self.flush(out);
    }

    /// Tells the other hosts of placements, while they are few. In a larger system each host would
    /// spend more on this than it may on control, and guesses instead.
    pub fn announce_placements(&mut self, placements: &[WirePlacement], out: &mut Vec<Datagram>) {
        let live: Vec<SocketAddr> = self.membership.live().map(|member| member.addr).collect();
        if live.len() > MAX_TOLD_HOSTS {
            return;
        }
        for to in live {
            for part in placements.chunks(PLACEMENTS_PER_DATAGRAM) {
                let datagram = WireDatagram { placements: part.to_vec(), ..self.empty_datagram() };
                self.send(to, datagram, out);
            }
        }
    }

    /// Spreads blame that this host found: to a few hosts at once, since the caller may send its
    /// request again at once, and then on further datagrams.
    pub fn spread_blame(&mut self, blame: Blame, out: &mut Vec<Datagram>) {
        self.blames.retain(|(known, _)| known.fingerprint != blame.fingerprint);
        self.blames.push((blame, BLAME_SENDS));
        for target in self.membership.random_live(BLAME_FANOUT) {
            let datagram = self.empty_datagram();
            self.send(target.addr, datagram, out);
        }
    }

    fn empty_datagram(&self) -> WireDatagram {
        WireDatagram {
            sender: Some(member_to_wire(self.membership.own())),
            config_version: self.config.version().0,
            ..WireDatagram::default()
        }
    }

    /// Announces a version that came into force here, with its delta when it is small.
    pub fn announce(
        &mut self,
        version: ConfigVersion,
        delta: Option<&PublishedDelta>,
        out: &mut Vec<Datagram>,
    ) {
        self.membership.set_config_version(version);
        let encoded = delta.and_then(|delta| serde_json::to_vec(delta).ok());
        let small = encoded.filter(|bytes| bytes.len() <= MAX_INLINE_DELTA);
        let announcement =
            WireAnnouncement { version: version.0, delta: small.unwrap_or_default() };
        for target in self.membership.random_live(ANNOUNCE_FANOUT) {
            let announcement = Some(announcement.clone());
            let datagram = WireDatagram { announcement, ..self.empty_datagram() };
            self.send(target.addr, datagram, out);
        }
    }

    fn flush(&mut self, out: &mut Vec<Datagram>) {
        for outgoing in std::mem::take(&mut self.outgoing) {
            let datagram = message_to_wire(&outgoing.message);
            self.send(outgoing.to, datagram, out);
        }
    }

    fn send(&mut self, to: SocketAddr, mut datagram: WireDatagram, out: &mut Vec<Datagram>) {
        self.sequence += 1;
        datagram.sequence = self.sequence;
        datagram.started_ms = self.started_ms;
        datagram.blames = self.take_blames();
        let frame = self.keys.seal(&datagram.encode_to_vec());
        self.counts.bytes_out += frame.len() as u64;
        let own_region = &self.membership.own().region;
        let remote = self.membership.live().any(|m| m.addr == to && m.region != *own_region);
        if remote {
            self.counts.remote_bytes_out += frame.len() as u64;
        }
        out.push(Datagram { to, frame });
    }

    fn take_blames(&mut self) -> Vec<WireBlame> {
        let mut taken = Vec::new();
        for (blame, sends) in self.blames.iter_mut().take(BLAMES_PER_DATAGRAM) {
            let crashes = u32::from(blame.crashes);
            taken.push(WireBlame { fingerprint: blame.fingerprint, crashes });
            *sends -= 1;
        }
        self.blames.retain(|(_, sends)| *sends > 0);
        taken
    }

    /// Takes a datagram.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        frame: &[u8],
        now: Instant,
        out: &mut Vec<Datagram>,
        events: &mut Vec<ControlEvent>,
    ) {
        self.counts.bytes_in += frame.len() as u64;
        if self.receive_checked(from, frame, now, out, events).is_err() {
            self.counts.dropped += 1;
        }
    }

    fn receive_checked(
        &mut self,
        from: SocketAddr,
        frame: &[u8],
        now: Instant,
        out: &mut Vec<Datagram>,
        events: &mut Vec<ControlEvent>,
    ) -> Result<(), FrameError> {
        let payload = self.keys.open(frame)?;
        let datagram = WireDatagram::decode(payload).map_err(|_| FrameError::Malformed)?;
        let message = message_from_wire(&datagram)?;
        let sender = &message.sender.host;
        if !self.replay.accept(sender, datagram.started_ms, datagram.sequence) {
            return Err(FrameError::Replayed);
        }
        self.membership.receive(from, &message, now, &mut self.outgoing);
        self.flush(out);
        for blame in &datagram.blames {
            self.take_blame(*blame, events);
        }
        if !datagram.placements.is_empty() {
            events.push(ControlEvent::Placements(datagram.placements.clone()));
        }
        match &datagram.announcement {
            Some(announcement) => self.take_announcement(from, announcement, out, events),
            None if message.config_version > self.config.version() => {
                events.push(ControlEvent::Fetch(from, message.config_version));
            }
            None => {}
        }
        Ok(())
    }

    fn take_blame(&mut self, wire: WireBlame, events: &mut Vec<ControlEvent>) {
        let crashes = u8::try_from(wire.crashes).unwrap_or(u8::MAX);
        let blame = Blame { fingerprint: wire.fingerprint, crashes };
        events.push(ControlEvent::Blame(blame));
    }

    /// Applies an announced delta that follows the version in force; asks for the set otherwise.
    fn take_announcement(
        &mut self,
        from: SocketAddr,
        announcement: &WireAnnouncement,
        out: &mut Vec<Datagram>,
        events: &mut Vec<ControlEvent>,
    ) {
        let version = ConfigVersion(announcement.version);
        if version <= self.config.version() {
            return;
        }
        let Some(delta) = self.applicable_delta(announcement) else {
            events.push(ControlEvent::Fetch(from, version));
            return;
        };
        let set = delta.delta.apply(&self.config.raw().set);
        if set.digest() != delta.digest {
            events.push(ControlEvent::Fetch(from, version));
            return;
        }
        if let Offer::InForce(serving) = self.config.offer(VersionedSet { version, set }) {
            events.push(ControlEvent::InForce(serving));
            self.announce(version, Some(&delta), out);
        }
    }

    fn applicable_delta(&self, announcement: &WireAnnouncement) -> Option<PublishedDelta> {
        let delta: PublishedDelta = serde_json::from_slice(&announcement.delta).ok()?;
        let follows = delta.version == self.config.version().next();
        (follows && delta.version.0 == announcement.version).then_some(delta)
    }
}
