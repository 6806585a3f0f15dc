//! Observes how fast engines are, from the events of the streams that this host relays.

use std::time::Instant;

use camphorloft_dispatch::prelude::*;

use crate::boundary::{Registry, Wire};
use crate::gap_window::GapWindow;
use crate::stream_relay::StreamRelay;

impl<W, R> StreamRelay<W, R>
where
    W: Wire,
    R: Registry,
{
    /// Records the arrival of `events` events of the source.
    pub(crate) fn observe_gaps(&mut self, events: u32, now: Instant) {
        let endpoint = self.source.guard.endpoint;
        if let Some(window) = &mut self.gap_window
            && !window.record(events, now)
        {
            return;
        }
        let mut state = self.cx.state.borrow_mut();
        let load = state.fleet.get(endpoint).map(|endpoint| &endpoint.load);
        let prefills = load.and_then(|load| load.prefills(now));
        let ended = self.gap_window.replace(GapWindow::new(prefills, now));
        let mean = ended.and_then(|window| window.end(prefills, now));
        let Some(mean) = mean.filter(|mean| !self.cx.stalls.stalled_since(mean.began_at, now))
        else {
            return;
        };
        let tokens = self.tokens_per_event();
        let ratio = state.fleet.record_gap(endpoint, mean.gap, tokens, mean.prefills, now);
        let Some(ratio) = ratio else { return };
        self.cx.metrics.gap_ratio.observe(ratio);
        let announces = state.fleet.get_mut(endpoint).is_some_and(|e| e.speed.begin_announcement());
        drop(state);
        if announces {
            self.cx.send_speed(endpoint, now);
        }
    }

    /// Records that the client does not read what was sent to it.
    pub(crate) fn observe_slow_client(&mut self) {
        if let Some(window) = &mut self.gap_window {
            window.disturb();
        }
    }
}

/// Returns what is known of the speed of an endpoint, for the log: its slowness in percent, and the age
/// of its latest stated figure in milliseconds.
pub(crate) fn logged_speed(choice: &Choice, endpoint: Option<&Endpoint>) -> LoggedSpeed {
    let Some(gaps) = choice.gaps else { return LoggedSpeed::default() };
    let stated_age = endpoint.and_then(|endpoint| endpoint.speed.stated_age(Instant::now()));
    LoggedSpeed {
        slowness_percent: Some((gaps.slowness * 100.0).round() as u64),
        stated_age_ms: stated_age.map(|age| age.as_millis() as u64),
        gap_ms: Some(gaps.expected_gap().as_millis() as u64),
    }
}

/// Speed of an endpoint as logged; empty if speed did not count in the placement.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoggedSpeed {
    pub(crate) slowness_percent: Option<u64>,
    pub(crate) stated_age_ms: Option<u64>,
    pub(crate) gap_ms: Option<u64>,
}
