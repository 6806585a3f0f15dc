//! Prometheus metrics of a host.

use std::time::Duration;

use camphorloft_observe::metric_set::MetricSet;
use prometheus::core::Collector;
use prometheus::{Histogram, HistogramVec, IntCounterVec, IntGauge};

/// Upper bounds of the latency histograms, in seconds: from a local call to a long stream.
const LATENCY_SECONDS: &[f64] = &[0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 40.0];
/// Upper bounds of the histogram of pauses between events, in seconds.
const PAUSE_SECONDS: &[f64] = &[0.02, 0.05, 0.1, 0.18, 0.3, 0.5, 1.0, 2.0, 5.0];

/// Upper bounds of the histogram of observed to estimated times. A well estimated time is between 0.7
/// and 1.4.
const RATIOS: &[f64] = &[0.25, 0.5, 0.7, 0.85, 1.0, 1.2, 1.4, 2.0, 3.0, 5.0];

/// Metrics of one host, in their own Prometheus registry.
#[derive(Debug)]
pub struct Metrics {
    set: MetricSet,
    /// Requests by retry mode and outcome.
    pub requests: IntCounterVec,
    /// Refused requests by reason.
    pub refusals: IntCounterVec,
    /// Sends to endpoints by result.
    pub sends: IntCounterVec,
    /// Migrations of running generations by result.
    pub migrations: IntCounterVec,
    /// Calls to the registry by call and result.
    pub registry_calls: IntCounterVec,
    /// Polls of engines' load reports by result.
    pub reports: IntCounterVec,
    /// Requests for the speed of engines by result.
    pub speed_probes: IntCounterVec,
    /// Statements of endpoints about themselves that were not valid.
    pub malformed_directives: IntCounterVec,
    /// Peer datagrams by result.
    pub datagrams: IntCounterVec,
    /// Latency of the response to a call, or of the first event of a stream, by kind.
    pub answer_seconds: HistogramVec,
    /// Longest pause between two events of a stream.
    pub pause_seconds: Histogram,
    /// Observed mean time between the events of a stream, as a fraction of the estimate.
    pub gap_ratio: Histogram,
    /// Configuration version in force.
    pub serving_version: IntGauge,
    /// Pairs of a route and an organisation without an allowed region in common.
    pub residency_conflicts: IntGauge,
    /// Endpoints that accept new work.
    pub ready_endpoints: IntGauge,
    /// Cold endpoints whose service limits the requests to them.
    pub cold_endpoints: IntGauge,
    /// Evacuated zones.
    pub evacuated_zones: IntGauge,
    /// Active streams.
    pub streams: IntGauge,
    /// Requests that wait for an endpoint.
    pub queued: IntGauge,
    /// Time from the arrival in a queue to the decision, by priority and decision.
    pub queue_seconds: HistogramVec,
}

impl Default for Metrics {
    fn default() -> Self {
        let set = MetricSet::default();
        let (kind, result) = ("kind", "result");
        Self {
            requests: set.counters(
                "camphorloft_requests_total",
                "Requests by kind and outcome",
                &[kind, "outcome"],
            ),
            refusals: set.counters(
                "camphorloft_refusals_total",
                "Refused requests by reason",
                &["reason"],
            ),
            sends: set.counters(
                "camphorloft_sends_total",
                "Sends to endpoints by result",
                &[result],
            ),
            migrations: set.counters(
                "camphorloft_moves_total",
                "Moves of running generations by result",
                &[result],
            ),
            registry_calls: set.counters(
                "camphorloft_registry_calls_total",
                "Calls to the registry",
                &["call", result],
            ),
            reports: set.counters(
                "camphorloft_engine_reports_total",
                "Reports asked of engines",
                &[result],
            ),
            speed_probes: set.counters(
                "camphorloft_speed_probes_total",
                "Requests for the speed of engines",
                &[result],
            ),
            malformed_directives: set.counters(
                "camphorloft_malformed_directives_total",
                "Statements of endpoints about themselves that were not valid",
                &["directive"],
            ),
            datagrams: set.counters(
                "camphorloft_peer_datagrams_total",
                "Datagrams between hosts by result",
                &[result],
            ),
            answer_seconds: set.histograms(
                "camphorloft_answer_seconds",
                "Time to the answer of a call or to the first event of a stream",
                LATENCY_SECONDS,
                &[kind],
            ),
            pause_seconds: set.histogram(
                "camphorloft_stream_pause_seconds",
                "Longest pause between the events of a stream",
                PAUSE_SECONDS,
            ),
            gap_ratio: set.histogram(
                "camphorloft_gap_ratio",
                "Observed time between events as a fraction of the estimate",
                RATIOS,
            ),
            serving_version: set.gauge("camphorloft_serving_version", "Version in force"),
            residency_conflicts: set.gauge(
                "camphorloft_residency_conflicts",
                "Pairs of a route and an organisation without an allowed region in common",
            ),
            ready_endpoints: set.gauge("camphorloft_endpoints_ready", "Endpoints that take work"),
            cold_endpoints: set.gauge(
                "camphorloft_endpoints_cold",
                "Cold endpoints that receive a limited rate of requests",
            ),
            evacuated_zones: set.gauge("camphorloft_evacuated_zones", "Evacuated zones"),
            streams: set.gauge("camphorloft_streams", "Streams in progress"),
            queued: set.gauge("camphorloft_queued_requests", "Requests that wait for an endpoint"),
            queue_seconds: set.histograms(
                "camphorloft_queue_seconds",
                "Time in a queue by priority and decision",
                LATENCY_SECONDS,
                &["priority", "decision"],
            ),
            set,
        }
    }
}

impl Metrics {
    /// Records the latency of a response or of a first event.
    pub fn observe_response(&self, kind: &str, duration: Duration) {
        self.answer_seconds.with_label_values(&[kind]).observe(duration.as_secs_f64());
    }

    /// Returns the total calls to the registry as `call:result=count`, separated by spaces.
    pub fn registry_call_counts(&self) -> String {
        let mut counts = Vec::new();
        for family in self.registry_calls.collect() {
            for metric in family.get_metric() {
                let labels: Vec<&str> = metric.get_label().iter().map(|l| l.value()).collect();
                counts.push(format!("{}={}", labels.join(":"), metric.get_counter().get_value()));
            }
        }
        counts.join(" ")
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// ```
    /// let metrics = camphorloft_host::metrics::Metrics::default();
    /// metrics.sends.with_label_values(&["answered"]).inc();
    /// assert!(metrics.to_text().contains("camphorloft_sends_total{result=\"answered\"} 1"));
    /// ```
    pub fn to_text(&self) -> String {
        self.set.to_text()
    }
}
