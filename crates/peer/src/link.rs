//! What one host exchanges with the others: membership, blame, and whatever else its datagrams
//! carry. Does no I/O.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use camphorloft_membership::settings::MembershipSettings;
use camphorloft_membership::{Member, Membership, Message, Outgoing};
use camphorloft_types::prelude::*;
use prost::Message as _;

use crate::convert::{member_to_wire, message_from_wire, message_to_wire};
use crate::replay::ReplayGuard;
use crate::seal::{FrameError, FrameKeys};
use crate::wire::{WireBlame, WireDatagram};

/// Blame in one datagram.
const BLAMES_PER_DATAGRAM: usize = 4;
/// Datagrams that carry a piece of blame.
const BLAME_SENDS: u32 = 24;
/// Hosts that are told of blame at once.
const BLAME_FANOUT: usize = 8;

/// A sealed datagram with its destination.
#[derive(Clone, Debug)]
pub struct Datagram {
    /// Destination.
    pub to: SocketAddr,
    /// Sealed frame, shared by all destinations of a broadcast.
    pub frame: Bytes,
}

/// A datagram that was received, authentic and new.
#[derive(Clone, Debug)]
pub struct Received {
    /// What it says of membership, with its sender.
    pub message: Message,
    /// The whole datagram.
    pub datagram: WireDatagram,
}

/// Datagrams counted since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkCounts {
    /// Sealed bytes sent.
    pub bytes_out: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent to other regions.
    pub remote_bytes_out: u64,
    /// Datagrams dropped as malformed, not authentic or replayed.
    pub dropped: u64,
}

/// What a link is built from.
#[derive(Clone)]
pub struct LinkConfig {
    /// This host as others see it.
    pub own: Member,
    /// Intervals and limits of membership.
    pub membership: MembershipSettings,
    /// Keys derived from the shared secrets.
    pub keys: FrameKeys,
    /// When the process started, in milliseconds since the epoch. Larger than for any process of
    /// this host before.
    pub started_ms: u64,
    /// Seed of random choices.
    pub seed: u64,
}

/// What one host exchanges with the others.
pub struct Link {
    membership: Membership,
    keys: FrameKeys,
    replay: ReplayGuard,
    started_ms: u64,
    sequence: u64,
    config_version: ConfigVersion,
    blames: Vec<(WireBlame, u32)>,
    outgoing: Vec<Outgoing>,
    counts: LinkCounts,
}

impl std::fmt::Debug for Link {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { started_ms, sequence, counts, .. } = self;
        f.debug_struct("Link")
            .field("started_ms", started_ms)
            .field("sequence", sequence)
            .field("counts", counts)
            .finish_non_exhaustive()
    }
}

impl Link {
    /// Builds a link that knows no other host.
    pub fn new(setup: LinkConfig, now: Instant) -> Self {
        Self {
            membership: Membership::new(setup.own, setup.membership, setup.seed, now),
            keys: setup.keys,
            replay: ReplayGuard::default(),
            started_ms: setup.started_ms,
            sequence: 0,
            config_version: ConfigVersion(0),
            blames: Vec::new(),
            outgoing: Vec::new(),
            counts: LinkCounts::default(),
        }
    }

    /// Returns the view of the other hosts.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the view of the other hosts to change it.
    pub fn membership_mut(&mut self) -> &mut Membership {
        &mut self.membership
    }

    /// Returns the keys of frames.
    pub fn keys(&self) -> &FrameKeys {
        &self.keys
    }

    /// Returns the datagrams counted.
    pub fn counts(&self) -> LinkCounts {
        self.counts
    }

    /// Sets the version that this host tells others to have.
    pub fn set_config_version(&mut self, version: ConfigVersion) {
        self.config_version = version;
        self.membership.set_config_version(version);
    }

