//! Chooses the endpoint of a generation.

use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;
use rand::Rng;

use crate::decider::{Decider, RouteView};
use crate::decision::Placed;
use crate::forecast::{Forecast, HORIZONS};
use crate::lengths::Lengths;
use crate::scoring::{AddedLoad, score};
use crate::sequence::{SchedulingRequest, Sequence};

/// Least number of endpoints to compare.
const MIN_CANDIDATES: usize = 3;
/// Overflow probability up to which a generation with delivered tokens is placed. It exceeds the
/// threshold of new generations so that started streams do not stall behind them.
const MAX_CONTINUATION_RISK: f32 = 0.6;

impl<L> Decider<L>
where
    L: Lengths,
{
    /// Places a generation if an endpoint can accept it.
    pub(crate) fn try_place(
        &mut self,
        request: &SchedulingRequest,
        now: Instant,
        queued_at: Instant,
    ) -> Option<Placed> {
        let forecast = self.forecast(request, request.delivered);
        let (endpoint, mut placed) = self.best_endpoint(request, &forecast, now)?;
        placed.expected_tokens = self.expected_tokens(request);
        placed.waited = now.saturating_duration_since(queued_at);
        self.start(request, endpoint, forecast, now);
        Some(placed)
    }

    /// Returns the candidate with the lowest cost that can accept the generation.
    fn best_endpoint(
        &mut self,
        request: &SchedulingRequest,
        forecast: &Forecast,
        now: Instant,
    ) -> Option<(EndpointIx, Placed)> {
        self.choose_candidates(request, now);
        let suspect = self.poison.crashes(request.fingerprint, now) > 0;
        let (weights, thresholds) = self.route_objective(request.route);
        let is_new = request.delivered == 0;
        let risk_limit = if is_new { thresholds.admit_risk } else { MAX_CONTINUATION_RISK };
        if is_new && self.pool_risk(forecast, now) > thresholds.pool_risk {
            return None;
        }
        let mut best: Option<Placed> = None;
        let mut unusable = 0;
        for endpoint in &self.candidates {
            let view = &self.endpoints[*endpoint];
            let has_other_suspect = suspect && view.crash_suspects > 0;
            if !view.is_usable(now) || has_other_suspect || request.avoid == Some(*endpoint) {
                unusable += 1;
                continue;
            }
            let prefix_hit = self.prefixes.endpoints(request.prefix, now).any(|e| e == *endpoint);
            let prompt_tokens = request.prompt_tokens + request.delivered;
            let load = AddedLoad { forecast, prompt_tokens, prefix_hit };
            let score = score(view, &load, &self.settings, &weights);
            let acceptable = score.risk <= risk_limit
                && view.engine_waiting == 0
                && view.running() < view.max_sequences;
            let idle = view.running() == 0;
            if !acceptable && !idle {
                continue;
            }
            if best.is_none_or(|best| score.seconds < best.score) {
                best = Some(Placed {
                    generation: request.generation,
                    endpoint: *endpoint,
                    priority: self.engine_priority(request),
                    risk: score.risk,
                    score: score.seconds,
                    compared: self.candidates.len() as u32,
                    unusable: 0,
                    kv: prompt_tokens,
                    expected_tokens: 0,
                    prefix_hit,
                    waited: Duration::ZERO,
                });
            }
        }
        best.map(|best| (best.endpoint, Placed { unusable, ..best }))
    }

    /// Returns the priority passed to the engine. Within a scheduling class, a generation that was
    /// interrupted more often ranks higher, so the engine preempts it later.
    fn engine_priority(&self, request: &SchedulingRequest) -> i32 {
        const LEVELS: i32 = 8;
        let interruptions = self.interrupted.get(&request.generation).copied().unwrap_or(0);
        i32::from(request.priority) * LEVELS + i32::from(interruptions).min(LEVELS - 1)
    }

    /// Returns the probability that the total memory of the candidates overflows with `forecast`
    /// added.
    ///
    /// Generations can migrate between engines, so at distant horizons the total memory limits
    /// admission. Its relative deviation is much smaller than that of one engine.
    fn pool_risk(&self, forecast: &Forecast, now: Instant) -> f32 {
        let mut total = Forecast::default();
        let mut capacity = 0.0;
        let estimated_hosts =
            if self.receives_peer_placements { 0 } else { self.sharing_hosts - 1 };
        let others = estimated_hosts as f32;
        for endpoint in &self.candidates {
            let view = &self.endpoints[*endpoint];
            if view.is_usable(now) {
                total.add(&view.forecast);
                if view.peer_running > 0 {
                    total.add(&view.peer_forecast);
                }
                if estimated_hosts > 0 {
                    total.add_scaled(&view.unreported, others);
                }
                capacity += view.capacity as f32 * self.settings.usable_memory;
            }
        }
        total.overflow(forecast, capacity, HORIZONS.len())
    }

    /// Selects the endpoints to compare: all if there are few, otherwise a random sample and the
    /// endpoints that likely cache the prefix.
    fn choose_candidates(&mut self, request: &SchedulingRequest, now: Instant) {
        self.candidates.clear();
        let Some(RouteView { endpoints: all, .. }) = self.routes.get(&request.route) else {
            return;
        };
        if all.len() <= self.settings.candidates {
            self.candidates.extend_from_slice(all);
            return self.subsample_candidates();
        }
        for _ in 0..self.settings.candidates {
            self.candidates.push(all[self.rng.random_range(0..all.len())]);
        }
        for endpoint in self.prefixes.endpoints(request.prefix, now) {
            if all.binary_search(&endpoint).is_ok() {
                self.candidates.push(endpoint);
            }
        }
    }

    /// Keeps a random half of the candidates if other hosts place on them without sending their
    /// placements. Hosts that compare the same endpoints by the same reports would otherwise all
    /// choose the same one.
    fn subsample_candidates(&mut self) {
        if self.sharing_hosts <= 1 || self.receives_peer_placements {
            return;
        }
        let keep = (self.candidates.len().div_ceil(2)).max(MIN_CANDIDATES);
        while self.candidates.len() > keep {
            let ix = self.rng.random_range(0..self.candidates.len());
            self.candidates.swap_remove(ix);
        }
    }

    fn start(
        &mut self,
        request: &SchedulingRequest,
        endpoint: EndpointIx,
        forecast: Forecast,
        now: Instant,
    ) {
        let interruptions = self.interrupted.remove(&request.generation).unwrap_or(0);
        let sequence = Sequence {
            request: *request,
            endpoint,
            generated: request.delivered,
            reported_at: now,
            placed_at: now,
            forecast,
            interruptions,
            migrating: false,
            crash_attributed: false,
        };
        let suspect = self.poison.crashes(request.fingerprint, now) > 0;
        let ix = self.insert_sequence(sequence);
        let view = &mut self.endpoints[endpoint];
        view.sequences.push(ix);
        view.forecast.add(&forecast);
        view.unreported.add(&forecast);
        view.crash_suspects += u32::from(suspect);
        self.prefixes.insert(request.prefix, endpoint, now);
        self.by_generation.insert(request.generation, ix);
    }
}
