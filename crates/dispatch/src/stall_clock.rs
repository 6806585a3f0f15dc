//! Recognises streams that their engines do not continue.
//!
//! Answers engines that go on sending bytes, or keep the connection open, without completing an event.
//! Clients abandon a stream after a gap that follows from the objectives of its route, so that a stream
//! without an event for well over that is lost to its client. The time is counted in checks, and a late
//! check counts once: in a pause of this process events may have arrived that it has not read yet.

use std::time::{Duration, Instant};

/// Gap between events after which clients abandon a stream, at least.
const MIN_CLIENT_PATIENCE: Duration = Duration::from_secs(2);
/// The same as a multiple of the objective for the first event.
const PATIENCE_PER_OBJECTIVE: u32 = 4;
/// The same as a multiple of the objective for the gap between events.
const PATIENCE_PER_GAP_OBJECTIVE: u32 = 8;
/// Time without an event after which a stream is stalled, as a multiple of the patience of its client.
const STALL_FACTOR: f64 = 1.5;
/// Number of checks in that time.
const CHECKS: u32 = 8;

/// Counts the time without an event of one stream.
#[derive(Clone, Debug)]
pub struct StallClock {
    interval: Duration,
    /// Number of checks since the last event.
    checks: u32,
    check_at: Instant,
}

impl StallClock {
    /// Starts the clock of a stream whose route has the given objectives for the first event and for the
    /// gap between events.
    ///
    /// ```
    /// use camphorloft_dispatch::stall_clock::StallClock;
    /// use std::time::{Duration, Instant};
    /// let (now, ms) = (Instant::now(), Duration::from_millis);
    /// let mut clock = StallClock::start(ms(400), ms(180), now);
    /// let mut checks = 0;
    /// while !clock.check(clock.check_at()) {
    ///     checks += 1;
    /// }
    /// assert!(checks > 4 && clock.check_at() - now > Duration::from_secs(2));
    /// ```
    pub fn start(objective: Duration, gap_objective: Duration, now: Instant) -> Self {
        let patience = MIN_CLIENT_PATIENCE
            .max(objective * PATIENCE_PER_OBJECTIVE)
            .max(gap_objective * PATIENCE_PER_GAP_OBJECTIVE);
        let interval = patience.mul_f64(STALL_FACTOR) / CHECKS;
        Self { interval, checks: 0, check_at: now + interval }
    }

    /// Records that an event was received and forwarded.
    pub fn record_event(&mut self, now: Instant) {
        self.checks = 0;
        self.check_at = now + self.interval;
    }

    /// Returns when [`Self::check`] is due.
    pub fn check_at(&self) -> Instant {
        self.check_at
    }

    /// Counts a check. Returns true if the stream is stalled.
    pub fn check(&mut self, now: Instant) -> bool {
        self.checks += 1;
        self.check_at = now + self.interval;
        self.checks >= CHECKS
    }
}
