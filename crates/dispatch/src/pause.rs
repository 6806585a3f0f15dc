//! Whether the process was paused, so that what it knew before may not hold any more.
//!
//! Answers the load of a host that does not run for 1 to 10 s and then finds queued requests, expired
//! timers and old datagrams all at once. Meanwhile zones may have been evacuated and shares of limits
//! given to other hosts.

use std::time::{Duration, Instant};

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
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseDetector {
    ticked_at: Option<Instant>,
    woke_at: Option<Instant>,
    /// Whether the state of the registry arrived since the process woke.
    is_informed: bool,
}

impl PauseDetector {
    /// Records a tick. Returns the duration of the pause that it ends, if any.
    pub fn record_tick(&mut self, now: Instant) -> Option<Duration> {
        let before = self.ticked_at.replace(now)?;
        let gap = now.saturating_duration_since(before);
        if gap < MIN_PAUSE {
            return None;
        }
        self.woke_at = Some(now);
        self.is_informed = false;
        Some(gap)
    }

    /// Records that the current state of the registry arrived.
    pub fn record_registry_state(&mut self, now: Instant) {
        let is_current = |at| now.saturating_duration_since(at) >= BACKLOG_TIME;
        self.is_informed |= self.woke_at.is_some_and(is_current) && !self.is_paused(now);
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
        self.is_paused(now) || !self.is_informed && self.woke_at.is_some_and(woke_recently)
    }

    /// Returns true if the process was paused since `at`.
    pub fn was_paused_since(&self, at: Instant, now: Instant) -> bool {
        self.is_paused(now) || self.woke_at.is_some_and(|woke_at| woke_at > at)
    }

    /// Returns true if the last tick is overdue, which is the first sign of a pause.
    fn is_paused(&self, now: Instant) -> bool {
        self.ticked_at.is_some_and(|at| now.saturating_duration_since(at) >= MIN_PAUSE)
    }
}
