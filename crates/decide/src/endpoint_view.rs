//! What is known of one endpoint.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::forecast::Forecast;
use crate::sequence::SequenceIx;

/// Age at which a load report no longer counts.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);
/// Time for which an endpoint that failed is not chosen.
const INITIAL_BACKOFF: Duration = Duration::from_secs(2);
/// Longest such time after repeated failures.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Step time before one was observed, in seconds.
const INITIAL_STEP_SECONDS: f32 = 0.022;
/// Weight of a new observation of the step time.
const STEP_SMOOTHING_FACTOR: f32 = 0.1;

/// A load report, as it reached this host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// KV memory in use, in tokens.
    pub kv_used: u32,
    /// KV memory, in tokens.
    pub kv_tokens: u32,
    /// Sequences that decode.
    pub running: u32,
    /// Sequences that wait in the engine.
    pub waiting: u32,
    /// Prompt tokens of the waiting sequences.
    pub waiting_tokens: u32,
    /// True when the engine is about to leave.
    pub draining: bool,
}

/// A sequence that ended lately.
#[derive(Clone, Copy, Debug)]
pub struct EndedSequence {
    /// When it was placed.
    pub placed_at: Instant,
    /// When it ended.
    pub ended_at: Instant,
    /// Memory that it held, in tokens.
    pub kv: u32,
}

/// A placement that another host told of.
#[derive(Clone, Copy, Debug)]
pub struct PeerPlacement {
    /// When it was heard of.
    pub received_at: Instant,
    /// Its forecast.
    pub forecast: Forecast,
}

/// What another host told of a sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerUpdateKind {
    /// It was placed.
    Placed,
    /// It ended or was moved away.
    Ended,
}

/// A placement or an end that another host told of.
#[derive(Clone, Copy, Debug)]
pub struct PeerUpdate {
    /// What happened.
    pub kind: PeerUpdateKind,
    /// When it was heard of.
    pub received_at: Instant,
    /// Forecast of the sequence.
    pub forecast: Forecast,
}

/// What other hosts have on an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerLoad {
    /// Sequences.
    pub running: u32,
    /// Their forecast.
    pub forecast: Forecast,
}

/// Where an endpoint is, relative to this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The same availability zone.
    #[default]
    Zone,
    /// Another availability zone of the region.
    Region,
    /// Another region, where traffic is paid by volume.
    Remote,
}

/// One endpoint.
#[derive(Clone, Debug)]
pub struct EndpointView {
    /// KV memory, in tokens.
    pub capacity: u32,
    /// Sequences that it runs at a time.
    pub max_sequences: u32,
    /// Where it is.
    pub distance: Distance,
    /// True when the configuration or the host list says that it leaves.
    pub listed_draining: bool,
    /// True when its own report says that it leaves.
    pub draining: bool,
    /// Forecast of the sequences placed from here.
    pub forecast: Forecast,
    /// Forecast of what other hosts placed.
    pub peer_forecast: Forecast,
    /// Placements that other hosts told of and no load report covers yet.
    pub unreported_peer_placements: Vec<PeerPlacement>,
    /// Part of the own forecast that no load report covers yet.
    pub unreported: Forecast,
    /// Sequences placed from here.
    pub sequences: Vec<SequenceIx>,
    /// Sequences that ended lately, which a lagging report may still count.
    pub ended: VecDeque<EndedSequence>,
    /// True when a report arrived since moves were last weighed.
    pub has_new_report: bool,
    /// Sequences among them that are suspected to crash endpoints.
    pub crash_suspects: u32,
    /// Sequences that wait in the engine, as last reported.
    pub engine_waiting: u32,
    /// Sequences that other hosts run there.
    pub peer_running: u32,
    /// Time of a step, in seconds, averaged.
    pub step_seconds: f32,
    reported_at: Option<Instant>,
    backoff_until: Option<Instant>,
    failures: u32,
}

impl EndpointView {
    /// Builds the view of an endpoint of which nothing was reported.
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

    /// Returns true when new work may be sent to the endpoint: nothing says that it leaves, and a
    /// report fresh enough to know. After a pause of this host every report is old.
    pub fn is_usable(&self, now: Instant) -> bool {
        let fresh = self.report_age(now).is_some_and(|age| age <= MAX_REPORT_AGE);
        fresh && self.is_eligible(now)
    }

    /// Returns true when the endpoint is usable or becomes so with its next report.
    pub fn is_eligible(&self, now: Instant) -> bool {
        !self.listed_draining
            && !self.draining
            && self.backoff_until.is_none_or(|until| now >= until)
    }

    /// Returns the sequences that run there, as far as they are known.
    pub fn running(&self) -> u32 {
        self.sequences.len() as u32 + self.peer_running
    }

    /// Returns the time since the last report, for log lines.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        self.reported_at.map(|at| now.saturating_duration_since(at))
    }

    /// Takes a report, with what other hosts have there according to it.
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

    /// Takes a placement that another host told of.
    pub fn record_peer_placement(&mut self, placement: PeerPlacement) {
        self.peer_running += 1;
        self.peer_forecast.add(&placement.forecast);
        self.unreported_peer_placements.push(placement);
    }

    /// Remembers a sequence that ended.
    pub fn record_ended(&mut self, ended: EndedSequence) {
        let old = |front: &EndedSequence| {
            ended.ended_at.saturating_duration_since(front.ended_at) > MAX_REPORT_AGE
        };
        while self.ended.front().is_some_and(old) {
            self.ended.pop_front();
        }
        self.ended.push_back(ended);
    }

    /// Forgets a report that is too old to count.
    pub fn expire_report(&mut self, now: Instant) {
        if self.report_age(now).is_some_and(|age| age > MAX_REPORT_AGE) {
            self.engine_waiting = 0;
        }
    }

    /// Averages an observed time per token.
    pub fn observe_step(&mut self, seconds: f32) {
        const LONGEST_STEP_SECONDS: f32 = 0.2;
        let seconds = seconds.min(LONGEST_STEP_SECONDS);
        self.step_seconds += (seconds - self.step_seconds) * STEP_SMOOTHING_FACTOR;
    }

    /// Takes a failure: the endpoint is left alone for a time that doubles with each failure.
    pub fn record_failure(&mut self, now: Instant) {
        let doubled = INITIAL_BACKOFF.saturating_mul(1 << self.failures.min(4));
        self.failures += 1;
        self.backoff_until = Some(now + doubled.min(MAX_BACKOFF));
    }

    /// Takes a success.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.backoff_until = None;
    }
}
