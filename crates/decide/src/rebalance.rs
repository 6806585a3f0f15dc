//! Migrates generations away from engines that are about to run out of memory.
//!
//! A preempted sequence waits until memory is freed and is then recomputed. A migrated one only
//! costs the prefill of its text on an engine with free memory. When an engine is likely to
//! overflow soon and another has room, the generation with the lowest migration cost is therefore
//! migrated before the engine has to preempt.

use std::time::{Duration, Instant};

use camphorloft_types::prelude::EndpointIx;

use rand::Rng;

use crate::decider::Decider;
use crate::decision::{Migration, TickOutput};
use crate::forecast::Forecast;
use crate::lengths::Lengths;
use crate::scoring::overflow_risk;
use crate::sequence::SequenceIx;

/// Average number of hosts that act on an overflow of a shared endpoint per load report.
const ACTING_HOSTS: u32 = 1;
/// Migrations decided per endpoint and tick.
const MIGRATIONS_PER_ENDPOINT: usize = 2;
/// Least time between the placement of a generation and its migration.
const MIN_TIME_BEFORE_MIGRATION: Duration = Duration::from_millis(800);
/// Time without progress after which a generation is considered preempted.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Expected remaining tokens below which a generation is not migrated.
const MIN_RESIDUAL_TOKENS: f32 = 48.0;

