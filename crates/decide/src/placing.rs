//! Chooses the endpoint of one generation.

use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;
use rand::Rng;

use crate::decider::{Decider, RouteView};
use crate::decision::Placed;
use crate::forecast::{Forecast, HORIZONS};
use crate::lengths::Lengths;
use crate::scoring::{Load, score};
use crate::sequence::{SchedulingRequest, Sequence};

/// Endpoints that are compared at least.
const MIN_CANDIDATES: usize = 3;
/// Probability of overflow up to which a generation with delivered tokens is placed: it must not
/// stall behind ones that have not begun.
const CONTINUE_RISK: f32 = 0.6;

impl<L> Decider<L>
where
    L: Lengths,
{
    /// Places a generation if an endpoint is acceptable.
    pub(crate) fn try_place(
        &mut self,
        ask: &SchedulingRequest,
        now: Instant,
        since: Instant,
    ) -> Option<Placed> {
        let forecast = self.forecast(ask, ask.delivered);
        let (endpoint, mut placed) = self.best_endpoint(ask, &forecast, now)?;
        placed.expected_tokens = self.expected_tokens(ask);
        placed.waited = now.saturating_duration_since(since);
        self.start(ask, endpoint, forecast, now);
        Some(placed)
    }

    /// Compares candidates and returns the cheapest acceptable one.
    fn best_endpoint(
        &mut self,
        ask: &SchedulingRequest,
        forecast: &Forecast,
        now: Instant,
    ) -> Option<(EndpointIx, Placed)> {
        self.choose_candidates(ask, now);
        let suspect = self.poison.crashes(ask.fingerprint, now) > 0;
        let (weights, thresholds) = self.route_objective(ask.route);
        let fresh = ask.delivered == 0;
        let risk_limit = if fresh { thresholds.admit_risk } else { CONTINUE_RISK };
        if fresh && self.pool_risk(forecast, now) > thresholds.pool_risk {
            return None;
        }
        let mut best: Option<Placed> = None;
        let mut unusable = 0;
        for endpoint in &self.candidates {
            let view = &self.endpoints[*endpoint];
            let kept_apart = suspect && view.suspects > 0;
            if !view.is_usable(now) || kept_apart || ask.avoid == Some(*endpoint) {
                unusable += 1;
                continue;
            }
            let prefix_hit = self.prefixes.endpoints(ask.prefix, now).any(|e| e == *endpoint);
            let prompt_tokens = ask.prompt_tokens + ask.delivered;
            let load = Load { forecast, prompt_tokens, prefix_hit };
            let score = score(view, &load, &self.settings, &weights);
            let acceptable = score.risk <= risk_limit
                && view.engine_waiting == 0
                && view.running() < view.max_sequences;
            let alone = view.running() == 0;
            if !acceptable && !alone {
                continue;
            }
            if best.is_none_or(|best| score.seconds < best.score) {
                best = Some(Placed {
                    generation: ask.generation,
                    endpoint: *endpoint,
                    priority: self.engine_priority(ask),
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

    /// Returns the priority for the engine: a generation that was interrupted is preempted after
    /// the others of its class.
    fn engine_priority(&self, ask: &SchedulingRequest) -> i32 {
        const LEVELS: i32 = 8;
        let interruptions = self.interrupted.get(&ask.generation).copied().unwrap_or(0);
        i32::from(ask.priority) * LEVELS + i32::from(interruptions).min(LEVELS - 1)
    }

    /// Returns the probability that the candidates overflow together with `forecast` added.
    ///
    /// Generations move between engines, so far ahead it is the memory of all of them that
    /// counts; its relative deviation is much smaller than that of one engine.
    fn pool_risk(&self, forecast: &Forecast, now: Instant) -> f32 {
        let mut total = Forecast::default();
        let mut capacity = 0.0;
        let guessed = if self.receives_placements { 0 } else { self.sharing_hosts - 1 };
        let others = guessed as f32;
        for endpoint in &self.candidates {
            let view = &self.endpoints[*endpoint];
            if view.is_usable(now) {
                total.add(&view.forecast);
                if view.foreign_running > 0 {
                    total.add(&view.foreign);
                }
                if guessed > 0 {
                    total.add_scaled(&view.unreported, others);
                }
                capacity += view.capacity as f32 * self.settings.usable_memory;
            }
        }
        total.overflow(forecast, capacity, HORIZONS.len())
    }

    /// Chooses the endpoints to compare: all when they are few, else a sample and those that are
    /// believed to hold the prefix.
    fn choose_candidates(&mut self, ask: &SchedulingRequest, now: Instant) {
        self.candidates.clear();
        let Some(RouteView { endpoints: all, .. }) = self.routes.get(&ask.route) else { return };
        if all.len() <= self.settings.candidates {
            self.candidates.extend_from_slice(all);
            return self.thin_candidates();
        }
        for _ in 0..self.settings.candidates {
            self.candidates.push(all[self.rng.random_range(0..all.len())]);
        }
        for endpoint in self.prefixes.endpoints(ask.prefix, now) {
            if all.binary_search(&endpoint).is_ok() {
                self.candidates.push(endpoint);
            }
        }
    }

    /// Keeps a random half of the candidates when other hosts place on them too: hosts that all
    /// compare the same endpoints by the same reports would all choose the same one.
    fn thin_candidates(&mut self) {
        if self.sharing_hosts <= 1 || self.receives_placements {
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
        ask: &SchedulingRequest,
        endpoint: EndpointIx,
        forecast: Forecast,
        now: Instant,
    ) {
        let interruptions = self.interrupted.remove(&ask.generation).unwrap_or(0);
        let sequence = Sequence {
            ask: *ask,
            endpoint,
            generated: ask.delivered,
            reported_at: now,
            placed_at: now,
            forecast,
            interruptions,
            moving: false,
            blamed: false,
        };
        let suspect = self.poison.crashes(ask.fingerprint, now) > 0;
        let ix = self.insert_sequence(sequence);
        let view = &mut self.endpoints[endpoint];
        view.sequences.push(ix);
        view.forecast.add(&forecast);
        view.unreported.add(&forecast);
        view.suspects += u32::from(suspect);
        self.prefixes.insert(ask.prefix, endpoint, now);
        self.by_generation.insert(ask.generation, ix);
    }
}
