//! Attribution of endpoint crashes to poison requests.
//!
//! When an endpoint crashes, every request that it ran is a suspect. The crash is attributed only
//! to the suspects with the highest crash count so far, so that one poison request does not raise
//! the counts of others. Two suspects are not placed on the same endpoint, so that the next crash
//! distinguishes them. A request that finishes is cleared. A request with [`REFUSE_AT`] crashes is
//! refused.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Crash count from which a request is refused.
pub const REFUSE_AT: u8 = 3;
/// Time for which a crash count is kept after its last update.
const RETENTION: Duration = Duration::from_secs(600);
/// Largest number of suspects kept.
const MAX_SUSPECTS: usize = 10_000;

/// Crash count of one request, as sent to other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashCount {
    /// Digest of the request, the same in each of its attempts.
    pub fingerprint: u64,
    /// Number of crashes attributed to the request.
    pub crashes: u8,
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    crashes: u8,
    attributed_at: Instant,
}

/// Requests that are suspected to crash endpoints.
#[derive(Clone, Debug, Default)]
pub struct PoisonTable {
    suspects: HashMap<u64, Suspect>,
}

impl PoisonTable {
    /// Returns the number of crashes attributed to a request.
    pub fn crashes(&self, fingerprint: u64, now: Instant) -> u8 {
        let suspect = self.suspects.get(&fingerprint);
        let fresh = suspect.filter(|s| now.saturating_duration_since(s.attributed_at) < RETENTION);
        fresh.map_or(0, |suspect| suspect.crashes)
    }

    /// Returns true when a request must be refused.
    pub fn is_refused(&self, fingerprint: u64, now: Instant) -> bool {
        self.crashes(fingerprint, now) >= REFUSE_AT
    }

    /// Attributes a crash to requests that the endpoint ran. Returns their new crash counts.
    ///
    /// ```
    /// use camphorloft_decide::poison::PoisonTable;
    /// use std::time::Instant;
    /// let now = Instant::now();
    /// let mut table = PoisonTable::default();
    /// assert_eq!(table.attribute_crash(&[1, 2], now).len(), 2);
    /// // The second endpoint ran a suspect and a new request: only the suspect is counted.
    /// assert_eq!(table.attribute_crash(&[1, 3], now).len(), 1);
    /// assert_eq!(table.crashes(3, now), 0);
    /// ```
    pub fn attribute_crash(&mut self, running: &[u64], now: Instant) -> Vec<CrashCount> {
        let worst = running.iter().map(|f| self.crashes(*f, now)).max().unwrap_or(0);
        let attributed = running.iter().filter(|f| self.crashes(**f, now) == worst);
        let counts: Vec<CrashCount> = attributed
            .map(|fingerprint| CrashCount { fingerprint: *fingerprint, crashes: worst + 1 })
            .collect();
        for count in &counts {
            self.record(*count, now);
        }
        counts
    }

    /// Records a crash count, for example one received from another host.
    pub fn record(&mut self, count: CrashCount, now: Instant) {
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects.retain(|_, s| now.saturating_duration_since(s.attributed_at) < RETENTION);
        }
        if self.suspects.len() >= MAX_SUSPECTS {
            return;
        }
        let new_suspect = Suspect { crashes: 0, attributed_at: now };
        let suspect = self.suspects.entry(count.fingerprint).or_insert(new_suspect);
        suspect.crashes = suspect.crashes.max(count.crashes);
        suspect.attributed_at = now;
    }

    /// Clears a request that finished. A request that was refused stays refused.
    pub fn clear_finished(&mut self, fingerprint: u64) {
        if self.suspects.get(&fingerprint).is_some_and(|s| s.crashes < REFUSE_AT) {
            self.suspects.remove(&fingerprint);
        }
    }
}
