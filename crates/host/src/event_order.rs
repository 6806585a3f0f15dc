//! The order of the events of a stream: which are sent to the client, and whether some are missing or come
//! twice where the stream continues at another engine.

use crate::event_id::EventId;
use crate::event_steps::EventSteps;
use crate::last_event::LastEvent;

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventVerdict {
    /// Send it to the client, after those that are kept.
    Send,
    /// Keep it until a later event shows whether others are missing before those that are kept.
    Keep,
    /// Drop it, since the client has received it.
    Drop,
    /// Events are missing before the one with this identifier.
    Missing(EventId),
}

/// Decides which events of a stream are sent to the client.
///
/// The answer of one engine arrives in order and without gaps, whatever its identifiers are. Only at the first
/// event that another engine sends for a stream may others be missing. The identifiers show this if they increase
/// by equal steps.
///
/// ```
/// use camphorloft_host::event_order::{EventOrder, EventVerdict};
/// let mut order = EventOrder::default();
/// let [four, eight, sixteen] = ["4", "8", "16"].map(|id| id.parse().unwrap());
/// assert_eq!(order.check(Some(four)), EventVerdict::Send);
/// assert_eq!(order.check(Some(eight)), EventVerdict::Send);
/// order.begin_answer();
/// assert_eq!(order.check(Some(sixteen)), EventVerdict::Keep);
/// assert_eq!(order.end_answer(), EventVerdict::Missing(sixteen));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct EventOrder {
    last: LastEvent,
    /// Last event of the engine's answer, also if it was not sent to the client.
    last_in_answer: Option<EventId>,
    /// First event that is kept.
    kept: Option<EventId>,
    /// Steps of the engine's answer, and of those before.
    steps: EventSteps,
    earlier_steps: EventSteps,
}

impl EventOrder {
    /// Returns the last event that was sent to the client.
    pub fn last(&self) -> LastEvent {
        self.last
    }

    /// Records that the following events are those of another engine's answer. Events that are kept are dropped.
    pub fn begin_answer(&mut self) {
        self.last_in_answer = None;
        self.kept = None;
        self.earlier_steps = self.all_steps();
        self.steps = EventSteps::default();
    }

    fn all_steps(&self) -> EventSteps {
        self.earlier_steps.and(self.steps)
    }

    /// Returns whether equal steps are known that show how large the event after the last one is, or `None` if too
    /// few are known. Engines may send different numbers of tokens in an event: the larger ones are compared with.
    fn are_steps_equal(&self) -> Option<bool> {
        match self.earlier_steps.are_equal() {
            _ if self.steps.largest() > self.earlier_steps.largest() => self.steps.are_equal(),
            // The next event may be larger than all before.
            Some(true) if self.steps.is_empty() => None,
            Some(are_equal) => Some(are_equal),
            None => self.all_steps().are_equal(),
        }
    }

    /// Decides what to do with the next event of the answer.
    pub fn check(&mut self, id: Option<EventId>) -> EventVerdict {
        let Some(id) = id else { return self.send(None) };
        let before = self.last_in_answer;
        if before.is_some_and(|before| id <= before) {
            return EventVerdict::Drop;
        }
        self.last_in_answer = Some(id);
        if let Some(before) = before {
            self.steps.record(before, id);
        }
        let Some(last) = self.last.id() else { return self.send(Some(id)) };
        if id <= last {
            return EventVerdict::Drop;
        }
        // Nothing is missing between two events of one answer.
        if self.kept.is_none() && before.is_some() {
            return self.send(Some(id));
        }
        let first = *self.kept.get_or_insert(id);
        match self.are_steps_equal() {
            _ if !self.all_steps().exceeded_by(last, first) => self.send(Some(id)),
            None => EventVerdict::Keep,
            Some(true) => EventVerdict::Missing(first),
            Some(false) => self.send(Some(id)),
        }
    }

    /// Decides what to do with the events that are kept, if there are any, after the complete answer.
    pub fn end_answer(&mut self) -> EventVerdict {
        let (Some(first), Some(last)) = (self.kept, self.last.id()) else {
            return EventVerdict::Drop;
        };
        let steps = self.all_steps();
        match !steps.is_empty() && steps.exceeded_by(last, first) {
            true => EventVerdict::Missing(first),
            false => self.send(self.last_in_answer),
        }
    }

    fn send(&mut self, id: Option<EventId>) -> EventVerdict {
        self.kept = None;
        self.last.record(id);
        EventVerdict::Send
    }
}

impl From<LastEvent> for EventOrder {
    fn from(last: LastEvent) -> Self {
        Self { last, ..Self::default() }
    }
}
