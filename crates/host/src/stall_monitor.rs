//! Recognises times in which this host's process did not run, so that they do not count as slowness of
//! others. They may be short; `camphorloft_dispatch::pause` handles pauses of seconds, after which what
//! the host knows is out of date.

use std::cell::Cell;
use std::time::{Duration, Instant};

use camphorloft_dispatch::tick_monitor::TickMonitor;

/// Interval between ticks.
pub const TICK: Duration = Duration::from_millis(100);
/// Lateness of a tick from which the process counts as stalled. A process that is limited to a tenth
/// of a core regularly pauses for up to 90 ms.
const MAX_LATENESS: Duration = Duration::from_millis(120);

/// Recognises times in which this host's process did not run.
#[derive(Debug)]
pub struct StallMonitor(Cell<TickMonitor>);

impl StallMonitor {
    /// Creates a monitor.
    pub fn new(now: Instant) -> Self {
        let mut ticks = TickMonitor::new(TICK + MAX_LATENESS);
        ticks.record_tick(now);
        Self(Cell::new(ticks))
    }

    /// Records a tick. Called at every [`TICK`].
    pub fn tick(&self, now: Instant) {
        let mut ticks = self.0.get();
        ticks.record_tick(now);
        self.0.set(ticks);
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
        self.0.get().paused_since(since, now)
    }
}
