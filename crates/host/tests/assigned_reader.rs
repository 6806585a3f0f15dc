//! Follows who reads the store for whom in virtual time, while the store and the links of hosts fail.

mod common;

use std::time::{Duration, Instant};

use camphorloft_host::endpoint_watch::retry_delay;
use camphorloft_host::peers::{Peers, UpdateScope};
use camphorloft_types::prelude::HostName;
use common::{FLEET, fleet, state};
use proptest::prelude::*;

/// Time between two steps, in which a datagram arrives.
const STEP: Duration = Duration::from_millis(100);
/// Time for which each drawn fault lasts.
const SLOT: Duration = Duration::from_millis(1_000);
/// Age up to which each host must know the endpoint list in calm times: an endpoint that leaves takes
/// no new work after two and a half seconds.
const KNOWN_WITHIN: Duration = Duration::from_millis(2_500);
/// Time without faults after which that holds: the longest wait of a host after a failed call.
const CALM_AFTER: Duration = Duration::from_millis(2_500);
/// Time between two questions of a host that reads.
const READS_EVERY: Duration = Duration::from_millis(200);
/// Calls in a slot of an outage: one host asks five times a second; each other asks at most when its
/// knowledge lapses and when its turn comes.
const OUTAGE_CALLS: usize = 5 + 2 * (FLEET.len() - 1);

/// What fails in a slot, by host.
#[derive(Clone, Debug)]
struct Faults {
    /// The store turns the host away.
    refused: [bool; FLEET.len()],
    /// The host neither hears the others nor is heard.
    alone: [bool; FLEET.len()],
}

impl Faults {
    fn store_is_calm(&self) -> bool {
        !self.refused.contains(&true)
    }

    fn is_calm(&self) -> bool {
        self.store_is_calm() && !self.alone.contains(&true)
    }
}

struct Host {
    peers: Peers,
    asks_at: Instant,
    /// When its last question failed, and whether it had the duty then.
    failed: Option<(Instant, bool)>,
    read_at: Option<Instant>,
}

struct Replay {
    hosts: Vec<Host>,
    /// When each host last knew the list, by itself or from another.
    known_at: Vec<Instant>,
    calls: usize,
}

impl Replay {
    fn tell(
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
            if in_scope && !faults.alone[ix] && !faults.alone[from] {
                host.peers.record_registry_state(&name, &state(7, age), 7, now);
                if let Some(at) = read_at {
                    self.known_at[ix] = self.known_at[ix].max(at);
                }
            }
        }
    }

    fn ask(&mut self, ix: usize, faults: &Faults, now: Instant) {
        self.calls += 1;
        let host = &mut self.hosts[ix];
        let scope = host.peers.registry_read_scope(now);
        if faults.refused[ix] {
            host.peers.record_registry_failure(now);
            host.read_at = None;
            host.failed = Some((now, host.peers.registry_read_scope(now).is_some()));
            if let Some(scope) = scope {
                self.tell(ix, scope, None, faults, now);
            }
            return;
        }
        host.read_at = Some(now);
        host.failed = None;
        host.asks_at = now + READS_EVERY;
        self.known_at[ix] = now;
        if let Some(scope) = scope {
            self.tell(ix, scope, Some(now), faults, now);
        }
    }

    fn step(&mut self, faults: &Faults, now: Instant) {
        for ix in 0..self.hosts.len() {
            let host = &mut self.hosts[ix];
            let is_reader = host.peers.registry_read_scope(now).is_some();
            if !is_reader && host.peers.is_list_maintained(now) {
                host.read_at = None;
                host.asks_at = now;
                continue;
            }
            let asks = match host.failed {
                None => now >= host.asks_at,
                Some((at, was_reader)) => {
                    let step = retry_delay(is_reader, host.peers.has_live_reader(now));
                    is_reader && !was_reader || now - at >= step
                }
            };
            if asks {
                self.ask(ix, faults, now);
            }
        }
    }
}

async fn replay(slots: &[Faults]) -> Result<(), TestCaseError> {
    let start = Instant::now() + Duration::from_secs(10);
    let hosts = fleet(start).await.into_iter();
    let hosts: Vec<Host> =
        hosts.map(|peers| Host { peers, asks_at: start, failed: None, read_at: None }).collect();
    let mut replay = Replay { known_at: vec![start; hosts.len()], hosts, calls: 0 };
    let (mut store_calm_since, mut calm_since) = (start, start);
    let mut now = start;
    for faults in slots {
        let ends = now + SLOT;
        replay.calls = 0;
        while now < ends {
            now += STEP;
            replay.step(faults, now);
            if !faults.store_is_calm() {
                store_calm_since = now;
            }
            if !faults.is_calm() {
                calm_since = now;
            }
            if now - store_calm_since > CALM_AFTER + KNOWN_WITHIN {
                let oldest = replay.known_at.iter().map(|at| now - *at).max().unwrap();
                prop_assert!(oldest <= KNOWN_WITHIN, "a list is {oldest:?} old");
            }
            if now - calm_since > CALM_AFTER + KNOWN_WITHIN {
                let readers: Vec<Option<UpdateScope>> =
                    replay.hosts.iter().map(|host| host.peers.registry_read_scope(now)).collect();
                let all = readers.iter().filter(|reads| **reads == Some(UpdateScope::All)).count();
                prop_assert_eq!(all, 1, "{:?}", readers);
            }
        }
        let is_outage = !faults.refused.contains(&false) && !faults.alone.contains(&true);
        if is_outage {
            prop_assert!(replay.calls <= OUTAGE_CALLS, "{} calls in an outage", replay.calls);
        }
    }
    Ok(())
}

/// The store serves all, some or none; links are whole but for one host now and then.
fn faults() -> impl Strategy<Value = Faults> {
    let refused = prop_oneof![
        2 => Just([false; FLEET.len()]),
        2 => Just([true; FLEET.len()]),
        1 => any::<[bool; FLEET.len()]>(),
    ];
    let alone = prop_oneof![
        3 => Just([false; FLEET.len()]),
        1 => (0..FLEET.len()).prop_map(|ix| std::array::from_fn(|other| other == ix)),
    ];
    (refused, alone).prop_map(|(refused, alone)| Faults { refused, alone })
}

proptest! {
    #[test]
    fn every_host_learns_again_and_an_outage_is_no_storm(
        drawn in prop::collection::vec((faults(), 1_usize..10), 1..8),
    ) {
        let lasting = |(faults, slots): (Faults, usize)| std::iter::repeat_n(faults, slots);
        let mut slots: Vec<Faults> = drawn.into_iter().flat_map(lasting).collect();
        let calm = Faults { refused: [false; FLEET.len()], alone: [false; FLEET.len()] };
        slots.extend(std::iter::repeat_n(calm, 8));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(replay(&slots))?;
    }
}
