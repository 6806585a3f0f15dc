//! Number of requests that a host has in progress at a brittle endpoint at a time.

use std::time::{Duration, Instant};

/// Time in which the window grows by one request.
const GROWTH_TIME: Duration = Duration::from_secs(2);
/// Factor of the requests in progress at a refusal that may be in progress after it.
const DECREASE: f64 = 0.75;

/// Maximum number of requests that a host has in progress at an endpoint at a time. It falls with each
/// refusal and grows slowly after it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestWindow {
    size: f64,
    as_of: Instant,
}

impl RequestWindow {
    /// Returns the window after a refusal, with `in_progress` requests of this host.
    ///
    /// ```
    /// use camphorloft_dispatch::request_window::RequestWindow;
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let window = RequestWindow::after_refusal(6.0, now);
    /// assert!(window.admits(3.0, now) && !window.admits(4.0, now));
    /// assert!(window.admits(4.0, now + Duration::from_secs(2)));
    /// assert!(RequestWindow::after_refusal(0.0, now).admits(0.0, now));
    /// ```
    pub fn after_refusal(in_progress: f64, now: Instant) -> Self {
        Self { size: (in_progress * DECREASE).max(1.0), as_of: now }
    }

    /// Returns true if a request may be added to those in progress.
    pub fn admits(&self, in_progress: f64, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.as_of).as_secs_f64();
        in_progress + 1.0 <= self.size + elapsed / GROWTH_TIME.as_secs_f64()
    }
}
