//! When the registry was away.
//!
//! Answers entries that lapse while the registry is away because nobody could renew them: after its
//! return they are given time to come back, and no later loss of a reader prolongs that time.

use std::time::{Duration, Instant};

/// Time after the return of the registry in which lapsed entries come back.
const LAPSE_GRACE: Duration = Duration::from_millis(2200);

/// When the registry was away, as far as a host knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Absence {
    lost_at: Option<Instant>,
    regained_at: Option<Instant>,
}

impl Absence {
    /// Takes that the registry cannot be reached. Returns true when it could be before.
    pub fn lose(&mut self, now: Instant) -> bool {
        let is_news = self.lost_at.is_none();
        self.lost_at.get_or_insert(now);
        is_news
    }

    /// Takes that the registry is back, read by this host or by another one that tells. Returns how
    /// long it was away, if it was.
    ///
    /// ```
    /// use camphorloft_host::absence::Absence;
    /// use std::time::{Duration, Instant};
    /// let (now, away) = (Instant::now(), Duration::from_secs(8));
    /// let mut absence = Absence::default();
    /// assert!(absence.lose(now) && !absence.lose(now));
    /// assert_eq!(absence.regain(now + away), Some(away));
    /// assert_eq!(absence.regain(now + away * 2), None);
    /// ```
    pub fn regain(&mut self, now: Instant) -> Option<Duration> {
        let lost_at = self.lost_at.take()?;
        self.regained_at = Some(now);
        Some(now.saturating_duration_since(lost_at))
    }

    /// Returns until when a missing entry may come back; `None` when it is gone.
    pub fn grace_until(&self, now: Instant) -> Option<Instant> {
        self.regained_at.map(|at| at + LAPSE_GRACE).filter(|until| *until > now)
    }
}
