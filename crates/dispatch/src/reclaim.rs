//! Migrates running generations off a draining engine.
//!
//! Engines are reclaimed at short notice while they run several long generations. Each generation
//! is copied while it still runs, then stopped for a final copy of what it generated meanwhile.
//! Smaller generations migrate first, since more of them fit within the notice. Destinations in the
//! same zone are preferred because links are fastest there. [`crate::migration`] keeps the copies
//! of one engine from overlapping.

use std::time::{Duration, Instant};

use camphorloft_serving::prelude::{EngineSpec, Residency};
use camphorloft_types::prelude::*;

use crate::distance::Distance;
use crate::endpoint::Endpoint;
use crate::fleet::Fleet;
use crate::generation::{TokenDemand, expected_fill};
use crate::pool::Pool;
use crate::run::Run;
use crate::uneven_speed::UnevenSpeed;

/// Assumed time from the notice to the shutdown of an engine that does not announce it: the
/// shortest observed is about 1.5 seconds.
const DEFAULT_NOTICE: Duration = Duration::from_millis(1500);
/// Time reserved for resuming the generation at the destination.
const HANDOVER_MARGIN: Duration = Duration::from_millis(80);
/// Duration of the final copy: one round trip, and the tokens generated during the first copy.
const FINAL_COPY_DURATION: Duration = Duration::from_millis(25);
/// Generation speed for one sequence on a contended engine that also prefills prompts, in tokens
/// per second: a step takes 7 ms, and 8 ms more with a prompt chunk.
const CONTENDED_TOKENS_PER_SECOND: f64 = 80.0;
/// Fraction of the remaining time within which a generation must be expected to end to stay on the
/// engine.
const FINISH_FRACTION: f64 = 0.7;
/// Fixed duration of the first copy, in addition to the transfer of its bytes.
const COPY_SETUP_DURATION: Duration = Duration::from_millis(8);
/// Round trips from this host to the source in which its link is reserved and idle: one for each copy. A
/// host in another region would otherwise make its final copy after the next migration has begun.
const COPY_ROUND_TRIPS: u32 = 2;
/// Factor on the transfer time of a copy between availability zones.
const CROSS_ZONE_FACTOR: u32 = 2;
/// Estimated memory use including the copy, as a fraction, up to which an engine qualifies as a
/// destination. There is no margin because the estimate is half a second old, and an engine without
/// capacity refuses a copy at once.
const MAX_DESTINATION_USAGE: f64 = 1.0;
/// Cost of a destination whose whole memory is expected to be used, in milliseconds: it is
/// preferred to an empty engine only if its copy ends sooner by more than this.
const FULL_MS: f64 = 400.0;
/// Expected memory use, as a fraction, from which a destination may preempt a generation. It matters
/// where destinations are preferred for their speed, so that they fill up.
const CONTENDED_FILL: f64 = 0.85;
/// Cost of a destination where the generation becomes late for certain, in milliseconds: a copy to
/// another engine may end later by several copies, as long as it ends before the shutdown.
const LATE_MS: f64 = 1000.0;

/// Decision about a generation on a draining engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReclaimDecision {
    /// Leave it on the engine: it is expected to end before the shutdown.
    Finish,
    /// Migrate it.
    Migrate {
        /// Destination.
        to: EndpointIx,
        /// Duration of the migration once the links are free.
        duration: Duration,
    },
    /// No engine has capacity for it, or no copy would complete in time.
    NoDestination(NoDestination),
}

/// Number of engines excluded as destinations, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoDestination {
    /// Engines without capacity.
    pub full: u32,
    /// Engines to which the copy would not complete in time.
    pub too_late: u32,
    /// Engines that refused a copy recently.
    pub refusing: u32,
    /// Engines outside of the regions in which the generation may be processed.
    pub other_region: u32,
    /// Engines of another software version, which cannot continue the generation.
    pub other_version: u32,
    /// Engines that limit requests, and that this host may not send the generation to in time.
    pub limited: u32,
}

/// A generation on a draining engine, and what restricts its destination.
#[derive(Clone, Copy, Debug)]
pub struct ReclaimedRun<'a> {
    /// Generation.
    pub run: &'a Run,
    /// Engines that refused a copy of it.
    pub tried: &'a [EndpointIx],
    /// Regions in which it may be processed.
    pub residency: &'a Residency,
}

/// Returns the expected shutdown time of an engine. Meaningful only for one that is draining.
pub fn shutdown_at(endpoint: &Endpoint, now: Instant) -> Instant {
    let since = endpoint.draining_since().unwrap_or(now);
    endpoint.shutdown_at.unwrap_or(since + DEFAULT_NOTICE)
}

/// Returns the round in which the migration of a generation starts: smaller generations first.
pub fn start_round(run: &Run) -> u32 {
    const TOKENS_PER_ROUND: u32 = 400;
    run.kv_tokens() / TOKENS_PER_ROUND
}

