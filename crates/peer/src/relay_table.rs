//! Selects the hosts that relay updates to their zone or region.
//!
//! All hosts with the same view select the same relay of a zone without communicating. Relays
//! acknowledge datagrams, so a relay that fails is replaced long before the membership protocol
//! declares it dead.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use camphorloft_membership::Member;
use camphorloft_types::prelude::*;
use camphorloft_types::rendezvous;

/// Time without an acknowledgement after which a relay is excluded. It covers a round trip between
/// regions and the interval between two acknowledgements.
const ACK_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between two probes of an excluded relay.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Input of the ranking of a zone's hosts, in addition to the zone.
const ZONE_RELAY_TASK: &str = "zone-relay";
/// Input of the ranking of a region's zones, in addition to the region.
const REGION_RELAY_TASK: &str = "region-relay";

/// State of the exchange with a relay.
#[derive(Clone, Copy, Debug)]
enum RelayState {
    /// A datagram sent at this time was not acknowledged yet.
    Unacknowledged(Instant),
    /// Excluded until it acknowledges a probe. The next probe is due at this time.
    Excluded(Instant),
}

/// Selects relays, excluding those that do not acknowledge datagrams.
#[derive(Clone, Debug, Default)]
pub struct RelayTable {
    states: HashMap<HostName, RelayState>,
}

impl RelayTable {
    /// Returns the relay of a zone, where `members` are the live hosts of the zone.
    ///
    /// ```
    /// use camphorloft_peer::relay_table::RelayTable;
    /// use std::time::Instant;
    /// let zone = "z-a".parse().unwrap();
    /// assert!(RelayTable::default().zone_relay(&zone, [], Instant::now()).is_none());
    /// ```
    pub fn zone_relay<'m, Members>(
        &self,
        zone: &AvailabilityZone,
        members: Members,
        now: Instant,
    ) -> Option<&'m Member>
    where
        Members: IntoIterator<Item = &'m Member>,
    {
        self.zone_relays(zone, members, 1, now).pop()
    }

    /// Returns the relay of a zone and those that rank next, up to `count` in all.
    pub fn zone_relays<'m, Members>(
        &self,
        zone: &AvailabilityZone,
        members: Members,
        count: usize,
        now: Instant,
    ) -> Vec<&'m Member>
    where
        Members: IntoIterator<Item = &'m Member>,
    {
        let key = format!("{ZONE_RELAY_TASK}:{zone}");
        let score = |member: &Member| rendezvous::score(&key, member.host.as_str());
        self.rank(members.into_iter().map(|member| (score(member), member)), count, now)
    }

    /// Returns the relay of a region, where `members` are its live hosts. It is the relay of one of
    /// the region's zones.
    pub fn region_relay<'m, Members>(
        &self,
        region: &Region,
        members: Members,
        now: Instant,
    ) -> Option<&'m Member>
    where
        Members: IntoIterator<Item = &'m Member>,
    {
        let region_key = format!("{REGION_RELAY_TASK}:{region}");
        let mut keys: HashMap<&AvailabilityZone, (u64, String)> = HashMap::new();
        let scored = members.into_iter().map(|member| {
            let (zone_score, zone_key) = keys.entry(&member.zone).or_insert_with(|| {
                let zone_score = rendezvous::score(&region_key, member.zone.as_str());
                (zone_score, format!("{ZONE_RELAY_TASK}:{}", member.zone))
            });
            ((*zone_score, rendezvous::score(zone_key, member.host.as_str())), member)
        });
        let scored: Vec<((u64, u64), &Member)> = scored.collect();
        self.rank(scored, 1, now).pop()
    }

    /// Returns the `count` members with the highest scores, best first. Excluded ones rank last.
    fn rank<'m, Score, Scored>(&self, scored: Scored, count: usize, now: Instant) -> Vec<&'m Member>
    where
        Score: Ord + Copy,
        Scored: IntoIterator<Item = (Score, &'m Member)>,
    {
        let ranked = scored.into_iter().map(|(score, member)| {
            let excluded = self.is_excluded(&member.host, now);
            ((Reverse(excluded), score, &member.host), member)
        });
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_unstable_by(|a, b| b.0.cmp(&a.0));
        ranked.into_iter().take(count).map(|(_, member)| member).collect()
    }

    fn is_excluded(&self, host: &HostName, now: Instant) -> bool {
        match self.states.get(host) {
            None => false,
            Some(RelayState::Unacknowledged(since)) => is_overdue(*since, now),
            Some(RelayState::Excluded(_)) => true,
        }
    }

    /// Records a datagram sent to a relay.
    pub fn record_sent(&mut self, relay: &HostName, now: Instant) {
        self.states.entry(relay.clone()).or_insert(RelayState::Unacknowledged(now));
    }

    /// Records that a host acknowledged a datagram.
    pub fn record_ack(&mut self, relay: &HostName) {
        self.states.remove(relay);
    }

    /// Excludes the relays that did not acknowledge a datagram in time, and returns them.
    pub fn exclude_unresponsive(&mut self, now: Instant) -> Vec<HostName> {
        let mut excluded = Vec::new();
        for (host, state) in &mut self.states {
            if let RelayState::Unacknowledged(since) = state
                && is_overdue(*since, now)
            {
                *state = RelayState::Excluded(now + PROBE_INTERVAL);
                excluded.push(host.clone());
            }
        }
        excluded
    }

    /// Returns true when at least one relay is excluded.
    pub fn has_excluded(&self) -> bool {
        self.states.values().any(|state| matches!(state, RelayState::Excluded(_)))
    }

    /// Returns the excluded relays to probe now.
    pub fn probes_due(&mut self, now: Instant) -> Vec<HostName> {
        let mut due = Vec::new();
        for (host, state) in &mut self.states {
            if let RelayState::Excluded(probe_at) = state
                && now >= *probe_at
            {
                *probe_at = now + PROBE_INTERVAL;
                due.push(host.clone());
            }
        }
        due
    }

    /// Forgets the hosts for which `is_live` returns false.
    pub fn retain_live<IsLive>(&mut self, is_live: IsLive)
    where
        IsLive: Fn(&HostName) -> bool,
    {
        self.states.retain(|host, _| is_live(host));
    }
}

fn is_overdue(since: Instant, now: Instant) -> bool {
    now.saturating_duration_since(since) > ACK_TIMEOUT
}
