//! Moves running generations off an engine that leaves.
//!
//! Answers engines that are reclaimed at short notice while they run several long generations.
//! Each is copied while it still runs and stops right after that, for what it generated meanwhile.
//! Smaller ones go first, since more of them fit into the notice, and copies stay in the zone where
//! links are fastest. [`crate::moves`] keeps the copies of one engine apart.

use std::time::{Duration, Instant};

use camphorloft_serving::prelude::EngineSpec;
use camphorloft_types::prelude::*;

use crate::distance::Distance;
use crate::endpoint::Endpoint;
use crate::fleet::Fleet;
use crate::generation::{TokenDemand, expected_fill};
use crate::run::Run;

/// Time from the notice to the end of an engine that does not tell it: the shortest seen
/// is about one and a half seconds.
const DEFAULT_NOTICE: Duration = Duration::from_millis(1500);
/// Time kept for the generation to go on elsewhere.
const HANDOVER_MARGIN: Duration = Duration::from_millis(80);
/// Time of the last copy of a move: an exchange, and what was generated during the first copy.
const FINAL_COPY_DURATION: Duration = Duration::from_millis(25);
/// Speed at which a crowded engine that also reads prompts generates for one sequence, in tokens per
/// second: a step takes 7 ms, and 8 ms more with a part of a prompt.
const CONTENDED_TOKENS_PER_SECOND: f64 = 80.0;
/// Part of the time left in which a generation must be expected to end to be left alone.
const FINISH_FRACTION: f64 = 0.7;
/// Time that the first copy of a move takes beside its bytes.
const COPY_SETUP_DURATION: Duration = Duration::from_millis(8);
/// Factor of the time of a copy between availability zones.
const CROSS_ZONE_FACTOR: u32 = 2;
/// Estimated share of the memory in use, with the copy, up to which an engine is a destination. The
/// estimate is half a second old, and an engine without room refuses a copy at once.
const MAX_DESTINATION_USAGE: f64 = 1.0;
/// Cost of a destination whose whole memory is expected to be needed, in milliseconds: a copy that
/// ends that much sooner elsewhere is preferred.
const FULL_MS: f64 = 400.0;

/// What becomes of a generation on an engine that leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReclaimDecision {
    /// It is expected to end before the engine leaves.
    Finish,
    /// It is copied and goes on elsewhere.
    Migrate {
        /// Destination.
        to: EndpointIx,
        /// Time that the move takes once the links are free.
        duration: Duration,
    },
    /// No engine has room for it, or no copy would be complete in time.
    NoDestination(NoDestination),
}

/// Why a generation has no destination: the engines by what keeps them from being one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoDestination {
    /// Engines without room.
    pub full: u32,
    /// Engines to which the copy would not be complete in time.
    pub too_late: u32,
    /// Engines that refused a copy lately.
    pub refusing: u32,
}

/// Returns when an engine is expected to leave. Meant for one that is known to leave.
pub fn shutdown_at(endpoint: &Endpoint, now: Instant) -> Instant {
    let since = endpoint.draining_since().unwrap_or(now);
    endpoint.shutdown_at.unwrap_or(since + DEFAULT_NOTICE)
}

/// Returns the turn in which a generation begins to move: smaller ones first.
pub fn start_round(run: &Run) -> u32 {
    const TOKENS_PER_ROUND: u32 = 400;
    run.kv_tokens() / TOKENS_PER_ROUND
}

/// Decides about a generation of this host on an engine that leaves. Engines in `tried` refused a
/// copy of it.
pub fn decide(
    fleet: &Fleet,
    spec: &EngineSpec,
    from: EndpointIx,
    run: &Run,
    tried: &[EndpointIx],
    now: Instant,
) -> ReclaimDecision {
    let Some(source) = fleet.get(from) else {
        return ReclaimDecision::NoDestination(NoDestination::default());
    };
    let left = shutdown_at(source, now).saturating_duration_since(now);
    let to_finish = f64::from(run.expected_remaining()) / CONTENDED_TOKENS_PER_SECOND;
    if to_finish < left.as_secs_f64() * FINISH_FRACTION {
        return ReclaimDecision::Finish;
    }
    let by = shutdown_at(source, now) - HANDOVER_MARGIN;
    match destination(fleet, spec, from, run, tried, by, now) {
        Ok((to, duration)) => ReclaimDecision::Migrate { to, duration },
        Err(reasons) => ReclaimDecision::NoDestination(reasons),
    }
}

fn destination(
    fleet: &Fleet,
    spec: &EngineSpec,
    from: EndpointIx,
    run: &Run,
    tried: &[EndpointIx],
    by: Instant,
    now: Instant,
) -> Result<(EndpointIx, Duration), NoDestination> {
    let source = fleet.get(from).ok_or_else(NoDestination::default)?;
    let kv_tokens = run.kv_tokens();
    let demand = TokenDemand { kv_tokens, prefill_tokens: 0, expected: run.expected_remaining() };
    let mut best: Option<(f64, EndpointIx, Duration)> = None;
    let mut reasons = NoDestination::default();
    for (ix, endpoint) in fleet.of_service(&source.entry.service) {
        let is_source = endpoint.entry.name == source.entry.name;
        let distance = fleet.locality().between(&source.entry.zone, &endpoint.entry.zone);
        // A copy to another region takes longer than any notice and holds up both links.
        let excluded = is_source || distance == Distance::Remote || tried.contains(&ix);
        if excluded || !endpoint.is_usable(now) {
            continue;
        }
        let load = endpoint.load.engine(&endpoint.runs, now);
        let used = f64::from(load.used + kv_tokens) / f64::from(spec.memory.0.max(1));
        let full = used > MAX_DESTINATION_USAGE || load.sequences >= spec.slots;
        if endpoint.load.refused_copy_recently(now) {
            reasons.refusing += 1;
            continue;
        }
        if full {
            reasons.full += 1;
            continue;
        }
        let duration = migration_duration(spec, distance, kv_tokens);
        let done_at = fleet.migrations.links_free_at(from, ix, now) + duration;
        if done_at > by {
            reasons.too_late += 1;
            continue;
        }
        let wait_ms = done_at.saturating_duration_since(now).as_secs_f64() * 1e3;
        let cost = wait_ms
            + expected_fill(&load, &demand, spec) * FULL_MS
            + endpoint.health.failure_rate(now) * FULL_MS;
        if best.is_none_or(|best| cost < best.0) {
            best = Some((cost, ix, duration));
        }
    }
    best.map(|(_, ix, duration)| (ix, duration)).ok_or(reasons)
}

fn migration_duration(spec: &EngineSpec, distance: Distance, kv_tokens: u32) -> Duration {
    let factor = if distance == Distance::Zone { 1 } else { CROSS_ZONE_FACTOR };
    COPY_SETUP_DURATION + spec.copy_time(TokenCount(kv_tokens)) * factor + FINAL_COPY_DURATION
}
