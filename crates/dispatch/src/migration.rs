//! Schedules migrations of generations between engines.
//!
//! Many hosts may migrate generations off the same engine at once. Copies queue on the links of
//! both engines, and a copy queued before the final copy of another generation lengthens the pause
//! in the stream of that generation. Each host plans its migrations around those it knows, sends
//! its plans to the other hosts, and postpones a migration that conflicts with an earlier plan
//! received later.

use std::time::{Duration, Instant};

use camphorloft_types::prelude::EndpointIx;

/// Time between planning a migration and its earliest start, in which the plans of other hosts of
/// the region arrive.
const LEAD_TIME: Duration = Duration::from_millis(25);
/// Difference of start times up to which two migrations count as simultaneous; plans are delivered
/// in less.
const START_TOLERANCE: Duration = Duration::from_millis(20);
/// Time for which a plan is kept after its end.
const RETENTION: Duration = Duration::from_secs(1);

/// A migration planned by any host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedMigration {
    /// Identifier, the same on every host.
    pub key: u64,
    /// Engine that runs the generation.
    pub from: EndpointIx,
    /// Destination.
    pub to: EndpointIx,
    /// When the copy starts.
    pub start: Instant,
    /// When the generation resumes at the destination.
    pub end: Instant,
}

impl PlannedMigration {
    /// Returns true if the migration uses the link of an engine.
    fn uses(&self, engine: EndpointIx) -> bool {
        self.from == engine || self.to == engine
    }

    fn shares_link(&self, other: &Self) -> bool {
        other.uses(self.from) || other.uses(self.to)
    }

    /// Returns true if `other` conflicts with this migration and has precedence.
    fn waits_for(&self, other: &Self) -> bool {
        other.key != self.key
            && self.shares_link(other)
            && other.start < self.end
            && other.end > self.start
            && self.starts_after(other)
    }

    /// Returns true if `other` starts first. The start times received from other hosts are off by
    /// the delivery time, so near ties are decided by key, which makes all hosts agree.
    fn starts_after(&self, other: &Self) -> bool {
        if other.start + START_TOLERANCE < self.start {
            return true;
        }
        self.start + START_TOLERANCE >= other.start && other.key < self.key
    }
}

/// The migrations known to a host.
#[derive(Clone, Debug, Default)]
pub struct MigrationPlans {
    plans: Vec<PlannedMigration>,
}

impl MigrationPlans {
    /// Returns when the known migrations leave the links of two engines free, `now` at the
    /// earliest.
    pub fn links_free_at(&self, from: EndpointIx, to: EndpointIx, now: Instant) -> Instant {
        let busy = self.plans.iter().filter(|plan| plan.uses(from) || plan.uses(to));
        busy.map(|plan| plan.end).fold(now, Instant::max)
    }

    /// Plans a migration after the known ones that use the same links.
    ///
    /// ```
    /// use camphorloft_dispatch::migration::MigrationPlans;
    /// use camphorloft_types::prelude::EndpointIx;
    /// use std::time::{Duration, Instant};
    /// let (a, b, c) = (0, 1, 2);
    /// let [a, b, c] = [a, b, c].map(EndpointIx::from_u32);
    /// let (now, duration) = (Instant::now(), Duration::from_millis(200));
    /// let mut plans = MigrationPlans::default();
    /// let first = plans.plan(1, a, b, duration, now);
    /// assert_eq!(plans.plan(2, a, c, duration, now).start, first.end);
    /// ```
    pub fn plan(
        &mut self,
        key: u64,
        from: EndpointIx,
        to: EndpointIx,
        duration: Duration,
        now: Instant,
    ) -> PlannedMigration {
        self.cancel(key);
        let start = self.links_free_at(from, to, now + LEAD_TIME);
        let plan = PlannedMigration { key, from, to, start, end: start + duration };
        self.record(plan, now);
        plan
    }

    /// Records a plan, replacing an earlier one with the same key.
    pub fn record(&mut self, plan: PlannedMigration, now: Instant) {
        self.plans.retain(|known| known.key != plan.key && known.end + RETENTION > now);
        self.plans.push(plan);
    }

    /// Returns true if a plan with the same key and destination is known.
    pub fn is_known(&self, plan: &PlannedMigration) -> bool {
        self.plans.iter().any(|known| known.key == plan.key && known.to == plan.to)
    }

    /// Removes a plan that will not be carried out.
    pub fn cancel(&mut self, key: u64) {
        self.plans.retain(|known| known.key != key);
    }

    /// Postpones a planned migration that conflicts with one that has precedence. Returns the new
    /// plan, or `None` if the migration can start.
    pub fn postpone(&mut self, plan: &PlannedMigration, now: Instant) -> Option<PlannedMigration> {
        let blocking = self.plans.iter().filter(|other| plan.waits_for(other));
        let start = blocking.map(|other| other.end).max()?;
        let later = PlannedMigration { start, end: start + (plan.end - plan.start), ..*plan };
        self.record(later, now);
        Some(later)
    }
}