    /// Asks hosts of which only the address is known.
    pub fn ask_addresses(&mut self, addresses: &[SocketAddr], out: &mut Vec<Datagram>) {
        for addr in addresses {
            self.membership.request_sync(*addr, &mut self.outgoing);
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
        self.membership.tick(now, &mut self.outgoing);
        self.flush(out);
    }

    /// Spreads blame that this host found: to a few hosts at once, since the caller may send its
    /// request again at once, and then on further datagrams.
    pub fn spread_blame(&mut self, blame: WireBlame, out: &mut Vec<Datagram>) {
        self.blames.retain(|(known, _)| known.fingerprint != blame.fingerprint);
        self.blames.push((blame, BLAME_SENDS));
        for target in self.membership.random_live(BLAME_FANOUT) {
            let datagram = self.empty_datagram();
            self.send(target.addr, datagram, out);
        }
    }

    /// Returns a datagram that carries nothing but its sender.
    pub fn empty_datagram(&self) -> WireDatagram {
        WireDatagram {
            sender: Some(member_to_wire(self.membership.own())),
            config_version: self.config_version.0,
            ..WireDatagram::default()
        }
    }

    fn flush(&mut self, out: &mut Vec<Datagram>) {
        for outgoing in std::mem::take(&mut self.outgoing) {
            let datagram = message_to_wire(&outgoing.message);
            self.send(outgoing.to, datagram, out);
        }
    }

    /// Numbers and seals a datagram for one host.
    pub fn send(&mut self, to: SocketAddr, datagram: WireDatagram, out: &mut Vec<Datagram>) {
        let frame = self.seal(datagram);
        let own_region = &self.membership.own().region;
        let remote = self.membership.live().any(|m| m.addr == to && m.region != *own_region);
        self.count_out(frame.len(), 1, usize::from(remote));
        out.push(Datagram { to, frame });
    }

    /// Numbers and seals a datagram once for the live hosts that `is_told` accepts, at most `most`.
    pub fn broadcast<IsTold>(
        &mut self,
        datagram: WireDatagram,
        is_told: IsTold,
        most: usize,
        out: &mut Vec<Datagram>,
    ) where
        IsTold: Fn(&Member) -> bool,
    {
        let frame = self.seal(datagram);
        let own_region = &self.membership.own().region;
        let before = out.len();
        let mut remote = 0;
        for member in self.membership.live().filter(|member| is_told(member)).take(most) {
            remote += usize::from(member.region != *own_region);
            out.push(Datagram { to: member.addr, frame: frame.clone() });
        }
        self.count_out(frame.len(), out.len() - before, remote);
    }

    fn count_out(&mut self, bytes: usize, datagrams: usize, remote: usize) {
        self.counts.bytes_out += (bytes * datagrams) as u64;
        self.counts.remote_bytes_out += (bytes * remote) as u64;
    }

    fn seal(&mut self, mut datagram: WireDatagram) -> Bytes {
        self.sequence += 1;
        datagram.sequence = self.sequence;
        datagram.started_ms = self.started_ms;
        datagram.blames = self.take_blames();
        Bytes::from(self.keys.seal(&datagram.encode_to_vec()))
    }

    fn take_blames(&mut self) -> Vec<WireBlame> {
        let mut taken = Vec::new();
        for (blame, sends) in self.blames.iter_mut().take(BLAMES_PER_DATAGRAM) {
            taken.push(*blame);
            *sends -= 1;
        }
        self.blames.retain(|(_, sends)| *sends > 0);
        taken
    }

    /// Takes a datagram. Answers of the membership protocol go to `out`.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError`] for a frame that is malformed, not authentic or was seen before.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        frame: &[u8],
        now: Instant,
        out: &mut Vec<Datagram>,
    ) -> Result<Received, FrameError> {
        self.counts.bytes_in += frame.len() as u64;
        let received = self.open(frame).inspect_err(|_| self.counts.dropped += 1)?;
        self.membership.receive(from, &received.message, now, &mut self.outgoing);
        self.flush(out);
        Ok(received)
    }

    fn open(&mut self, frame: &[u8]) -> Result<Received, FrameError> {
        let payload = self.keys.open(frame)?;
        let datagram = WireDatagram::decode(payload).map_err(|_| FrameError::Malformed)?;
        let message = message_from_wire(&datagram)?;
        let sender = &message.sender.host;
        if !self.replay.accept(sender, datagram.started_ms, datagram.sequence) {
            return Err(FrameError::Replayed);
        }
        Ok(Received { message, datagram })
    }
}
