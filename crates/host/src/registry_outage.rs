//! When the registry was away.
//!
//! Answers entries that lapse while the registry is away because nobody could renew them: after its
//! return they are given time to come back, and no later loss of a reader prolongs that time.

use std::time::{Duration, Instant};

/// Time after the return of the registry in which lapsed entries come back.
const EXPIRED_ENTRY_GRACE: Duration = Duration::from_millis(2200);

/// When the registry was away, as far as a host knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct RegistryOutage {
    failed_at: Option<Instant>,
    recovered_at: Option<Instant>,
}

impl RegistryOutage {
    /// Takes that the registry cannot be reached. Returns true when it could be before.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        let is_first = self.failed_at.is_none();
        self.failed_at.get_or_insert(now);
        is_first
    }

    /// Takes that the registry is back, read by this host or by another one that tells. Returns how
    /// long it was away, if it was.
    ///
    /// ```
    /// use camphorloft_host::registry_outage::RegistryOutage;
    /// use std::time::{Duration, Instant};
    /// let (now, away) = (Instant::now(), Duration::from_secs(8));
    /// let mut outage = RegistryOutage::default();
    /// assert!(outage.record_failure(now) && !outage.record_failure(now));
    /// assert_eq!(outage.record_success(now + away), Some(away));
    /// assert_eq!(outage.record_success(now + away * 2), None);
    /// ```
    pub fn record_success(&mut self, now: Instant) -> Option<Duration> {
        let failed_at = self.failed_at.take()?;
        self.recovered_at = Some(now);
        Some(now.saturating_duration_since(failed_at))
    }

    /// Returns until when a missing entry may come back; `None` when it is gone.
    pub fn grace_until(&self, now: Instant) -> Option<Instant> {
        self.recovered_at.map(|at| at + EXPIRED_ENTRY_GRACE).filter(|until| *until > now)
    }
}
