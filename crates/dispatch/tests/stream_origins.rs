//! Software versions that began streams.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_types::prelude::*;

const RETENTION: Duration = Duration::from_secs(60);

fn stream(number: u64) -> StreamDigest {
    let call: CallId = format!("call-{number}").parse().unwrap();
    StreamDigest::from(&call)
}

fn service() -> ServiceName {
    "fleet".parse().unwrap()
}

fn entry(name: &str, software: &str) -> EndpointEntry {
    EndpointEntry {
        name: name.parse().unwrap(),
        process_start: ProcessStart(1),
        addr: "127.0.0.1:9".parse().unwrap(),
        service: service(),
        software: Some(software.parse().unwrap()),
        zone: "n-a".parse().unwrap(),
        slots: 6,
        draining: false,
        warmup_remaining: Duration::ZERO,
    }
}

/// Returns a fleet with one endpoint of version `v1`.
fn fleet(now: Instant) -> Fleet {
    let (zone, region): (AvailabilityZone, Region) = ("n-a".parse().unwrap(), "n".parse().unwrap());
    let regions = BTreeMap::from([(zone.clone(), region.clone())]);
    let mut fleet = Fleet::new(Locality { zone, region, regions });
    fleet.upsert(entry("e0", "v1"), now, &mut Vec::new());
    fleet
}

#[test]
fn first_record_of_a_stream_is_kept() {
    let (now, first_stream) = (Instant::now(), stream(1));
    let (first, other) = ("v1".parse().unwrap(), "v2".parse().unwrap());
    let mut origins = StreamOrigins::default();
    origins.record(first_stream, &first, now);
    origins.record(first_stream, &other, now);
    assert_eq!(origins.find(first_stream, now), Some(first));
    assert_eq!(origins.find(stream(2), now), None);
    assert_eq!(origins.find(first_stream, now + RETENTION * 2), None);
}

/// A host that has just started does not know which versions served before.
#[test]
fn only_version_is_unknown_until_streams_of_earlier_ones_have_ended() {
    let now = Instant::now();
    let fleet = fleet(now);
    let mut origins = StreamOrigins::default();
    origins.observe(&fleet, true, now);
    assert_eq!(origins.only_version(&service(), now), None);
    let later = now + RETENTION;
    origins.observe(&fleet, true, later);
    assert_eq!(origins.only_version(&service(), later), Some("v1".parse().unwrap()));
}

#[test]
fn no_version_is_the_only_one_while_two_served_recently() {
    let start = Instant::now();
    let mut fleet = fleet(start);
    let mut origins = StreamOrigins::default();
    origins.observe(&fleet, true, start);
    let mut changes = Vec::new();
    let other = entry("e9", "v2");
    let name = other.name.clone();
    let listed_at = start + RETENTION;
    fleet.upsert(other, listed_at, &mut changes);
    origins.observe(&fleet, true, listed_at);
    fleet.remove(&name, listed_at, &mut changes);
    fleet.purge_removed(Duration::ZERO, listed_at + Duration::from_secs(1));
    let soon = listed_at + Duration::from_secs(10);
    origins.observe(&fleet, true, soon);
    assert_eq!(origins.only_version(&service(), soon), None);
    let late = listed_at + RETENTION * 2;
    origins.observe(&fleet, true, late);
    assert_eq!(origins.only_version(&service(), late), Some("v1".parse().unwrap()));
}

/// Clients choose their identifiers, so that they could fill the memory.
#[test]
fn number_of_recorded_streams_is_bounded() {
    let (now, version) = (Instant::now(), "v1".parse().unwrap());
    let mut origins = StreamOrigins::default();
    for number in 0..70_000 {
        origins.record(StreamDigest(number), &version, now);
    }
    let known = (0..70_000).filter(|number| origins.find(StreamDigest(*number), now).is_some());
    assert!(known.count() < 70_000);
    let later = now + RETENTION * 2;
    origins.purge(later);
    origins.record(StreamDigest(69_999), &version, later);
    assert!(origins.find(StreamDigest(69_999), later).is_some());
}

/// Guards against streams that outlive the record of the version that began them, and are joined from it and
/// the version that replaced it.
#[test]
fn versions_are_kept_for_as_long_as_a_route_serves_streams() {
    let (start, first_stream) = (Instant::now(), stream(1));
    let longest = RETENTION * 5;
    let mut origins = StreamOrigins::default();
    origins.set_longest_stream(longest);
    origins.record(first_stream, &"v1".parse().unwrap(), start);
    origins.observe(&fleet(start), true, start);
    let later = start + longest;
    origins.purge(later);
    assert_eq!(origins.find(first_stream, later), Some("v1".parse().unwrap()));
    // All hosts started again at `start`, and a version that they have not seen may have begun the stream.
    assert_eq!(origins.only_version(&service(), later), None);
}
