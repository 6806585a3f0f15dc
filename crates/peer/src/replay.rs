//! Replay protection by a sliding window of sequence numbers per sender.

use std::collections::HashMap;

use camphorloft_types::prelude::HostName;

/// Size of the replay window. A frame is dropped when its sequence number is this far below the
/// highest accepted one.
const WINDOW_FRAMES: u64 = 128;
/// Maximum number of senders. All windows are discarded when a further sender would exceed it.
const MAX_SENDERS: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct SenderWindow {
    started_ms: u64,
    highest: u64,
    /// Bit `n` is set when sequence number `highest - n` was accepted.
    bits: u128,
}

/// Sequence numbers that were accepted, per sender.
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    senders: HashMap<HostName, SenderWindow>,
}

impl ReplayGuard {
    /// Records a sequence number. Returns false when it was accepted before, is older than the
    /// window, or belongs to an earlier process of the sender.
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
        let Some(window) = self.senders.get_mut(sender) else {
            if self.senders.len() >= MAX_SENDERS {
                self.senders.clear();
            }
            let first = SenderWindow { started_ms, highest: sequence, bits: 1 };
            self.senders.insert(sender.clone(), first);
            return true;
        };
        if started_ms < window.started_ms {
            return false;
        }
        if started_ms > window.started_ms {
            *window = SenderWindow { started_ms, highest: sequence, bits: 1 };
            return true;
        }
        window.accept(sequence)
    }
}

impl SenderWindow {
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.bits = if shift >= WINDOW_FRAMES { 0 } else { self.bits << shift };
            self.bits |= 1;
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        if age >= WINDOW_FRAMES || self.bits & (1 << age) != 0 {
            return false;
        }
        self.bits |= 1 << age;
        true
    }
}
