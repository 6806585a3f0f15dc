//! The last event of a stream that its client has received.

use std::fmt;

use crate::event_id::EventId;

/// The last event of a stream that its client has received, and with it where the stream can be resumed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LastEvent {
    /// The client has received none: the stream is resumed from its beginning.
    #[default]
    None,
    /// The client has received events without identifiers, after which no engine can resume.
    Unnumbered,
    /// The stream is resumed after the event with this identifier.
    Numbered(EventId),
}

impl LastEvent {
    /// Records that the client receives an event.
    ///
    /// ```
    /// use camphorloft_host::last_event::LastEvent;
    /// let mut last = LastEvent::None;
    /// last.record(None);
    /// assert!(!last.can_resume());
    /// last.record(Some("0".parse().unwrap()));
    /// assert_eq!(last.id(), Some("0".parse().unwrap()));
    /// ```
    pub fn record(&mut self, id: Option<EventId>) {
        match (id, *self) {
            (Some(id), _) => *self = LastEvent::Numbered(id),
            (None, LastEvent::None) => *self = LastEvent::Unnumbered,
            (None, _) => {}
        }
    }

    /// Returns true if the client has received no event.
    pub fn is_none(self) -> bool {
        self == LastEvent::None
    }

    /// Returns true if an engine can be told where to resume the stream.
    pub fn can_resume(self) -> bool {
        self != LastEvent::Unnumbered
    }

    /// Returns the identifier of the event.
    pub fn id(self) -> Option<EventId> {
        match self {
            LastEvent::Numbered(id) => Some(id),
            LastEvent::None | LastEvent::Unnumbered => None,
        }
    }
}

impl From<Option<EventId>> for LastEvent {
    fn from(id: Option<EventId>) -> Self {
        id.map_or(LastEvent::None, LastEvent::Numbered)
    }
}

impl fmt::Display for LastEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LastEvent::None => f.write_str("none"),
            LastEvent::Unnumbered => f.write_str("unnumbered"),
            LastEvent::Numbered(id) => id.fmt(f),
        }
    }
}
