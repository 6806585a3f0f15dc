//! Latest end of a response: the deadline of its call, or shortly before a draining host ends. A draining host
//! takes and sends only what can end by then.

use std::time::{Duration, Instant};

use camphorloft_serving::prelude::Route;
use tokio::time::sleep_until;

use crate::call::Call;
use crate::context::{Host, Stage};

/// Margin before the end of the grace period at which the process ends by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Margin before the end of the process at which every response ends, so that its client receives the end.
const DELIVERY_MARGIN: Duration = Duration::from_millis(150);
/// Time after the termination signal for which the host still accepts requests, at most; then it closes idle
/// connections. By then the load balancer has detected that the host is not ready.
const MAX_ACCEPT_PERIOD: Duration = Duration::from_millis(2500);
/// Fraction of the grace period in which it does so at most.
const ACCEPT_FRACTION: f64 = 0.5;
/// Time in which a call to a plain service is expected to end, as a multiple of its latency objective.
const EXPECTED_OBJECTIVES: u32 = 4;
/// Retry delay sent by a draining host. It is short because the load balancer sends the retry to
/// another host.
pub const DRAINING_RETRY_AFTER: Duration = Duration::from_millis(20);

impl<W, R> Host<W, R> {
    /// Returns when the process ends by itself if the host began to drain at `since`.
    pub fn exit_at(&self, since: Instant) -> Instant {
        since + self.grace.get().saturating_sub(EXIT_MARGIN)
    }

    /// Returns the time after the termination signal for which the host accepts requests.
    pub fn accept_period(&self) -> Duration {
        MAX_ACCEPT_PERIOD.min(self.grace.get().mul_f64(ACCEPT_FRACTION))
    }

    /// Returns the time at which all responses of a draining host end at the latest.
    fn last_response_end(&self) -> Option<Instant> {
        match self.stage() {
            Stage::Serving => None,
            Stage::Draining { since } => {
                let margin = EXIT_MARGIN + DELIVERY_MARGIN;
                Some(since + self.grace.get().saturating_sub(margin))
            }
        }
    }

    /// Returns the time at which a response with this deadline ends at the latest.
    pub fn response_end(&self, deadline: Instant) -> Instant {
        self.last_response_end().map_or(deadline, |end| end.min(deadline))
    }

    /// Returns the time after which a draining host must not send a request, since the response might not end
    /// in time. A stream may take until its deadline; a call is expected to end some latency objectives later.
    fn latest_send(&self, route: &Route, deadline: Instant) -> Option<Instant> {
        let end = self.last_response_end()?;
        if deadline <= end {
            return Some(deadline);
        }
        let objective = route.latency_objective * EXPECTED_OBJECTIVES;
        match route.retry_mode.is_stream() || objective.is_zero() {
            true => Some(self.started_at),
            false => Some(end.checked_sub(objective).unwrap_or(self.started_at)),
        }
    }

    /// Returns true if this host drains and must not send a request any more.
    pub fn is_too_late(&self, route: &Route, deadline: Instant) -> bool {
        self.latest_send(route, deadline).is_some_and(|latest| Instant::now() > latest)
    }

    /// Waits until this host drains and must not send a call any more.
    pub async fn wait_until_too_late(&self, call: &Call) {
        let mut stages = self.stages();
        loop {
            match self.latest_send(call.route(), call.deadline) {
                Some(latest) => return sleep_until(latest.into()).await,
                // The sender lives as long as the host.
                None => drop(stages.changed().await),
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
