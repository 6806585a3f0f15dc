//! Waits for a confirmation of the endpoint list as of a time.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::context::Host;

/// Maximum time for which a confirmation is awaited. A reader asks for changes once in 700 ms, and tells
/// other hosts every 200 ms.
pub const MAX_CONFIRMATION_TIME: Duration = Duration::from_millis(1500);
/// Time between two checks for it.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl<W, R> Host<W, R> {
    /// Returns the time as of which the endpoint list is known, by what was asked for then. What is newer may
    /// be missing from it.
    pub fn list_known_as_of(&self) -> Option<Instant> {
        self.list_asked_at.get().max(self.state.borrow().peers.list_asked_at())
    }

    /// Waits until the endpoint list is known as of `at`, and has it read then. Returns false if it is not by
    /// `until`, or if a confirmation is no longer `needed`, which is checked again and again.
    pub async fn confirm_list<Needed>(&self, at: Instant, until: Instant, needed: Needed) -> bool
    where
        Needed: Fn() -> bool,
    {
        let mut is_wanted = false;
        while needed() {
            let now = Instant::now();
            if self.list_known_as_of().is_some_and(|as_of| as_of >= at) {
                return true;
            }
            if now >= until {
                return false;
            }
            if now >= at && !is_wanted {
                is_wanted = true;
                self.list_wanted.notify_one();
            }
            sleep(CHECK_INTERVAL).await;
        }
        false
    }
}
