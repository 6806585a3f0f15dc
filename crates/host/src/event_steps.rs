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
        self.smallest = if self.count == 0 { step } else { self.smallest.min(step) };
        self.largest = self.largest.max(step);
        self.count = self.count.saturating_add(1);
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
