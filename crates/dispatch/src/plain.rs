//! Selects an endpoint for a call of a plain service.
//!
//! A plain service serves short calls at a rate well within its slots, while one of its endpoints
//! may be slow, distant or partially failing. The cost of an endpoint is the expected duration of a
//! call there, including failures, and the endpoint with the lowest cost is selected.

use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;
use rand::Rng;

use crate::candidates::Candidates;
use crate::choice::{Choice, cheapest};
use crate::distance::Distance;
use crate::endpoint::Endpoint;
use crate::fleet::Fleet;
use crate::service_speed::ServiceSpeed;

/// Time that a failed call is expected to cost its client, in milliseconds: a retry or a lost
/// response.
const FAILURE_MS: f64 = 800.0;
/// Cost of traffic between regions, expressed as time, in milliseconds. Low enough that a remote
/// endpoint that answers in time is preferred to a local one that does not.
const CROSS_REGION_MS: f64 = 60.0;
/// Network round trips before a response arrives: one to connect and one for the request.
const ROUND_TRIPS: f64 = 2.0;
/// Service time added when all slots are in use, as a fraction: endpoints slow down when nearly
/// full.
const CONTENTION_FACTOR: f64 = 0.3;
/// Maximum random part of a cost, as a fraction, so that hosts with the same information do not all
/// select the same endpoint.
const JITTER: f64 = 0.15;

/// Selects an endpoint for a call.
pub fn choose<Draws>(
    fleet: &Fleet,
    service: &ServiceName,
    candidates: &Candidates<'_>,
    now: Instant,
    rng: &mut Draws,
) -> Option<Choice>
where
    Draws: Rng,
{
    let speed = fleet.stated_speed(service, now);
    cheapest(fleet, service, candidates, now, |ix, endpoint| Choice {
        endpoint: ix,
        cost_ms: expected_cost_ms(endpoint, speed, now) * (1.0 + JITTER * rng.random::<f64>()),
        failure_rate: endpoint.health.failure_rate(now),
        fill: 0.0,
        prefill_tokens: 0,
        sequences: endpoint.runs.len() as u32,
        report_age: None,
        gaps: None,
        delay: Duration::ZERO,
        compared: 0,
        unusable: 0,
    })
}

/// Returns the expected duration of a call, in milliseconds. `speed` is that of the service, if its
/// endpoints state theirs.
fn expected_cost_ms(endpoint: &Endpoint, speed: Option<&ServiceSpeed>, now: Instant) -> f64 {
    let network = endpoint.connect_time().as_secs_f64() * 1e3 * ROUND_TRIPS;
    let pace = speed.map_or(1.0, |speed| pace(endpoint, speed, now));
    let work = endpoint.service_time().as_secs_f64() * 1e3 * pace;
    let slots = f64::from(endpoint.entry.slots.max(1));
    let busy = endpoint.runs.len() as f64 + endpoint.load.peer_requests(now);
    let queued = (busy + 1.0 - slots).max(0.0);
    let contention = work * CONTENTION_FACTOR * (busy / slots).min(1.0);
    let warmup = endpoint.warm_at.saturating_duration_since(now).as_secs_f64() * 1e3;
    let remote = if endpoint.distance == Distance::Remote { CROSS_REGION_MS } else { 0.0 };
    let failures = endpoint.health.failure_rate(now) * FAILURE_MS;
    network + work + contention + work * queued / slots + warmup.min(work) + remote + failures
}

/// Returns the factor by which a call takes longer than its average at the endpoint: more while
/// neighbours slow the endpoint and less while they do not. Before its first call, the persistent
/// slowness is part of it.
fn pace(endpoint: &Endpoint, speed: &ServiceSpeed, now: Instant) -> f64 {
    let slowed = |probability: f64| 1.0 + probability * (speed.slowed_factor() - 1.0);
    let now_slowed = slowed(endpoint.speed.slowed_probability(speed, now));
    match endpoint.has_served() {
        true => now_slowed / slowed(speed.slowed_share()),
        false => now_slowed * endpoint.speed.slowness(speed),
    }
}
