//! Places a generation, lets it wait or refuses it.
//!
//! Answers bursts of long generations while engines are being reclaimed. An engine that is filled
//! beyond its memory preempts running generations, which costs more than the one that it admits
//! gains, so a generation first waits at the host for room. One that can no longer begin in time
//! is refused at once, with the time after which room is expected, and has not run.

use std::fmt;
use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;
use rand::Rng;

use crate::choice::Choice;
use crate::generation::{self, TokenDemand};
use crate::pool::Pool;

/// Expected share of memory up to which an engine admits a generation that could also wait.
const MAX_FILL: f64 = 1.0;
/// Expected share of memory up to which an engine admits a generation that has waited.
const MAX_FILL_AFTER_WAIT: f64 = 1.15;
/// Part of the time to the first event that a generation may wait; the rest is for its prompt.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// Time after which a refused caller should come back: a generation ends on each engine about this
/// often, and replaced engines return in a few times of it.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(700);
/// Random addition to that time, so that refused callers do not come back together.
const RETRY_AFTER_JITTER: Duration = Duration::from_millis(600);

/// Why a generation is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefuseReason {
    /// No engine of the service can be used.
    NoEndpoint,
    /// No engine has room in time.
    NoCapacity,
}

impl fmt::Display for RefuseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RefuseReason::NoEndpoint => "no_endpoint",
            RefuseReason::NoCapacity => "no_room",
        })
    }
}

/// What becomes of a generation that asks for an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It starts.
    Start(Choice),
    /// It asks again a little later.
    Wait,
    /// It is refused.
    Refuse {
        /// Why.
        reason: RefuseReason,
        /// When the caller should come back.
        retry_after: Duration,
    },
}

/// Decides about a generation that has waited since `arrived_at` and whose first event is due
/// `objective` after that.
pub fn admit<Draws>(
    pool: &Pool<'_>,
    demand: &TokenDemand,
    tried: &[EndpointIx],
    (arrived_at, objective): (Instant, Duration),
    now: Instant,
    rng: &mut Draws,
) -> Admission
where
    Draws: Rng,
{
    let waited = now.saturating_duration_since(arrived_at);
    let may_wait = waited < objective.mul_f64(MAX_WAIT_FRACTION);
    let retry_after = MIN_RETRY_AFTER + RETRY_AFTER_JITTER.mul_f64(rng.random());
    let due = objective.saturating_sub(waited);
    let Some(choice) = generation::choose(pool, demand, tried, due, now, rng) else {
        if may_wait {
            return Admission::Wait;
        }
        return Admission::Refuse { reason: RefuseReason::NoEndpoint, retry_after };
    };
    if choice.fill <= MAX_FILL {
        return Admission::Start(choice);
    }
    if may_wait {
        return Admission::Wait;
    }
    if choice.fill <= MAX_FILL_AFTER_WAIT {
        return Admission::Start(choice);
    }
    Admission::Refuse { reason: RefuseReason::NoCapacity, retry_after }
}
