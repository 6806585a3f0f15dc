//! Metrics in a separate registry, exported as text.

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

/// Metrics in a separate registry.
///
/// The methods panic on an invalid or duplicate name. Names and labels are constants, so that any
/// test that creates the metrics detects such an error.
#[derive(Clone, Debug, Default)]
pub struct MetricSet {
    registry: Registry,
}

impl MetricSet {
    /// Adds a family of counters, distinguished by labels.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let counters = IntCounterVec::new(Opts::new(name, help), labels).expect("a valid name");
        self.registry.register(Box::new(counters.clone())).expect("registered once");
        counters
    }

    /// Adds a counter.
    pub fn counter(&self, name: &str, help: &str) -> IntCounter {
        let counter = IntCounter::new(name, help).expect("a valid name");
        self.registry.register(Box::new(counter.clone())).expect("registered once");
        counter
    }

    /// Adds a gauge.
    pub fn gauge(&self, name: &str, help: &str) -> IntGauge {
        let gauge = IntGauge::new(name, help).expect("a valid name");
        self.registry.register(Box::new(gauge.clone())).expect("registered once");
        gauge
    }

    /// Adds a histogram with the given upper bounds of its buckets.
    pub fn histogram(&self, name: &str, help: &str, bounds: &[f64]) -> Histogram {
        let opts = HistogramOpts::new(name, help).buckets(bounds.to_vec());
        let histogram = Histogram::with_opts(opts).expect("a valid name");
        self.registry.register(Box::new(histogram.clone())).expect("registered once");
        histogram
    }

    /// Adds a family of histograms, distinguished by labels.
    pub fn histograms(
        &self,
        name: &str,
        help: &str,
        bounds: &[f64],
        labels: &[&str],
    ) -> HistogramVec {
        let opts = HistogramOpts::new(name, help).buckets(bounds.to_vec());
        let histograms = HistogramVec::new(opts, labels).expect("a valid name");
        self.registry.register(Box::new(histograms.clone())).expect("registered once");
        histograms
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// ```
    /// use camphorloft_observe::metric_set::MetricSet;
    /// let set = MetricSet::default();
    /// set.counter("camphorloft_tries_total", "Tries").inc();
    /// assert!(set.to_text().contains("camphorloft_tries_total 1"));
    /// ```
    pub fn to_text(&self) -> String {
        let mut buf = Vec::new();
        // Writing to a vector cannot fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        String::from_utf8_lossy(&buf).into_owned()
    }
}
