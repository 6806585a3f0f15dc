//! Services whose endpoints crash when they have to refuse many requests.
//!
//! Answers an overload of endpoints that have little room for waiting requests and crash from refusing
//! more than a stated number a second, of all hosts together. While a service is brittle, hosts send an
//! endpoint no more requests than it has slots for, as far as they know. After a refusal all hosts leave
//! the endpoint alone, each for another time, and then have fewer requests there at a time.

use std::time::{Duration, Instant};

/// Time for which a statement holds. Endpoints repeat it in each response.
const VALIDITY: Duration = Duration::from_secs(4);
/// Minimum time between two announcements of the same statement to the other hosts.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a host leaves an endpoint alone after a refusal, at a limit of one refusal a second. It
/// is shorter at higher limits: several hosts may be refused before they hear of the first refusal.
const PAUSE: Duration = Duration::from_millis(2500);
/// Minimum of that time.
const MIN_PAUSE: Duration = Duration::from_millis(300);

/// Statement that the endpoints of a service are brittle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Brittleness {
    /// Refusals a second that an endpoint survives.
    pub max_refusals: u32,
    /// When an endpoint last stated it.
    pub stated_at: Instant,
    announced_at: Option<Instant>,
}

impl Brittleness {
    /// Creates the record of a statement.
    pub fn new(max_refusals: u32, stated_at: Instant) -> Self {
        Self { max_refusals, stated_at, announced_at: None }
    }

    /// Records a further statement.
    pub fn record(&mut self, max_refusals: u32, stated_at: Instant) {
        if stated_at >= self.stated_at {
            self.max_refusals = max_refusals;
            self.stated_at = stated_at;
        }
    }

    /// Returns true while the statement holds.
    pub fn holds(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.stated_at) <= VALIDITY
    }

    /// Returns true if this host should announce the statement, and records that.
    ///
    /// ```
    /// use camphorloft_dispatch::brittleness::Brittleness;
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let mut brittleness = Brittleness::new(5, now);
    /// assert!(brittleness.begin_announcement(now));
    /// assert!(!brittleness.begin_announcement(now));
    /// assert!(brittleness.begin_announcement(now + Duration::from_secs(2)));
    /// ```
    pub fn begin_announcement(&mut self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < ANNOUNCEMENT_INTERVAL;
        if self.announced_at.is_some_and(is_recent) {
            return false;
        }
        self.announced_at = Some(now);
        true
    }

    /// Records that another host announced the statement.
    pub fn record_announcement(&mut self, now: Instant) {
        self.announced_at = Some(now);
    }

    /// Returns the time for which a host leaves an endpoint alone after a refusal. `draw` is a random
    /// fraction.
    ///
    /// ```
    /// use camphorloft_dispatch::brittleness::Brittleness;
    /// use std::time::Instant;
    /// let at = Instant::now();
    /// let pause = |max_refusals, draw| Brittleness::new(max_refusals, at).pause(draw);
    /// assert!(pause(1, 0.5) > pause(10, 0.5));
    /// assert!(pause(10, 1.0) > pause(10, 0.0));
    /// ```
    pub fn pause(&self, draw: f64) -> Duration {
        let pause = PAUSE / self.max_refusals.max(1);
        pause.max(MIN_PAUSE).mul_f64(1.0 + draw)
    }
}
