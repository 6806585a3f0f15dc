//! Distributes updates to all hosts of a fleet or region. Does no I/O and reads no clock.
//!
//! A small fleet is updated directly by the host that has the update. In a larger one, the host
//! sends its update to the relay of its availability zone, which forwards it to the hosts of the
//! zone, to the relays of the other zones of the region, and to one relay in each other region.
//! Relays combine updates, so the number of datagrams that a host receives does not grow with the
//! fleet, and an update crosses each link between zones or regions once.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

use camphorloft_membership::Member;
use camphorloft_types::prelude::*;

use crate::forward_scope::{ForwardScope, ForwardScopeError};
use crate::link::{Datagram, Link};
use crate::relay_table::RelayTable;
use crate::update_buffer::UpdateBuffer;
use crate::updates::Updates;
use crate::wire::WireDatagram;

/// Maximum number of other hosts that are updated directly. Relays add latency, and save little in
/// a small fleet.
pub const MAX_DIRECT_RECIPIENTS: usize = 24;

/// Number of hosts in each zone to which a new version is announced first. They fetch it and announce
/// it to their zone, so that not all hosts fetch it from the same one.
const VERSION_RELAYS: usize = 2;

/// Distributes updates to the other hosts.
#[derive(Debug, Default)]
pub struct Distribution {
    relays: RelayTable,
    /// Updates to forward to the hosts of the zone.
    to_zone: UpdateBuffer,
    /// Updates to forward to the relays of the region's other zones.
    to_region: UpdateBuffer,
    /// Updates to forward to the relays of the other regions.
    to_fleet: UpdateBuffer,
    /// Hosts whose datagrams are to be acknowledged.
    acks_due: BTreeSet<SocketAddr>,
}

impl Distribution {
    /// Distributes updates of this host. Returns immediately; [`Self::flush`] sends what is delayed.
    pub fn submit(
        &mut self,
        link: &mut Link,
        scope: ForwardScope,
        updates: Updates,
        now: Instant,
        out: &mut Vec<Datagram>,
    ) {
        if updates.is_empty() {
            return;
        }
        if is_small(link) {
            send_directly(link, scope, updates, out);
            return;
        }
        let own = link.membership().own().clone();
        let zone = link.membership().live().filter(|member| member.zone == own.zone);
        let members: Vec<&Member> = zone.chain([&own]).collect();
        let relay = self.relays.zone_relay(&own.zone, members, now).cloned();
        match relay {
            Some(relay) if relay.host != own.host => {
                self.relays.record_sent(&relay.host, now);
                for part in updates.into_datagrams() {
                    let datagram = datagram(link, scope, part);
                    link.send_to_all(datagram, [&relay], out);
                }
            }
            _ => self.buffer(&own.host, scope, updates, now),
        }
    }

    /// Sends updates directly to the hosts of a region in a large fleet, where the delay of a relay
    /// would be too long.
    pub fn submit_to_region(
        &mut self,
        link: &mut Link,
        region: &Region,
        updates: Updates,
        out: &mut Vec<Datagram>,
    ) {
        if is_small(link) {
            return;
        }
        let datagram = datagram(link, ForwardScope::None, updates);
        link.broadcast(datagram, |member| member.region == *region, out);
    }

    /// Announces the configuration version of this host. `is_source` is true if it read the version
    /// from the registry, and false if it fetched it from another host.
    pub fn announce_version(
        &mut self,
        link: &mut Link,
        is_source: bool,
        now: Instant,
        out: &mut Vec<Datagram>,
    ) {
        let own = link.membership().own().clone();
        let datagram = link.empty_datagram();
        if is_small(link) {
            if is_source {
                link.broadcast(datagram, |_| true, out);
            }
            return;
        }
        let mut zones = group(link, |_| true, |member| &member.zone);
        let mut own_zone = zones.remove(&own.zone).unwrap_or_default();
        own_zone.push(&own);
        let is_relay = |relays: Vec<&Member>| relays.iter().any(|relay| relay.host == own.host);
        let relays = self.relays.zone_relays(&own.zone, own_zone, VERSION_RELAYS, now);
        let announces_to_zone = is_source || is_relay(relays);
        let mut recipients: Vec<Member> = Vec::new();
        if is_source {
            for (zone, members) in zones {
                let relays = self.relays.zone_relays(zone, members, VERSION_RELAYS, now);
                recipients.extend(relays.into_iter().cloned());
            }
        }
        link.send_to_all(datagram.clone(), &recipients, out);
        if announces_to_zone {
            link.broadcast(datagram, |member| member.zone == own.zone, out);
        }
    }

    /// Processes the forwarding instructions in a received datagram.
    ///
    /// # Errors
    ///
    /// Returns [`ForwardScopeError`] for an unknown scope. The datagram is then neither forwarded nor
    /// acknowledged, so that the sender selects another relay.
    pub fn receive(
        &mut self,
        sender: &Member,
        received: &WireDatagram,
        now: Instant,
    ) -> Result<(), ForwardScopeError> {
        if received.forward_ack {
            self.relays.record_ack(&sender.host);
        }
        let scope = ForwardScope::try_from(received.forward)?;
        if scope != ForwardScope::None {
            self.acks_due.insert(sender.addr);
            self.buffer(&sender.host, scope, Updates::from_datagram(received), now);
        }
        Ok(())
    }

    fn buffer(&mut self, sender: &HostName, scope: ForwardScope, updates: Updates, now: Instant) {
        if scope >= ForwardScope::Zone {
            self.to_zone.push(sender, updates.clone(), now);
        }
        if scope >= ForwardScope::Region {
            self.to_region.push(sender, updates.clone(), now);
        }
        if scope >= ForwardScope::Fleet {
            self.to_fleet.push(sender, updates, now);
        }
    }

