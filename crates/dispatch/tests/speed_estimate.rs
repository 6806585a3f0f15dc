//! Estimates of the speed of endpoints, and placements by them.

mod common;

use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_dispatch::{generation, plain, reclaim};
use camphorloft_serving::prelude::Residency;
use common::{call, engine, entry, find, fleet, service, work};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const GAP_TARGET: Duration = Duration::from_millis(180);
const DUE: Duration = Duration::from_millis(1_800);
/// Interval between figures that count separately.
const INTERVAL: Duration = Duration::from_millis(350);
const LONG: TokenDemand = TokenDemand { kv_tokens: 3_000, prefill_tokens: 3_000, expected: 752 };
const SHORT: TokenDemand = TokenDemand { kv_tokens: 2_550, prefill_tokens: 2_550, expected: 8 };

/// Creates endpoints that have stated their usual figures, in percent, for a while.
fn stating(percents: &[u32], now: Instant) -> Fleet {
    let mut fleet = fleet(&vec!["n-a"; percents.len()], now - INTERVAL * 6);
    fleet.set_gap_target(&service(), Some(GAP_TARGET));
    for round in 0..6 {
        for (position, percent) in percents.iter().enumerate() {
            let ix = find(&fleet, &format!("e{position}"));
            fleet.record_stated_pace(ix, *percent, now - INTERVAL * (5 - round));
        }
    }
    fleet
}

/// Counts the placements on the first endpoint, of 100.
fn on_first(fleet: &Fleet, demand: &TokenDemand, now: Instant) -> usize {
    let (service, spec) = (service(), engine());
    let pool = Pool { fleet, service: &service, spec: &spec };
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let choices = (0..100).map(|_| {
        generation::choose(&pool, demand, &Candidates::default(), DUE, now, &mut rng).unwrap()
    });
    choices.filter(|choice| choice.endpoint == find(fleet, "e0")).count()
}

/// Short generations on the fast engines would take the memory that only long ones need.
#[test]
fn long_generations_use_fast_engines_and_short_ones_the_others() {
    let now = Instant::now();
    let fleet = stating(&[55, 120, 120, 120], now);
    assert_eq!(on_first(&fleet, &LONG, now), 100);
    assert!(on_first(&fleet, &SHORT, now) < 35);
}

/// A late stream is worth more than a generation that is preempted or refused.
#[test]
fn long_generations_use_slow_engines_when_the_fast_ones_are_full() {
    let now = Instant::now();
    let mut fleet = stating(&[55, 120], now);
    let fast = find(&fleet, "e0");
    for number in 0..8 {
        fleet.start_run(fast, &call(number), work(3_200, 500), now - Duration::from_secs(4));
    }
    assert_eq!(on_first(&fleet, &LONG, now), 0);
}

/// A prompt would make the streams of a slow engine late that it runs in time.
#[test]
fn prompts_avoid_slow_engines_that_run_long_streams() {
    let now = Instant::now();
    let mut fleet = stating(&[120, 120], now);
    let ix = find(&fleet, "e0");
    for number in 0..3 {
        fleet.start_run(ix, &call(number), work(3_200, 1_500), now - Duration::from_secs(12));
    }
    assert_eq!(on_first(&fleet, &SHORT, now), 0);
}

/// What neighbours cause ends within about 600 ms: all hosts would otherwise move to the engines
/// that were fast half a second ago.
#[test]
fn an_old_figure_does_not_attract_or_repel_placements() {
    let now = Instant::now();
    let mut fleet = stating(&[120, 120, 120], now);
    let ix = find(&fleet, "e0");
    fleet.record_stated_pace(ix, 300, now);
    assert!(on_first(&fleet, &SHORT, now) < 10, "an engine that is slowed now");
    let later = now + Duration::from_millis(700);
    let share = on_first(&fleet, &SHORT, later);
    assert!((20..50).contains(&share), "{share} of 100");
    // A figure that happens to be low is no reason to prefer the engine.
    fleet.record_stated_pace(ix, 100, later);
    let share = on_first(&fleet, &SHORT, later);
    assert!(share < 60, "{share} of 100");
}

