//! Simulates in virtual time which host reads the registry for others, while the registry and the
//! links between hosts fail.

mod common;

use std::time::{Duration, Instant};

use camphorloft_host::endpoint_watch::retry_delay;
use camphorloft_host::peers::{Peers, UpdateScope};
use camphorloft_types::prelude::HostName;
use common::{FLEET, fleet, state};
use proptest::prelude::*;

/// Time between two steps of the simulation. Datagrams arrive within the step that sends them.
const STEP: Duration = Duration::from_millis(100);
/// Duration of each generated fault.
const SLOT: Duration = Duration::from_millis(1_000);
/// Maximum age of each host's endpoint list while the registry is healthy: a draining endpoint must
/// receive no new work after 2.5 s.
const MAX_LIST_AGE: Duration = Duration::from_millis(2_500);
/// Time without faults after which the checks apply. A reader that failed to reach the registry is
/// excluded from the assignment for as long.
const RECOVERY_TIME: Duration = Duration::from_millis(2_500);
/// Time between two reads of an assigned reader.
const READ_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum calls in a slot of an outage. One host calls five times a second. Every other host calls
/// at most once when its list becomes stale and once when it becomes the assigned reader.
const MAX_OUTAGE_CALLS: usize = 5 + 2 * (FLEET.len() - 1);

/// Faults in a slot, by host.
#[derive(Clone, Debug)]
struct Faults {
    /// Whether the registry refuses the host.
    refused: [bool; FLEET.len()],
    /// Whether the host is partitioned from the other hosts.
    partitioned: [bool; FLEET.len()],
}

impl Faults {
    fn registry_is_healthy(&self) -> bool {
        !self.refused.contains(&true)
    }

    fn is_healthy(&self) -> bool {
        self.registry_is_healthy() && !self.partitioned.contains(&true)
    }
}

struct Host {
    peers: Peers,
    next_read_at: Instant,
    /// When its last call failed, and whether it was an assigned reader after that.
    failed: Option<(Instant, bool)>,
    read_at: Option<Instant>,
}

struct Simulation {
    hosts: Vec<Host>,
    /// When each host's list was last confirmed, by itself or by a reader.
    known_at: Vec<Instant>,
    calls: usize,
}

impl Simulation {
    fn send_state(
        &mut self,
        from: usize,
        to: UpdateScope,
        read_at: Option<Instant>,
        faults: &Faults,
        now: Instant,
    ) {
        let name: HostName = FLEET[from].0.parse().unwrap();
        let age = read_at.map_or(u32::MAX, |at| (now - at).as_millis() as u32);
        for (ix, host) in self.hosts.iter_mut().enumerate().filter(|(ix, _)| *ix != from) {
            let in_scope = to == UpdateScope::All || FLEET[ix].1 == FLEET[from].1;
            if in_scope && !faults.partitioned[ix] && !faults.partitioned[from] {
                host.peers.record_contact(now);
                host.peers.record_registry_state(&name, &state(7, age), 7, now);
                if let Some(at) = read_at {
                    self.known_at[ix] = self.known_at[ix].max(at);
                }
            }
        }
    }

    fn read(&mut self, ix: usize, faults: &Faults, now: Instant) {
        self.calls += 1;
        let host = &mut self.hosts[ix];
        let scope = host.peers.registry_read_scope(now);
        if faults.refused[ix] {
            host.peers.record_registry_failure(now);
            host.read_at = None;
            host.failed = Some((now, host.peers.registry_read_scope(now).is_some()));
            if let Some(scope) = scope {
                self.send_state(ix, scope, None, faults, now);
            }
            return;
        }
        host.read_at = Some(now);
        host.failed = None;
        host.next_read_at = now + READ_INTERVAL;
        self.known_at[ix] = now;
        if let Some(scope) = scope {
            self.send_state(ix, scope, Some(now), faults, now);
        }
    }

