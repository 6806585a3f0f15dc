//! Replays the load that the queue is made for: bursts of digests and verdicts on common engines, a
//! sixth of which is reclaimed every few seconds.

mod common;
#[path = "common/engine_model.rs"]
mod engine_model;
#[path = "common/replay.rs"]
mod replay;

use std::time::{Duration, Instant};

use camphorloft_dispatch::admission_queue::admit_call;
use camphorloft_dispatch::prelude::*;
use engine_model::Workload;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
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

/// Returns a kind with another rate, without bursts.
fn steady(kind: Kind, rate: f64) -> Kind {
    Kind {
        workload: Workload { rate, ..kind.workload },
        burst: (Duration::from_secs(1), Duration::ZERO, 1.0),
        ..kind
    }
}

/// Half of the usual load leaves room at every moment.
#[test]
fn nothing_is_refused_or_held_back_while_there_is_room() {
    let kinds = [steady(DIGESTS, 4.0), steady(VERDICTS, 7.0)];
    for hosts in [1, 8] {
        let (before, _) = replay_all(&kinds, hosts, false);
        let (after, _) = replay_all(&kinds, hosts, true);
        for (before, after) in before.iter().zip(&after) {
            assert_eq!(after.refusals, 0, "{after:?}");
            assert!(after.on_time_share() >= before.on_time_share(), "{before:?}, {after:?}");
            assert!(after.on_time_share() >= 0.98, "{after:?}");
        }
    }
}

/// Fraction of the mean share of served requests below which a kind or an organisation starves.
const STARVING: f64 = 0.25;

fn check_starvation(kinds: &[Kind], hosts: usize) -> Vec<Outcomes> {
    let (outcomes, _) = replay_all(kinds, hosts, true);
    let mut all = Outcomes::default();
    outcomes.iter().for_each(|outcomes| all.add(outcomes));
    for outcomes in &outcomes {
        let is_starving = outcomes.served_share() < STARVING * all.served_share();
        assert!(!is_starving, "{outcomes:?} of {all:?}");
    }
    outcomes
}

/// Urgent requests alone exceed what the engines can serve.
#[test]
fn less_urgent_kind_does_not_starve() {
    let urgent = Kind { priority: 0, ..steady(DIGESTS, 24.0) };
    let kinds = [urgent, steady(DIGESTS, 4.0)];
    for hosts in [1, 8] {
        let outcomes = check_starvation(&kinds, hosts);
        let (urgent, other) = (outcomes[0].served_share(), outcomes[1].served_share());
        assert!(urgent >= other - MAX_INVERSION, "{outcomes:?}");
    }
}

/// Most requests are those of one organisation, which alone exceeds what the engines can serve.
#[test]
fn organisation_with_much_traffic_does_not_displace_others() {
    let noisy = Kind { organisation: "noisy", ..steady(DIGESTS, 20.0) };
    let quiet = Kind { organisation: "quiet", ..steady(DIGESTS, 2.0) };
    for hosts in [1, 8] {
        let outcomes = check_starvation(&[noisy, quiet], hosts);
        let quiet = outcomes[1];
        assert!(quiet.served_share() >= 0.9 && quiet.on_time_share() >= 0.6, "{outcomes:?}");
    }
}

/// Clients that return together meet the same overload again.
#[test]
fn refused_clients_return_in_the_order_of_priority() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::default();
    queue.set_max_body_bytes(0);
    let entries = [("digest", &DIGESTS), ("verdict", &VERDICTS)];
    for (name, kind) in entries.into_iter().cycle().take(40) {
        queue.push(QueuedWork { body_bytes: 1, ..work(kind, now) }, name);
    }
    let refused = queue.pass(&mut FixedRoom { generations: 0, draws: 0.0 }, now);
    assert_eq!(refused.len(), 40);
    let mut delays: Vec<(Duration, &str)> = refused
        .into_iter()
        .map(|(name, admission)| match admission {
            Admission::Refuse { retry_after, .. } => (retry_after, name),
            other => panic!("{other:?}"),
        })
        .collect();
    delays.sort_unstable();
    let mean = |name| {
        let own = delays.iter().filter(|(_, n)| *n == name).map(|(delay, _)| delay.as_secs_f64());
        own.sum::<f64>() / 20.0
    };
    assert!(mean("verdict") < mean("digest") / 2.0, "{delays:?}");
    let together =
        delays.windows(2).filter(|pair| pair[1].0 - pair[0].0 < Duration::from_millis(2));
    assert!(together.count() < 10, "{delays:?}");
}

