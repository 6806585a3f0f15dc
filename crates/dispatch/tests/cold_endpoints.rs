//! Hosts that share the rate of a cold endpoint, in virtual time. The endpoint crashes if it receives well
//! more within one second.

#[expect(dead_code, reason = "the other tests use the rest")]
mod common;

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use camphorloft_dispatch::plain;
use camphorloft_dispatch::prelude::*;
use camphorloft_types::prelude::*;
use common::{entry, find, fleet, service};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Requests that a cold endpoint may receive within one second, as a factor of its rate.
const FACTOR: f64 = 1.5;
/// Requests that it may receive beyond that.
const SLACK: f64 = 5.0;
/// Step of the simulation.
const STEP: Duration = Duration::from_millis(5);
/// Interval at which hosts renew their shares.
const TICK: Duration = Duration::from_millis(100);
/// Time within which a host notices that another one started or ended.
const MAX_VIEW_LAG: Duration = Duration::from_secs(2);
/// Time within which all hosts know that the endpoint is cold.
const LEARNING_TIME: Duration = Duration::from_millis(400);
/// Maximum difference of the times that requests take to arrive.
const MAX_TRANSIT: Duration = Duration::from_millis(40);
/// Duration of a simulation, in which the endpoint stays cold.
const DURATION: Duration = Duration::from_secs(15);
/// Numbers of hosts: of small and large deployments, and between half of the rate and the rate.
const HOSTS: [usize; 10] = [1, 3, 8, 14, 20, 25, 27, 64, 195, 443];

fn rate(per_second: f64) -> RequestRate {
    RequestRate::try_from(per_second).unwrap()
}

/// What happens to hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// One host ends and another starts at this interval.
    Churn(Duration),
    /// Hosts are paused for up to some seconds, and requests queue meanwhile.
    Pauses,
}

struct SimulatedHost {
    limit: RequestLimit,
    pauses: PauseDetector,
    started_at: Duration,
    ended_at: Option<Duration>,
    paused_until: Duration,
    view_lag: Duration,
    /// Requests of its clients that wait for its share.
    waiting: f64,
}

impl SimulatedHost {
    fn start(at: Duration, rng: &mut StdRng) -> Self {
        Self {
            limit: RequestLimit::default(),
            pauses: PauseDetector::default(),
            started_at: at,
            ended_at: None,
            paused_until: Duration::ZERO,
            view_lag: MAX_VIEW_LAG.mul_f64(rng.random()),
            waiting: 0.0,
        }
    }

    fn is_alive(&self, at: Duration) -> bool {
        self.started_at <= at && self.ended_at.is_none_or(|ended| at < ended)
    }
}

/// Runs hosts that together want to send `demand` requests per second in bursts. Returns when requests
/// arrive.
fn simulate(
    rate: RequestRate,
    hosts: usize,
    demand: f64,
    fault: Fault,
    seed: u64,
) -> Vec<Duration> {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut all: Vec<SimulatedHost> =
        (0..hosts).map(|_| SimulatedHost::start(Duration::ZERO, &mut rng)).collect();
    let (mut arrivals, mut at, mut next_fault) = (Vec::new(), Duration::ZERO, Duration::ZERO);
    while at < DURATION {
        let now = start + at;
        if at >= next_fault {
            let ix = rng.random_range(0..all.len());
            next_fault = match fault {
                Fault::None => DURATION,
                Fault::Churn(interval) => {
                    all[ix].ended_at.get_or_insert(at);
                    all.push(SimulatedHost::start(at, &mut rng));
                    at + interval
                }
                Fault::Pauses => {
                    all[ix].paused_until = at + Duration::from_millis(rng.random_range(500..5_000));
                    at + Duration::from_millis(300)
                }
            };
        }
        // All clients give up and come back together.
        let is_burst = at.as_millis() % 2_700 < 1_900;
        let wanted = demand * STEP.as_secs_f64() / hosts as f64;
        let is_tick = at.as_millis() % TICK.as_millis() == 0;
        for ix in 0..all.len() {
            let learns_at = all[ix].started_at + LEARNING_TIME;
            if !all[ix].is_alive(at) || at < learns_at {
                continue;
            }
            all[ix].waiting = if is_burst { (all[ix].waiting + wanted).min(20.0) } else { 0.0 };
            if at < all[ix].paused_until {
                continue;
            }
            if is_tick {
                let view_at = at.saturating_sub(all[ix].view_lag);
                let rank = all[..ix].iter().filter(|other| other.is_alive(view_at)).count();
                let host = &mut all[ix];
                if host.pauses.record_tick(now).is_some() {
                    host.limit.restart_share(now);
                }
                host.limit.set_cold(Some(rate), Some(start + DURATION), now);
                host.limit.set_position(rank, hosts, now);
            }
            let host = &mut all[ix];
            let may_send = !host.pauses.must_wait(now) && host.limit.rate(now).is_some();
            while may_send && host.waiting >= 1.0 && host.limit.send_at(now) == Some(now) {
                host.limit.reserve(now);
                host.waiting -= 1.0;
                arrivals.push(at + MAX_TRANSIT.mul_f64(rng.random()));
            }
        }
        at += STEP;
    }
    arrivals.sort_unstable();
    arrivals
}

