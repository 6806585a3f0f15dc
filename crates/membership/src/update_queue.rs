//! Membership updates still to be gossiped.

use std::collections::HashMap;

use camphorloft_types::prelude::HostName;

use crate::member::Member;

#[derive(Clone, Debug)]
struct QueuedUpdate {
    update: Member,
    sent: u32,
}

/// Membership updates still to be gossiped, those sent least often first.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    entries: HashMap<HostName, QueuedUpdate>,
}

impl UpdateQueue {
    /// Adds an update, replacing an older one about the same host.
    pub fn push(&mut self, update: Member) {
        self.entries.insert(update.host.clone(), QueuedUpdate { update, sent: 0 });
    }

    /// Returns up to `count` updates for one message and removes those that were sent `limit`
    /// times.
    pub fn take(&mut self, count: usize, limit: u32) -> Vec<Member> {
        if self.entries.is_empty() {
            return Vec::new();
        }
        let mut order: Vec<(u32, HostName)> =
            self.entries.iter().map(|(host, entry)| (entry.sent, host.clone())).collect();
        order.sort_unstable();
        let mut updates = Vec::new();
        for (_, host) in order.into_iter().take(count) {
            let Some(entry) = self.entries.get_mut(&host) else { continue };
            updates.push(entry.update.clone());
            entry.sent += 1;
            if entry.sent >= limit {
                self.entries.remove(&host);
            }
        }
        updates
    }

    /// Returns true when at least one update has not been sent to any host.
    pub fn has_unsent(&self) -> bool {
        self.entries.values().any(|entry| entry.sent == 0)
    }

    /// Returns the number of queued updates.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true when no update is queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
