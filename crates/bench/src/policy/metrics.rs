//! Measurements of a run.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::arrivals::Arrival;
use super::workload::Workload;

/// Longest gap between tokens that does not count as a stall; the excess is stall time.
const STALL_THRESHOLD: Duration = Duration::from_millis(49);
/// Largest recorded time, in microseconds.
const MAX_MICROS: u64 = 600_000_000;
/// Interval between points of the throughput curve, in seconds.
const CURVE_STEP_SECONDS: f64 = 2.0;

#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    first: Option<Duration>,
    last: Duration,
    stall: Duration,
    interruptions: u32,
}

/// Measurements of one run.
pub struct Metrics {
    arrivals: Vec<Arrival>,
    organisations: usize,
    warmup: Duration,
    end: Duration,
    progress: Vec<Progress>,
    gaps: Histogram<u64>,
    first_tokens: Histogram<u64>,
    stalls: Histogram<u64>,
    stall_total: f64,
    queue_total: f64,
    finished: u64,
    measured: u64,
    preemptions: u64,
    migrations: u64,
    losses: u64,
    refusals: u64,
    unfinished: u64,
    tokens: u64,
    max_interruptions: u32,
    occupancy_weighted: f64,
    occupancy_time: f64,
    speed_sum: Vec<f64>,
    speed_count: Vec<u64>,
    curve: Vec<u64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_MICROS, 3).expect("the bounds are valid")
}

fn micros(duration: Duration) -> u64 {
    (duration.as_micros() as u64).min(MAX_MICROS)
}

/// Figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Mean stall time per generation, in seconds.
    pub stall_seconds_mean: f64,
    /// 99th percentile of the stall time per generation, in seconds.
    pub stall_seconds_p99: f64,
    /// Mean per generation of the stall time plus the excess of the time to the first token over
    /// its target, in seconds.
    pub stall_and_queue_seconds_mean: f64,
    /// Preemptions per thousand generations.
    pub preemptions_per_thousand: f64,
    /// Migrations per thousand generations.
    pub migrations_per_thousand: f64,
    /// 95th percentile of the gap between tokens, in milliseconds.
    pub gap_ms_p95: f64,
    /// 99th percentile of the gap between tokens, in milliseconds.
    pub gap_ms_p99: f64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub first_token_ms_p95: f64,
    /// Tokens delivered per second after the warm-up.
    pub goodput_tokens_per_second: f64,
    /// Number of refused generations.
    pub refused: f64,
    /// Number of generations that did not end.
    pub unfinished: f64,
    /// Jain's fairness index over the organisations. The speed of each is relative to an idle
    /// engine.
    pub fairness: f64,
    /// Mean share of the KV memory in use, over the time that engines are busy.
    pub kv_occupancy: f64,
    /// Largest number of interruptions of one generation: preemptions, migrations and losses.
    pub interruptions_max: f64,
}

/// Target of the time to the first token.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(310);

impl Metrics {
    /// Creates empty measurements.
    pub fn new(workload: &Workload, arrivals: &[Arrival]) -> Self {
        let organisations = workload.organisations.len();
        Self {
            arrivals: arrivals.to_vec(),
            organisations,
            warmup: Duration::from_secs_f64(workload.warmup_seconds),
            end: Duration::from_secs_f64(workload.duration_seconds),
            progress: vec![Progress::default(); arrivals.len()],
            gaps: histogram(),
            first_tokens: histogram(),
            stalls: histogram(),
            stall_total: 0.0,
            queue_total: 0.0,
            finished: 0,
            measured: 0,
            preemptions: 0,
            migrations: 0,
            losses: 0,
            refusals: 0,
            unfinished: 0,
            tokens: 0,
            max_interruptions: 0,
            occupancy_weighted: 0.0,
            occupancy_time: 0.0,
            speed_sum: vec![0.0; organisations],
            speed_count: vec![0; organisations],
            curve: vec![0; (workload.duration_seconds / CURVE_STEP_SECONDS) as usize + 1],
        }
    }

    fn is_measured(&self, at: Duration) -> bool {
        at >= self.warmup && at < self.end
    }

    /// Records a token.
    pub fn token(&mut self, ix: usize, at: Duration) {
        let measured = self.is_measured(at);
        let progress = &mut self.progress[ix];
        if progress.first.is_some() {
            let gap = at.saturating_sub(progress.last);
            progress.stall += gap.saturating_sub(STALL_THRESHOLD);
            if measured {
                self.gaps.saturating_record(micros(gap));
            }
        } else {
            progress.first = Some(at);
        }
        progress.last = at;
        if measured {
            self.tokens += 1;
        }
        if let Some(point) = self.curve.get_mut((at.as_secs_f64() / CURVE_STEP_SECONDS) as usize) {
            *point += 1;
        }
    }

