//! Starts, delays or refuses a generation.
//!
//! Handles bursts of long generations while engines are being reclaimed. An engine filled beyond
//! its memory preempts running generations, which costs more than admitting another one gains, so a
//! generation first waits at the host for capacity. A generation that can no longer start in time
//! is refused at once, before any of it has run, with the time after which capacity is expected.

use std::fmt;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::candidates::Candidates;
use crate::choice::Choice;
use crate::generation::{self, TokenDemand};
use crate::pool::Pool;

/// Expected memory use, as a fraction, up to which a generation is admitted while it can still
/// wait.
pub(crate) const MAX_FILL: f64 = 1.0;
/// The same for an engine that crashes when it has to refuse many requests.
pub(crate) const MAX_FILL_IF_BRITTLE: f64 = 0.9;
/// Expected memory use, as a fraction, up to which a generation is admitted once it cannot wait any
/// longer. The estimate is an upper one for short generations, which end before others grow.
pub(crate) const MAX_FILL_AFTER_WAIT: f64 = 1.15;
/// Maximum fraction of the first-event objective spent waiting; the rest is for the prefill.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// Minimum delay before a refused client retries: on each engine a generation ends about this
/// often, and replacement engines become available within a few such periods.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(700);
/// Maximum random addition to that delay, so that refused clients do not retry simultaneously.
const RETRY_AFTER_JITTER: Duration = Duration::from_millis(600);

/// Reason for which a generation is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefuseReason {
    /// No engine of the service is usable.
    NoEndpoint,
    /// No engine has capacity in time.
    NoCapacity,
    /// The engines limit requests, and this host has used up its share.
    Limited,
}

impl RefuseReason {
    /// Returns its name in logs and responses.
    pub fn as_str(self) -> &'static str {
        match self {
            RefuseReason::NoEndpoint => "no_endpoint",
            RefuseReason::NoCapacity => "no_room",
            RefuseReason::Limited => "limited",
        }
    }
}

impl fmt::Display for RefuseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Admission decision for a generation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// Start now on the chosen engine.
    Start(Choice),
    /// Wait and request admission again shortly.
    Wait,
    /// Refuse.
    Refuse {
        /// Reason.
        reason: RefuseReason,
        /// Time after which the client should retry.
        retry_after: Duration,
    },
}

/// Decides whether to admit a generation that arrived at `arrived_at` and whose first event is due
/// `objective` after that. The maximum delay at an endpoint follows from these.
pub fn admit<Draws>(
    pool: &Pool<'_>,
    demand: &TokenDemand,
    candidates: &Candidates<'_>,
    (arrived_at, objective): (Instant, Duration),
    now: Instant,
    rng: &mut Draws,
) -> Admission
where
    Draws: Rng,
{
    let waited = now.saturating_duration_since(arrived_at);
    let max_delay = objective.mul_f64(MAX_WAIT_FRACTION).saturating_sub(waited);
    let may_wait = !max_delay.is_zero();
    let retry_after = MIN_RETRY_AFTER + RETRY_AFTER_JITTER.mul_f64(rng.random());
    let due = objective.saturating_sub(waited);
    let candidates = Candidates { max_delay, ..*candidates };
    let choice = generation::choose(pool, demand, &candidates, due, now, rng);
    let Some(choice) = choice else {
        if let Some(until) = pool.fleet.limited_for(pool.service, &candidates, now) {
            let retry_after = until.mul_f64(1.0 + rng.random::<f64>());
            return Admission::Refuse { reason: RefuseReason::Limited, retry_after };
        }
        if may_wait {
            return Admission::Wait;
        }
        return Admission::Refuse { reason: RefuseReason::NoEndpoint, retry_after };
    };
    let is_brittle = pool.fleet.brittleness(pool.service, now).is_some();
    if choice.fill <= if is_brittle { MAX_FILL_IF_BRITTLE } else { MAX_FILL } {
        return Admission::Start(choice);
    }
    if may_wait {
        return Admission::Wait;
    }
    if choice.fill <= MAX_FILL_AFTER_WAIT && !is_brittle {
        return Admission::Start(choice);
    }
    Admission::Refuse { reason: RefuseReason::NoCapacity, retry_after }
}
