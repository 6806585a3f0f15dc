//! A selected endpoint, with the inputs to the decision.

use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;

use crate::candidates::Candidates;
use crate::endpoint::Endpoint;
use crate::expected_gaps::ExpectedGaps;
use crate::fleet::Fleet;

/// A selected endpoint, with the inputs to the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Selected endpoint.
    pub endpoint: EndpointIx,
    /// Expected cost, in milliseconds; the endpoint with the lowest is selected.
    pub cost_ms: f64,
    /// Estimated fraction of requests that fail at the endpoint.
    pub failure_rate: f64,
    /// Expected peak memory use of the engine, as a fraction; 0 for a plain service.
    pub fill: f64,
    /// Prompt tokens that the engine has still to prefill; 0 for a plain service.
    pub prefill_tokens: u32,
    /// Sequences running or waiting at the engine; for a plain service, requests of this host in
    /// progress.
    pub sequences: u32,
    /// Age of the load report used, if any.
    pub report_age: Option<Duration>,
    /// Expected pauses between events, if engines of the service state their speed.
    pub gaps: Option<ExpectedGaps>,
    /// Time until this host may send the request, because the endpoint limits requests.
    pub delay: Duration,
    /// Number of endpoints compared.
    pub compared: u32,
    /// Number of endpoints of the service that were excluded.
    pub unusable: u32,
}

/// Returns the endpoint of a service with the lowest cost, of those that are usable, admitted by
/// `candidates`, and accept a request of this host within the maximum delay. Endpoints outside of this
/// host's subset are considered only if none of the subset is left.
pub(crate) fn cheapest<Evaluate>(
    fleet: &Fleet,
    service: &ServiceName,
    candidates: &Candidates<'_>,
    now: Instant,
    mut evaluate: Evaluate,
) -> Option<Choice>
where
    Evaluate: FnMut(EndpointIx, &Endpoint) -> Choice,
{
    let mut best: Option<(bool, Choice)> = None;
    let (mut compared, mut unusable) = (0, 0);
    let is_brittle = fleet.brittleness(service, now).is_some();
    for (ix, endpoint) in fleet.of_service(service) {
        let has_room = !is_brittle || endpoint.has_free_slot(now);
        if !has_room || !candidates.admits(ix, endpoint, now) {
            unusable += 1;
            continue;
        }
        let delay = endpoint.send_at(now).map(|at| at - now);
        let Some(delay) = delay.filter(|delay| *delay <= candidates.max_delay) else {
            unusable += 1;
            continue;
        };
        let subset_has_one = best.is_some_and(|(in_subset, _)| in_subset);
        if subset_has_one && !endpoint.in_subset {
            continue;
        }
        compared += 1;
        let mut choice = evaluate(ix, endpoint);
        choice.cost_ms += delay.as_secs_f64() * 1e3;
        choice.delay = delay;
        let is_better = best.is_none_or(|(in_subset, best)| {
            endpoint.in_subset && !in_subset || choice.cost_ms < best.cost_ms
        });
        if is_better {
            best = Some((endpoint.in_subset, choice));
        }
    }
    best.map(|(_, best)| Choice { compared, unusable, ..best })
}
