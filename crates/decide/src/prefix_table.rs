//! Table of the endpoints that recently cached a prompt prefix.
//!
//! Cache events of engines arrive late and with gaps, so this host's own placements are recorded
//! too, and a hit is only a preference. The table has a fixed size; a new prefix replaces the one
//! in its slot.

use std::time::{Duration, Instant};

use camphorloft_types::prelude::EndpointIx;

/// Number of slots; a power of two.
const SLOTS: usize = 4096;
/// Endpoints recorded per prefix.
const ENDPOINTS: usize = 4;
/// Age from which an entry is ignored.
const MAX_AGE: Duration = Duration::from_secs(120);

#[derive(Clone, Copy, Debug)]
struct Slot {
    prefix: u64,
    endpoints: [Option<(EndpointIx, Instant)>; ENDPOINTS],
    next: u8,
}

/// Endpoints that likely cache each prefix.
#[derive(Clone, Debug)]
pub struct PrefixTable {
    slots: Vec<Slot>,
}

impl Default for PrefixTable {
    fn default() -> Self {
        let empty = Slot { prefix: 0, endpoints: [None; ENDPOINTS], next: 0 };
        Self { slots: vec![empty; SLOTS] }
    }
}

impl PrefixTable {
    /// Records that an endpoint cached a prefix. The prefix 0 stands for none and is ignored.
    pub fn insert(&mut self, prefix: u64, endpoint: EndpointIx, now: Instant) {
        if prefix == 0 {
            return;
        }
        let slot = &mut self.slots[prefix as usize % SLOTS];
        if slot.prefix != prefix {
            *slot = Slot { prefix, endpoints: [None; ENDPOINTS], next: 0 };
        }
        let known = slot.endpoints.iter_mut().flatten().find(|(known, _)| *known == endpoint);
        if let Some((_, at)) = known {
            *at = now;
            return;
        }
        slot.endpoints[usize::from(slot.next) % ENDPOINTS] = Some((endpoint, now));
        slot.next = slot.next.wrapping_add(1);
    }

    /// Returns the endpoints that likely cache a prefix.
    pub fn endpoints(&self, prefix: u64, now: Instant) -> impl Iterator<Item = EndpointIx> + '_ {
        let slot = &self.slots[prefix as usize % SLOTS];
        let matches = prefix != 0 && slot.prefix == prefix;
        let fresh = move |at: Instant| now.saturating_duration_since(at) < MAX_AGE;
        let entries = slot.endpoints.iter().flatten();
        entries.filter(move |(_, at)| matches && fresh(*at)).map(|(endpoint, _)| *endpoint)
    }

    /// Removes an endpoint whose cache was lost.
    pub fn remove_endpoint(&mut self, endpoint: EndpointIx) {
        for slot in &mut self.slots {
            for entry in &mut slot.endpoints {
                if entry.is_some_and(|(known, _)| known == endpoint) {
                    *entry = None;
                }
            }
        }
    }
}