    /// Returns when [`Self::flush`] must be called next.
    pub fn due_at(&self) -> Option<Instant> {
        [&self.to_zone, &self.to_region, &self.to_fleet].iter().filter_map(|b| b.due_at()).min()
    }

    /// Sends the updates that are due.
    pub fn flush(&mut self, link: &mut Link, now: Instant, out: &mut Vec<Datagram>) {
        if self.to_zone.is_due(now) {
            self.flush_to_zone(link, now, out);
        }
        if self.to_region.is_due(now) {
            let updates = self.to_region.take(now);
            let own = link.membership().own().clone();
            let zones = group(link, |m| m.region == own.region && m.zone != own.zone, |m| &m.zone);
            let relays = zones
                .into_iter()
                .filter_map(|(zone, members)| self.relays.zone_relay(zone, members, now).cloned());
            let relays: Vec<Member> = relays.collect();
            self.send_to_relays(link, &relays, ForwardScope::Zone, updates, now, out);
        }
        if self.to_fleet.is_due(now) {
            let updates = self.to_fleet.take(now);
            let own = link.membership().own().clone();
            let regions = group(link, |m| m.region != own.region, |m| &m.region);
            let relays = regions.into_iter().filter_map(|(region, members)| {
                self.relays.region_relay(region, members, now).cloned()
            });
            let relays: Vec<Member> = relays.collect();
            self.send_to_relays(link, &relays, ForwardScope::Region, updates, now, out);
        }
    }

    /// Sends the buffered updates to the hosts of the zone. A host that sent some of them receives
    /// only the others.
    fn flush_to_zone(&mut self, link: &mut Link, now: Instant, out: &mut Vec<Datagram>) {
        let own_zone = link.membership().own().zone.clone();
        let is_sender =
            |member: &&Member| member.zone == own_zone && self.to_zone.has_updates_of(&member.host);
        let senders: Vec<Member> = link.membership().live().filter(is_sender).cloned().collect();
        for sender in &senders {
            let updates = self.to_zone.updates_of_others(&sender.host, now);
            if !updates.is_empty() {
                for part in updates.into_datagrams() {
                    let datagram = datagram(link, ForwardScope::None, part);
                    link.send_to_all(datagram, [sender], out);
                }
            }
        }
        let updates = self.to_zone.take(now);
        let is_other = |member: &Member| {
            member.zone == own_zone && !senders.iter().any(|sender| sender.host == member.host)
        };
        for part in updates.into_datagrams() {
            let datagram = datagram(link, ForwardScope::None, part);
            link.broadcast(datagram, is_other, out);
        }
    }

    fn send_to_relays(
        &mut self,
        link: &mut Link,
        relays: &[Member],
        scope: ForwardScope,
        updates: Updates,
        now: Instant,
        out: &mut Vec<Datagram>,
    ) {
        for relay in relays {
            self.relays.record_sent(&relay.host, now);
        }
        for part in updates.into_datagrams() {
            let datagram = datagram(link, scope, part);
            link.send_to_all(datagram, relays, out);
        }
    }

    /// Sends acknowledgements and probes of excluded relays. Returns the relays that are excluded from
    /// now on because they did not acknowledge. Must be called about every 100 ms.
    pub fn tick(
        &mut self,
        link: &mut Link,
        now: Instant,
        out: &mut Vec<Datagram>,
    ) -> Vec<HostName> {
        for addr in std::mem::take(&mut self.acks_due) {
            let ack = WireDatagram { forward_ack: true, ..link.empty_datagram() };
            link.send(addr, ack, out);
        }
        if self.relays.has_excluded() {
            let live: BTreeMap<&HostName, &Member> =
                link.membership().live().map(|member| (&member.host, member)).collect();
            self.relays.retain_live(|host| live.contains_key(host));
            let probes = self.relays.probes_due(now);
            let probes: Vec<Member> =
                probes.iter().filter_map(|host| live.get(host).copied()).cloned().collect();
            let probe = datagram(link, ForwardScope::Zone, Updates::default());
            link.send_to_all(probe, &probes, out);
        }
        self.relays.exclude_unresponsive(now)
    }
}

/// Returns true when the other hosts are few enough to be updated directly.
fn is_small(link: &Link) -> bool {
    link.membership().live().count() <= MAX_DIRECT_RECIPIENTS
}

fn datagram(link: &Link, scope: ForwardScope, updates: Updates) -> WireDatagram {
    let mut datagram = link.empty_datagram();
    updates.fill(&mut datagram);
    datagram.forward = scope.to_wire();
    datagram
}

fn send_directly(link: &mut Link, scope: ForwardScope, updates: Updates, out: &mut Vec<Datagram>) {
    let own_region = link.membership().own().region.clone();
    let in_scope = |member: &Member| scope == ForwardScope::Fleet || member.region == own_region;
    for part in updates.into_datagrams() {
        let datagram = datagram(link, ForwardScope::None, part);
        link.broadcast(datagram, in_scope, out);
    }
}

/// Returns the live hosts that `accepts` returns true for, by key.
fn group<Key, Accepts, GetKey>(
    link: &Link,
    accepts: Accepts,
    key: GetKey,
) -> BTreeMap<&Key, Vec<&Member>>
where
    Key: Ord,
    Accepts: Fn(&Member) -> bool,
    GetKey: Fn(&Member) -> &Key,
{
    let mut groups: BTreeMap<&Key, Vec<&Member>> = BTreeMap::new();
    for member in link.membership().live().filter(|member| accepts(member)) {
        groups.entry(key(member)).or_default().push(member);
    }
    groups
}
