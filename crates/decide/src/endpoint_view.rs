//! State of one endpoint, from load reports, peer updates and this host's own placements.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::forecast::Forecast;
use crate::sequence::SequenceIx;

/// Age above which a load report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);
/// Time for which an endpoint gets no new work after its first failure.
const INITIAL_BACKOFF: Duration = Duration::from_secs(2);
/// Upper bound of that time after repeated failures.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Step duration assumed before any was observed, in seconds.
const INITIAL_STEP_SECONDS: f32 = 0.022;
/// Weight of a new observation in the averaged step duration.
const STEP_SMOOTHING_FACTOR: f32 = 0.1;

/// A load report of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// KV memory in use, in tokens.
    pub kv_used: u32,
    /// Capacity of the KV memory, in tokens.
    pub kv_tokens: u32,
    /// Sequences that are decoding.
    pub running: u32,
    /// Sequences that wait in the engine.
    pub waiting: u32,
    /// Prompt tokens of the waiting sequences.
    pub waiting_tokens: u32,
    /// True when the engine is draining.
    pub draining: bool,
}

/// A sequence that ended recently.
#[derive(Clone, Copy, Debug)]
pub struct EndedSequence {
    /// When it was placed.
    pub placed_at: Instant,
    /// When it ended.
    pub ended_at: Instant,
    /// KV memory that it held, in tokens.
    pub kv: u32,
}

/// A placement received from another host.
#[derive(Clone, Copy, Debug)]
pub struct PeerPlacement {
    /// When this host received it.
    pub received_at: Instant,
    /// Its memory forecast.
    pub forecast: Forecast,
}

/// Kind of a peer update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerUpdateKind {
    /// The sequence was placed.
    Placed,
    /// The sequence ended or migrated away.
    Ended,
}

/// A placement or end of a sequence, received from another host.
#[derive(Clone, Copy, Debug)]
pub struct PeerUpdate {
    /// What happened.
    pub kind: PeerUpdateKind,
    /// When this host received it.
    pub received_at: Instant,
    /// Memory forecast of the sequence.
    pub forecast: Forecast,
}

/// Load of an endpoint by sequences of other hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerLoad {
    /// Running sequences.
    pub running: u32,
    /// Memory forecast of those sequences.
    pub forecast: Forecast,
}

/// Location of an endpoint relative to this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The same availability zone.
    #[default]
    Zone,
    /// Another availability zone of the region.
    Region,
    /// Another region; traffic to it is billed by volume.
    Remote,
}

/// State of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointView {
    /// Capacity of the KV memory, in tokens.
    pub capacity: u32,
    /// Largest number of concurrent sequences.
    pub max_sequences: u32,
    /// Location relative to this host.
    pub distance: Distance,
    /// True when the configuration no longer lists it or the host list shows it as draining.
    pub listed_draining: bool,
    /// True when its own load report says that it is draining.
    pub draining: bool,
    /// Forecast of the sequences placed by this host.
    pub forecast: Forecast,
    /// Forecast of the sequences placed by other hosts.
    pub peer_forecast: Forecast,
    /// Placements received from other hosts that no load report covers yet.
    pub unreported_peer_placements: Vec<PeerPlacement>,
    /// Part of [`EndpointView::forecast`] that no load report covers yet.
    pub unreported: Forecast,
    /// Sequences placed by this host.
    pub sequences: Vec<SequenceIx>,
    /// Sequences that ended recently, which a delayed load report may still count.
    pub ended: VecDeque<EndedSequence>,
    /// True when a load report arrived since migrations were last considered.
    pub has_new_report: bool,
    /// Number of sequences of this host whose requests are suspected to crash endpoints.
    pub crash_suspects: u32,
    /// Sequences waiting in the engine, as last reported.
    pub engine_waiting: u32,
    /// Sequences that other hosts run on the endpoint.
    pub peer_running: u32,
    /// Moving average of the step duration, in seconds.
    pub step_seconds: f32,
    reported_at: Option<Instant>,
    backoff_until: Option<Instant>,
    failures: u32,
}

