//! Records which zones are evacuated and keeps requests from their endpoints.

use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_types::prelude::{AvailabilityZone, EndpointIx};
use slog::info;
use tokio::time::sleep;

use crate::context::Host;
use crate::upstream::ExchangeError;

/// Time after the first configuration version for which a starting host waits for the evacuations before
/// it is ready. In an outage of the registry it serves with what it knows.
const MAX_START_WAIT: Duration = Duration::from_secs(2);
/// Time between two checks whether a host that was paused knows what has changed.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl<W, R> Host<W, R> {
    /// Records which zones are evacuated, unless a newer state is known. Returns true if other zones are
    /// evacuated than before.
    pub fn apply_evacuations(&self, new: &Evacuations, source: &str, now: Instant) -> bool {
        self.update_evacuations(source, |fleet| fleet.set_evacuations(new, now))
    }

    /// Ends the evacuations that were kept after a restoration of the registry, if it is time.
    pub fn expire_evacuations(&self, now: Instant) {
        self.update_evacuations("lapsed", |fleet| fleet.expire_evacuations(now));
    }

    /// Logs what `update` changes, and notifies subscribers.
    fn update_evacuations<Update>(&self, source: &str, update: Update) -> bool
    where
        Update: FnOnce(&mut Fleet) -> bool,
    {
        let (before, after, revision) = {
            let fleet = &mut self.state.borrow_mut().fleet;
            let before = fleet.evacuations().zones();
            if !update(fleet) {
                return false;
            }
            let known = fleet.evacuations();
            let revision = known.latest().map_or_else(Revision::default, |latest| latest.revision);
            (before, known.zones(), revision)
        };
        for zone in after.difference(&before) {
            let (endpoints, runs) = self.count_in_zone(zone);
            info!(self.log, "zone evacuated"; "zone" => %zone, "revision" => %revision,
                "source" => source, "endpoints" => endpoints, "runs" => runs);
        }
        for zone in before.difference(&after) {
            let (endpoints, runs) = self.count_in_zone(zone);
            info!(self.log, "evacuation ended"; "zone" => %zone, "revision" => %revision,
                "source" => source, "endpoints" => endpoints, "runs" => runs);
        }
        self.metrics.evacuated_zones.set(i64::try_from(after.len()).unwrap_or(i64::MAX));
        self.notify_fleet_changed();
        true
    }

    /// Returns the number of listed endpoints of a zone, and of requests of this host there.
    fn count_in_zone(&self, zone: &AvailabilityZone) -> (usize, usize) {
        let state = self.state.borrow();
        let endpoints = state.fleet.iter().filter(|(_, e)| e.is_listed() && e.entry.zone == *zone);
        endpoints.fold((0, 0), |(count, runs), (_, e)| (count + 1, runs + e.runs.len()))
    }

    /// Returns true if this host knows the evacuations, or has waited for them long enough.
    pub(crate) fn has_awaited_evacuations(&self, fleet: &Fleet, now: Instant) -> bool {
        let has_waited = |at| now.saturating_duration_since(at) >= MAX_START_WAIT;
        fleet.evacuations().latest().is_some()
            || self.first_version_at.get().is_some_and(has_waited)
    }

    /// Returns an error if the zone of an endpoint is evacuated. Requests that were placed before, or that
    /// return to the engine of a copy, have to be checked as late as this.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::NotSent`].
    pub(crate) fn check_not_evacuated(&self, ix: EndpointIx) -> Result<(), ExchangeError> {
        let state = self.state.borrow();
        match state.fleet.get(ix).is_some_and(|endpoint| endpoint.is_evacuated) {
            true => Err(ExchangeError::NotSent("the zone of the endpoint is evacuated".to_owned())),
            false => Ok(()),
        }
    }

    /// Records a tick, by which pauses of the process are detected.
    pub(crate) fn record_tick(&self, now: Instant) {
        let paused = self.state.borrow_mut().pauses.record_tick(now);
        if let Some(duration) = paused {
            self.state.borrow_mut().fleet.restart_shares(now);
            info!(self.log, "process was paused"; "for_ms" => duration.as_millis() as u64);
        }
    }

    /// Waits, after a pause of the process, until this host knows what has changed, but not for long.
    pub(crate) async fn wait_until_informed(&self) {
        while self.must_wait(Instant::now()) {
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Returns true if the process was paused, and zones may have been evacuated or endpoints turned cold
    /// meanwhile.
    pub fn must_wait(&self, now: Instant) -> bool {
        let state = self.state.borrow();
        let is_affected = self.waits_after_pause.get() || state.fleet.limits_cold_endpoints();
        is_affected && state.pauses.must_wait(now)
    }
}