/// Decides about a generation of this host on a draining engine.
pub fn decide(
    fleet: &Fleet,
    spec: &EngineSpec,
    from: EndpointIx,
    reclaimed: &ReclaimedRun<'_>,
    now: Instant,
) -> ReclaimDecision {
    let Some(source) = fleet.get(from) else {
        return ReclaimDecision::NoDestination(NoDestination::default());
    };
    let remaining = shutdown_at(source, now).saturating_duration_since(now);
    let run = reclaimed.run;
    let pool = Pool { fleet, service: &source.entry.service, spec };
    let demand = demand(run);
    let uneven = UnevenSpeed::new(&pool, &demand, now);
    let to_finish = match &uneven {
        Some(uneven) => uneven.finish_secs(source, &demand, now),
        None => f64::from(run.expected_remaining()) / CONTENDED_TOKENS_PER_SECOND,
    };
    if to_finish < remaining.as_secs_f64() * FINISH_FRACTION {
        return ReclaimDecision::Finish;
    }
    let deadline = shutdown_at(source, now) - HANDOVER_MARGIN;
    match destination(&pool, uneven.as_ref(), from, reclaimed, deadline, now) {
        Ok((to, duration)) => ReclaimDecision::Migrate { to, duration },
        Err(reasons) => ReclaimDecision::NoDestination(reasons),
    }
}

/// Returns what a generation that migrates requires.
fn demand(run: &Run) -> TokenDemand {
    let expected = run.expected_remaining();
    TokenDemand { kv_tokens: run.kv_tokens(), prefill_tokens: 0, expected }
}

fn destination(
    pool: &Pool<'_>,
    uneven: Option<&UnevenSpeed<'_>>,
    from: EndpointIx,
    reclaimed: &ReclaimedRun<'_>,
    deadline: Instant,
    now: Instant,
) -> Result<(EndpointIx, Duration), NoDestination> {
    let Pool { fleet, spec, .. } = *pool;
    let source = fleet.get(from).ok_or_else(NoDestination::default)?;
    let ReclaimedRun { run, tried, residency } = *reclaimed;
    let demand = demand(run);
    let kv_tokens = demand.kv_tokens;
    let mut best: Option<(f64, EndpointIx, Duration)> = None;
    let mut reasons = NoDestination::default();
    for (ix, endpoint) in fleet.of_service(&source.entry.service) {
        let is_source = endpoint.entry.name == source.entry.name;
        let distance = fleet.locality().between(&source.entry.zone, &endpoint.entry.zone);
        // A copy to another region takes longer than any notice and occupies both links.
        let out_of_reach = distance == Distance::Remote || !endpoint.in_subset;
        let excluded = is_source || out_of_reach || tried.contains(&ix);
        if excluded || !endpoint.is_usable(now) {
            continue;
        }
        if !residency.allows_place(endpoint.region.as_ref()) {
            reasons.other_region += 1;
            continue;
        }
        let began = source.entry.software.as_ref();
        if !began.is_some_and(|software| endpoint.entry.has_software(software)) {
            reasons.other_version += 1;
            continue;
        }
        let load = endpoint.load.estimate_engine_load(&endpoint.runs, now);
        let used =
            (f64::from(load.used) + f64::from(kv_tokens)) / f64::from(spec.kv_capacity.0.max(1));
        let full = used > MAX_DESTINATION_USAGE || load.sequences >= spec.slots;
        if endpoint.load.refused_copy_recently(now) {
            reasons.refusing += 1;
            continue;
        }
        if full {
            reasons.full += 1;
            continue;
        }
        let duration = migration_duration(spec, distance, kv_tokens)
            + source.connect_time() * COPY_ROUND_TRIPS;
        let done_at = fleet.migrations.links_free_at(from, ix, now) + duration;
        if done_at > deadline {
            reasons.too_late += 1;
            continue;
        }
        if endpoint.send_at(now).is_none_or(|at| at > done_at) {
            reasons.limited += 1;
            continue;
        }
        let wait_ms = done_at.saturating_duration_since(now).as_secs_f64() * 1e3;
        let fill = expected_fill(&load, &demand, spec);
        let late = uneven.map_or(0.0, |uneven| {
            let gaps = uneven.gaps(endpoint, &load, now);
            let preempted = ((fill - CONTENDED_FILL) / (1.0 - CONTENDED_FILL)).max(0.0);
            uneven.late_probability(endpoint, &gaps, &demand, now) + preempted
        });
        let cost =
            wait_ms + late * LATE_MS + fill * FULL_MS + endpoint.health.failure_rate(now) * FULL_MS;
        if best.is_none_or(|best| cost < best.0) {
            best = Some((cost, ix, duration));
        }
    }
    best.map(|(_, ix, duration)| (ix, duration)).ok_or(reasons)
}

fn migration_duration(spec: &EngineSpec, distance: Distance, kv_tokens: u32) -> Duration {
    let factor = if distance == Distance::Zone { 1 } else { CROSS_ZONE_FACTOR };
    COPY_SETUP_DURATION
        + spec.transfer_duration(TokenCount(kv_tokens)) * factor
        + FINAL_COPY_DURATION
}