/// A copy to a slow engine is worth less than one to a fast engine that ends a little later.
#[test]
fn migrations_prefer_engines_where_the_stream_stays_in_time() {
    let now = Instant::now();
    let mut fleet = stating(&[120, 120, 55], now);
    let (from, fast) = (find(&fleet, "e0"), find(&fleet, "e2"));
    for name in ["e1", "e2"] {
        // Prompts that the engines receive at the usual rate.
        let ix = find(&fleet, name);
        (0..4).for_each(|_| fleet.get_mut(ix).unwrap().load.record_placement(100, now));
    }
    for number in 0..3 {
        fleet.start_run(fast, &call(number), work(3_200, 500), now);
    }
    fleet.start_run(from, &call(9), work(3_000, 752), now);
    fleet.upsert(EndpointEntry { draining: true, ..entry("e0", "n-a", 1) }, now, &mut Vec::new());
    let run = fleet.get(from).unwrap().runs[0].clone();
    let reclaimed = ReclaimedRun { run: &run, tried: &[], residency: &Residency::UNRESTRICTED };
    let decision = reclaim::decide(&fleet, &engine(), from, &reclaimed, now);
    assert!(matches!(decision, ReclaimDecision::Migrate { to, .. } if to == fast), "{decision:?}");
}

/// Neighbours also slow endpoints of plain services.
#[test]
fn calls_avoid_a_plain_endpoint_that_is_slowed_now() {
    let now = Instant::now();
    let mut fleet = stating(&[100, 100], now);
    fleet.record_stated_pace(find(&fleet, "e0"), 250, now);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for _ in 0..20 {
        let choice =
            plain::choose(&fleet, &service(), &Candidates::default(), now, &mut rng).unwrap();
        assert_eq!(choice.endpoint, find(&fleet, "e1"));
    }
}

/// Services whose endpoints state three figures are placed as before: no draw and no cost differs.
#[test]
fn placements_without_recent_figures_do_not_depend_on_speed() {
    let now = Instant::now();
    let later = now + Duration::from_secs(11);
    let plain_fleet = fleet(&["n-a", "n-a", "n-a"], now - INTERVAL * 6);
    let mut stated = stating(&[55, 120, 300], now);
    for _ in 0..5 {
        let ix = find(&stated, "e1");
        stated.record_slowness(ix, 2.0, now);
    }
    let (service, spec) = (service(), engine());
    let [mut first, mut second] = [1, 1].map(Pcg64Mcg::seed_from_u64);
    for _ in 0..50 {
        for demand in [LONG, SHORT] {
            let choose = |fleet: &Fleet, rng: &mut Pcg64Mcg| {
                let pool = Pool { fleet, service: &service, spec: &spec };
                generation::choose(&pool, &demand, &Candidates::default(), DUE, later, rng).unwrap()
            };
            assert_eq!(choose(&plain_fleet, &mut first), choose(&stated, &mut second));
        }
        let choose = |fleet: &Fleet, rng: &mut Pcg64Mcg| {
            plain::choose(fleet, &service, &Candidates::default(), later, rng).unwrap()
        };
        assert_eq!(choose(&plain_fleet, &mut first), choose(&stated, &mut second));
    }
    assert_eq!(first, second);
}

/// The name of a process that was replaced says nothing about its successor's machine.
#[test]
fn another_process_starts_without_what_was_learnt() {
    let now = Instant::now();
    let mut fleet = stating(&[55, 120], now);
    let old = find(&fleet, "e0");
    fleet.upsert(entry("e0", "n-a", 2), now, &mut Vec::new());
    let new = find(&fleet, "e0");
    assert_ne!(new, old);
    assert_eq!(fleet.get(new).unwrap().speed.stated().periods(), 0);
    assert!(fleet.get(new).unwrap().speed.wants_probe(now));
}

/// An endpoint of an older version, beside others that state their speed, would be asked for ever.
#[test]
fn endpoint_that_states_nothing_is_asked_a_few_times() {
    let now = Instant::now();
    let mut speed = SpeedEstimate::default();
    let seconds = (0..100).map(|second| now + Duration::from_secs(second));
    let asked = seconds.filter(|at| {
        let wants = speed.wants_probe(*at);
        if wants {
            speed.record_probe(*at);
        }
        wants
    });
    assert_eq!(asked.count(), 6);
}

