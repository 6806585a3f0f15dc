//! Updates that hosts send each other about endpoints, requests and the registry.

use std::time::Duration;

use crate::wire::{
    WireBrittleness, WireDatagram, WireEndpointChange, WireFeatureCrash, WireFinishedFeature,
    WireFullEndpoint, WireHoldOff, WireMigration, WirePlacement, WireQueueState, WireRegistryState,
    WireReport, WireRequestLimit, WireStreamOrigin,
};

/// Maximum number of changes of the endpoint list in a datagram, which holds 64 KB. A change takes
/// about 100 bytes.
const MAX_CHANGES_PER_DATAGRAM: usize = 256;

/// Updates about endpoints, requests and the registry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Updates {
    /// Placements of generations.
    pub placements: Vec<WirePlacement>,
    /// Load reports of engines.
    pub reports: Vec<WireReport>,
    /// Planned migrations.
    pub migrations: Vec<WireMigration>,
    /// Changes of the endpoint list.
    pub endpoint_changes: Vec<WireEndpointChange>,
    /// States of the registry, by reader.
    pub registry: Vec<WireRegistryState>,
    /// Crashes of endpoints, with the features of the requests that they interrupted.
    pub crashes: Vec<WireFeatureCrash>,
    /// Features of requests that finished.
    pub finished: Vec<WireFinishedFeature>,
    /// Services whose endpoints are brittle.
    pub brittleness: Vec<WireBrittleness>,
    /// Brittle endpoints that refused a request.
    pub full: Vec<WireFullEndpoint>,
    /// Endpoints that want no requests from the receiver. They are not forwarded.
    pub hold_offs: Vec<WireHoldOff>,
    /// Limits of requests that endpoints stated.
    pub request_limits: Vec<WireRequestLimit>,
    /// Software versions that began streams.
    pub stream_origins: Vec<WireStreamOrigin>,
    /// What waits for engines at hosts.
    pub queues: Vec<WireQueueState>,
}

impl Updates {
    /// Returns the updates in a datagram.
    pub fn from_datagram(datagram: &WireDatagram) -> Self {
        Self {
            placements: datagram.placements.clone(),
            reports: datagram.reports.clone(),
            migrations: datagram.moves.clone(),
            endpoint_changes: datagram.endpoint_changes.clone(),
            registry: datagram.registry.clone(),
            crashes: datagram.crashes.clone(),
            finished: datagram.finished.clone(),
            brittleness: datagram.brittleness.clone(),
            full: datagram.full.clone(),
            hold_offs: Vec::new(),
            request_limits: datagram.request_limits.clone(),
            stream_origins: datagram.stream_origins.clone(),
            queues: datagram.queues.clone(),
        }
    }

    /// Adds the updates to a datagram that contains none.
    pub fn fill(self, datagram: &mut WireDatagram) {
        datagram.placements = self.placements;
        datagram.reports = self.reports;
        datagram.moves = self.migrations;
        datagram.endpoint_changes = self.endpoint_changes;
        datagram.registry = self.registry;
        datagram.crashes = self.crashes;
        datagram.finished = self.finished;
        datagram.brittleness = self.brittleness;
        datagram.full = self.full;
        datagram.hold_offs = self.hold_offs;
        datagram.request_limits = self.request_limits;
        datagram.stream_origins = self.stream_origins;
        datagram.queues = self.queues;
    }

    /// Splits the updates into parts that fit into a datagram each. The first contains all but the
    /// changes of the endpoint list beyond the limit.
    ///
    /// ```
    /// use camphorloft_peer::updates::Updates;
    /// use camphorloft_peer::wire::WireEndpointChange;
    /// let endpoint_changes = vec![WireEndpointChange::default(); 600];
    /// let updates = Updates { endpoint_changes, ..Updates::default() };
    /// assert_eq!(updates.into_datagrams().len(), 3);
    /// assert_eq!(Updates::default().into_datagrams().len(), 1);
    /// ```
    pub fn into_datagrams(mut self) -> Vec<Self> {
        let first = self.endpoint_changes.len().min(MAX_CHANGES_PER_DATAGRAM);
        let rest = self.endpoint_changes.split_off(first);
        let parts = rest
            .chunks(MAX_CHANGES_PER_DATAGRAM)
            .map(|changes| Updates { endpoint_changes: changes.to_vec(), ..Updates::default() });
        let parts: Vec<Self> = parts.collect();
        std::iter::once(self).chain(parts).collect()
    }

    /// Returns true when there are no updates.
    pub fn is_empty(&self) -> bool {
        self.count() == 0
    }

