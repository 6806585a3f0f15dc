//! Recognises times in which this host's process did not run, so that they do not count as slowness of
//! others. They may be short; `camphorloft_dispatch::pause` handles pauses of seconds, after which what
//! the host knows is out of date.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Interval between ticks.
pub const TICK: Duration = Duration::from_millis(100);
/// Lateness of a tick from which the process counts as stalled. A process that is limited to a tenth
/// of a core regularly pauses for up to 90 ms.
const MAX_LATENESS: Duration = Duration::from_millis(120);

/// Recognises times in which this host's process did not run.
#[derive(Debug)]
pub struct StallMonitor {
    ticked_at: Cell<Instant>,
    stalled_until: Cell<Option<Instant>>,
}

impl StallMonitor {
    /// Creates a monitor.
    pub fn new(now: Instant) -> Self {
        Self { ticked_at: Cell::new(now), stalled_until: Cell::new(None) }
    }

    /// Records a tick. Called at every [`TICK`].
    pub fn tick(&self, now: Instant) {
        if self.is_late(now) {
            self.stalled_until.set(Some(now));
        }
        self.ticked_at.set(now);
    }

    /// Returns true if the process did not run for some time between `since` and `now`.
    ///
    /// ```
    /// use camphorloft_host::stall_monitor::{StallMonitor, TICK};
    /// use std::time::{Duration, Instant};
    /// let start = Instant::now();
    /// let monitor = StallMonitor::new(start);
    /// monitor.tick(start + TICK);
    /// assert!(!monitor.stalled_since(start, start + TICK * 2));
    /// // The process wakes up, and handles an event before the tick.
    /// let woken = start + Duration::from_secs(2);
    /// assert!(monitor.stalled_since(start, woken));
    /// monitor.tick(woken);
    /// assert!(monitor.stalled_since(start, woken));
    /// assert!(!monitor.stalled_since(woken, woken + TICK));
    /// ```
    pub fn stalled_since(&self, since: Instant, now: Instant) -> bool {
        self.is_late(now) || self.stalled_until.get().is_some_and(|until| until > since)
    }

    fn is_late(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.ticked_at.get()) > TICK + MAX_LATENESS
    }
}
