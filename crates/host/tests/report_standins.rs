//! Hosts that stand in for the poller of an engine, simulated in virtual time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use camphorloft_dispatch::assignment;
use camphorloft_dispatch::prelude::*;
use camphorloft_host::report_poll::max_report_age;
use camphorloft_types::prelude::*;

/// Hosts of one region in a large deployment.
const HOSTS: usize = 65;
/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Age of a report on arrival.
const REPORT_AGE: Duration = Duration::from_millis(400);
const ENGINE: &str = "e1";

struct Host {
    name: HostName,
    fleet: Fleet,
    engine: EndpointIx,
    is_down: bool,
}

fn start(now: Instant) -> Vec<Host> {
    let (zone, region): (AvailabilityZone, Region) = ("n-a".parse().unwrap(), "n".parse().unwrap());
    let host = |ix: usize| {
        let regions = BTreeMap::from([(zone.clone(), region.clone())]);
        let locality = Locality { zone: zone.clone(), region: region.clone(), regions };
        let mut fleet = Fleet::new(locality);
        let entry = EndpointEntry {
            name: ENGINE.parse().unwrap(),
            process_start: ProcessStart(1),
            addr: "127.0.0.1:9".parse().unwrap(),
            service: "fleet".parse().unwrap(),
            software: None,
            zone: zone.clone(),
            slots: 24,
            draining: false,
            warmup_remaining: Duration::ZERO,
        };
        fleet.upsert(entry, now, &mut Vec::new());
        let engine = fleet.find(&ENGINE.parse().unwrap()).unwrap();
        Host { name: format!("h{ix}").parse().unwrap(), fleet, engine, is_down: false }
    };
    (0..HOSTS).map(host).collect()
}

/// Returns the hosts that poll the engine now. All hosts still count as live.
fn pollers(hosts: &[Host], now: Instant) -> Vec<usize> {
    let polls = |host: &Host| {
        let others = hosts.iter().map(|other| &other.name).filter(|name| **name != host.name);
        let max_age = max_report_age(assignment::rank(ENGINE, &host.name, others), true);
        let lacks =
            host.fleet.get(host.engine).is_some_and(|engine| engine.lacks_report(max_age, now));
        !host.is_down && (max_age.is_zero() || lacks)
    };
    (0..hosts.len()).filter(|ix| polls(&hosts[*ix])).collect()
}

/// Polls for a while. Each report reaches all hosts. Returns the number of polls, and the maximum age
/// of a report.
fn run(hosts: &mut [Host], now: &mut Instant, duration: Duration) -> (usize, Duration) {
    let end = *now + duration;
    let (mut polls, mut reported_at, mut max_age) = (0, *now, Duration::ZERO);
    while *now < end {
        *now += POLL_INTERVAL;
        let polling = pollers(hosts, *now);
        polls += polling.len();
        if !polling.is_empty() {
            reported_at = *now - REPORT_AGE;
            for host in hosts.iter_mut() {
                host.fleet.record_report(host.engine, LoadReport::default(), reported_at);
            }
        }
        max_age = max_age.max(*now - reported_at);
    }
    (polls, max_age)
}

/// Hosts that received no reports all polled every engine, twice a second, and sent what they learned
/// to all others.
#[test]
fn one_stand_in_polls_for_the_region_when_the_poller_stops() {
    let mut now = Instant::now();
    let mut hosts = start(now);
    let (polls, _) = run(&mut hosts, &mut now, Duration::from_secs(10));
    assert_eq!(polls, 20, "only the assigned poller polls");
    let poller = pollers(&hosts, now)[0];
    hosts[poller].is_down = true;
    let (polls, max_age) = run(&mut hosts, &mut now, Duration::from_secs(10));
    assert!(polls <= 20, "{polls} polls in ten seconds");
    // Reports expire after 3 s.
    assert!(max_age <= Duration::from_secs(3), "a report was {max_age:?} old");
}
