//! The steps by which the identifiers of a stream's events increase.

use crate::event_id::EventId;

/// Number of steps that show whether all are equal.
const ENOUGH: u32 = 3;

/// The differences between the identifiers of events that follow each other in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventSteps {
    count: u32,
    smallest: u64,
    largest: u64,
}

impl EventSteps {
    /// Records two events of an answer that follow each other.
    pub fn record(&mut self, before: EventId, next: EventId) {
        let step = next.distance_from(before);
        *self = self.and(Self { count: 1, smallest: step, largest: step });
    }

    /// Returns these steps and others.
    pub fn and(self, other: Self) -> Self {
        if self.is_empty() {
            return other;
        }
        if other.is_empty() {
            return self;
        }
        Self {
            count: self.count.saturating_add(other.count),
            smallest: self.smallest.min(other.smallest),
            largest: self.largest.max(other.largest),
        }
    }

    /// Returns true if `before` and `next` differ by at least twice as much as any two events that follow each
    /// other, as they do in a stream of equal steps if an event is missing between them.
    ///
    /// ```
    /// use camphorloft_host::event_steps::EventSteps;
    /// let [four, eight, twelve, twenty] = ["4", "8", "12", "20"].map(|id| id.parse().unwrap());
    /// let mut steps = EventSteps::default();
    /// assert!(steps.exceeded_by(four, eight));
    /// steps.record(four, eight);
    /// assert!(!steps.exceeded_by(eight, twelve));
    /// assert!(steps.exceeded_by(twelve, twenty));
    /// ```
    pub fn exceeded_by(&self, before: EventId, next: EventId) -> bool {
        next.distance_from(before) >= self.largest.max(1).saturating_mul(2)
    }

    /// Returns the largest step, or zero if there are none.
    pub fn largest(self) -> u64 {
        self.largest
    }

    /// Returns true if there are none.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns whether all steps are equal, or `None` if too few are known. Identifiers that increase by unequal
    /// steps do not show whether an event is missing.
    pub fn are_equal(&self) -> Option<bool> {
        (self.count >= ENOUGH).then_some(self.smallest == self.largest)
    }
}
