//! State that hosts exchange by gossip: membership, versions of the object set and crash counts of
//! fingerprints. Does no I/O.

use std::net::SocketAddr;
use std::time::Instant;

use camphorloft_decide::poison::CrashCount;
use camphorloft_membership::Member;
use camphorloft_membership::member::KnownMember;
use camphorloft_peer::link::{Datagram, Link, LinkConfig, LinkCounts, Received};
use camphorloft_peer::wire::{WireAnnouncement, WireCrashCount, WireDatagram, WirePlacement};
use camphorloft_platform::publication::{PublishedDelta, VersionedSet};
use camphorloft_types::prelude::*;

use crate::config_state::{ApplyOutcome, ConfigState};

/// Number of hosts to which each host that receives a new version announces it.
const ANNOUNCE_FANOUT: usize = 4;
/// Largest delta that is sent within a datagram, in bytes.
const MAX_INLINE_DELTA: usize = 1000;
/// Number of other live hosts up to which placements are announced to all of them.
pub const MAX_PLACEMENT_RECIPIENTS: usize = 15;
/// Maximum number of placements in one datagram.
const PLACEMENTS_PER_DATAGRAM: usize = 64;

/// An event received from another host.
#[derive(Debug)]
pub enum ControlEvent {
    /// A version came into force.
    InForce(std::sync::Arc<camphorloft_gateway::control::ServingSet>),
    /// A host has a version that must be fetched from it.
    Fetch(SocketAddr, ConfigVersion),
    /// Another host reported the crash count of a fingerprint.
    CrashCount(CrashCount),
    /// Another host announced placements.
    Placements(Vec<WirePlacement>),
}

/// The gossip protocol of a host.
pub struct ControlPlane {
    link: Link,
    config: ConfigState,
}

/// Inputs to [`ControlPlane::new`].
pub struct ControlSetup {
    /// The link to the other hosts.
    pub link: LinkConfig,
    /// The version in force.
    pub config: ConfigState,
}

impl ControlPlane {
    /// Builds a control plane that knows no other host.
    pub fn new(setup: ControlSetup, now: Instant) -> Self {
        Self { link: Link::new(setup.link, now), config: setup.config }
    }

    /// Returns the counts of datagrams.
    pub fn counts(&self) -> LinkCounts {
        self.link.counts()
    }

    /// Returns the other hosts.
    pub fn members(&self) -> impl Iterator<Item = &KnownMember> {
        self.link.membership().members()
    }

    /// Returns the other hosts that are neither dead nor have left.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.link.membership().live()
    }

    /// Returns the version in force on this host.
    pub fn config_version(&self) -> ConfigVersion {
        self.config.version()
    }

    /// Returns this host as others see it.
    pub fn own(&self) -> &Member {
        self.link.membership().own()
    }

    /// Returns the number of hosts that this host declared dead.
    pub fn evictions(&self) -> u64 {
        self.link.membership().evictions()
    }

    /// Adds a host from the platform's host list.
    pub fn add_seed(&mut self, seed: Member, now: Instant) {
        self.link.membership_mut().add_seed(seed, now);
    }

    /// Requests a membership sync from hosts of which only the address is known.
    pub fn request_sync(&mut self, addresses: &[SocketAddr], out: &mut Vec<Datagram>) {
        self.link.request_sync(addresses, out);
    }

    /// Announces to other hosts that this one leaves.
    pub fn leave(&mut self, out: &mut Vec<Datagram>) {
        self.link.leave(out);
    }

    /// Advances the protocol timers.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Datagram>) {
        self.link.set_config_version(self.config.version());
        self.link.tick(now, out);
    }

    /// Announces placements to all other live hosts while there are at most
    /// [`MAX_PLACEMENT_RECIPIENTS`] of them. In a larger system this traffic would exceed a host's
    /// budget for control traffic, so hosts estimate each other's placements instead.
    pub fn announce_placements(&mut self, placements: &[WirePlacement], out: &mut Vec<Datagram>) {
        let live: Vec<SocketAddr> = self.live().map(|member| member.addr).collect();
        if live.len() > MAX_PLACEMENT_RECIPIENTS {
            return;
        }
        for to in live {
            for part in placements.chunks(PLACEMENTS_PER_DATAGRAM) {
                let datagram =
                    WireDatagram { placements: part.to_vec(), ..self.link.empty_datagram() };
                self.link.send(to, datagram, out);
            }
        }
    }

    /// Gossips the crash count of a fingerprint that this host recorded.
    pub fn gossip_crash_count(&mut self, crash_count: CrashCount, out: &mut Vec<Datagram>) {
        let crashes = u32::from(crash_count.crashes);
        self.link.gossip_crash_count(
            WireCrashCount { fingerprint: crash_count.fingerprint, crashes },
            out,
        );
    }

    /// Announces a version that came into force on this host, with its delta if that is small.
    pub fn announce(
        &mut self,
        version: ConfigVersion,
        delta: Option<&PublishedDelta>,
        out: &mut Vec<Datagram>,
    ) {
        self.link.set_config_version(version);
        let encoded = delta.and_then(|delta| serde_json::to_vec(delta).ok());
        let small = encoded.filter(|bytes| bytes.len() <= MAX_INLINE_DELTA);
        let announcement =
            WireAnnouncement { version: version.0, delta: small.unwrap_or_default() };
        for target in self.link.membership_mut().random_live(ANNOUNCE_FANOUT) {
            let announcement = Some(announcement.clone());
            let datagram = WireDatagram { announcement, ..self.link.empty_datagram() };
            self.link.send(target.addr, datagram, out);
        }
    }

    /// Handles a received datagram.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        frame: &[u8],
        now: Instant,
        out: &mut Vec<Datagram>,
        events: &mut Vec<ControlEvent>,
    ) {
        // The link counts the datagrams that it drops.
        let Ok(Received { message, datagram }) = self.link.receive(from, frame, now, out) else {
            return;
        };
        for crash_count in &datagram.blames {
            self.receive_crash_count(*crash_count, events);
        }
        if !datagram.placements.is_empty() {
            events.push(ControlEvent::Placements(datagram.placements.clone()));
        }
        match &datagram.announcement {
            Some(announcement) => self.receive_announcement(from, announcement, out, events),
            None if message.config_version > self.config.version() => {
                events.push(ControlEvent::Fetch(from, message.config_version));
            }
            None => {}
        }
    }

    fn receive_crash_count(&mut self, wire: WireCrashCount, events: &mut Vec<ControlEvent>) {
        let crashes = u8::try_from(wire.crashes).unwrap_or(u8::MAX);
        let crash_count = CrashCount { fingerprint: wire.fingerprint, crashes };
        events.push(ControlEvent::CrashCount(crash_count));
    }

    /// Applies an announced delta if it directly follows the version in force; otherwise requests a
    /// fetch of the whole set.
    fn receive_announcement(
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
        if let ApplyOutcome::InForce(serving) = self.config.apply(VersionedSet { version, set }) {
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
