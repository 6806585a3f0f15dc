//! Whether the process was paused, so that what it knew before may not hold any more.
//!
//! Answers the load of a host that does not run for 1 to 10 s and then finds queued requests, expired
//! timers and old datagrams all at once. Meanwhile zones may have been evacuated and shares of limits
//! given to other hosts.

use std::time::{Duration, Instant};

use crate::tick_monitor::TickMonitor;

/// Time between two ticks from which the process counts as paused. Ticks are due every 100 ms; a busy
/// process is late by a few hundred milliseconds.
const MIN_PAUSE: Duration = Duration::from_secs(1);
/// Time after a pause in which the datagrams that arrived during it are received. What they state is as
/// old as the pause.
const BACKLOG_TIME: Duration = Duration::from_millis(100);
/// Time after a pause for which requests wait for the state of the registry. A reader sends it every
/// 200 ms, through up to two relays. In an outage of the registry the host goes on with what it knows.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Detects pauses of the process by its own ticks.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    ticks: TickMonitor,
    /// Whether the state of the registry arrived since the process woke.
    is_informed: bool,
}

impl Default for PauseDetector {
    fn default() -> Self {
        Self { ticks: TickMonitor::new(MIN_PAUSE), is_informed: false }
    }
}

impl PauseDetector {
    /// Records a tick. Returns the duration of the pause that it ends, if any.
    pub fn record_tick(&mut self, now: Instant) -> Option<Duration> {
        let pause = self.ticks.record_tick(now)?;
        self.is_informed = false;
        Some(pause)
    }

    /// Records that the current state of the registry arrived.
    pub fn record_registry_state(&mut self, now: Instant) {
        let is_current = |at| now.saturating_duration_since(at) >= BACKLOG_TIME;
        self.is_informed |=
            self.ticks.woke_at().is_some_and(is_current) && !self.ticks.is_overdue(now);
    }

    /// Returns true if the process was paused and does not know yet what has changed.
    ///
    /// ```
    /// use camphorloft_dispatch::pause::PauseDetector;
    /// use std::time::{Duration, Instant};
    /// let (start, ms) = (Instant::now(), Duration::from_millis);
    /// let mut pauses = PauseDetector::default();
    /// pauses.record_tick(start);
    /// assert!(!pauses.must_wait(start + ms(300)));
    /// assert!(pauses.must_wait(start + ms(3_000)), "no tick since");
    /// assert_eq!(pauses.record_tick(start + ms(3_000)), Some(ms(3_000)));
    /// pauses.record_registry_state(start + ms(3_010));
    /// assert!(pauses.must_wait(start + ms(3_010)), "it may have arrived during the pause");
    /// pauses.record_registry_state(start + ms(3_150));
    /// assert!(!pauses.must_wait(start + ms(3_150)));
    /// ```
    pub fn must_wait(&self, now: Instant) -> bool {
        let woke_recently = |at| now.saturating_duration_since(at) < MAX_WAIT;
        let woke_recently = self.ticks.woke_at().is_some_and(woke_recently);
        self.ticks.is_overdue(now) || !self.is_informed && woke_recently
    }

    /// Returns the time from which the datagrams may be that are received now: `now`, or the begin of a pause
    /// whose datagrams are received.
    ///
    /// ```
    /// use camphorloft_dispatch::pause::PauseDetector;
    /// use std::time::{Duration, Instant};
    /// let (start, ms) = (Instant::now(), Duration::from_millis);
    /// let mut pauses = PauseDetector::default();
    /// pauses.record_tick(start);
    /// assert_eq!(pauses.earliest_arrival(start + ms(50)), start + ms(50));
    /// assert_eq!(pauses.earliest_arrival(start + ms(3_000)), start, "no tick since");
    /// pauses.record_tick(start + ms(3_000));
    /// assert_eq!(pauses.earliest_arrival(start + ms(3_050)), start);
    /// assert_eq!(pauses.earliest_arrival(start + ms(3_150)), start + ms(3_150));
    /// ```
    pub fn earliest_arrival(&self, now: Instant) -> Instant {
        let backlog_since = now.checked_sub(BACKLOG_TIME).unwrap_or(now);
        self.ticks.paused_at(backlog_since, now).unwrap_or(now)
    }

    /// Returns the time as of which a response holds that was asked for at `asked_at` and is read now. It may
    /// have waited to be read while the process was paused.
    ///
    /// ```
    /// use camphorloft_dispatch::pause::PauseDetector;
    /// use std::time::{Duration, Instant};
    /// let (start, ms) = (Instant::now(), Duration::from_millis);
    /// let mut pauses = PauseDetector::default();
    /// pauses.record_tick(start);
    /// assert_eq!(pauses.as_of(start, start + ms(50)), start + ms(50));
    /// assert_eq!(pauses.as_of(start + ms(10), start + ms(3_000)), start + ms(10));
    /// ```
    pub fn as_of(&self, asked_at: Instant, now: Instant) -> Instant {
        if self.was_paused_since(asked_at, now) { asked_at } else { now }
    }

    /// Returns true if the process was paused since `at`.
    pub fn was_paused_since(&self, at: Instant, now: Instant) -> bool {
        self.ticks.paused_since(at, now)
    }
}
