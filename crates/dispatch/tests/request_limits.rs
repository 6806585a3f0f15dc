//! Hosts that share the limit of an endpoint, in virtual time.

use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_types::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Period in which requests are counted.
const PERIOD: Duration = Duration::from_secs(4);
/// Time after which all hosts keep to a limit.
const CONTACT: Duration = Duration::from_secs(4);
/// Requests that may arrive in a period beyond one and a half times the limit.
const EXTRA_REQUESTS: f64 = 5.0;
/// Step of the simulation.
const STEP: Duration = Duration::from_millis(10);
/// Time within which a host notices that another one started or ended.
const MAX_VIEW_LAG: Duration = Duration::from_secs(2);
/// Time after which a host that started knows the limit from another host.
const LEARNING_TIME: Duration = Duration::from_secs(1);

/// Interval at which hosts update their views.
const VIEW_INTERVAL: Duration = Duration::from_millis(200);
/// Rank beyond which a host is no sender at any limit of the tests.
const MAX_RANK: usize = 64;
/// Duration of a simulation.
const DURATION: Duration = Duration::from_secs(20);

struct SimulatedHost {
    limit: RequestLimit,
    started_at: Duration,
    ended_at: Option<Duration>,
    /// How late it notices changes of the other hosts.
    view_lag: Duration,
    /// Requests per second of its clients.
    demand: f64,
}

impl SimulatedHost {
    fn start(at: Duration, demand: f64, rng: &mut StdRng) -> Self {
        let view_lag = MAX_VIEW_LAG.mul_f64(rng.random());
        Self { limit: RequestLimit::default(), started_at: at, ended_at: None, view_lag, demand }
    }

    fn is_alive(&self, at: Duration) -> bool {
        self.started_at <= at && self.ended_at.is_none_or(|ended| at < ended)
    }
}

/// Runs hosts for a while, of which one ends and another starts every `churn`. Returns the times of the
/// requests of hosts that know the limit.
fn simulate(rate: &str, hosts: usize, demand: f64, churn: Duration, seed: u64) -> Vec<Duration> {
    let rate: RequestRate = rate.parse().unwrap();
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    // The demand differs between hosts by an order of magnitude.
    let demands: Vec<f64> = (0..hosts).map(|_| rng.random_range(0.2..2.0)).collect();
    let total: f64 = demands.iter().sum();
    let demand_of = |weight: &f64| weight / total * demand;
    let mut all: Vec<SimulatedHost> = demands
        .iter()
        .map(|weight| SimulatedHost::start(Duration::ZERO, demand_of(weight), &mut rng))
        .collect();
    let (mut sent, mut at, mut next_churn) = (Vec::new(), Duration::ZERO, churn);
    while at < DURATION {
        if at >= next_churn {
            next_churn += churn;
            let ending = rng.random_range(0..all.len());
            let demand = all[ending].demand;
            all[ending].ended_at.get_or_insert(at);
            all.push(SimulatedHost::start(at, demand, &mut rng));
        }
        let now = start + at;
        let updates_views = at.as_millis() % VIEW_INTERVAL.as_millis() == 0;
        for ix in 0..all.len() {
            if !all[ix].is_alive(at) || at < all[ix].started_at + LEARNING_TIME {
                continue;
            }
            if updates_views {
                let view_at = at.saturating_sub(all[ix].view_lag);
                let alive = all[..ix].iter().filter(|other| other.is_alive(view_at));
                let rank = alive.take(MAX_RANK).count();
                let limit = &mut all[ix].limit;
                limit.record(Some(rate), now, now);
                limit.set_position(rank, hosts, now);
            }
            let host = &mut all[ix];
            let arrives = rng.random_bool((host.demand * STEP.as_secs_f64()).min(1.0));
            if arrives && host.limit.rate(now).is_some() && host.limit.send_at(now) == Some(now) {
                host.limit.reserve(now);
                sent.push(at);
            }
        }
        at += STEP;
    }
    sent
}

fn most_in_period(sent: &[Duration]) -> usize {
    let sent: Vec<Duration> = sent.iter().copied().filter(|at| *at >= CONTACT).collect();
    let in_period =
        |from: &Duration| sent.iter().filter(|at| **at >= *from && **at < *from + PERIOD).count();
    sent.iter().map(in_period).max().unwrap_or(0)
}