    /// Records a finished generation.
    pub fn finished(&mut self, ix: usize, at: Duration) {
        self.finished += 1;
        let arrival = self.arrivals[ix];
        let progress = self.progress[ix];
        if !self.is_measured(arrival.at) {
            return;
        }
        self.measured += 1;
        let first = progress.first.unwrap_or(at).saturating_sub(arrival.at);
        self.first_tokens.saturating_record(micros(first));
        self.stalls.saturating_record(micros(progress.stall));
        self.stall_total += progress.stall.as_secs_f64();
        self.queue_total += first.saturating_sub(FIRST_TOKEN_TARGET).as_secs_f64();
        self.max_interruptions = self.max_interruptions.max(progress.interruptions);
        // Duration on an idle engine with the default costs: the prefill, then one step per token.
        let ideal =
            f64::from(arrival.prompt_tokens) * 40e-6 + f64::from(arrival.output_tokens) * 0.0162;
        let actual = at.saturating_sub(arrival.at).as_secs_f64();
        self.speed_sum[arrival.organisation] += (ideal / actual).min(1.0);
        self.speed_count[arrival.organisation] += 1;
    }

    /// Records a preemption.
    pub fn preempted(&mut self, ix: usize, at: Duration) {
        self.progress[ix].interruptions += 1;
        if self.is_measured(at) {
            self.preemptions += 1;
        }
    }

    /// Records a migration.
    pub fn migrated(&mut self, ix: usize, at: Duration) {
        self.progress[ix].interruptions += 1;
        if self.is_measured(at) {
            self.migrations += 1;
        }
    }

    /// Records the loss of the engine of a generation.
    pub fn lost(&mut self, ix: usize) {
        self.progress[ix].interruptions += 1;
        self.losses += 1;
    }

    /// Records a refusal.
    pub fn refused(&mut self, ix: usize) {
        if self.is_measured(self.arrivals[ix].at) {
            self.refusals += 1;
        }
    }

    /// Records the share of memory in use, weighted by the duration of a step.
    pub fn occupancy(&mut self, at: Duration, share: f64, busy: Duration) {
        if self.is_measured(at) {
            self.occupancy_weighted += share * busy.as_secs_f64();
            self.occupancy_time += busy.as_secs_f64();
        }
    }

    /// Sets the number of generations that did not end.
    pub fn finish(&mut self, open: usize) {
        self.unfinished = open as u64;
    }

    /// Returns the throughput over time, as pairs of seconds and tokens per second.
    pub fn curve(&self) -> Vec<(f64, f64)> {
        let points = self.curve.iter().enumerate();
        points
            .map(|(ix, tokens)| {
                (ix as f64 * CURVE_STEP_SECONDS, *tokens as f64 / CURVE_STEP_SECONDS)
            })
            .collect()
    }

    /// Returns the figures.
    pub fn figures(&self) -> Figures {
        let measured = self.measured.max(1) as f64;
        let seconds = (self.end - self.warmup).as_secs_f64();
        let ms = |histogram: &Histogram<u64>, q: f64| histogram.value_at_quantile(q) as f64 / 1e3;
        Figures {
            stall_seconds_mean: self.stall_total / measured,
            stall_seconds_p99: ms(&self.stalls, 0.99) / 1e3,
            stall_and_queue_seconds_mean: (self.stall_total + self.queue_total) / measured,
            preemptions_per_thousand: self.preemptions as f64 * 1e3 / measured,
            migrations_per_thousand: self.migrations as f64 * 1e3 / measured,
            gap_ms_p95: ms(&self.gaps, 0.95),
            gap_ms_p99: ms(&self.gaps, 0.99),
            first_token_ms_p95: ms(&self.first_tokens, 0.95),
            goodput_tokens_per_second: self.tokens as f64 / seconds,
            refused: self.refusals as f64,
            unfinished: self.unfinished as f64,
            fairness: self.fairness(),
            kv_occupancy: self.occupancy_weighted / self.occupancy_time.max(f64::EPSILON),
            interruptions_max: f64::from(self.max_interruptions),
        }
    }

    fn fairness(&self) -> f64 {
        let mut sum = 0.0;
        let mut squares = 0.0;
        let mut count = 0.0;
        for ix in 0..self.organisations {
            if self.speed_count[ix] == 0 {
                continue;
            }
            let mean = self.speed_sum[ix] / self.speed_count[ix] as f64;
            sum += mean;
            squares += mean * mean;
            count += 1.0;
        }
        if squares > 0.0 { sum * sum / (count * squares) } else { 1.0 }
    }
}
