//! Takes what engines and other hosts report.

use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;

use crate::decider::Decider;
use crate::endpoint_view::{AnnouncedPlacement, ForeignLoad, Report};
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
        let forecast = self.foreign_forecast(running, kv, steps as u32);
        let foreign = ForeignLoad { running, forecast };
        let view = &mut self.endpoints[endpoint];
        view.take_report(report, &foreign, now);
        view.unreported = unreported;
        let announced = std::mem::take(&mut view.announced);
        for later in announced.into_iter().filter(|placement| placement.heard_at > made_at) {
            view.hear(later);
        }
    }

    /// Takes a placement of `kv` tokens that another host told of just now.
    pub fn record_peer_placement(&mut self, endpoint: EndpointIx, kv: u32, now: Instant) {
        let root = self.lengths.root();
        let continues = |horizon| self.lengths.continues(root, 0, 0, horizon);
        let forecast = Forecast::of_sequence(kv, continues);
        self.endpoints[endpoint].hear(AnnouncedPlacement { heard_at: now, forecast });
    }

    /// Tells whether other hosts announce their placements, so that they need not be guessed.
    pub fn set_receives_placements(&mut self, hears: bool) {
        self.receives_placements = hears;
    }

    /// Forecasts sequences of other hosts, of which only number and memory were known `steps` ago:
    /// their memory is expected to develop as that of this host's own sequences does.
    fn foreign_forecast(&self, running: u32, kv: u32, steps: u32) -> Forecast {
        let mut forecast = Forecast::default();
        if running > 0 {
            forecast.add_scaled(&self.typical.later(steps), kv as f32);
        }
        forecast
    }
}
