//! When refused clients are told to come back.

use std::time::{Duration, Instant};

/// Shortest delay before a refused client returns.
const MIN_DELAY: Duration = Duration::from_millis(300);
/// Random part of a delay, as a fraction of it, so that clients of several hosts do not return
/// together.
const JITTER: f64 = 0.2;
/// Largest number of clients that are expected back.
const MAX_RETURNS: usize = 1024;

/// A client that was told to come back.
#[derive(Clone, Copy, Debug)]
struct Return {
    at: Instant,
    priority: u8,
    tokens: u64,
}

/// When refused clients are told to come back: as memory is expected to become free for them, the more
/// urgent ones first.
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    returns: Vec<Return>,
}

impl ReturnSchedule {
    /// Returns the delay after which a client with a request of `tokens` tokens returns. `ahead` is the
    /// memory that those need that wait before it, `freed_per_second` the rate at which memory becomes
    /// free, both in tokens, and `draw` a uniform random number in `[0, 1)`. Clients honour a delay of
    /// up to `max_delay`.
    pub fn schedule(
        &mut self,
        (priority, tokens): (u8, u64),
        ahead: u64,
        freed_per_second: f64,
        max_delay: Duration,
        draw: f64,
        now: Instant,
    ) -> Duration {
        self.returns.retain(|other| other.at > now);
        let before = self.returns.iter().filter(|other| other.priority <= priority);
        let before = before.map(|other| other.tokens).sum::<u64>();
        let wait = (ahead + before + tokens) as f64 / freed_per_second.max(1.0);
        let wait = wait.max(MIN_DELAY.as_secs_f64()) * (1.0 + JITTER * draw);
        let delay = match wait < max_delay.as_secs_f64() {
            true => Duration::from_secs_f64(wait),
            // Clients that cannot wait for long enough are spread over the second half of the time.
            false => max_delay.mul_f64(1.0 - 0.5 * draw),
        };
        if self.returns.len() < MAX_RETURNS {
            self.returns.push(Return { at: now + delay, priority, tokens });
        }
        delay
    }
}
