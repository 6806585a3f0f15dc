//! Conversions of endpoint data to and from peer messages.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_peer::wire::{
    WireEndpoint, WireEndpointChange, WireEvacuations, WireMigration, WireReport,
};
use camphorloft_types::prelude::{EndpointIx, EndpointName};

use crate::boundary::EndpointChange;

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Converts a change of the endpoint list to its wire form. `None` as `entry` means removed.
pub fn change_to_wire(name: &EndpointName, entry: Option<&EndpointEntry>) -> WireEndpointChange {
    WireEndpointChange {
        name: name.to_string(),
        entry: entry.map(|entry| WireEndpoint {
            born: entry.process_start.0,
            addr: entry.addr.to_string(),
            service: entry.service.to_string(),
            zone: entry.zone.to_string(),
            slots: entry.slots,
            leaving: entry.draining,
            cold_left_ms: millis(entry.warmup_remaining),
            software: entry.software.as_ref().map(ToString::to_string).unwrap_or_default(),
        }),
    }
}

/// Converts a change from its wire form. Returns `None` when any field is invalid.
///
/// ```
/// use camphorloft_host::peer_convert::{change_from_wire, change_to_wire};
/// let name = "i-1".parse().unwrap();
/// let wire = change_to_wire(&name, None);
/// assert!(change_from_wire(&wire).is_some());
/// ```
pub fn change_from_wire(wire: &WireEndpointChange) -> Option<EndpointChange> {
    let name: EndpointName = wire.name.parse().ok()?;
    let Some(entry) = &wire.entry else { return Some(EndpointChange::Removed(name)) };
    Some(EndpointChange::Listed(EndpointEntry {
        name,
        process_start: ProcessStart(entry.born),
        addr: entry.addr.parse().ok().filter(|addr: &SocketAddr| addr.port() != 0)?,
        service: entry.service.parse().ok()?,
        software: match entry.software.as_str() {
            "" => None,
            text => Some(text.parse().ok()?),
        },
        zone: entry.zone.parse().ok()?,
        slots: entry.slots,
        draining: entry.leaving,
        warmup_remaining: Duration::from_millis(u64::from(entry.cold_left_ms)),
    }))
}

/// Converts evacuations to their wire form.
pub fn evacuations_to_wire(evacuations: &Evacuations) -> WireEvacuations {
    WireEvacuations {
        era: evacuations.revision.era.0,
        number: evacuations.revision.number,
        zones: evacuations.zones.iter().map(ToString::to_string).collect(),
    }
}

/// Converts evacuations from their wire form. A name that is not valid is no zone of any endpoint.
///
/// ```
/// use camphorloft_dispatch::prelude::Evacuations;
/// use camphorloft_host::peer_convert::{evacuations_from_wire, evacuations_to_wire};
/// let zones = ["north-a".parse().unwrap()].into();
/// let evacuations = Evacuations { zones, ..Evacuations::default() };
/// assert_eq!(evacuations_from_wire(&evacuations_to_wire(&evacuations)), evacuations);
/// ```
pub fn evacuations_from_wire(wire: &WireEvacuations) -> Evacuations {
    Evacuations {
        revision: Revision { era: RegistryEra(wire.era), number: wire.number },
        zones: wire.zones.iter().filter_map(|zone| zone.parse().ok()).collect(),
    }
}

/// Converts a load report as of `as_of` to its wire form.
pub fn report_to_wire(
    endpoint: u64,
    report: &LoadReport,
    as_of: Instant,
    speed: Option<&PeerSlowness>,
    now: Instant,
) -> WireReport {
    let age = |at: Instant| millis(now.saturating_duration_since(at));
    let latest = speed.and_then(|speed| speed.latest);
    WireReport {
        stated_percent: speed.and_then(|speed| speed.stated.percent()),
        stated_periods: speed.map_or(0, |speed| speed.stated.periods()),
        observed_percent: speed.and_then(|speed| speed.observed.percent()),
        observed_periods: speed.map_or(0, |speed| speed.observed.periods()),
        stated_age_ms: speed.map(|speed| age(speed.stated_at)),
        pace_percent: latest.map(|(percent, _)| percent),
        pace_age_ms: latest.map_or(0, |(_, at)| age(at)),
        endpoint,
        age_ms: millis(now.saturating_duration_since(as_of)),
        used_tokens: report.used_tokens,
        running: report.running,
        waiting: report.waiting,
        next_tokens: report.next_tokens,
        leaving: report.draining,
        leaves_ms: report.shutdown_in.map(millis),
    }
}

/// Converts a load report from its wire form. Returns it with the time that it reflects.
pub fn report_from_wire(wire: &WireReport, now: Instant) -> (LoadReport, Instant) {
    let report = LoadReport {
        used_tokens: wire.used_tokens,
        running: wire.running,
        waiting: wire.waiting,
        next_tokens: wire.next_tokens,
        draining: wire.leaving,
        shutdown_in: wire.leaves_ms.map(|ms| Duration::from_millis(u64::from(ms))),
    };
    let age = Duration::from_millis(u64::from(wire.age_ms));
    (report, now.checked_sub(age).unwrap_or(now))
}

/// Returns what a report says about the speed of the engine, if the sender knows it.
pub fn speed_from_wire(wire: &WireReport, now: Instant) -> Option<PeerSlowness> {
    let at = |age_ms: u32| now.checked_sub(Duration::from_millis(u64::from(age_ms)));
    let usual = |percent: Option<u32>, periods| {
        percent.map_or_else(UsualSlowness::default, |p| UsualSlowness::from_percent(p, periods))
    };
    Some(PeerSlowness {
        stated: usual(wire.stated_percent, wire.stated_periods),
        observed: usual(wire.observed_percent, wire.observed_periods),
        latest: wire.pace_percent.zip(at(wire.pace_age_ms)),
        stated_at: at(wire.stated_age_ms?)?,
    })
}

/// Converts a planned migration to its wire form. `from` and `to` are endpoint digests.
pub fn migration_to_wire(
    plan: &PlannedMigration,
    (from, to): (u64, u64),
    kv_tokens: u32,
    now: Instant,
) -> WireMigration {
    let starts_in = plan.start.saturating_duration_since(now);
    WireMigration {
        key: plan.key,
        from,
        to,
        kv: kv_tokens,
        takes_ms: millis(plan.end - plan.start),
        begins_us: u32::try_from(starts_in.as_micros()).unwrap_or(u32::MAX),
    }
}

/// Converts a planned migration from its wire form.
pub fn migration_from_wire(
    wire: &WireMigration,
    from: EndpointIx,
    to: EndpointIx,
    now: Instant,
) -> PlannedMigration {
    let starts_at = now + Duration::from_micros(u64::from(wire.begins_us));
    let ends_at = starts_at + Duration::from_millis(u64::from(wire.takes_ms));
    PlannedMigration { key: wire.key, from, to, start: starts_at, end: ends_at }
}