fn most_in_a_second(arrivals: &[Duration]) -> usize {
    let second = Duration::from_secs(1);
    let mut first = 0;
    let counts = arrivals.iter().enumerate().map(|(ix, at)| {
        while arrivals[first] + second <= *at {
            first += 1;
        }
        ix + 1 - first
    });
    counts.max().unwrap_or(0)
}

fn check_bound(fault: Fault) {
    for (seed, hosts) in HOSTS.into_iter().enumerate() {
        for per_second in [1.0, 4.0, 26.0, 100.0] {
            for demand in [per_second * 2.0, per_second * 40.0] {
                let arrivals = simulate(rate(per_second), hosts, demand, fault, seed as u64);
                let most = most_in_a_second(&arrivals) as f64;
                let allowed = per_second * FACTOR + SLACK;
                assert!(most <= allowed, "{hosts} hosts, {per_second} per second: {most}");
            }
        }
    }
}

#[test]
fn hosts_exceed_the_rate_of_a_cold_endpoint_together() {
    check_bound(Fault::None);
}

#[test]
fn hosts_exceed_the_rate_of_a_cold_endpoint_as_they_come_and_go() {
    check_bound(Fault::Churn(Duration::from_millis(1_000)));
}

/// What arrived during the pause is sent at once when the host wakes.
#[test]
fn hosts_exceed_the_rate_of_a_cold_endpoint_when_they_wake() {
    check_bound(Fault::Pauses);
}

/// A limit that hardly any host may use would take the endpoint out of service.
#[test]
fn hosts_use_little_of_the_rate_of_a_cold_endpoint() {
    for (seed, hosts) in HOSTS.into_iter().enumerate() {
        for per_second in [4.0, 26.0] {
            // Each host alone has more requests than its share.
            let demand = per_second * 2.0 * hosts as f64;
            let arrivals = simulate(rate(per_second), hosts, demand, Fault::None, seed as u64);
            let used = arrivals.len() as f64 / DURATION.as_secs_f64() / per_second;
            assert!(used > 0.45, "{hosts} hosts use {used} of {per_second} requests per second");
        }
    }
}

fn cold_fleet(zones: &[&str], now: Instant) -> Fleet {
    let mut fleet = fleet(zones, now);
    fleet.set_cold_rates(HashMap::from([(service(), rate(26.0))]), now);
    fleet
}

fn turn_cold(fleet: &mut Fleet, name: &str, zone: &str, left: Duration, now: Instant) -> bool {
    let mut changes = Vec::new();
    let cold = EndpointEntry { warmup_remaining: left, ..entry(name, zone, 1) };
    fleet.upsert(cold, now, &mut changes);
    changes.iter().any(|change| matches!(change, FleetChange::Cold(_)))
}

fn set_position(fleet: &mut Fleet, name: &str, rank: usize, hosts: usize, now: Instant) {
    let ix = find(fleet, name);
    fleet.get_mut(ix).unwrap().request_limit.set_position(rank, hosts, now);
}

/// The host has no share of the cold endpoint, or has used it up.
#[test]
fn cold_endpoint_without_a_share_is_preferred_to_a_warm_one() {
    let (now, second) = (Instant::now(), Duration::from_secs(1));
    let mut fleet = cold_fleet(&["n-a", "n-b"], now);
    assert!(turn_cold(&mut fleet, "e0", "n-a", second, now));
    let (cold, warm) = (find(&fleet, "e0"), find(&fleet, "e1"));
    let mut rng = StdRng::seed_from_u64(1);
    let mut place = |fleet: &Fleet, max_delay: Duration, now: Instant| {
        let candidates = Candidates { max_delay, ..Candidates::default() };
        let name = service();
        let mut placed = BTreeMap::<EndpointIx, usize>::new();
        for _ in 0..200 {
            let choice = plain::choose(fleet, &name, &candidates, now, &mut rng);
            *placed.entry(choice.expect("an endpoint").endpoint).or_default() += 1;
        }
        placed
    };
    set_position(&mut fleet, "e0", 300, 443, now);
    assert_eq!(place(&fleet, Duration::from_secs(2), now), BTreeMap::from([(warm, 200)]));
    // Shares of others are no reason to wait longer than until the endpoint is warm.
    assert_eq!(fleet.get(cold).unwrap().send_at(now), Some(now + second));
    assert!(place(&fleet, Duration::ZERO, now + second).contains_key(&cold));
}

