//! Counters and gauges of a host.

use camphorloft_gateway::control::{INVARIANTS, Invariant};
use camphorloft_types::prelude::Outcome;
use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

/// Metrics of one host, in a registry of its own.
pub struct Metrics {
    registry: Registry,
    /// Requests by outcome.
    pub requests: IntCounterVec,
    /// Attempts by how they ended.
    pub attempts: IntCounterVec,
    /// Decisions by kind.
    pub decisions: IntCounterVec,
    /// Breaches of invariants by name.
    pub violations: IntCounterVec,
    /// Version of the object set in force.
    pub config_version: IntGauge,
    /// Generations that run.
    pub running: IntGauge,
    /// Generations that wait for a place.
    pub waiting: IntGauge,
    /// Load reports taken.
    pub load_reports: IntCounter,
}

fn counters(registry: &Registry, name: &str, help: &str, label: &str) -> IntCounterVec {
    let counters = IntCounterVec::new(Opts::new(name, help), &[label]).expect("a valid name");
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
        let violations = counters(
            r,
            "camphorloft_invariant_violations_total",
            "Breaches of an invariant; any is a fault of the program",
            "name",
        );
        for invariant in INVARIANTS {
            violations.with_label_values(&[invariant.as_str()]);
        }
        let load_reports =
            IntCounter::new("camphorloft_load_reports_total", "Load reports taken").expect("valid");
        registry.register(Box::new(load_reports.clone())).expect("registered once");
        Self {
            requests: counters(r, "camphorloft_requests_total", "Requests by outcome", "outcome"),
            attempts: counters(r, "camphorloft_attempts_total", "Attempts by their end", "end"),
            decisions: counters(r, "camphorloft_decisions_total", "Decisions by kind", "kind"),
            violations,
            config_version: gauge(r, "camphorloft_config_version", "Object set in force"),
            running: gauge(r, "camphorloft_generations_running", "Generations that run"),
            waiting: gauge(r, "camphorloft_generations_waiting", "Generations that wait"),
            load_reports,
            registry,
        }
    }
}

impl Metrics {
    /// Counts the end of a request.
    pub fn end_request(&self, outcome: Outcome) {
        self.requests.with_label_values(&[outcome.as_str()]).inc();
    }

    /// Counts the breach of an invariant.
    pub fn violated(&self, invariant: Invariant) {
        self.violations.with_label_values(&[invariant.as_str()]).inc();
    }

    /// Returns the number of breaches of all invariants.
    pub fn violation_count(&self) -> u64 {
        INVARIANTS.iter().map(|i| self.violations.with_label_values(&[i.as_str()]).get()).sum()
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn to_text(&self) -> String {
        let mut buf = Vec::new();
        // Writing to a vector cannot fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        String::from_utf8_lossy(&buf).into_owned()
    }
}
