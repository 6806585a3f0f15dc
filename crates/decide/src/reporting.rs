//! Takes what engines and other hosts report.

use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;

use crate::decider::Decider;
use crate::endpoint_view::{PeerLoad, PeerPlacement, Report};
use crate::forecast::Forecast;
use crate::lengths::Lengths;

/// Mean age that a report gains until the next one replaces it.
const HALF_REPORT_INTERVAL: Duration = Duration::from_millis(125);

impl<L> Decider<L>
where
    L: Lengths,
{
    /// Takes a load report that was made at `made_at`.
    pub fn report(
        &mut self,
        endpoint: EndpointIx,
        report: &Report,
        made_at: Instant,
        now: Instant,
    ) {
        let mut own_running = 0;
        let mut own_kv = 0;
        let mut unreported = Forecast::default();
        for ix in &self.endpoints[endpoint].sequences {
            let Some(sequence) = &self.sequences[*ix] else { continue };
            if sequence.placed_at <= made_at {
                own_running += 1;
                own_kv += sequence.kv();
            } else {
                unreported.add(&sequence.forecast);
            }
        }
        for ended in &self.endpoints[endpoint].ended {
            if ended.placed_at <= made_at && ended.ended_at > made_at {
                own_running += 1;
                own_kv += ended.kv;
            }
        }
        let running = (report.running + report.waiting).saturating_sub(own_running);
        let kv = (report.kv_used + report.waiting_tokens).saturating_sub(own_kv);
        let age = now.saturating_duration_since(made_at) + HALF_REPORT_INTERVAL;
        let steps = age.as_secs_f32() / self.endpoints[endpoint].step_seconds;
        let forecast = self.estimate_peer_forecast(running, kv, steps as u32);
        let peer_load = PeerLoad { running, forecast };
        let view = &mut self.endpoints[endpoint];
        view.apply_report(report, &peer_load, now);
        view.unreported = unreported;
        let pending = std::mem::take(&mut view.unreported_peer_placements);
        for later in pending.into_iter().filter(|placement| placement.received_at > made_at) {
            view.record_peer_placement(later);
        }
    }

    /// Takes a placement of `kv` tokens that another host told of just now.
    pub fn record_peer_placement(&mut self, endpoint: EndpointIx, kv: u32, now: Instant) {
        let root = self.lengths.root();
        let continues = |horizon| self.lengths.continuation_probability(root, 0, 0, horizon);
        let forecast = Forecast::of_sequence(kv, continues);
        self.endpoints[endpoint]
            .record_peer_placement(PeerPlacement { received_at: now, forecast });
    }

    /// Tells whether other hosts announce their placements, so that they need not be guessed.
    pub fn set_receives_peer_placements(&mut self, receives: bool) {
        self.receives_peer_placements = receives;
    }

    /// Forecasts sequences of other hosts, of which only number and memory were known `steps` ago:
    /// their memory is expected to develop as that of this host's own sequences does.
    fn estimate_peer_forecast(&self, running: u32, kv: u32, steps: u32) -> Forecast {
        let mut forecast = Forecast::default();
        if running > 0 {
            forecast.add_scaled(&self.per_token.after_steps(steps), kv as f32);
        }
        forecast
    }
}
