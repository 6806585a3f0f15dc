//! Which changes of the settings a running host can reload.

use std::collections::BTreeMap;
use std::time::Duration;

use camphorloft_dispatch::prelude::{Locality, QuotaSettings};
use camphorloft_host::settings::HostSettings;
use camphorloft_types::prelude::{ByteRate, ByteSize};

fn settings() -> HostSettings {
    let addr = "127.0.0.1:1".parse().unwrap();
    HostSettings {
        host: "h1".parse().unwrap(),
        locality: Locality {
            zone: "z".parse().unwrap(),
            region: "r".parse().unwrap(),
            regions: BTreeMap::new(),
        },
        clients: addr,
        readiness: addr,
        metrics: addr,
        peers: addr,
        endpoint_gateway: None,
        seeds: Vec::new(),
        is_first_start: false,
        registry_reads_per_s: None,
        memory: ByteSize(1 << 20),
        max_connections: 10,
        bandwidth: Some(ByteRate(1_250_000)),
        grace: Duration::from_secs(8),
        prioritised: false,
        quota: QuotaSettings { window: Duration::from_secs(10), ratio: 0.2, extra: 54.0 },
    }
}

#[test]
fn grace_period_and_quota_are_reloadable() {
    let mut changed = settings();
    changed.grace = Duration::from_secs(3);
    changed.quota.extra = 9.0;
    assert!(settings().is_reloadable(&changed));
}

#[test]
fn an_address_needs_a_restart() {
    let mut changed = settings();
    changed.clients = "127.0.0.1:2".parse().unwrap();
    assert!(!settings().is_reloadable(&changed));
}
