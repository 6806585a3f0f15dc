//! Recognises times in which the process did not run, by its own ticks.

use std::time::{Duration, Instant};

/// Recognises times in which the process did not run.
#[derive(Clone, Copy, Debug)]
pub struct TickMonitor {
    /// Time between two ticks from which the process counts as paused.
    min_pause: Duration,
    ticked_at: Option<Instant>,
    woke_at: Option<Instant>,
    /// Last tick before the last pause.
    paused_at: Option<Instant>,
}

impl TickMonitor {
    /// Creates a monitor that has not received a tick.
    pub fn new(min_pause: Duration) -> Self {
        Self { min_pause, ticked_at: None, woke_at: None, paused_at: None }
    }

    /// Records a tick. Returns the duration of the pause that it ends, if any.
    ///
    /// ```
    /// use camphorloft_dispatch::tick_monitor::TickMonitor;
    /// use std::time::{Duration, Instant};
    /// let (start, second) = (Instant::now(), Duration::from_secs(1));
    /// let mut ticks = TickMonitor::new(second);
    /// assert_eq!(ticks.record_tick(start), None);
    /// assert_eq!(ticks.record_tick(start + second * 2), Some(second * 2));
    /// assert!(ticks.paused_since(start, start + second * 2));
    /// assert!(!ticks.paused_since(start + second * 2, start + second * 2));
    /// ```
    pub fn record_tick(&mut self, now: Instant) -> Option<Duration> {
        let before = self.ticked_at.replace(now)?;
        let gap = now.saturating_duration_since(before);
        if gap < self.min_pause {
            return None;
        }
        (self.paused_at, self.woke_at) = (Some(before), Some(now));
        Some(gap)
    }

    /// Returns when the last pause ended.
    pub fn woke_at(&self) -> Option<Instant> {
        self.woke_at
    }

    /// Returns the last tick before a pause that ended after `at`, or that is not known to have ended.
    ///
    /// ```
    /// use camphorloft_dispatch::tick_monitor::TickMonitor;
    /// use std::time::{Duration, Instant};
    /// let (start, second) = (Instant::now(), Duration::from_secs(1));
    /// let mut ticks = TickMonitor::new(second);
    /// ticks.record_tick(start);
    /// assert_eq!(ticks.paused_at(start, start + second / 2), None);
    /// assert_eq!(ticks.paused_at(start, start + second * 2), Some(start));
    /// ticks.record_tick(start + second * 2);
    /// assert_eq!(ticks.paused_at(start, start + second * 3 / 2), Some(start));
    /// ticks.record_tick(start + second * 2 + second / 10);
    /// assert_eq!(ticks.paused_at(start + second * 2, start + second * 5 / 2), None);
    /// ```
    pub fn paused_at(&self, at: Instant, now: Instant) -> Option<Instant> {
        match self.is_overdue(now) {
            true => self.ticked_at,
            false => self.paused_at.filter(|_| self.woke_at.is_some_and(|woke_at| woke_at > at)),
        }
    }

    /// Returns true if the last tick is overdue, which is the first sign of a pause.
    pub fn is_overdue(&self, now: Instant) -> bool {
        self.ticked_at.is_some_and(|at| now.saturating_duration_since(at) >= self.min_pause)
    }

    /// Returns true if the process was paused since `at`.
    pub fn paused_since(&self, at: Instant, now: Instant) -> bool {
        self.paused_at(at, now).is_some()
    }
}