/// Machines that state only what neighbours cause differ nevertheless.
#[test]
fn observations_tell_machines_apart_that_state_the_same() {
    let now = Instant::now();
    let mut fleet = stating(&[100, 100], now);
    for round in 0..8 {
        for (name, slowness) in [("e0", 0.55), ("e1", 1.2)] {
            let ix = find(&fleet, name);
            // Neighbours slow it a seventh of the time.
            let slowed = if round == 3 { 2.5 } else { 1.0 };
            fleet.record_slowness(ix, slowness * slowed, now + INTERVAL * round);
        }
    }
    let now = now + INTERVAL * 8;
    let service = fleet.stated_speed(&service(), now).unwrap();
    let slowness = |name| fleet.get(find(&fleet, name)).unwrap().speed.slowness(service);
    assert!((0.5..0.7).contains(&slowness("e0")), "{}", slowness("e0"));
    assert!((1.05..1.25).contains(&slowness("e1")), "{}", slowness("e1"));
}

proptest! {
    /// Figures and observations of any size leave finite estimates within the accepted range.
    #[test]
    fn estimates_are_clamped(
        stated in prop::collection::vec(any::<u32>(), 0..20),
        observed in prop::collection::vec(any::<f64>(), 0..20),
        peers in (any::<u32>(), any::<u32>()),
    ) {
        let now = Instant::now();
        let mut fleet = stating(&[100, 100], now);
        let ix = find(&fleet, "e0");
        for (step, percent) in (0..).zip(&stated) {
            fleet.record_stated_pace(ix, *percent, now + INTERVAL * step);
        }
        for (step, slowness) in (0..).zip(&observed) {
            fleet.record_slowness(ix, *slowness, now + INTERVAL * step);
        }
        let usual = UsualSlowness::from_percent(peers.0, peers.1);
        let (latest, stated_at) = (Some((peers.0, now)), now);
        let known = PeerSlowness { stated: usual, observed: usual, latest, stated_at };
        fleet.record_peer_slowness(ix, &known, now);
        let at = now + Duration::from_secs(1);
        let service_speed = fleet.stated_speed(&service(), at).unwrap();
        let slowness = fleet.get(ix).unwrap().speed.slowness(service_speed);
        prop_assert!((0.2..=10.0).contains(&slowness), "{slowness}");
        let (service, spec) = (service(), engine());
        let pool = Pool { fleet: &fleet, service: &service, spec: &spec };
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        let candidates = Candidates::default();
        let choice = generation::choose(&pool, &LONG, &candidates, DUE, at, &mut rng).unwrap();
        prop_assert!(choice.cost_ms.is_finite());
    }

    /// The usual figure follows a machine of any speed, although neighbours slow it a sixth of the
    /// time and figures are noisy.
    #[test]
    fn usual_figure_is_found_among_noise(
        percent in 40_u32..250,
        noise in prop::collection::vec(0.9_f64..1.1, 24),
        first_slowed in 0_usize..6,
    ) {
        let now = Instant::now();
        let mut speed = SpeedEstimate::default();
        for (step, noise) in (0..).zip(&noise) {
            let slowed = if step as usize % 6 == first_slowed { 2.5 } else { 1.0 };
            let stated = (f64::from(percent) * noise * slowed) as u32;
            speed.record_stated(stated, now + INTERVAL * step);
        }
        let ratio = f64::from(speed.stated().percent().unwrap()) / f64::from(percent);
        prop_assert!((0.85..1.15).contains(&ratio), "{ratio}");
    }

    /// Datagrams may arrive late and repeatedly.
    #[test]
    fn older_figures_do_not_replace_newer_ones(ages in prop::collection::vec(0_u64..2_000, 1..10)) {
        let now = Instant::now() + Duration::from_secs(3);
        let mut speed = SpeedEstimate::default();
        for age in &ages {
            let as_of = now - Duration::from_millis(*age);
            speed.record_peer_figure(*age as u32 + 1, as_of);
        }
        let newest = ages.iter().min().unwrap();
        prop_assert_eq!(speed.latest_figure().unwrap().0, *newest as u32 + 1);
    }
}
