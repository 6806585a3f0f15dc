//! Moves running generations off an engine that leaves.
//!
//! Answers engines that are reclaimed at short notice while they run several long generations.
//! Copies of one engine share its link and are made one after the other, so each generation is
//! copied while it still runs, in the engine's zone where the link is fastest, and stops only for
//! what it generated meanwhile, after the first copies of all others.

use std::time::{Duration, Instant};

use camphorloft_serving::prelude::EngineSpec;
use camphorloft_types::prelude::*;

use crate::distance::Distance;
use crate::endpoint::Endpoint;
use crate::fleet::Fleet;
use crate::generation::{Need, expected_fill};
use crate::load::TOKENS_PER_SECOND;
use crate::run::Run;

/// Time from the notice to the end of an engine that does not tell it: the shortest of the sheets
/// is about one and a half seconds.
const ASSUMED_NOTICE: Duration = Duration::from_millis(1500);
/// Time kept for the last copy and for the generation to go on elsewhere.
const HANDOVER_MARGIN: Duration = Duration::from_millis(350);
/// Part of the time left in which a generation must be expected to end to be left alone.
const FINISH_PART: f64 = 0.7;
/// Factor of the time of a copy between availability zones.
const CROSS_ZONE_FACTOR: u32 = 2;
/// Expected share of memory up to which an engine is a destination.
const DESTINATION_FILL: f64 = 1.05;

/// What becomes of a generation on an engine that leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    /// It is expected to end before the engine leaves.
    Finish,
    /// It is copied and goes on elsewhere.
    Move {
        /// Destination.
        to: EndpointIx,
        /// When its last part is copied, at the earliest: the link is busy until then.
        stop_at: Instant,
        /// When its last part is copied, at the latest.
        stop_by: Instant,
    },
    /// No engine has room for it.
    NoDestination,
}

/// Returns when an engine is expected to leave. Meant for one that is known to leave.
pub fn leaves_at(endpoint: &Endpoint, now: Instant) -> Instant {
    let since = endpoint.leaving_since().unwrap_or(now);
    endpoint.leaves_at.unwrap_or(since + ASSUMED_NOTICE)
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
    let Some(source) = fleet.get(from) else { return Fate::NoDestination };
    let left = leaves_at(source, now).saturating_duration_since(now);
    let to_finish = f64::from(run.expected_left()) / TOKENS_PER_SECOND;
    if to_finish < left.as_secs_f64() * FINISH_PART {
        return Fate::Finish;
    }
    let Some((to, distance)) = destination(fleet, spec, source, run, tried, now) else {
        return Fate::NoDestination;
    };
    let factor = if distance == Distance::Zone { 1 } else { CROSS_ZONE_FACTOR };
    let since = source.leaving_since().unwrap_or(now);
    let copies = spec.copy_time(TokenCount(tokens_on(source, now))) * factor;
    let stop_by = leaves_at(source, now) - HANDOVER_MARGIN;
    Fate::Move { to, stop_at: (since + copies).min(stop_by), stop_by }
}

/// Returns the tokens of all generations on an engine.
fn tokens_on(endpoint: &Endpoint, now: Instant) -> u32 {
    endpoint.load.engine(&endpoint.runs, now).used
}

fn destination(
    fleet: &Fleet,
    spec: &EngineSpec,
    source: &Endpoint,
    run: &Run,
    tried: &[EndpointIx],
    now: Instant,
) -> Option<(EndpointIx, Distance)> {
    let need = Need { held: run.held_tokens(), unread: 0, expected: run.expected_left() };
    let mut best: Option<(Distance, f64, EndpointIx)> = None;
    for (ix, endpoint) in fleet.of_service(&source.entry.service) {
        let is_source = endpoint.entry.name == source.entry.name;
        if is_source || tried.contains(&ix) || !endpoint.is_usable(now) {
            continue;
        }
        let load = endpoint.load.engine(&endpoint.runs, now);
        let fill = expected_fill(&load, &need, spec);
        if fill > DESTINATION_FILL || load.sequences >= spec.slots {
            continue;
        }
        let distance = fleet.locality().between(&source.entry.zone, &endpoint.entry.zone);
        let rank = (distance, fill + endpoint.health.failure_share(now), ix);
        if best.is_none_or(|best| (rank.0, rank.1) < (best.0, best.1)) {
            best = Some(rank);
        }
    }
    best.map(|(distance, _, ix)| (ix, distance))
}