/// Beyond its bounds, the queue refuses first what costs clients least.
#[test]
fn full_queue_refuses_less_urgent_and_late_generations_first() {
    let start = Instant::now();
    let now = start + Duration::from_secs(5);
    let sized = |kind: &Kind, at: Instant| QueuedWork { body_bytes: 10, ..work(kind, at) };
    let mut queue = AdmissionQueue::default();
    // The first generation of each priority is protected from starving.
    for (name, work) in [
        ("protected digest", sized(&DIGESTS, now)),
        ("protected verdict", sized(&VERDICTS, now)),
        ("digest", sized(&DIGESTS, now)),
        ("late digest", sized(&DIGESTS, start)),
        ("verdict", sized(&VERDICTS, now)),
    ] {
        queue.push(work, name);
    }
    let mut names = Vec::new();
    for max in [40, 30, 20, 10] {
        queue.set_max_body_bytes(max);
        names.extend(
            queue.pass(&mut FixedRoom { generations: 0, draws: 0.0 }, now).iter().map(|(n, _)| *n),
        );
    }
    assert_eq!(names, ["late digest", "digest", "protected digest", "verdict"]);
}

/// A service whose engines have a fixed amount of room.
struct FixedRoom {
    generations: usize,
    draws: f64,
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
        // A sequence that covers the interval evenly.
        self.draws = (self.draws + 0.618).fract();
        self.draws
    }
}

fn work(kind: &Kind, arrived_at: Instant) -> QueuedWork {
    let Workload { prompt, tokens, due, .. } = kind.workload;
    let demand = TokenDemand { kv_tokens: prompt, prefill_tokens: prompt, expected: tokens };
    QueuedWork {
        resumes: false,
        priority: kind.priority,
        organisation: Some(kind.organisation.parse().unwrap()),
        arrived_at,
        objective: due,
        deadline: arrived_at + kind.timeout,
        demand,
        first_event: demand.prefill_time(),
        duration: demand.busy_duration(),
        body_bytes: 0,
        is_restricted: false,
    }
}

/// Admits the generations of a queue one after the other and returns their names.
fn admit_all(queue: &mut AdmissionQueue<&'static str>, now: Instant) -> Vec<&'static str> {
    let mut names = Vec::new();
    while !queue.is_empty() {
        names.extend(
            queue.pass(&mut FixedRoom { generations: 1, draws: 0.0 }, now).iter().map(|(n, _)| *n),
        );
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
        ("late verdict", work(&VERDICTS, at(3_200))),
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
    let refused = queue.pass(&mut FixedRoom { generations: 0, draws: 0.0 }, now);
    assert!(!refused.is_empty() && refused.len() < 200, "{} are refused", refused.len());
    let delays = refused.iter().map(|(_, admission)| match admission {
        Admission::Refuse { retry_after, .. } => *retry_after,
        other => panic!("{other:?}"),
    });
    assert!(delays.max().unwrap() <= VERDICTS.timeout / 3, "clients do not wait for longer");
}

/// Endpoints without a free slot run calls in the order of their arrival.
#[test]
fn calls_wait_while_all_slots_are_taken() {
    let now = Instant::now();
    let mut fleet = common::fleet(&["n-a", "n-a"], now);
    let rng = &mut Pcg64Mcg::seed_from_u64(1);
    let candidates = Candidates::default();
    let service = common::service();
    // The endpoints have six slots each.
    for number in 0..12 {
        let admission = admit_call(&fleet, &service, &candidates, now, rng);
        let Admission::Start(choice) = admission else { panic!("{number}: {admission:?}") };
        fleet.start_run(choice.endpoint, &common::call(number), RunWork::Plain, now);
    }
    assert_eq!(admit_call(&fleet, &service, &candidates, now, rng), Admission::Wait);
    let ix = common::find(&fleet, "e0");
    let run = fleet.get(ix).unwrap().runs[0].id;
    fleet.end_run(ix, run);
    let admission = admit_call(&fleet, &service, &candidates, now, rng);
    assert!(matches!(admission, Admission::Start(choice) if choice.endpoint == ix));
    // Endpoints that may not be used are not waited for.
    let tried = [ix, common::find(&fleet, "e1")];
    let candidates = Candidates { tried: &tried, ..candidates };
    let admission = admit_call(&fleet, &service, &candidates, now, rng);
    assert!(matches!(admission, Admission::Refuse { reason: RefuseReason::NoEndpoint, .. }));
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
    queue.peers.record(1, state, now);
    assert_eq!((queue.peers.most_urgent(now), queue.peers.tokens(0, now)), (Some(0), 3_000));
    let later = now + Duration::from_millis(1_100);
    assert_eq!((queue.peers.most_urgent(later), queue.peers.waiting_hosts(later)), (None, 0));
}