impl<L> Decider<L>
where
    L: Lengths,
{
    /// Recomputes the forecasts of all endpoints from the sequences placed there.
    pub(crate) fn refresh_forecasts(&mut self, now: Instant) {
        for endpoint in self.endpoints.keys() {
            if self.endpoints[endpoint].sequences.is_empty() {
                self.endpoints[endpoint].expire_report(now);
                continue;
            }
            let mut total = Forecast::default();
            for position in 0..self.endpoints[endpoint].sequences.len() {
                let ix = self.endpoints[endpoint].sequences[position];
                total.add(&self.refresh_sequence(ix, now));
            }
            self.per_token.observe(&total);
            self.endpoints[endpoint].forecast = total;
            self.endpoints[endpoint].expire_report(now);
        }
    }

    /// Recomputes the forecast of a sequence, extrapolating from its last progress report.
    fn refresh_sequence(&mut self, ix: SequenceIx, now: Instant) -> Forecast {
        let Some(sequence) = self.sequences[ix].filter(|sequence| !sequence.migrating) else {
            return Forecast::default();
        };
        let step = self.endpoints[sequence.endpoint].step_seconds;
        let elapsed = now.saturating_duration_since(sequence.reported_at);
        let unreported = (elapsed.as_secs_f32() / step) as u32;
        let longest = Duration::from_millis(500).as_secs_f32() / step;
        let generated = sequence.generated + unreported.min(longest as u32);
        let forecast = self.forecast(&sequence.request, generated);
        if let Some(sequence) = &mut self.sequences[ix] {
            sequence.forecast = forecast;
        }
        forecast
    }

    /// Decides migrations from every endpoint that is about to run out of memory.
    pub(crate) fn rebalance(&mut self, now: Instant, out: &mut TickOutput) {
        for endpoint in self.endpoints.keys() {
            for _ in 0..self.migrations_allowed(endpoint) {
                let near_term_risk = self.near_term_risk(endpoint);
                let Some(ix) = self.migration_candidate(endpoint, near_term_risk, now) else {
                    break;
                };
                self.decide_migration(ix, near_term_risk, out);
            }
            if let Some(ix) = self.stalled_sequence(endpoint, now) {
                let near_term_risk = self.near_term_risk(endpoint);
                self.decide_migration(ix, near_term_risk, out);
            }
        }
    }

    /// Returns the number of migrations that may be decided for an endpoint now.
    ///
    /// All hosts that share an endpoint forecast the same overflow. Each acts at most once per load
    /// report, with a probability chosen so that one host acts on average.
    fn migrations_allowed(&mut self, endpoint: EndpointIx) -> usize {
        if self.sharing_hosts <= 1 {
            return MIGRATIONS_PER_ENDPOINT;
        }
        let view = &mut self.endpoints[endpoint];
        if view.sequences.is_empty() || !view.has_new_report {
            return 0;
        }
        view.has_new_report = false;
        usize::from(self.rng.random_ratio(ACTING_HOSTS.min(self.sharing_hosts), self.sharing_hosts))
    }

    /// Returns a sequence that has stopped progressing, for example after a preemption, if another
    /// endpoint has room for it.
    fn stalled_sequence(&self, endpoint: EndpointIx, now: Instant) -> Option<SequenceIx> {
        let sequences = self.endpoints[endpoint].sequences.iter().copied();
        let mut stalled = sequences.filter(|ix| {
            let Some(sequence) = &self.sequences[*ix] else { return false };
            let silent = now.saturating_duration_since(sequence.reported_at);
            !sequence.migrating && silent >= STALL_TIMEOUT
        });
        stalled.find(|ix| self.has_migration_target(*ix, now))
    }

    fn near_term_risk(&self, endpoint: EndpointIx) -> f32 {
        let none = Forecast::default();
        overflow_risk(&self.endpoints[endpoint], &none, &self.settings, self.settings.move_horizons)
    }

    /// Returns the sequence with the lowest migration cost per freed token for which another
    /// endpoint has room. `near_term_risk` is the overflow probability of `endpoint`.
    fn migration_candidate(
        &self,
        endpoint: EndpointIx,
        near_term_risk: f32,
        now: Instant,
    ) -> Option<SequenceIx> {
        let mut best: Option<(f32, SequenceIx)> = None;
        for ix in &self.endpoints[endpoint].sequences {
            let Some(sequence) = &self.sequences[*ix] else { continue };
            let settled =
                now.saturating_duration_since(sequence.placed_at) >= MIN_TIME_BEFORE_MIGRATION;
            let may_migrate =
                sequence.interruptions < self.settings.max_moves && !sequence.migrating;
            let request = &sequence.request;
            if !settled
                || !may_migrate
                || near_term_risk < self.route_objective(request.route).1.move_risk
            {
                continue;
            }
            let residual = self.lengths.mean_residual(
                request.class,
                request.oracle_length,
                sequence.generated,
            );
            if residual < MIN_RESIDUAL_TOKENS {
                continue;
            }
            let prefill = sequence.kv() as f32 * self.settings.prefill_seconds;
            let freed = sequence.forecast.mean[self.settings.move_horizons];
            let interrupted = 1.0 + f32::from(sequence.interruptions);
            let cost = (prefill + self.settings.prefill_seconds) * interrupted / freed.max(1.0);
            // At equal cost, a generation with more remaining tokens benefits more.
            let rank = cost / residual.sqrt();
            if best.is_none_or(|(least, _)| rank < least) && self.has_migration_target(*ix, now) {
                best = Some((rank, *ix));
            }
        }
        best.map(|(_, ix)| ix)
    }

    fn has_migration_target(&self, ix: SequenceIx, now: Instant) -> bool {
        let Some(sequence) = &self.sequences[ix] else { return false };
        let candidates = self.route_endpoints(sequence.request.route);
        let sample = candidates.iter().take(self.settings.candidates);
        let horizons = self.settings.local_horizons;
        sample.filter(|endpoint| **endpoint != sequence.endpoint).any(|endpoint| {
            let view = &self.endpoints[*endpoint];
            let target_risk = overflow_risk(view, &sequence.forecast, &self.settings, horizons);
            view.is_usable(now)
                && view.engine_waiting == 0
                && target_risk <= self.settings.move_target_risk
        })
    }

    fn decide_migration(&mut self, ix: SequenceIx, risk: f32, out: &mut TickOutput) {
        let Some(sequence) = &mut self.sequences[ix] else { return };
        sequence.migrating = true;
        let (endpoint, forecast) = (sequence.endpoint, sequence.forecast);
        out.migrations.push(Migration {
            generation: sequence.request.generation,
            from: endpoint,
            risk,
        });
        self.endpoints[endpoint].forecast.subtract(&forecast);
    }
}
