//! How long requests wait at a host that has no configuration yet, and when their clients are told to come
//! back.
//!
//! Answers the load after all hosts were restarted while the registry is unavailable: every request is
//! refused until it is back, and a client that comes back too early has used up its retries. A request that
//! waits is served as soon as the configuration is there.

use std::time::Duration;

/// Time within which a host normally receives a configuration after its start.
const USUAL_START: Duration = Duration::from_millis(300);
/// Shortest delay within that time.
const SHORT_DELAY: Duration = Duration::from_millis(400);
/// Shortest delay after that time, when the registry is known to be unavailable: outages last for seconds.
const MIN_OUTAGE_DELAY: Duration = Duration::from_millis(600);
/// Longest wait at the host: clients whose first event or response is due by then still get it in time, or
/// soon after.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Fraction of its remaining time for which a request waits, so that its client can come back.
const WAIT_FRACTION: f64 = 0.25;
/// Delay as a multiple of the time since the start of the host. An outage that has lasted for some time is
/// expected to last as long again, and a client that returns too early is lost.
const OUTAGE_FACTOR: f64 = 1.0;
/// Random part of a delay, as a fraction of it, so that clients do not return together.
const JITTER: f64 = 0.3;
/// Fraction of the longest delay that a client honours over which the returns are spread.
const LONGEST_DELAY_SPREAD: f64 = 0.25;
/// Fraction of its remaining time up to which a client honours a delay.
const HONOURED_FRACTION: f64 = 1.0 / 3.0;

/// Returns the time for which a request waits for the configuration. `time_left` is the time for which its
/// client waits for a response, if it states that.
///
/// ```
/// use camphorloft_dispatch::start_return::start_wait;
/// use std::time::Duration;
/// assert_eq!(start_wait(Some(Duration::from_secs(2))), Duration::from_millis(500));
/// assert_eq!(start_wait(None), Duration::from_secs(1));
/// ```
pub fn start_wait(time_left: Option<Duration>) -> Duration {
    time_left.map_or(MAX_WAIT, |left| left.mul_f64(WAIT_FRACTION).min(MAX_WAIT))
}

/// Returns the delay after which a client should come back to a host that has been without a configuration
/// for `waited`. `time_left` is the time for which the client still waits for a response, if it states
/// that, and `draw` a uniform random number in `[0, 1)`.
///
/// ```
/// use camphorloft_dispatch::start_return::retry_delay;
/// use std::time::Duration;
/// let (start, outage) = (Duration::from_millis(100), Duration::from_millis(900));
/// assert_eq!(retry_delay(start, None, 0.0), Duration::from_millis(400));
/// assert_eq!(retry_delay(outage, None, 0.0), Duration::from_millis(900));
/// let time_left = Duration::from_secs(3);
/// assert!(retry_delay(outage, Some(time_left), 0.0) <= Duration::from_secs(1));
/// ```
pub fn retry_delay(waited: Duration, time_left: Option<Duration>, draw: f64) -> Duration {
    let expected = match waited < USUAL_START {
        true => SHORT_DELAY,
        false => waited.mul_f64(OUTAGE_FACTOR).max(MIN_OUTAGE_DELAY),
    };
    let delay = expected.mul_f64(1.0 + JITTER * draw);
    let Some(longest) = time_left.map(|left| left.mul_f64(HONOURED_FRACTION)) else { return delay };
    match delay < longest {
        true => delay,
        false => longest.mul_f64(1.0 - LONGEST_DELAY_SPREAD * draw),
    }
}