/// The loads of a fleet in which each host alone would stay below the limit.
#[test]
fn hosts_exceed_the_limit_of_an_endpoint_together_as_they_come_and_go() {
    for (seed, hosts) in [7, 58, 195, 443].into_iter().enumerate() {
        for rate in ["0", "0.5", "1.7", "5.6", "40"] {
            for churn in [Duration::from_secs(2), Duration::from_millis(250)] {
                let sent = simulate(rate, hosts, 200.0, churn, seed as u64);
                let per_second: f64 = rate.parse().unwrap();
                let allowed = per_second * PERIOD.as_secs_f64() * 1.5 + EXTRA_REQUESTS;
                let most = most_in_period(&sent);
                assert!(most as f64 <= allowed, "{hosts} hosts, limit {rate}: {most} requests");
            }
        }
    }
}

/// A limit that no host may use would take the endpoint out of service.
#[test]
fn hosts_use_most_of_a_limit() {
    for (seed, hosts) in [7, 58, 195].into_iter().enumerate() {
        for rate in ["1.7", "5.6"] {
            let demand = hosts as f64 * 6.0;
            let sent = simulate(rate, hosts, demand, Duration::from_secs(10), seed as u64);
            let per_second: f64 = rate.parse().unwrap();
            let used = sent.len() as f64 / DURATION.as_secs_f64() / per_second;
            assert!(used > 0.6, "{hosts} hosts use {used} of {rate} requests per second");
        }
    }
}

#[test]
fn a_raised_limit_is_used_without_delay() {
    let now = Instant::now();
    let mut limit = RequestLimit::default();
    limit.record(Some("0".parse().unwrap()), now, now);
    limit.set_position(0, 1, now);
    limit.reserve(now);
    limit.record(Some("20".parse().unwrap()), now, now);
    limit.set_position(0, 1, now);
    assert!(limit.send_at(now).is_some_and(|at| at < now + Duration::from_secs(1)));
    limit.record(None, now, now);
    assert_eq!(limit.send_at(now), Some(now));
}

/// Every host repeats what it learned; the limit ends with the statements of the endpoint.
#[test]
fn repeated_announcements_do_not_prolong_a_limit() {
    let (start, rate) = (Instant::now(), "3".parse().unwrap());
    let mut limit = RequestLimit::default();
    for second in 0..60 {
        let now = start + Duration::from_secs(second);
        limit.record(Some(rate), start, now);
        limit.record_announcement(now);
    }
    assert_eq!(limit.rate(start + Duration::from_secs(60)), None);
}

#[test]
fn an_older_statement_does_not_bring_a_limit_back() {
    let start = Instant::now();
    let later = start + Duration::from_secs(1);
    let mut limit = RequestLimit::default();
    limit.record(Some("3".parse().unwrap()), start, start);
    limit.record(None, later, later);
    assert!(!limit.record(Some("3".parse().unwrap()), start, later));
    assert_eq!(limit.rate(later), None);
}

/// Many hosts of a fleet that starts learn a limit at the same time.
#[test]
fn hosts_that_learn_a_limit_together_do_not_send_together() {
    let now = Instant::now();
    let senders = (0..443).filter(|rank| {
        let mut limit = RequestLimit::default();
        limit.record(Some("5.6".parse().unwrap()), now, now);
        limit.set_position(*rank, 443, now);
        limit.send_at(now) == Some(now)
    });
    assert_eq!(senders.count(), 0);
}

/// A host may be paused for up to 10 s; others may have used its share meanwhile.
#[test]
fn share_of_the_time_of_a_pause_is_used_after_it() {
    let (start, rate) = (Instant::now(), 8.0);
    for pause in [1, 3, 10] {
        let mut limit = RequestLimit::default();
        limit.record(Some("8".parse().unwrap()), start, start);
        limit.set_position(0, 1, start);
        limit.reserve(start);
        let woken_at = start + Duration::from_secs(pause);
        let (mut now, mut sent) = (woken_at, 0);
        while now < woken_at + Duration::from_secs(1) {
            if limit.send_at(now) == Some(now) {
                limit.reserve(now);
                sent += 1;
            }
            now += Duration::from_millis(1);
        }
        assert!(f64::from(sent) <= rate * 1.5, "{sent} requests in a second after {pause} s");
    }
}