impl EndpointView {
    /// Creates the state of an endpoint without any load report.
    pub fn new(capacity: u32, max_sequences: u32, distance: Distance) -> Self {
        Self {
            capacity,
            max_sequences,
            distance,
            listed_draining: false,
            draining: false,
            forecast: Forecast::default(),
            peer_forecast: Forecast::default(),
            unreported_peer_placements: Vec::new(),
            unreported: Forecast::default(),
            sequences: Vec::with_capacity(128),
            ended: VecDeque::new(),
            has_new_report: false,
            crash_suspects: 0,
            engine_waiting: 0,
            peer_running: 0,
            step_seconds: INITIAL_STEP_SECONDS,
            reported_at: None,
            backoff_until: None,
            failures: 0,
        }
    }

    /// Returns true when new work may be sent to the endpoint: it is eligible and its last load
    /// report is recent. After a pause of this host, all reports are too old.
    pub fn is_usable(&self, now: Instant) -> bool {
        let fresh = self.report_age(now).is_some_and(|age| age <= MAX_REPORT_AGE);
        fresh && self.is_eligible(now)
    }

    /// Returns true when the endpoint is neither draining nor backing off after a failure, so that
    /// it is usable once it has a recent load report.
    pub fn is_eligible(&self, now: Instant) -> bool {
        !self.listed_draining
            && !self.draining
            && self.backoff_until.is_none_or(|until| now >= until)
    }

    /// Returns the number of sequences known to run on the endpoint.
    pub fn running(&self) -> u32 {
        self.sequences.len() as u32 + self.peer_running
    }

    /// Returns the time since the last load report.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        self.reported_at.map(|at| now.saturating_duration_since(at))
    }

    /// Applies a load report, with the load of other hosts derived from it.
    pub fn apply_report(&mut self, report: &Report, peer_load: &PeerLoad, now: Instant) {
        self.reported_at = Some(now);
        self.has_new_report = true;
        self.draining = report.draining;
        self.engine_waiting = report.waiting;
        if report.kv_tokens > 0 {
            self.capacity = report.kv_tokens;
        }
        self.peer_running = peer_load.running;
        self.peer_forecast = peer_load.forecast;
    }

    /// Records a placement received from another host.
    pub fn record_peer_placement(&mut self, placement: PeerPlacement) {
        self.peer_running += 1;
        self.peer_forecast.add(&placement.forecast);
        self.unreported_peer_placements.push(placement);
    }

    /// Records a sequence that ended and drops those that ended too long ago.
    pub fn record_ended(&mut self, ended: EndedSequence) {
        let old = |front: &EndedSequence| {
            ended.ended_at.saturating_duration_since(front.ended_at) > MAX_REPORT_AGE
        };
        while self.ended.front().is_some_and(old) {
            self.ended.pop_front();
        }
        self.ended.push_back(ended);
    }

    /// Clears the reported queue of the engine if the last load report is too old.
    pub fn expire_report(&mut self, now: Instant) {
        if self.report_age(now).is_some_and(|age| age > MAX_REPORT_AGE) {
            self.engine_waiting = 0;
        }
    }

    /// Adds an observed step duration to the moving average.
    pub fn observe_step(&mut self, seconds: f32) {
        const LONGEST_STEP_SECONDS: f32 = 0.2;
        let seconds = seconds.min(LONGEST_STEP_SECONDS);
        self.step_seconds += (seconds - self.step_seconds) * STEP_SMOOTHING_FACTOR;
    }

    /// Records a failure. The endpoint gets no new work for a time that doubles with each failure
    /// in a row, up to a limit.
    pub fn record_failure(&mut self, now: Instant) {
        let doubled = INITIAL_BACKOFF.saturating_mul(1 << self.failures.min(4));
        self.failures += 1;
        self.backoff_until = Some(now + doubled.min(MAX_BACKOFF));
    }

    /// Records a success, which ends the backoff.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.backoff_until = None;
    }
}
