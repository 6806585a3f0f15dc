//! Applies load reports of engines and placements of other hosts.

use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;

use crate::decider::Decider;
use crate::endpoint_view::{PeerLoad, PeerPlacement, Report};
use crate::forecast::Forecast;
use crate::lengths::Lengths;

/// Mean additional age of a report until the next one replaces it.
const HALF_REPORT_INTERVAL: Duration = Duration::from_millis(125);

impl<L> Decider<L>
where
    L: Lengths,
{
    /// Applies a load report that the endpoint made at `made_at`.
    ///
    /// Whatever exceeds this host's own sequences at that time is attributed to other hosts.
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

    /// Records a placement of `kv` tokens received from another host.
    pub fn record_peer_placement(&mut self, endpoint: EndpointIx, kv: u32, now: Instant) {
        let root = self.lengths.root();
        let continues = |horizon| self.lengths.continuation_probability(root, 0, 0, horizon);
        let forecast = Forecast::of_sequence(kv, continues);
        self.endpoints[endpoint]
            .record_peer_placement(PeerPlacement { received_at: now, forecast });
    }

    /// Sets whether other hosts send their placements to this one. If not, they are estimated.
    pub fn set_receives_peer_placements(&mut self, receives: bool) {
        self.receives_peer_placements = receives;
    }

    /// Forecasts the sequences of other hosts from their number and memory `steps` ago, assuming
    /// that their memory develops like that of this host's own sequences.
    fn estimate_peer_forecast(&self, running: u32, kv: u32, steps: u32) -> Forecast {
        let mut forecast = Forecast::default();
        if running > 0 {
            forecast.add_scaled(&self.per_token.after_steps(steps), kv as f32);
        }
        forecast
    }
}
