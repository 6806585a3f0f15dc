//! Counters and gauges of a host.

use camphorloft_gateway::control::{INVARIANTS, Invariant};
use camphorloft_observe::metric_set::MetricSet;
use camphorloft_types::prelude::Outcome;
use prometheus::{IntCounter, IntCounterVec, IntGauge};

/// Metrics of one host, in their own Prometheus registry.
pub struct Metrics {
    set: MetricSet,
    /// Requests by outcome.
    pub requests: IntCounterVec,
    /// Attempts by how they ended.
    pub attempts: IntCounterVec,
    /// Decisions by kind.
    pub decisions: IntCounterVec,
    /// Invariant violations by name of the invariant.
    pub violations: IntCounterVec,
    /// Version of the object set in force.
    pub config_version: IntGauge,
    /// Running generations.
    pub running: IntGauge,
    /// Generations that wait for a placement.
    pub waiting: IntGauge,
    /// Load reports received.
    pub load_reports: IntCounter,
}

impl Default for Metrics {
    fn default() -> Self {
        let set = MetricSet::default();
        let violations = set.counters(
            "camphorloft_invariant_violations_total",
            "Breaches of an invariant; any is a fault of the program",
            &["name"],
        );
        for invariant in INVARIANTS {
            violations.with_label_values(&[invariant.as_str()]);
        }
        Self {
            requests: set.counters(
                "camphorloft_requests_total",
                "Requests by outcome",
                &["outcome"],
            ),
            attempts: set.counters("camphorloft_attempts_total", "Attempts by their end", &["end"]),
            decisions: set.counters("camphorloft_decisions_total", "Decisions by kind", &["kind"]),
            violations,
            config_version: set.gauge("camphorloft_config_version", "Object set in force"),
            running: set.gauge("camphorloft_generations_running", "Generations that run"),
            waiting: set.gauge("camphorloft_generations_waiting", "Generations that wait"),
            load_reports: set.counter("camphorloft_load_reports_total", "Load reports taken"),
            set,
        }
    }
}

impl Metrics {
    /// Counts the end of a request.
    pub fn end_request(&self, outcome: Outcome) {
        self.requests.with_label_values(&[outcome.as_str()]).inc();
    }

    /// Counts an invariant violation.
    pub fn record_violation(&self, invariant: Invariant) {
        self.violations.with_label_values(&[invariant.as_str()]).inc();
    }

    /// Returns the number of violations of all invariants.
    pub fn violation_count(&self) -> u64 {
        INVARIANTS.iter().map(|i| self.violations.with_label_values(&[i.as_str()]).get()).sum()
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn to_text(&self) -> String {
        self.set.to_text()
    }
}
