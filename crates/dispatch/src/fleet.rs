//! The table of endpoints.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;
use cranelift_entity::PrimaryMap;

use crate::brittleness::Brittleness;
use crate::candidates::Candidates;
use crate::distance::Locality;
use crate::endpoint::{Endpoint, EndpointState};
use crate::entry::EndpointEntry;
use crate::evacuation::{Evacuations, KnownEvacuations};
use crate::expected_gaps::usual_gap_ms;
use crate::fleet_change::FleetChange;
use crate::generation::TokenDemand;
use crate::load::LoadReport;
use crate::migration::{MigrationPlans, PlannedMigration};
use crate::peer_slowness::PeerSlowness;
use crate::run::{CallId, Run, RunId, RunWork};
use crate::service_speed::ServiceSpeed;

/// Time after which a client should retry if only other hosts may send requests to the endpoints of a
/// service.
const OTHER_HOSTS_LIMIT_DELAY: Duration = Duration::from_secs(1);

/// Time after its removal in which an endpoint is not added again because another host lists it. Hosts
/// repeat the announcement of a new endpoint for 1.5 s, directly and through two relays.
const LATE_ANNOUNCEMENT_PERIOD: Duration = Duration::from_secs(3);

/// The table of endpoints.
///
/// The index of an endpoint is reused only after the endpoint was removed and the last run of this
/// host there has ended, so that the index in a run never refers to another endpoint.
#[derive(Debug)]
pub struct Fleet {
    locality: Locality,
    slots: PrimaryMap<EndpointIx, Option<Endpoint>>,
    free: Vec<EndpointIx>,
    /// Listed endpoints.
    by_name: HashMap<EndpointName, EndpointIx>,
    /// All endpoints in the table: one that is no longer listed may still run generations.
    by_digest: HashMap<u64, EndpointIx>,
    list_revision: u64,
    /// Services whose endpoints crash when they have to refuse many requests.
    brittle: HashMap<ServiceName, Brittleness>,
    /// Rates of requests that cold endpoints tolerate, by service.
    cold_rates: HashMap<ServiceName, RequestRate>,
    evacuations: KnownEvacuations,
    /// Speed of the endpoints of each service.
    speeds: HashMap<ServiceName, ServiceSpeed>,
    /// Planned migrations between endpoints.
    pub migrations: MigrationPlans,
    next_run: u64,
}

impl Fleet {
    /// Creates an empty table.
    pub fn new(locality: Locality) -> Self {
        Self {
            locality,
            slots: PrimaryMap::new(),
            free: Vec::new(),
            by_name: HashMap::new(),
            by_digest: HashMap::new(),
            list_revision: 0,
            brittle: HashMap::new(),
            cold_rates: HashMap::new(),
            evacuations: KnownEvacuations::default(),
            speeds: HashMap::new(),
            migrations: MigrationPlans::default(),
            next_run: 0,
        }
    }

    /// Returns the location of this host.
    pub fn locality(&self) -> &Locality {
        &self.locality
    }

    /// Returns an endpoint.
    pub fn get(&self, ix: EndpointIx) -> Option<&Endpoint> {
        self.slots.get(ix)?.as_ref()
    }

    /// Returns a mutable reference to an endpoint.
    pub fn get_mut(&mut self, ix: EndpointIx) -> Option<&mut Endpoint> {
        self.slots.get_mut(ix)?.as_mut()
    }

    /// Returns the listed endpoint of a name.
    pub fn find(&self, name: &EndpointName) -> Option<EndpointIx> {
        self.by_name.get(name).copied()
    }

    /// Returns the endpoint of a digest.
    pub fn find_digest(&self, digest: u64) -> Option<EndpointIx> {
        self.by_digest.get(&digest).copied()
    }

    /// Returns a digest of the list, the same on every host that has the same list.
    pub fn list_digest(&self) -> u64 {
        let listed = self.by_name.values().filter_map(|ix| self.get(*ix));
        listed.fold(0, |sum, endpoint| {
            sum ^ endpoint.digest.rotate_left(u32::from(!endpoint.is_ready()))
        })
    }

