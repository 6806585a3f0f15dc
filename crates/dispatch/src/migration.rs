//! When generations are copied from engine to engine.
//!
//! Answers many hosts that move generations off the same engine at once: copies queue on the links
//! of both engines, and one that is queued before the last copy of another generation stretches the
//! pause in that one's stream. Each host plans its moves around those that it knows, tells them,
//! and postpones its own when an earlier plan that it had not heard of stands in the way.

use std::time::{Duration, Instant};

use camphorloft_types::prelude::EndpointIx;

/// Time between a plan and the earliest begin, in which the plans of other hosts of the region
/// arrive.
const LEAD_TIME: Duration = Duration::from_millis(25);
/// Difference of two begins within which they count as the same; news travel for less.
const START_TOLERANCE: Duration = Duration::from_millis(20);
/// Time for which a plan is kept after its end.
const RETENTION: Duration = Duration::from_secs(1);

/// A move that some host planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedMigration {
    /// Identity, the same on every host.
    pub key: u64,
    /// Engine that runs the generation.
    pub from: EndpointIx,
    /// Destination.
    pub to: EndpointIx,
    /// When the copy begins.
    pub start: Instant,
    /// When the generation goes on at the destination.
    pub end: Instant,
}

impl PlannedMigration {
    /// Returns true when the move uses the link of an engine.
    fn uses(&self, engine: EndpointIx) -> bool {
        self.from == engine || self.to == engine
    }

    fn shares_link(&self, other: &Self) -> bool {
        other.uses(self.from) || other.uses(self.to)
    }

    /// Returns true when `other` stands in the way and goes first.
    fn waits_for(&self, other: &Self) -> bool {
        other.key != self.key
            && self.shares_link(other)
            && other.start < self.end
            && other.end > self.start
            && self.starts_after(other)
    }

    /// Returns true when `other` begins first. Begins that are told are off by the time that the
    /// news took, so that hosts agree on a near tie by the identities of the moves.
    fn starts_after(&self, other: &Self) -> bool {
        if other.start + START_TOLERANCE < self.start {
            return true;
        }
        self.start + START_TOLERANCE >= other.start && other.key < self.key
    }
}

/// The moves that a host knows of.
#[derive(Clone, Debug, Default)]
pub struct MigrationPlans {
    plans: Vec<PlannedMigration>,
}

impl MigrationPlans {
    /// Returns when the links of two engines are free of the moves that are known.
    pub fn links_free_at(&self, from: EndpointIx, to: EndpointIx, now: Instant) -> Instant {
        let busy = self.plans.iter().filter(|plan| plan.uses(from) || plan.uses(to));
        busy.map(|plan| plan.end).fold(now, Instant::max)
    }

    /// Plans a move behind those that are known.
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

    /// Takes a plan, which replaces an earlier one of the same key.
    pub fn record(&mut self, plan: PlannedMigration, now: Instant) {
        self.plans.retain(|known| known.key != plan.key && known.end + RETENTION > now);
        self.plans.push(plan);
    }

    /// Forgets a plan that is not carried out.
    pub fn cancel(&mut self, key: u64) {
        self.plans.retain(|known| known.key != key);
    }

    /// Decides whether a planned move begins. Returns the new plan when it has to wait.
    pub fn postpone(&mut self, plan: &PlannedMigration, now: Instant) -> Option<PlannedMigration> {
        let before = self.plans.iter().filter(|other| plan.waits_for(other));
        let start = before.map(|other| other.end).max()?;
        let later = PlannedMigration { start, end: start + (plan.end - plan.start), ..*plan };
        self.record(later, now);
        Some(later)
    }
}
