//! Clients of hosts that were all restarted while the registry is unavailable.

use std::time::Duration;

use camphorloft_dispatch::start_return::{retry_delay, start_wait};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Fraction of the remaining time up to which clients honour a delay.
const HONOURED_FRACTION: f64 = 1.0 / 3.0;

/// Outcome of the clients that arrive in an outage.
#[derive(Clone, Copy, Debug, Default)]
struct Returns {
    clients: u32,
    /// Clients that a delay could have brought back after the outage.
    reachable: u32,
    served: u32,
    /// Time that served clients waited after the end of the outage, in seconds.
    idle_secs: f64,
}

/// Replays the arrivals in an outage. Requests wait at the host for `wait`; clients come back once, and
/// honour delays as told.
fn replay<Delay>(outage: Duration, time_limit: Duration, wait: Duration, delay: Delay) -> Returns
where
    Delay: Fn(Duration, Duration, f64) -> Duration,
{
    const CLIENTS: u32 = 2_000;
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut returns = Returns::default();
    for client in 0..CLIENTS {
        let arrived = outage.mul_f64(f64::from(client) / f64::from(CLIENTS));
        let refused = arrived + wait;
        let time_left = time_limit - wait;
        let longest = time_left.mul_f64(HONOURED_FRACTION);
        let back = refused + delay(refused, time_left, rng.random()).min(longest);
        returns.clients += 1;
        returns.reachable += u32::from(refused + longest + wait >= outage);
        if refused >= outage || back + wait >= outage {
            returns.served += 1;
            let served_at = if refused >= outage { outage } else { back.max(outage) };
            returns.idle_secs += (served_at - outage).as_secs_f64();
        }
    }
    returns
}

/// Replays an outage with the waits and delays of hosts.
fn replay_hosts(outage: Duration, time_limit: Duration) -> Returns {
    replay(outage, time_limit, start_wait(Some(time_limit)), |waited, left, draw| {
        retry_delay(waited, Some(left), draw)
    })
}

#[test]
fn most_clients_come_back_after_an_outage_at_the_start() {
    let (outage, time_limit) = (Duration::from_secs(2), Duration::from_secs(6));
    let constant = replay(outage, time_limit, Duration::ZERO, |_, _, _| Duration::from_millis(500));
    assert!(constant.served * 3 < constant.clients, "a constant delay brings back a quarter");
    for (outage, time_limit) in [(2, 6), (2, 39), (4, 39), (8, 39)] {
        let (outage, time_limit) = (Duration::from_secs(outage), Duration::from_secs(time_limit));
        let returns = replay_hosts(outage, time_limit);
        assert!(returns.served * 2 >= returns.reachable, "{outage:?}, {time_limit:?}: {returns:?}");
    }
}

#[test]
fn clients_with_little_time_are_served_after_a_short_outage() {
    let returns = replay_hosts(Duration::from_secs(2), Duration::from_secs(3));
    assert!(returns.served * 10 >= returns.reachable * 7, "{returns:?}");
}

#[test]
fn a_usual_start_delays_clients_only_shortly() {
    let longest = retry_delay(Duration::from_millis(250), Some(Duration::from_secs(39)), 0.999);
    assert!(longest <= Duration::from_millis(600), "{longest:?}");
}

#[test]
fn clients_wait_no_longer_than_the_outage_lasted() {
    // A long delay would bring back all clients, and waste most of their time.
    let (outage, time_limit) = (Duration::from_secs(4), Duration::from_secs(39));
    let returns = replay_hosts(outage, time_limit);
    assert!(returns.idle_secs / f64::from(returns.served) <= outage.as_secs_f64(), "{returns:?}");
}

#[test]
fn clients_do_not_return_together() {
    let (waited, time_limit) = (Duration::from_secs(2), Some(Duration::from_secs(6)));
    let first = retry_delay(waited, time_limit, 0.0);
    let last = retry_delay(waited, time_limit, 0.999);
    assert!(first.abs_diff(last) >= Duration::from_millis(400), "{first:?} to {last:?}");
}