    /// Returns the endpoints in the table.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointIx, &Endpoint)> {
        self.slots.iter().filter_map(|(ix, slot)| Some((ix, slot.as_ref()?)))
    }

    /// Returns the endpoints of a service.
    pub fn of_service<'f>(
        &'f self,
        service: &'f ServiceName,
    ) -> impl Iterator<Item = (EndpointIx, &'f Endpoint)> {
        self.iter().filter(move |(_, endpoint)| endpoint.entry.service == *service)
    }

    /// Returns the time for which all usable endpoints of a service that `candidates` admits limit or
    /// hold off the requests of this host, or `None` if not all of them do.
    pub fn limited_for(
        &self,
        service: &ServiceName,
        candidates: &Candidates<'_>,
        now: Instant,
    ) -> Option<Duration> {
        let endpoints = self.of_service(service);
        let usable = endpoints.filter(|(ix, endpoint)| candidates.admits(*ix, endpoint, now));
        let delays = usable.map(|(_, endpoint)| match endpoint.send_at(now) {
            Some(at) => at - now,
            None => OTHER_HOSTS_LIMIT_DELAY,
        });
        delays.min().filter(|delay| !delay.is_zero())
    }

    /// Records that the endpoints of a service are brittle. Returns the record, and whether that is new.
    pub fn record_brittle(
        &mut self,
        service: &ServiceName,
        max_refusals: u32,
        stated_at: Instant,
        now: Instant,
    ) -> (&mut Brittleness, bool) {
        let is_new = self.brittleness(service, now).is_none();
        let new = Brittleness::new(max_refusals, stated_at);
        let known = self.brittle.entry(service.clone()).or_insert(new);
        known.record(max_refusals, stated_at);
        (known, is_new)
    }

    /// Returns how brittle the endpoints of a service are, if they are.
    pub fn brittleness(&self, service: &ServiceName, now: Instant) -> Option<Brittleness> {
        self.brittle.get(service).copied().filter(|brittleness| brittleness.holds(now))
    }

    /// Returns what is known of the evacuations.
    pub fn evacuations(&self) -> &KnownEvacuations {
        &self.evacuations
    }

    /// Records which zones are evacuated, unless a newer state is known. Returns true if other zones are
    /// evacuated than before.
    pub fn set_evacuations(&mut self, new: &Evacuations, now: Instant) -> bool {
        let changed = self.evacuations.record(new, now);
        if changed {
            self.update_evacuated();
        }
        changed
    }

    /// Ends the evacuations that were kept after a restoration of the registry, if it is time. Returns true
    /// if there was one.
    pub fn expire_evacuations(&mut self, now: Instant) -> bool {
        let changed = self.evacuations.expire(now);
        if changed {
            self.update_evacuated();
        }
        changed
    }

    fn update_evacuated(&mut self) {
        for endpoint in self.slots.values_mut().flatten() {
            endpoint.is_evacuated = self.evacuations.includes(&endpoint.entry.zone);
        }
    }

    /// Adds or updates an endpoint from its list entry. Appends to `changes` what changed.
    pub fn upsert(&mut self, entry: EndpointEntry, now: Instant, changes: &mut Vec<FleetChange>) {
        if let Some(ix) = self.find(&entry.name) {
            let known = self.get(ix).is_some_and(|e| e.entry.is_same_process(&entry));
            if known {
                self.update(ix, entry, now, changes);
                return;
            }
            self.remove(&entry.name, now, changes);
        }
        let (name, digest) = (entry.name.clone(), entry.digest());
        // The registry may have come back from an older copy.
        let former = self.find_digest(digest).and_then(|ix| self.get(ix)).cloned();
        let ix = self.insert(entry, now);
        if let (Some(former), Some(endpoint)) = (former, self.get_mut(ix)) {
            endpoint.restore_statements(&former);
        }
        self.by_name.insert(name, ix);
        self.by_digest.insert(digest, ix);
        changes.push(FleetChange::Joined(ix));
    }

    /// Adds or updates an endpoint as another host listed it. A process that was removed just before is
    /// not added again, because announcements may arrive late and in another order. Appends to
    /// `changes` what changed.
    pub fn upsert_announced(
        &mut self,
        entry: EndpointEntry,
        now: Instant,
        changes: &mut Vec<FleetChange>,
    ) {
        let known = self.find_digest(entry.digest()).and_then(|ix| self.get(ix));
        let removed_at = known.and_then(|endpoint| endpoint.removed_at);
        let left_recently = |at| now.saturating_duration_since(at) < LATE_ANNOUNCEMENT_PERIOD;
        if !removed_at.is_some_and(left_recently) {
            self.upsert(entry, now, changes);
        }
    }

    /// Records that an endpoint states how long it stays cold. Appends to `changes` if that is new.
    pub fn record_cold(
        &mut self,
        ix: EndpointIx,
        left: Duration,
        now: Instant,
        changes: &mut Vec<FleetChange>,
    ) {
        if self.get_mut(ix).is_some_and(|endpoint| endpoint.record_cold(left, now)) {
            changes.push(FleetChange::Cold(ix));
        }
    }

    /// Sets the rates of requests that cold endpoints tolerate, by service. Other services do not limit
    /// them.
    pub fn set_cold_rates(&mut self, rates: HashMap<ServiceName, RequestRate>, now: Instant) {
        if self.cold_rates == rates {
            return;
        }
        for endpoint in self.slots.values_mut().flatten() {
            endpoint.set_cold_rate(rates.get(&endpoint.entry.service).copied(), now);
        }
        self.cold_rates = rates;
    }

    /// Returns true if a service limits the requests to its cold endpoints.
    pub fn limits_cold_endpoints(&self) -> bool {
        !self.cold_rates.is_empty()
    }

    /// Lets this host's shares of all limits begin anew after a pause of the process.
    pub fn restart_shares(&mut self, now: Instant) {
        for endpoint in self.slots.values_mut().flatten() {
            endpoint.request_limit.restart_share(now);
        }
    }

    /// Returns true if the process of an entry is listed.
    pub fn lists_process(&self, entry: &EndpointEntry) -> bool {
        let known = self.find(&entry.name).and_then(|ix| self.get(ix));
        known.is_some_and(|known| known.is_listed() && known.entry.is_same_process(entry))
    }

    /// Records that an endpoint states that it is draining. Appends to `changes` if that is new.
    pub fn mark_draining(&mut self, ix: EndpointIx, now: Instant, changes: &mut Vec<FleetChange>) {
        let Some(endpoint) = self.get_mut(ix) else { return };
        // One that is no longer listed may be listed again.
        endpoint.entry.draining = true;
        if endpoint.state == EndpointState::Ready {
            endpoint.state = EndpointState::Draining { since: now };
            changes.push(FleetChange::Draining(ix));
        }
    }

    /// Returns a number that changes whenever an endpoint joins or is removed.
    pub fn list_revision(&self) -> u64 {
        self.list_revision
    }

    fn insert(&mut self, entry: EndpointEntry, now: Instant) -> EndpointIx {
        self.list_revision += 1;
        let distance = self.locality.distance(&entry.zone);
        let region = self.locality.region_of(&entry.zone).cloned();
        let is_evacuated = self.evacuations.includes(&entry.zone);
        let mut endpoint = Endpoint::new(entry, distance, region, now);
        endpoint.is_evacuated = is_evacuated;
        endpoint.set_cold_rate(self.cold_rates.get(&endpoint.entry.service).copied(), now);
        let endpoint = Some(endpoint);
        match self.free.pop() {
            Some(ix) => {
                self.slots[ix] = endpoint;
                ix
            }
            None => self.slots.push(endpoint),
        }
    }

    fn update(
        &mut self,
        ix: EndpointIx,
        entry: EndpointEntry,
        now: Instant,
        changes: &mut Vec<FleetChange>,
    ) {
        let region = self.locality.region_of(&entry.zone).cloned();
        let is_evacuated = self.evacuations.includes(&entry.zone);
        let Some(endpoint) = self.get_mut(ix) else { return };
        endpoint.is_evacuated = is_evacuated;
        // Draining is final for a process: an entry that still lists it as ready is older.
        if entry.draining && endpoint.state == EndpointState::Ready {
            endpoint.state = EndpointState::Draining { since: now };
            changes.push(FleetChange::Draining(ix));
        }
        let left = entry.warmup_remaining;
        let draining = endpoint.entry.draining;
        endpoint.entry = entry;
        endpoint.region = region;
        endpoint.entry.draining |= draining;
        if endpoint.record_cold(left, now) {
            changes.push(FleetChange::Cold(ix));
        }
    }

    /// Removes an endpoint that is no longer listed. Like a draining one, it accepts no new work.
    pub fn remove(&mut self, name: &EndpointName, now: Instant, changes: &mut Vec<FleetChange>) {
        let Some(ix) = self.by_name.remove(name) else { return };
        self.list_revision += 1;
        if let Some(endpoint) = self.get_mut(ix) {
            let since = endpoint.draining_since().unwrap_or(now);
            endpoint.state = EndpointState::Removed { since };
            endpoint.removed_at = Some(now);
        }
        changes.push(FleetChange::Removed(ix));
    }

    /// Frees the slots of removed endpoints that have no runs of this host and were first known to
    /// be draining or removed more than `keep` ago.
    pub fn purge_removed(&mut self, keep: Duration, now: Instant) {
        for ix in self.slots.keys() {
            let Some(endpoint) = &self.slots[ix] else { continue };
            let EndpointState::Removed { since } = endpoint.state else { continue };
            if endpoint.runs.is_empty() && now.saturating_duration_since(since) > keep {
                // The process may have been listed again, in another slot.
                if self.by_digest.get(&endpoint.digest) == Some(&ix) {
                    self.by_digest.remove(&endpoint.digest);
                }
                self.slots[ix] = None;
                self.free.push(ix);
            }
        }
    }

    /// Records a report of an engine that was valid at `as_of`. Returns true when it is the first
    /// to show that the engine is draining.
    pub fn record_report(&mut self, ix: EndpointIx, report: LoadReport, as_of: Instant) -> bool {
        let Some(endpoint) = self.get_mut(ix) else { return false };
        if let Some(remaining) = report.shutdown_in {
            endpoint.shutdown_at = Some(as_of + remaining);
        }
        let newly_draining = report.draining && endpoint.state == EndpointState::Ready;
        if newly_draining {
            endpoint.state = EndpointState::Draining { since: as_of };
        }
        endpoint.load.record_report(report, as_of);
        newly_draining
    }

    /// Returns what the endpoints of a service have in common in speed, if one of them stated its speed
    /// recently, so that speed counts in placements.
    pub fn stated_speed(&self, service: &ServiceName, now: Instant) -> Option<&ServiceSpeed> {
        self.speeds.get(service).filter(|speed| speed.is_stated(now))
    }

    /// Sets the shortest target for pauses between events on the routes of a service.
    pub fn set_gap_target(&mut self, service: &ServiceName, target: Option<Duration>) {
        self.speeds.entry(service.clone()).or_default().set_gap_target(target);
    }

    /// Records the duration of work that an endpoint stated, in percent of the usual one, as of
    /// `as_of`.
    pub fn record_stated_pace(&mut self, ix: EndpointIx, percent: u32, as_of: Instant) {
        let Some(Some(endpoint)) = self.slots.get_mut(ix) else { return };
        endpoint.speed.record_stated(percent, as_of);
        let service = self.speeds.entry(endpoint.entry.service.clone()).or_default();
        let Some(ratio) = endpoint.speed.stated_ratio(service) else { return };
        service.record_stated(ratio, endpoint.speed.ln_known_stated(), as_of);
        endpoint.load.set_slowness(endpoint.speed.slowness(service) * service.mean_factor(), as_of);
    }

    /// Records the speed of an endpoint as known to another host.
    pub fn record_peer_slowness(&mut self, ix: EndpointIx, known: &PeerSlowness, now: Instant) {
        let Some(Some(endpoint)) = self.slots.get_mut(ix) else { return };
        let speed = &mut endpoint.speed;
        speed.record_peer(known.stated, known.observed);
        let service = self.speeds.entry(endpoint.entry.service.clone()).or_default();
        service.record_stated_at(known.stated_at);
        if let Some((percent, as_of)) = known.latest
            && speed.record_peer_figure(percent, as_of)
            && let Some(ratio) = speed.stated_ratio(service)
        {
            service.record_stated(ratio, speed.ln_known_stated(), as_of);
        }
        endpoint.load.set_slowness(endpoint.speed.slowness(service) * service.mean_factor(), now);
    }

    /// Records the mean time between events of `tokens_per_event` tokens of a stream of this host.
    /// `prefills` tells whether the engine prefilled a prompt all that time, or never. Returns the time
    /// as a fraction of the estimate, if endpoints of the service state their speed.
    pub fn record_gap(
        &mut self,
        ix: EndpointIx,
        gap: Duration,
        tokens_per_event: u32,
        prefills: bool,
        now: Instant,
    ) -> Option<f64> {
        let endpoint = self.get(ix)?;
        let service = self.stated_speed(&endpoint.entry.service, now)?;
        let estimated = endpoint.speed.slowness(service);
        let sequences = endpoint.load.estimate_engine_load(&endpoint.runs, now).sequences;
        let usual_ms = usual_gap_ms(tokens_per_event, sequences, prefills);
        let slowness = gap.as_secs_f64() * 1e3 / usual_ms;
        self.record_slowness(ix, slowness, now);
        Some(slowness / estimated)
    }

    /// Records the ratio of an observed duration of work at an endpoint to the usual one.
    pub fn record_slowness(&mut self, ix: EndpointIx, slowness: f64, now: Instant) {
        let Some(Some(endpoint)) = self.slots.get_mut(ix) else { return };
        endpoint.speed.record_observed(slowness, now);
        let Some(service) = self.speeds.get_mut(&endpoint.entry.service) else { return };
        if let Some(ln_unstated) = endpoint.speed.ln_unstated() {
            service.record_unstated(ln_unstated);
        }
        if service.is_stated(now) {
            endpoint
                .load
                .set_slowness(endpoint.speed.slowness(service) * service.mean_factor(), now);
        }
    }

    /// Counts a request against the limit of an endpoint, when it is placed there. Returns true if it has
    /// one, and this host a share of it.
    pub fn reserve_send(&mut self, ix: EndpointIx, now: Instant) -> bool {
        self.get_mut(ix).is_some_and(|endpoint| endpoint.request_limit.reserve(now))
    }

    /// Records that a request is placed on an endpoint, until it is sent or abandoned.
    pub fn begin_reservation(&mut self, ix: EndpointIx) {
        if let Some(endpoint) = self.get_mut(ix) {
            endpoint.unsent += 1;
        }
    }

    /// Records that a placed request is sent or abandoned.
    pub fn end_reservation(&mut self, ix: EndpointIx) {
        if let Some(endpoint) = self.get_mut(ix) {
            endpoint.unsent = endpoint.unsent.saturating_sub(1);
        }
    }

    /// Records that a request is sent to an endpoint.
    pub fn start_run(
        &mut self,
        ix: EndpointIx,
        call: &CallId,
        work: RunWork,
        now: Instant,
    ) -> RunId {
        self.next_run += 1;
        let id = RunId(self.next_run);
        if let Some(endpoint) = self.get_mut(ix) {
            if let RunWork::Generation { prefill_tokens, .. } = work {
                endpoint.load.record_placement(prefill_tokens, now);
            }
            endpoint.runs.push(Run { id, call: call.clone(), work, sent_at: now });
        }
        id
    }

    /// Records that a generation is placed on an engine, until [`Self::release_run`].
    pub fn reserve_run(
        &mut self,
        ix: EndpointIx,
        call: &CallId,
        demand: &TokenDemand,
        now: Instant,
    ) -> (RunId, bool) {
        let is_counted = self.reserve_send(ix, now);
        let TokenDemand { kv_tokens, prefill_tokens, expected } = *demand;
        let work = RunWork::Generation { kv_tokens, prefill_tokens, expected, generated: 0 };
        (self.start_run(ix, call, work, now), is_counted)
    }

    /// Records that a placed generation is sent or abandoned.
    pub fn release_run(&mut self, ix: EndpointIx, id: RunId, now: Instant) {
        let Some(run) = self.run_mut(ix, id) else { return };
        let work = run.work;
        self.end_run(ix, id);
        if let (RunWork::Generation { prefill_tokens, .. }, Some(endpoint)) =
            (work, self.get_mut(ix))
        {
            endpoint.load.cancel_placement(prefill_tokens, now);
        }
    }

    /// Returns a mutable reference to a run.
    pub fn run_mut(&mut self, ix: EndpointIx, id: RunId) -> Option<&mut Run> {
        self.get_mut(ix)?.runs.iter_mut().find(|run| run.id == id)
    }

    /// Plans the migration of a generation of `kv_tokens` tokens, after the known migrations.
    pub fn plan_migration(
        &mut self,
        key: u64,
        (from, to): (EndpointIx, EndpointIx),
        kv_tokens: u32,
        duration: Duration,
        now: Instant,
    ) -> PlannedMigration {
        self.record_expected_copy(to, kv_tokens, now);
        self.migrations.plan(key, from, to, duration, now)
    }

    /// Records the plan of another host for a generation of `kv_tokens` tokens.
    pub fn record_migration(&mut self, plan: PlannedMigration, kv_tokens: u32, now: Instant) {
        // A plan may arrive repeatedly, directly and through a relay.
        if !self.migrations.is_known(&plan) {
            self.record_expected_copy(plan.to, kv_tokens, now);
        }
        self.migrations.record(plan, now);
    }

    fn record_expected_copy(&mut self, to: EndpointIx, kv_tokens: u32, now: Instant) {
        if let Some(endpoint) = self.get_mut(to) {
            endpoint.load.record_peer_placement(kv_tokens, 0, now);
        }
    }

    /// Records the number of tokens that a run has generated.
    pub fn record_progress(&mut self, ix: EndpointIx, id: RunId, tokens: u32) {
        if let Some(run) = self.run_mut(ix, id)
            && let RunWork::Generation { generated, .. } = &mut run.work
        {
            *generated = tokens;
        }
    }

    /// Records that a run has ended.
    pub fn end_run(&mut self, ix: EndpointIx, id: RunId) {
        if let Some(endpoint) = self.get_mut(ix) {
            endpoint.runs.retain(|run| run.id != id);
        }
    }
}
