//! Latest end of a response: the deadline of its call, or shortly before a draining host ends.

use std::time::{Duration, Instant};

use tokio::time::sleep_until;

use crate::call::Call;
use crate::context::{Host, Stage};

/// Margin before the end of the grace period at which the process ends by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Margin before the end of the process at which every response ends, so that its client receives the end.
const DELIVERY_MARGIN: Duration = Duration::from_millis(150);

impl<W, R> Host<W, R> {
    /// Returns when the process ends by itself if the host began to drain at `since`.
    pub fn exit_at(&self, since: Instant) -> Instant {
        since + self.grace.get().saturating_sub(EXIT_MARGIN)
    }

    /// Returns the time at which a response with this deadline ends at the latest.
    pub fn response_end(&self, deadline: Instant) -> Instant {
        match self.stage() {
            Stage::Serving => deadline,
            Stage::Draining { since } => {
                let margin = EXIT_MARGIN + DELIVERY_MARGIN;
                deadline.min(since + self.grace.get().saturating_sub(margin))
            }
        }
    }

    /// Returns the time until the response to a call ends at the latest.
    pub fn time_left(&self, call: &Call, now: Instant) -> Duration {
        self.response_end(call.deadline).saturating_duration_since(now)
    }

    /// Waits for the latest end of a response, also if the host starts to drain meanwhile.
    pub async fn wait_for_response_end(&self, deadline: Instant) {
        let mut stages = self.stages();
        loop {
            let end = self.response_end(deadline);
            tokio::select! {
                () = sleep_until(end.into()) => return,
                // The sender lives as long as the host.
                _ = stages.changed() => {}
            }
        }
    }

    /// Waits for a result until the latest end of the response to a call. Returns `None` if there is none
    /// by then.
    pub async fn within_response<Work>(&self, call: &Call, work: Work) -> Option<Work::Output>
    where
        Work: Future,
    {
        tokio::select! {
            biased;
            result = work => Some(result),
            () = self.wait_for_response_end(call.deadline) => None,
        }
    }
}
