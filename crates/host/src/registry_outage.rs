//! Detection of registry outages.
//!
//! Entries expire during an outage because they cannot be renewed. After the outage they have a grace
//! period to reappear. A later change of the assigned reader does not extend it.

use std::time::{Duration, Instant};

/// Time after an outage in which expired entries may reappear.
const EXPIRED_ENTRY_GRACE: Duration = Duration::from_millis(2200);

/// Start and end of the last registry outage, as observed by one host.
#[derive(Clone, Copy, Debug, Default)]
pub struct RegistryOutage {
    failed_at: Option<Instant>,
    recovered_at: Option<Instant>,
}

impl RegistryOutage {
    /// Records a failed call to the registry. Returns true when an outage starts with it.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        let is_first = self.failed_at.is_none();
        self.failed_at.get_or_insert(now);
        is_first
    }

    /// Records that the registry is available, as observed by this host or an assigned reader.
    /// Returns the duration of the outage that this ends, if any.
    ///
    /// ```
    /// use camphorloft_host::registry_outage::RegistryOutage;
    /// use std::time::{Duration, Instant};
    /// let (now, duration) = (Instant::now(), Duration::from_secs(8));
    /// let mut outage = RegistryOutage::default();
    /// assert!(outage.record_failure(now) && !outage.record_failure(now));
    /// assert_eq!(outage.record_success(now + duration), Some(duration));
    /// assert_eq!(outage.record_success(now + duration * 2), None);
    /// ```
    pub fn record_success(&mut self, now: Instant) -> Option<Duration> {
        let failed_at = self.failed_at.take()?;
        self.recovered_at = Some(now);
        Some(now.saturating_duration_since(failed_at))
    }

    /// Returns the end of the grace period of a missing entry; `None` when it is to be removed
    /// immediately.
    pub fn grace_until(&self, now: Instant) -> Option<Instant> {
        self.recovered_at.map(|at| at + EXPIRED_ENTRY_GRACE).filter(|until| *until > now)
    }
}