/// Every endpoint of a zone turns cold at once, and no other zone is left.
#[test]
fn whole_zone_that_turns_cold_is_out_of_service_for_most_hosts() {
    let (now, second) = (Instant::now(), Duration::from_secs(1));
    let hosts = 195;
    let zones = ["n-a"; 20];
    let mut served = 0;
    for host in 0..hosts {
        let mut fleet = cold_fleet(&zones, now);
        let mut rng = StdRng::seed_from_u64(host as u64);
        for ix in 0..zones.len() {
            assert!(turn_cold(&mut fleet, &format!("e{ix}"), "n-a", second, now));
            set_position(&mut fleet, &format!("e{ix}"), rng.random_range(0..hosts), hosts, now);
        }
        let candidates = Candidates { max_delay: second, ..Candidates::default() };
        let choice = plain::choose(&fleet, &service(), &candidates, now, &mut rng);
        let delay = choice.expect("an endpoint").delay;
        assert!(delay <= second, "a request waits no longer than until the endpoints are warm");
        served += usize::from(delay < second);
        let wait = fleet.limited_for(&service(), &Candidates::default(), now);
        assert!(wait.is_some_and(|wait| wait <= second), "clients return when they are warm");
    }
    assert!(served > hosts * 3 / 4, "{served} of {hosts} hosts have a share of one of them");
}

/// A stale entry states less than a response that arrived before it.
#[test]
fn cold_endpoint_counts_as_warm_too_early() {
    let (now, ms) = (Instant::now(), Duration::from_millis);
    let mut fleet = cold_fleet(&["n-a"], now);
    let ix = find(&fleet, "e0");
    let mut changes = Vec::new();
    fleet.record_cold(ix, ms(1_000), now, &mut changes);
    assert_eq!(changes, [FleetChange::Cold(ix)]);
    assert!(!turn_cold(&mut fleet, "e0", "n-a", ms(0), now + ms(200)));
    assert!(fleet.get(ix).unwrap().is_cold_limited(now + ms(900)));
    // Further statements about the same time are no news.
    assert!(!turn_cold(&mut fleet, "e0", "n-a", ms(700), now + ms(400)));
    assert!(!fleet.get(ix).unwrap().is_cold_limited(now + ms(1_100)), "the limit ends by itself");
    assert!(turn_cold(&mut fleet, "e0", "n-a", ms(1_000), now + ms(1_500)), "cold again");
    assert!(fleet.get(ix).unwrap().is_cold_limited(now + ms(2_400)));
}

/// An endpoint that stated a day by mistake corrects itself.
#[test]
fn cold_endpoint_stays_limited_after_it_corrects_itself() {
    let (now, secs) = (Instant::now(), Duration::from_secs);
    let mut fleet = cold_fleet(&["n-a"], now);
    assert!(turn_cold(&mut fleet, "e0", "n-a", secs(86_400), now));
    for second in 1..6 {
        turn_cold(&mut fleet, "e0", "n-a", secs(0), now + secs(second));
    }
    assert!(!fleet.get(find(&fleet, "e0")).unwrap().is_cold_limited(now + secs(6)));
}

#[test]
fn service_without_a_limit_limits_its_cold_endpoints() {
    let (now, second) = (Instant::now(), Duration::from_secs(1));
    let mut fleet = fleet(&["n-a"], now);
    assert!(turn_cold(&mut fleet, "e0", "n-a", second, now), "still a change of its warm-up");
    let ix = find(&fleet, "e0");
    assert_eq!(fleet.get(ix).unwrap().send_at(now), Some(now));
    // A version that introduces the limit applies at once, and one without it too.
    fleet.set_cold_rates(HashMap::from([(service(), rate(26.0))]), now);
    assert!(fleet.get(ix).unwrap().send_at(now) > Some(now));
    fleet.set_cold_rates(HashMap::new(), now);
    assert_eq!(fleet.get(ix).unwrap().send_at(now), Some(now));
}

/// The endpoint states a lower limit than the rate of its service, or a higher one.
#[test]
fn higher_one_of_two_limits_applies() {
    let (now, second) = (Instant::now(), Duration::from_secs(1));
    for (stated, expected) in [(2.0, 2.0), (80.0, 26.0)] {
        let mut limit = RequestLimit::default();
        limit.record(Some(rate(stated)), now, now);
        limit.set_cold(Some(rate(26.0)), Some(now + second), now);
        assert_eq!(limit.rate(now), Some(rate(expected)));
        assert_eq!(limit.rate(now + second), Some(rate(stated)));
    }
}
