//! Datagram protocol between one host and its peers: carries membership, crash counts and the other
//! contents of [`WireDatagram`]. Does no I/O.

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
use crate::wire::{WireCrashCount, WireDatagram};

/// Maximum number of crash counts in one datagram.
const CRASH_COUNTS_PER_DATAGRAM: usize = 4;
/// Number of datagrams in which each crash count is sent.
const CRASH_COUNT_SENDS: u32 = 24;
/// Number of hosts to which a new crash count is sent immediately.
const CRASH_COUNT_FANOUT: usize = 8;

/// A sealed datagram with its destination.
#[derive(Clone, Debug)]
pub struct Datagram {
    /// Destination.
    pub to: SocketAddr,
    /// Sealed frame, shared by all destinations of a broadcast.
    pub frame: Bytes,
}

/// A received datagram that is authentic and not replayed.
#[derive(Clone, Debug)]
pub struct Received {
    /// Membership message, with its sender.
    pub message: Message,
    /// The whole datagram.
    pub datagram: WireDatagram,
}

/// Traffic counters since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkCounts {
    /// Sealed bytes sent.
    pub bytes_out: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent to other regions.
    pub remote_bytes_out: u64,
    /// Received datagrams dropped as malformed, not authentic or replayed.
    pub dropped: u64,
}

/// Configuration of a [`Link`].
#[derive(Clone)]
pub struct LinkConfig {
    /// Membership record of this host.
    pub own: Member,
    /// Intervals and limits of the membership protocol.
    pub membership: MembershipSettings,
    /// Keys derived from the shared secrets.
    pub keys: FrameKeys,
    /// Start time of the process, in milliseconds since the epoch. Must be larger than that of every
    /// earlier process of this host.
    pub started_ms: u64,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Protocol state that one host keeps for the exchange with its peers.
pub struct Link {
    membership: Membership,
    keys: FrameKeys,
    replay: ReplayGuard,
    started_ms: u64,
    sequence: u64,
    config_version: ConfigVersion,
    crash_counts: Vec<(WireCrashCount, u32)>,
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
    /// Creates a link that knows no other host.
    pub fn new(config: LinkConfig, now: Instant) -> Self {
        Self {
            membership: Membership::new(config.own, config.membership, config.seed, now),
            keys: config.keys,
            replay: ReplayGuard::default(),
            started_ms: config.started_ms,
            sequence: 0,
            config_version: ConfigVersion(0),
            crash_counts: Vec::new(),
            outgoing: Vec::new(),
            counts: LinkCounts::default(),
        }
    }

    /// Returns the membership view.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the membership view, mutable.
    pub fn membership_mut(&mut self) -> &mut Membership {
        &mut self.membership
    }

    /// Returns the keys that authenticate frames.
    pub fn keys(&self) -> &FrameKeys {
        &self.keys
    }

    /// Replaces the keys that authenticate frames.
    pub fn set_keys(&mut self, keys: FrameKeys) {
        self.keys = keys;
    }

    /// Returns the traffic counters.
    pub fn counts(&self) -> LinkCounts {
        self.counts
    }

    /// Sets the version of the object set that this host reports to others.
    pub fn set_config_version(&mut self, version: ConfigVersion) {
        self.config_version = version;
        self.membership.set_config_version(version);
    }

    /// Requests the membership views of hosts of which only the address is known.
    pub fn request_sync(&mut self, addresses: &[SocketAddr], out: &mut Vec<Datagram>) {
        for addr in addresses {
            self.membership.request_sync(*addr, &mut self.outgoing);
        }
        self.flush(out);
    }

    /// Notifies other hosts that this host leaves.
    pub fn leave(&mut self, out: &mut Vec<Datagram>) {
        self.membership.leave(&mut self.outgoing);
        self.flush(out);
    }

    /// Runs the timers of the membership protocol.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Datagram>) {
        self.membership.tick(now, &mut self.outgoing);
        self.flush(out);
    }

    /// Gossips a crash count that this host recorded. A few hosts receive it immediately, because the
    /// client may repeat its request immediately; further datagrams carry it to the others.
    pub fn gossip_crash_count(&mut self, crash_count: WireCrashCount, out: &mut Vec<Datagram>) {
        self.crash_counts.retain(|(known, _)| known.fingerprint != crash_count.fingerprint);
        self.crash_counts.push((crash_count, CRASH_COUNT_SENDS));
        for target in self.membership.random_live(CRASH_COUNT_FANOUT) {
            let datagram = self.empty_datagram();
            self.send(target.addr, datagram, out);
        }
    }

    /// Returns a datagram that contains only its sender and configuration version.
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

    /// Assigns a sequence number to a datagram for one host, seals it and adds it to `out`.
    pub fn send(&mut self, to: SocketAddr, datagram: WireDatagram, out: &mut Vec<Datagram>) {
        let frame = self.seal(datagram);
        let own_region = &self.membership.own().region;
        let remote = self.membership.live().any(|m| m.addr == to && m.region != *own_region);
        self.count_out(frame.len(), 1, usize::from(remote));
        out.push(Datagram { to, frame });
    }

    /// Assigns a sequence number to a datagram, seals it once and adds it to `out` for each
    /// recipient.
    pub fn send_to_all<'m, Recipients>(
        &mut self,
        datagram: WireDatagram,
        recipients: Recipients,
        out: &mut Vec<Datagram>,
    ) where
        Recipients: IntoIterator<Item = &'m Member>,
    {
        let mut recipients = recipients.into_iter().peekable();
        if recipients.peek().is_none() {
            return;
        }
        let frame = self.seal(datagram);
        let own_region = &self.membership.own().region;
        let before = out.len();
        let mut remote = 0;
        for member in recipients {
            remote += usize::from(member.region != *own_region);
            out.push(Datagram { to: member.addr, frame: frame.clone() });
        }
        self.count_out(frame.len(), out.len() - before, remote);
    }

    /// Assigns a sequence number to a datagram, seals it once and adds it to `out` for each live host
    /// for which `accepts` returns true.
    pub fn broadcast<Accepts>(
        &mut self,
        datagram: WireDatagram,
        accepts: Accepts,
        out: &mut Vec<Datagram>,
    ) where
        Accepts: Fn(&Member) -> bool,
    {
        let frame = self.seal(datagram);
        let own_region = &self.membership.own().region;
        let before = out.len();
        let mut remote = 0;
        for member in self.membership.live().filter(|member| accepts(member)) {
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
        datagram.blames.extend(self.take_crash_counts());
        Bytes::from(self.keys.seal(&datagram.encode_to_vec()))
    }

    fn take_crash_counts(&mut self) -> Vec<WireCrashCount> {
        let mut crash_counts = Vec::new();
        for (crash_count, sends) in self.crash_counts.iter_mut().take(CRASH_COUNTS_PER_DATAGRAM) {
            crash_counts.push(*crash_count);
            *sends -= 1;
        }
        self.crash_counts.retain(|(_, sends)| *sends > 0);
        crash_counts
    }

    /// Opens and processes a datagram. Replies of the membership protocol are added to `out`.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError`] for a frame that is malformed, not authentic or replayed.
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
