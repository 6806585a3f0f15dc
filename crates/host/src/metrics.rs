//! Counters and histograms of a host.

use std::time::Duration;

use prometheus::core::Collector;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of the latency histograms, in seconds: from a local call to a long stream.
const LATENCY_SECONDS: &[f64] = &[0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 40.0];
/// Upper bounds of the histogram of pauses between events, in seconds.
const PAUSE_SECONDS: &[f64] = &[0.02, 0.05, 0.1, 0.18, 0.3, 0.5, 1.0, 2.0, 5.0];

/// Metrics of one host, in a registry of its own.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by how they may be repeated and by outcome.
    pub requests: IntCounterVec,
    /// Refusals by reason.
    pub refusals: IntCounterVec,
    /// Sends to endpoints by result.
    pub sends: IntCounterVec,
    /// Moves of running generations by result.
    pub moves: IntCounterVec,
    /// Calls to the registry by call and result.
    pub registry_calls: IntCounterVec,
    /// Reports of engines by result.
    pub reports: IntCounterVec,
    /// Datagrams between hosts by result.
    pub datagrams: IntCounterVec,
    /// Time to the answer of a call, or to the first event of a stream, by kind.
    pub answer_seconds: HistogramVec,
    /// Longest pause between the events of a stream.
    pub pause_seconds: Histogram,
    /// Version in force.
    pub serving_version: IntGauge,
    /// Endpoints that take new work.
    pub ready_endpoints: IntGauge,
    /// Requests in progress.
    pub in_progress: IntGauge,
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let counters = IntCounterVec::new(Opts::new(name, help), labels).expect("a valid name");
    registry.register(Box::new(counters.clone())).expect("registered once");
    counters
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("a valid name");
    registry.register(Box::new(gauge.clone())).expect("registered once");
    gauge
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let r = &registry;
        let opts = HistogramOpts::new(
            "camphorloft_answer_seconds",
            "Time to the answer of a call or to the first event of a stream",
        )
        .buckets(LATENCY_SECONDS.to_vec());
        let answer_seconds = HistogramVec::new(opts, &["kind"]).expect("a valid name");
        r.register(Box::new(answer_seconds.clone())).expect("registered once");
        let opts = HistogramOpts::new(
            "camphorloft_stream_pause_seconds",
            "Longest pause between the events of a stream",
        )
        .buckets(PAUSE_SECONDS.to_vec());
        let pause_seconds = Histogram::with_opts(opts).expect("a valid name");
        r.register(Box::new(pause_seconds.clone())).expect("registered once");
        let (kind, result) = ("kind", "result");
        Self {
            requests: counters(
                r,
                "camphorloft_requests_total",
                "Requests by kind and outcome",
                &[kind, "outcome"],
            ),
            refusals: counters(
                r,
                "camphorloft_refusals_total",
                "Refused requests by reason",
                &["reason"],
            ),
            sends: counters(
                r,
                "camphorloft_sends_total",
                "Sends to endpoints by result",
                &[result],
            ),
            moves: counters(
                r,
                "camphorloft_moves_total",
                "Moves of running generations by result",
                &[result],
            ),
            registry_calls: counters(
                r,
                "camphorloft_registry_calls_total",
                "Calls to the registry",
                &["call", result],
            ),
            reports: counters(
                r,
                "camphorloft_engine_reports_total",
                "Reports asked of engines",
                &[result],
            ),
            datagrams: counters(
                r,
                "camphorloft_peer_datagrams_total",
                "Datagrams between hosts by result",
                &[result],
            ),
            answer_seconds,
            pause_seconds,
            serving_version: gauge(r, "camphorloft_serving_version", "Version in force"),
            ready_endpoints: gauge(r, "camphorloft_endpoints_ready", "Endpoints that take work"),
            in_progress: gauge(r, "camphorloft_requests_in_progress", "Requests in progress"),
            registry,
        }
    }
}

impl Metrics {
    /// Records the time to an answer or to a first event.
    pub fn answered(&self, kind: &str, took: Duration) {
        self.answer_seconds.with_label_values(&[kind]).observe(took.as_secs_f64());
    }

    /// Returns the calls to the registry so far, as `call:result=count` separated by spaces.
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

    /// Returns all metrics in the text format of Prometheus.
    ///
    /// ```
    /// let metrics = camphorloft_host::metrics::Metrics::default();
    /// metrics.sends.with_label_values(&["answered"]).inc();
    /// assert!(metrics.to_text().contains("camphorloft_sends_total{result=\"answered\"} 1"));
    /// ```
    pub fn to_text(&self) -> String {
        let mut buf = Vec::new();
        // Writing to a vector cannot fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        String::from_utf8_lossy(&buf).into_owned()
    }
}
