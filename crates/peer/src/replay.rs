//! Drops frames that were seen before.

use std::collections::HashMap;

use camphorloft_types::prelude::HostName;

/// Frames of a sender that may arrive out of order.
const WINDOW: u64 = 128;
/// Senders that are remembered.
const MAX_SENDERS: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct Seen {
    started_ms: u64,
    highest: u64,
    /// Bit `n` is set when `highest - n` was seen.
    bits: u128,
}

/// Sequence numbers seen, per sender.
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    senders: HashMap<HostName, Seen>,
}

impl ReplayGuard {
    /// Takes a sequence number. Returns false when it was seen before, is too old to tell, or
    /// belongs to an earlier process of the sender.
    ///
    /// ```
    /// use camphorloft_peer::replay::ReplayGuard;
    /// let host = "h1".parse().unwrap();
    /// let mut guard = ReplayGuard::default();
    /// assert!(guard.accept(&host, 100, 7));
    /// assert!(guard.accept(&host, 100, 5));
    /// assert!(!guard.accept(&host, 100, 7));
    /// assert!(guard.accept(&host, 200, 1));
    /// assert!(!guard.accept(&host, 100, 8));
    /// ```
    pub fn accept(&mut self, sender: &HostName, started_ms: u64, sequence: u64) -> bool {
        let Some(seen) = self.senders.get_mut(sender) else {
            if self.senders.len() >= MAX_SENDERS {
                self.senders.clear();
            }
            let first = Seen { started_ms, highest: sequence, bits: 1 };
            self.senders.insert(sender.clone(), first);
            return true;
        };
        if started_ms < seen.started_ms {
            return false;
        }
        if started_ms > seen.started_ms {
            *seen = Seen { started_ms, highest: sequence, bits: 1 };
            return true;
        }
        seen.accept(sequence)
    }
}

impl Seen {
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.bits = if shift >= WINDOW { 0 } else { self.bits << shift };
            self.bits |= 1;
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        if age >= WINDOW || self.bits & (1 << age) != 0 {
            return false;
        }
        self.bits |= 1 << age;
        true
    }
}