    /// Returns the number of updates.
    pub fn count(&self) -> usize {
        self.placements.len()
            + self.reports.len()
            + self.migrations.len()
            + self.endpoint_changes.len()
            + self.registry.len()
            + self.crashes.len()
            + self.finished.len()
            + self.brittleness.len()
            + self.full.len()
            + self.hold_offs.len()
            + self.request_limits.len()
            + self.stream_origins.len()
            + self.queues.len()
    }

    /// Adds the time that the updates were held at this host to the ages that they state.
    ///
    /// ```
    /// use camphorloft_peer::updates::Updates;
    /// use camphorloft_peer::wire::WireReport;
    /// use std::time::Duration;
    /// let report = WireReport { age_ms: 400, ..WireReport::default() };
    /// let mut updates = Updates { reports: vec![report], ..Updates::default() };
    /// updates.add_age(Duration::from_millis(80));
    /// assert_eq!(updates.reports[0].age_ms, 480);
    /// ```
    pub fn add_age(&mut self, held: Duration) {
        let held_ms = u32::try_from(held.as_millis()).unwrap_or(u32::MAX);
        let held_us = u32::try_from(held.as_micros()).unwrap_or(u32::MAX);
        for report in &mut self.reports {
            report.age_ms = report.age_ms.saturating_add(held_ms);
            report.stated_age_ms = report.stated_age_ms.map(|age| age.saturating_add(held_ms));
            report.pace_age_ms = report.pace_age_ms.saturating_add(held_ms);
        }
        for change in &mut self.endpoint_changes {
            change.add_age(held);
        }
        for limit in &mut self.request_limits {
            limit.age_ms = limit.age_ms.saturating_add(held_ms);
        }
        for crash in &mut self.crashes {
            crash.age_ms = crash.age_ms.saturating_add(held_ms);
        }
        for brittleness in &mut self.brittleness {
            brittleness.age_ms = brittleness.age_ms.saturating_add(held_ms);
        }
        for finished in &mut self.finished {
            finished.age_ms = finished.age_ms.saturating_add(held_ms);
        }
        for migration in &mut self.migrations {
            migration.begins_us = migration.begins_us.saturating_sub(held_us);
        }
        for state in &mut self.registry {
            state.list_age_ms = state.list_age_ms.saturating_add(held_ms);
            state.version_age_ms = state.version_age_ms.saturating_add(held_ms);
            state.list_asked_age_ms =
                state.list_asked_age_ms.map(|age| age.saturating_add(held_ms));
        }
    }

    /// Adds newer updates. Reports, migrations, endpoint changes, registry states, crashes and
    /// limits replace older ones about the same subject.
    pub fn merge(&mut self, newer: Updates) {
        self.placements.extend(newer.placements);
        replace_by(&mut self.reports, newer.reports, |report| report.endpoint);
        replace_by(&mut self.migrations, newer.migrations, |migration| migration.key);
        replace_by(&mut self.endpoint_changes, newer.endpoint_changes, |c| c.name.clone());
        replace_by(&mut self.registry, newer.registry, |state| state.reader.clone());
        replace_by(&mut self.crashes, newer.crashes, |crash| (crash.feature, crash.endpoint));
        replace_by(&mut self.brittleness, newer.brittleness, |b| b.service.clone());
        replace_by(&mut self.full, newer.full, |full| full.endpoint);
        replace_by(&mut self.finished, newer.finished, |finished| finished.feature);
        replace_by(&mut self.stream_origins, newer.stream_origins, |origin| origin.stream);
        replace_by(&mut self.queues, newer.queues, |queue| (queue.host, queue.service));
        // Two hosts may send what the endpoint stated to each of them in the other order.
        let known = &self.request_limits;
        let is_outdated = |limit: &WireRequestLimit| {
            known.iter().any(|k| k.endpoint == limit.endpoint && k.age_ms < limit.age_ms)
        };
        let limits = newer.request_limits.into_iter().filter(|limit| !is_outdated(limit)).collect();
        replace_by(&mut self.request_limits, limits, |limit: &WireRequestLimit| limit.endpoint);
    }
}

/// Appends `newer` after removing the items with the same keys.
fn replace_by<Item, Key, GetKey>(items: &mut Vec<Item>, newer: Vec<Item>, key: GetKey)
where
    Key: PartialEq,
    GetKey: Fn(&Item) -> Key,
{
    for item in newer {
        let replaced = key(&item);
        items.retain(|known| key(known) != replaced);
        items.push(item);
    }
}
