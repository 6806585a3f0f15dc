//! Updates held at a relay until they are sent together.

use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;

use crate::updates::Updates;

/// Minimum time between two datagrams with placements. Engines of the region are selected by their
/// load, so each datagram waits no longer than a fraction of a prefill.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum time for which a report is held. Reports are some hundred milliseconds old anyway.
const REPORT_DELAY: Duration = Duration::from_millis(100);
/// Number of updates that are sent without further delay, so that a datagram fits into one packet.
const MAX_BUFFERED: usize = 32;

/// Updates held at a relay until they are sent together.
#[derive(Debug, Default)]
pub struct UpdateBuffer {
    /// Sender, time of receipt and updates.
    held: Vec<(HostName, Instant, Updates)>,
    count: usize,
    due_at: Option<Instant>,
    sent_at: Option<Instant>,
}

impl UpdateBuffer {
    /// Adds updates.
    ///
    /// ```
    /// use camphorloft_peer::update_buffer::UpdateBuffer;
    /// use camphorloft_peer::updates::Updates;
    /// use camphorloft_peer::wire::WirePlacement;
    /// use std::time::Instant;
    /// let (host, now) = ("h1".parse().unwrap(), Instant::now());
    /// let placements = vec![WirePlacement::default()];
    /// let mut buffer = UpdateBuffer::default();
    /// buffer.push(&host, Updates { placements, ..Updates::default() }, now);
    /// assert!(buffer.is_due(now) && buffer.has_updates_of(&host));
    /// assert!(buffer.updates_of_others(&host, now).is_empty());
    /// ```
    pub fn push(&mut self, sender: &HostName, updates: Updates, now: Instant) {
        if updates.is_empty() {
            return;
        }
        self.count += updates.count();
        let due_at = match self.count >= MAX_BUFFERED {
            true => now,
            false => self.due_at_for(&updates, now),
        };
        self.due_at = Some(self.due_at.map_or(due_at, |known| known.min(due_at)));
        self.held.push((sender.clone(), now, updates));
    }

    /// Returns when updates that arrive now must be sent.
    fn due_at_for(&self, updates: &Updates, now: Instant) -> Instant {
        let is_urgent = !updates.migrations.is_empty()
            || !updates.endpoint_changes.is_empty()
            || !updates.crashes.is_empty()
            || !updates.full.is_empty();
        if is_urgent {
            return now;
        }
        let is_prompt = !updates.placements.is_empty()
            || !updates.registry.is_empty()
            || !updates.request_limits.is_empty()
            || !updates.stream_origins.is_empty();
        if !is_prompt {
            return now + REPORT_DELAY;
        }
        self.sent_at.map_or(now, |at| now.max(at + PLACEMENT_INTERVAL))
    }

    /// Returns when the updates must be sent, if there are any.
    pub fn due_at(&self) -> Option<Instant> {
        self.due_at
    }

    /// Returns true when the updates must be sent.
    pub fn is_due(&self, now: Instant) -> bool {
        self.due_at.is_some_and(|at| now >= at)
    }

    /// Returns true when a host sent some of the updates.
    pub fn has_updates_of(&self, host: &HostName) -> bool {
        self.held.iter().any(|(sender, ..)| sender == host)
    }

    /// Returns the updates that other hosts than `host` sent.
    pub fn updates_of_others(&self, host: &HostName, now: Instant) -> Updates {
        let others = self.held.iter().filter(|(sender, ..)| sender != host);
        merge(others.map(|(_, at, updates)| (*at, updates.clone())), now)
    }

    /// Removes and returns all updates.
    pub fn take(&mut self, now: Instant) -> Updates {
        self.due_at = None;
        self.count = 0;
        self.sent_at = Some(now);
        merge(self.held.drain(..).map(|(_, at, updates)| (at, updates)), now)
    }
}

fn merge<Held>(held: Held, now: Instant) -> Updates
where
    Held: Iterator<Item = (Instant, Updates)>,
{
    let mut merged = Updates::default();
    for (at, mut updates) in held {
        updates.add_age(now.saturating_duration_since(at));
        merged.merge(updates);
    }
    merged
}
