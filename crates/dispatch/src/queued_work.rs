//! A request that waits for an endpoint, with what determines its place in the queue.

use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;

use crate::generation::TokenDemand;

/// A generation that waits for an engine, or a call that waits for an endpoint of a plain service.
#[derive(Clone, Debug)]
pub struct QueuedWork {
    /// Whether its stream began on another engine and was interrupted.
    pub resumes: bool,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Organisation of the client.
    pub organisation: Option<OrganisationName>,
    /// When it arrived, or its stream was interrupted.
    pub arrived_at: Instant,
    /// Time after the arrival in which the first event is due; zero if the route has no objective.
    pub objective: Duration,
    /// Deadline for the end of the response.
    pub deadline: Instant,
    /// Token requirements. A call of a plain service counts as one token.
    pub demand: TokenDemand,
    /// Expected time from its start to the first event or the response.
    pub first_event: Duration,
    /// Expected duration on a busy endpoint.
    pub duration: Duration,
    /// Size of the request body, in bytes.
    pub body_bytes: u64,
    /// Whether it may not be sent to all engines of the service, so that it may have to wait while
    /// others start.
    pub is_restricted: bool,
}

impl QueuedWork {
    /// Returns when the first event is due.
    pub fn due_at(&self) -> Instant {
        match self.objective.is_zero() {
            true => self.deadline,
            false => self.deadline.min(self.arrived_at + self.objective),
        }
    }

    /// Returns the time until the first event is due.
    pub fn due(&self, now: Instant) -> Duration {
        self.due_at().saturating_duration_since(now)
    }

    /// Returns the time that can pass until the prefill has to begin, or `None` if the first event can
    /// no longer be in time.
    pub fn slack(&self, now: Instant) -> Option<Duration> {
        self.due(now).checked_sub(self.first_event)
    }

    /// Returns true when the first event can no longer be in time.
    pub fn is_late(&self, now: Instant) -> bool {
        self.slack(now).is_none()
    }

    /// Returns the time until the generation has to start for its first event to be in time on a busy
    /// engine.
    pub fn time_to_start(&self, now: Instant) -> Duration {
        self.due(now).saturating_sub(self.first_event * 2)
    }

    /// Returns the time after which the generation can no longer be completed before its deadline.
    pub fn time_to_complete(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now).saturating_sub(self.duration)
    }

    /// Returns true when half of the time has passed for which the generation can wait at all.
    pub fn has_waited_long(&self, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.arrived_at);
        waited >= self.time_to_complete(now)
    }

    /// Returns its expected peak memory use, in tokens.
    pub fn tokens(&self) -> u64 {
        u64::from(self.demand.kv_tokens) + u64::from(self.demand.expected)
    }

    /// Returns its expected work: memory use in tokens, times its expected duration in milliseconds.
    pub fn work(&self) -> u64 {
        let duration_ms = u64::try_from(self.duration.as_millis()).unwrap_or(u64::MAX);
        self.tokens().saturating_mul(duration_ms)
    }
}