    fn step(&mut self, faults: &Faults, now: Instant) {
        for ix in 0..self.hosts.len() {
            let host = &mut self.hosts[ix];
            let is_reader = host.peers.registry_read_scope(now).is_some();
            let is_informed = host.peers.is_list_maintained(now);
            if !is_reader && (is_informed || host.peers.is_list_left_to_others(now)) {
                host.read_at = None;
                host.next_read_at = now;
                continue;
            }
            let is_due = match host.failed {
                None => now >= host.next_read_at,
                Some((at, was_reader)) => {
                    let mut delay = retry_delay(is_reader, host.peers.has_live_reader(now));
                    if !is_reader {
                        delay += host.peers.stand_in_delay(now);
                    }
                    is_reader && !was_reader || now - at >= delay
                }
            };
            if is_due {
                self.read(ix, faults, now);
            }
        }
    }
}

async fn simulate(slots: &[Faults]) -> Result<(), TestCaseError> {
    let start = Instant::now() + Duration::from_secs(10);
    let hosts = fleet(start).await.into_iter();
    let hosts: Vec<Host> = hosts
        .map(|peers| Host { peers, next_read_at: start, failed: None, read_at: None })
        .collect();
    let mut simulation = Simulation { known_at: vec![start; hosts.len()], hosts, calls: 0 };
    let (mut registry_healthy_since, mut healthy_since) = (start, start);
    let mut now = start;
    for faults in slots {
        let slot_end = now + SLOT;
        simulation.calls = 0;
        while now < slot_end {
            now += STEP;
            simulation.step(faults, now);
            if !faults.registry_is_healthy() {
                registry_healthy_since = now;
            }
            if !faults.is_healthy() {
                healthy_since = now;
            }
            if now - registry_healthy_since > RECOVERY_TIME + MAX_LIST_AGE {
                let oldest = simulation.known_at.iter().map(|at| now - *at).max().unwrap();
                prop_assert!(oldest <= MAX_LIST_AGE, "a list is {oldest:?} old");
            }
            if now - healthy_since > RECOVERY_TIME + MAX_LIST_AGE {
                let readers: Vec<Option<UpdateScope>> = simulation
                    .hosts
                    .iter()
                    .map(|host| host.peers.registry_read_scope(now))
                    .collect();
                let all = readers.iter().filter(|reads| **reads == Some(UpdateScope::All)).count();
                prop_assert_eq!(all, 1, "{:?}", readers);
            }
        }
        let is_outage = !faults.refused.contains(&false) && !faults.partitioned.contains(&true);
        if is_outage {
            prop_assert!(
                simulation.calls <= MAX_OUTAGE_CALLS,
                "{} calls in an outage",
                simulation.calls
            );
        }
    }
    Ok(())
}

/// The registry serves all, some or none of the hosts. At most one host is partitioned at a time.
fn faults() -> impl Strategy<Value = Faults> {
    let refused = prop_oneof![
        2 => Just([false; FLEET.len()]),
        2 => Just([true; FLEET.len()]),
        1 => any::<[bool; FLEET.len()]>(),
    ];
    let partitioned = prop_oneof![
        3 => Just([false; FLEET.len()]),
        1 => (0..FLEET.len()).prop_map(|ix| std::array::from_fn(|other| other == ix)),
    ];
    (refused, partitioned).prop_map(|(refused, partitioned)| Faults { refused, partitioned })
}

proptest! {
    #[test]
    fn every_host_recovers_and_an_outage_causes_no_retry_storm(
        drawn in prop::collection::vec((faults(), 1_usize..10), 1..8),
    ) {
        let repeated = |(faults, slots): (Faults, usize)| std::iter::repeat_n(faults, slots);
        let mut slots: Vec<Faults> = drawn.into_iter().flat_map(repeated).collect();
        let healthy = Faults { refused: [false; FLEET.len()], partitioned: [false; FLEET.len()] };
        slots.extend(std::iter::repeat_n(healthy, 8));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(simulate(&slots))?;
    }
}
