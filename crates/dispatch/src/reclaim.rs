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
use crate::generation::{Need, expected_fill};
use crate::run::Run;

/// Time from the notice to the end of an engine that does not tell it: the shortest seen
/// is about one and a half seconds.
const ASSUMED_NOTICE: Duration = Duration::from_millis(1500);
/// Time kept for the generation to go on elsewhere.
const HANDOVER_MARGIN: Duration = Duration::from_millis(80);
/// Time of the last copy of a move: an exchange, and what was generated during the first copy.
const LAST_COPY: Duration = Duration::from_millis(25);
/// Speed at which a crowded engine that also reads prompts generates for one sequence, in tokens per
/// second: a step takes 7 ms, and 8 ms more with a part of a prompt.
const CROWDED_TOKENS_PER_SECOND: f64 = 80.0;
/// Part of the time left in which a generation must be expected to end to be left alone.
const FINISH_PART: f64 = 0.7;
/// Time that the first copy of a move takes beside its bytes.
const COPY_SETUP: Duration = Duration::from_millis(8);
/// Factor of the time of a copy between availability zones.
const CROSS_ZONE_FACTOR: u32 = 2;
/// Estimated share of the memory in use, with the copy, up to which an engine is a destination. The
/// estimate is half a second old, and an engine without room refuses a copy at once.
const DESTINATION_USED: f64 = 1.0;
/// Cost of a destination whose whole memory is expected to be needed, in milliseconds: a copy that
/// ends that much sooner elsewhere is preferred.
const FULL_MS: f64 = 400.0;

/// What becomes of a generation on an engine that leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    /// It is expected to end before the engine leaves.
    Finish,
    /// It is copied and goes on elsewhere.
    Move {
        /// Destination.
        to: EndpointIx,
        /// Time that the move takes once the links are free.
        takes: Duration,
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
pub fn leaves_at(endpoint: &Endpoint, now: Instant) -> Instant {
    let since = endpoint.leaving_since().unwrap_or(now);
    endpoint.leaves_at.unwrap_or(since + ASSUMED_NOTICE)
}

/// Returns the turn in which a generation begins to move: smaller ones first.
pub fn turn(run: &Run) -> u32 {
    const TOKENS_PER_TURN: u32 = 400;
    run.held_tokens() / TOKENS_PER_TURN
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
) -> Fate {
    let Some(source) = fleet.get(from) else {
        return Fate::NoDestination(NoDestination::default());
    };
    let left = leaves_at(source, now).saturating_duration_since(now);
    let to_finish = f64::from(run.expected_left()) / CROWDED_TOKENS_PER_SECOND;
    if to_finish < left.as_secs_f64() * FINISH_PART {
        return Fate::Finish;
    }
    let by = leaves_at(source, now) - HANDOVER_MARGIN;
    match destination(fleet, spec, from, run, tried, by, now) {
        Ok((to, takes)) => Fate::Move { to, takes },
        Err(reasons) => Fate::NoDestination(reasons),
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
    let held = run.held_tokens();
    let need = Need { held, unread: 0, expected: run.expected_left() };
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
        let used = f64::from(load.used + held) / f64::from(spec.kv_capacity.0.max(1));
        let full = used > DESTINATION_USED || load.sequences >= spec.slots;
        if endpoint.load.refuses_copies(now) {
            reasons.refusing += 1;
            continue;
        }
        if full {
            reasons.full += 1;
            continue;
        }
        let takes = move_time(spec, distance, held);
        let done_at = fleet.moves.free_at(from, ix, now) + takes;
        if done_at > by {
            reasons.too_late += 1;
            continue;
        }
        let wait_ms = done_at.saturating_duration_since(now).as_secs_f64() * 1e3;
        let cost = wait_ms
            + expected_fill(&load, &need, spec) * FULL_MS
            + endpoint.health.failure_share(now) * FULL_MS;
        if best.is_none_or(|best| cost < best.0) {
            best = Some((cost, ix, takes));
        }
    }
    best.map(|(_, ix, takes)| (ix, takes)).ok_or(reasons)
}

fn move_time(spec: &EngineSpec, distance: Distance, held: u32) -> Duration {
    let factor = if distance == Distance::Zone { 1 } else { CROSS_ZONE_FACTOR };
    COPY_SETUP + spec.transfer_duration(TokenCount(held)) * factor + LAST_COPY
}
