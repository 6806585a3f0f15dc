//! Measures the mean time between the events of a stream.
//!
//! The mean over a window tolerates that events arrive in groups. Windows in which the client was
//! slow, this host did not run or the state of the engine changed are not used.

use std::time::{Duration, Instant};

/// Minimum length of a window. Short enough for several to be known before a stream is at its end, and
/// long in comparison with the pauses of a host that is limited to a tenth of a core.
const MIN_LENGTH: Duration = Duration::from_millis(400);
/// Minimum number of events in a window.
const MIN_EVENTS: u32 = 3;

/// Time after the first event of a window in which further ones belong to the same group, for example
/// to what was received while the process did not run. No engine writes events this fast.
const GROUP: Duration = Duration::from_millis(4);

/// Measures the mean time between the events of a stream.
#[derive(Clone, Copy, Debug)]
pub struct GapWindow {
    began_at: Instant,
    events: u32,
    /// Whether the engine prefilled a prompt when the window began, if that is certain.
    prefills: Option<bool>,
    is_disturbed: bool,
}

/// Mean time between events in a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MeanGap {
    /// Mean time between two events.
    pub gap: Duration,
    /// Whether the engine prefilled prompts all the time, or never.
    pub prefills: bool,
    /// When the window began.
    pub began_at: Instant,
}

impl GapWindow {
    /// Begins a window with an event. `prefills` tells whether the engine prefills a prompt, or is
    /// `None` if that is uncertain.
    pub fn new(prefills: Option<bool>, now: Instant) -> Self {
        Self { began_at: now, events: 0, prefills, is_disturbed: false }
    }

    /// Records that events could not be read for a while because the client was slow.
    pub fn disturb(&mut self) {
        self.is_disturbed = true;
    }

    /// Records the arrival of `events` events. Returns true if the window is long enough.
    pub fn record(&mut self, events: u32, now: Instant) -> bool {
        if self.events == 0 && now.saturating_duration_since(self.began_at) < GROUP {
            self.began_at = now;
            return false;
        }
        self.events = self.events.saturating_add(events);
        now.saturating_duration_since(self.began_at) >= MIN_LENGTH && self.events >= MIN_EVENTS
    }

    /// Ends the window with the event last recorded. Returns the mean, unless the window is not to be
    /// used.
    ///
    /// ```
    /// use camphorloft_host::gap_window::GapWindow;
    /// use std::time::{Duration, Instant};
    /// let start = Instant::now();
    /// let mut window = GapWindow::new(Some(false), start);
    /// let end = start + Duration::from_millis(450);
    /// assert!(window.record(9, end));
    /// assert_eq!(window.end(Some(false), end).unwrap().gap, Duration::from_millis(50));
    /// assert!(window.end(Some(true), end).is_none());
    /// ```
    pub fn end(&self, prefills: Option<bool>, now: Instant) -> Option<MeanGap> {
        if self.is_disturbed || self.events == 0 || prefills != self.prefills {
            return None;
        }
        let gap = now.saturating_duration_since(self.began_at) / self.events;
        Some(MeanGap { gap, prefills: prefills?, began_at: self.began_at })
    }
}
