//! Replays the load that the queue is made for: bursts of digests and verdicts on common engines, a
//! sixth of which is reclaimed every few seconds.

#[expect(dead_code, reason = "the other tests use the rest")]
mod common;
#[path = "common/engine_model.rs"]
mod engine_model;
#[path = "common/replay.rs"]
mod replay;

use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use engine_model::Workload;
use replay::{Kind, Load, Outcomes, Replay};

const LENGTH: Duration = Duration::from_secs(50);
const SEEDS: [u64; 2] = [1, 2];
/// Engines, a third of those in the largest deployment. Rates are a third likewise.
const ENGINES: usize = 19;
/// Largest amount by which the share of urgent requests that are in time may be below that of less
/// urgent ones.
const MAX_INVERSION: f64 = 0.05;

const DIGESTS: Kind = Kind {
    workload: Workload { rate: 7.9, prompt: 3_079, tokens: 744, due: Duration::from_millis(4_000) },
    priority: 2,
    timeout: Duration::from_millis(39_000),
    organisation: "coop",
    burst: (Duration::from_secs(25), Duration::from_secs(6), 2.5),
};
const VERDICTS: Kind = Kind {
    workload: Workload { rate: 15.3, prompt: 2_550, tokens: 8, due: Duration::from_millis(1_500) },
    priority: 0,
    timeout: Duration::from_millis(6_000),
    organisation: "coop",
    burst: (Duration::from_secs(17), Duration::from_secs(5), 2.5),
};

/// Replays a load with all seeds. Returns the outcomes by kind and the number of wrong refusals.
fn replay_all(kinds: &[Kind], hosts: usize, prioritised: bool) -> (Vec<Outcomes>, u32) {
    let mut sums = vec![Outcomes::default(); kinds.len()];
    let mut wrong_refusals = 0;
    for seed in SEEDS {
        let load =
            Load { kinds: kinds.to_vec(), engines: ENGINES, hosts, length: LENGTH, prioritised };
        let replay = Replay::run(load, seed);
        wrong_refusals += replay.wrong_refusals;
        for (sum, outcomes) in sums.iter_mut().zip(&replay.outcomes) {
            sum.add(outcomes);
        }
    }
    (sums, wrong_refusals)
}

fn check_bursts(hosts: usize) {
    let kinds = [DIGESTS, VERDICTS];
    let (before, _) = replay_all(&kinds, hosts, false);
    let (after, wrong_refusals) = replay_all(&kinds, hosts, true);
    let text = format!("without the queue {before:?}, with it {after:?}");
    let [digests, verdicts] = after[..] else { panic!("two kinds") };
    assert!(verdicts.on_time_share() >= digests.on_time_share() - MAX_INVERSION, "{text}");
    assert!(verdicts.served_share() >= digests.served_share() - MAX_INVERSION, "{text}");
    for (before, after) in before.iter().zip(&after) {
        assert!(after.worth() > before.worth(), "{text}");
    }
    assert_eq!(wrong_refusals, 0, "{text}");
}

/// Without a queue, short urgent verdicts wait as long as digests and are in time less often.
#[test]
fn urgent_generations_are_in_time_as_often_as_others_on_one_host() {
    check_bursts(1);
}

#[test]
fn urgent_generations_are_in_time_as_often_as_others_on_three_hosts() {
    check_bursts(3);
}

/// Hosts that learn at the same time that an engine has room all send work to it.
#[test]
fn urgent_generations_are_in_time_as_often_as_others_on_eight_hosts() {
    check_bursts(8);
}

/// A service whose engines have a fixed amount of room.
struct FixedRoom {
    generations: usize,
}

impl Engines<&'static str> for FixedRoom {
    fn admit(&mut self, _: &QueuedWork, _: &&'static str, _: &AdmissionTerms) -> Admission {
        if self.generations == 0 {
            return Admission::Wait;
        }
        self.generations -= 1;
        Admission::Refuse { reason: RefuseReason::Limited, retry_after: Duration::ZERO }
    }

    fn freed_per_second(&mut self) -> f64 {
        10_000.0
    }

    fn draw(&mut self) -> f64 {
        0.5
    }
}

fn work(kind: &Kind, arrived_at: Instant) -> QueuedWork {
    let Workload { prompt, tokens, due, .. } = kind.workload;
    QueuedWork {
        resumes: false,
        priority: kind.priority,
        organisation: Some(kind.organisation.parse().unwrap()),
        arrived_at,
        objective: due,
        deadline: arrived_at + kind.timeout,
        demand: TokenDemand { kv_tokens: prompt, prefill_tokens: prompt, expected: tokens },
        body_bytes: 0,
        is_restricted: false,
    }
}

/// Admits the generations of a queue one after the other and returns their names.
fn admit_all(queue: &mut AdmissionQueue<&'static str>, now: Instant) -> Vec<&'static str> {
    let mut names = Vec::new();
    while !queue.is_empty() {
        names.extend(queue.pass(&mut FixedRoom { generations: 1 }, now).iter().map(|(n, _)| *n));
    }
    names
}

#[test]
fn generations_start_by_priority_then_by_the_time_left_and_late_ones_last() {
    let start = Instant::now();
    let now = start + Duration::from_secs(5);
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut queue = AdmissionQueue::default();
    let resumed = QueuedWork { resumes: true, ..work(&DIGESTS, at(4_900)) };
    let entries = [
        ("late digest", work(&DIGESTS, at(200))),
        ("later digest", work(&DIGESTS, at(4_500))),
        ("digest", work(&DIGESTS, at(4_000))),
        ("later late digest", work(&DIGESTS, at(300))),
        ("late verdict", work(&VERDICTS, at(1_000))),
        ("verdict", work(&VERDICTS, at(4_900))),
        ("resumed", resumed),
    ];
    for (name, work) in entries {
        queue.push(work, name);
    }
    let names = admit_all(&mut queue, now);
    let expected = [
        "resumed",
        "verdict",
        "late verdict",
        "digest",
        "later digest",
        "late digest",
        "later late digest",
    ];
    assert_eq!(names, expected);
}

/// A client that is refused only at its deadline has no time left for another attempt.
#[test]
fn generation_that_cannot_be_completed_is_refused_at_once() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::default();
    for _ in 0..200 {
        queue.push(work(&VERDICTS, now), "verdict");
    }
    let refused = queue.pass(&mut FixedRoom { generations: 0 }, now);
    assert!(!refused.is_empty() && refused.len() < 200, "{} are refused", refused.len());
    let delays = refused.iter().map(|(_, admission)| match admission {
        Admission::Refuse { retry_after, .. } => *retry_after,
        other => panic!("{other:?}"),
    });
    assert!(delays.max().unwrap() <= VERDICTS.timeout / 3, "clients do not wait for longer");
}

#[test]
fn generation_of_a_client_that_left_is_not_admitted() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::default();
    let ticket = queue.push(work(&VERDICTS, now), "first");
    queue.push(work(&VERDICTS, now), "second");
    assert_eq!(queue.remove(ticket), Some("first"));
    assert_eq!(queue.remove(ticket), None);
    assert_eq!(admit_all(&mut queue, now), ["second"]);
}

#[test]
fn statements_of_other_hosts_expire() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::<()>::default();
    let state = QueueState { priority: 0, tokens: 3_000 };
    queue.peers.record(&"h1".parse().unwrap(), state, now);
    assert_eq!((queue.peers.most_urgent(now), queue.peers.tokens(0, now)), (Some(0), 3_000));
    let later = now + Duration::from_millis(1_100);
    assert_eq!((queue.peers.most_urgent(later), queue.peers.hosts(later)), (None, 0));
}
