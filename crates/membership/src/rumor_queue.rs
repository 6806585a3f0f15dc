//! Updates that still have to be spread.

use std::collections::HashMap;

use camphorloft_types::prelude::HostName;

use crate::member::Member;

#[derive(Clone, Debug)]
struct Rumor {
    update: Member,
    sent: u32,
}

/// Updates that still have to be spread, the least spread first.
#[derive(Clone, Debug, Default)]
pub struct RumorQueue {
    rumors: HashMap<HostName, Rumor>,
}

impl RumorQueue {
    /// Adds an update in place of an older one about the same host.
    pub fn push(&mut self, update: Member) {
        self.rumors.insert(update.host.clone(), Rumor { update, sent: 0 });
    }

    /// Takes up to `count` updates for one message and drops those that were sent `limit` times.
    pub fn take(&mut self, count: usize, limit: u32) -> Vec<Member> {
        if self.rumors.is_empty() {
            return Vec::new();
        }
        let mut order: Vec<(u32, HostName)> =
            self.rumors.iter().map(|(host, rumor)| (rumor.sent, host.clone())).collect();
        order.sort_unstable();
        let mut updates = Vec::new();
        for (_, host) in order.into_iter().take(count) {
            let Some(rumor) = self.rumors.get_mut(&host) else { continue };
            updates.push(rumor.update.clone());
            rumor.sent += 1;
            if rumor.sent >= limit {
                self.rumors.remove(&host);
            }
        }
        updates
    }

    /// Returns true when an update was not sent to anybody yet.
    pub fn has_unsent(&self) -> bool {
        self.rumors.values().any(|rumor| rumor.sent == 0)
    }

    /// Returns the number of updates that still have to be spread.
    pub fn len(&self) -> usize {
        self.rumors.len()
    }

    /// Returns true when nothing has to be spread.
    pub fn is_empty(&self) -> bool {
        self.rumors.is_empty()
    }
}
