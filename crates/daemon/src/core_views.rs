//! Views of the core for operators.

use std::time::Instant;

use serde::Serialize;

use crate::core::Core;

/// One endpoint in the operator interface.
#[derive(Serialize)]
struct EndpointRow {
    name: String,
    address: String,
    capacity_tokens: u32,
    running: u32,
    engine_waiting: u32,
    usable: bool,
    leaving: bool,
    report_age_ms: Option<u64>,
}

/// The state of a host in the operator interface.
#[derive(Serialize)]
struct StatusView {
    host: String,
    region: String,
    zone: String,
    config_version: u64,
    running: usize,
    waiting: usize,
    violations: u64,
}

impl Core {
    /// Returns the view of the given name as JSON, or `None` if there is no such view.
    pub(crate) fn view(&self, name: &str, now: Instant) -> Option<String> {
        match name {
            "status" => serde_json::to_string(&self.status_view()).ok(),
            "endpoints" => serde_json::to_string(&self.endpoint_rows(now)).ok(),
            _ => None,
        }
    }

    fn status_view(&self) -> StatusView {
        let settings = &self.setup.settings;
        StatusView {
            host: settings.host.to_string(),
            region: settings.region.to_string(),
            zone: settings.zone.to_string(),
            config_version: self.serving.as_ref().map_or(0, |serving| serving.version.0),
            running: self.decider.running(),
            waiting: self.decider.waiting(),
            violations: self.setup.shared.metrics.violation_count(),
        }
    }

    fn endpoint_rows(&self, now: Instant) -> Vec<EndpointRow> {
        let rows = self.registry.endpoints.iter().map(|endpoint| {
            let view = self.decider.endpoint(endpoint.ix);
            EndpointRow {
                name: endpoint.name.to_string(),
                address: endpoint.addr.to_string(),
                capacity_tokens: view.capacity,
                running: view.running(),
                engine_waiting: view.engine_waiting,
                usable: view.is_usable(now),
                leaving: view.listed_draining || view.draining,
                report_age_ms: view.report_age(now).map(|age| age.as_millis() as u64),
            }
        });
        rows.collect()
    }
}
