//! Fleets for the tests.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_serving::prelude::EngineSpec;
use camphorloft_types::prelude::*;

/// Zones of the fleets; the first two share a region.
pub const ZONES: [(&str, &str); 3] = [("n-a", "north"), ("n-b", "north"), ("s-a", "south")];

/// Specification of an engine as in the larger current deployments.
pub fn engine() -> EngineSpec {
    EngineSpec {
        slots: 24,
        kv_capacity: TokenCount(26_869),
        kv_bytes_per_token: ByteSize(35_136),
        link_mbps: 5_100.0,
        supports_migration: true,
        tokens_per_event: 4,
    }
}

pub fn service() -> ServiceName {
    "fleet".parse().unwrap()
}

pub fn locality(zone: &str) -> Locality {
    let regions: BTreeMap<AvailabilityZone, Region> =
        ZONES.iter().map(|(z, r)| (z.parse().unwrap(), r.parse().unwrap())).collect();
    let zone: AvailabilityZone = zone.parse().unwrap();
    Locality { region: regions[&zone].clone(), zone, regions }
}

pub fn entry(name: &str, zone: &str, process_start: u64) -> EndpointEntry {
    EndpointEntry {
        name: name.parse().unwrap(),
        process_start: ProcessStart(process_start),
        addr: "127.0.0.1:9".parse().unwrap(),
        service: service(),
        software: Some("v1".parse().unwrap()),
        zone: zone.parse().unwrap(),
        slots: 6,
        draining: false,
        warmup_remaining: Duration::ZERO,
    }
}

/// Creates a fleet as seen by a host of the first zone, with endpoints `e0`, `e1`, … by zone.
pub fn fleet(zones: &[&str], now: Instant) -> Fleet {
    let mut fleet = Fleet::new(locality("n-a"));
    let mut changes = Vec::new();
    for (ix, zone) in zones.iter().enumerate() {
        fleet.upsert(entry(&format!("e{ix}"), zone, 1), now, &mut changes);
    }
    assert_eq!(changes.len(), zones.len());
    fleet
}

pub fn find(fleet: &Fleet, name: &str) -> EndpointIx {
    fleet.find(&name.parse().unwrap()).unwrap()
}

/// Returns the work of a long generation.
pub fn work(kv_tokens: u32, expected: u32) -> RunWork {
    RunWork::Generation { kv_tokens, prefill_tokens: kv_tokens, expected, generated: 0 }
}

pub fn call(ix: usize) -> CallId {
    format!("call-{ix}").parse().unwrap()
}
