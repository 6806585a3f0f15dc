//! Estimates how fast the engines of a service free memory.

use std::time::{Duration, Instant};

use camphorloft_types::prelude::ServiceName;

use crate::fleet::Fleet;
use crate::pool::Pool;

/// Half-life of the weight of a run.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Assumed time for which a run holds its memory before the first one has ended: long generations
/// of current deployments take 5 to 12 s.
const INITIAL_LIFE_SECS: f64 = 6.0;
/// Weight of that assumption, in tokens.
const INITIAL_TOKENS: f64 = 4_000.0;

/// Estimates how fast the engines of a service free memory: the memory in use, divided by the mean
/// time for which it is held. Memory in use is known from the reports of all engines, and the time
/// from the runs of this host, so that a host with little traffic has an estimate too.
#[derive(Clone, Copy, Debug)]
pub struct Completions {
    /// Tokens held by runs that ended, times the seconds for which they were held.
    token_seconds: f64,
    /// Tokens held by runs that ended.
    tokens: f64,
    as_of: Option<Instant>,
}

impl Default for Completions {
    fn default() -> Self {
        Self {
            token_seconds: INITIAL_TOKENS * INITIAL_LIFE_SECS,
            tokens: INITIAL_TOKENS,
            as_of: None,
        }
    }
}

impl Completions {
    /// Records that a run ended which held `kv_tokens` tokens after `duration`.
    pub fn record(&mut self, kv_tokens: u32, duration: Duration, now: Instant) {
        let age = self.as_of.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let decay = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.token_seconds =
            self.token_seconds * decay + f64::from(kv_tokens) * duration.as_secs_f64();
        self.tokens = self.tokens * decay + f64::from(kv_tokens);
        self.as_of = Some(now);
    }

    /// Returns the mean time for which a token is held, in seconds.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use camphorloft_dispatch::completions::Completions;
    /// let mut completions = Completions::default();
    /// let now = Instant::now();
    /// (0..100).for_each(|_| completions.record(3_000, Duration::from_secs(2), now));
    /// assert!(completions.mean_life_secs() < 2.1);
    /// ```
    pub fn mean_life_secs(&self) -> f64 {
        const MIN_SECS: f64 = 0.05;
        (self.token_seconds / self.tokens.max(1.0)).max(MIN_SECS)
    }

    /// Returns the expected number of calls that the usable endpoints of a plain service complete per
    /// second.
    pub fn calls_per_second(fleet: &Fleet, service: &ServiceName, now: Instant) -> f64 {
        let usable = fleet.of_service(service).filter(|(_, e)| e.is_usable(now));
        let rates = usable.map(|(_, e)| {
            const MIN_SECS: f64 = 0.001;
            let busy = e.runs.len() as f64 + e.load.peer_requests(now);
            busy.min(f64::from(e.entry.slots)) / e.service_time().as_secs_f64().max(MIN_SECS)
        });
        rates.sum()
    }

    /// Returns the expected number of tokens of memory that the usable engines of a service free per
    /// second, or 0 if no engine has sent a report lately.
    pub fn freed_per_second(&self, pool: &Pool<'_>, now: Instant) -> f64 {
        let usable = pool.fleet.of_service(pool.service).filter(|(_, e)| e.is_usable(now));
        let (mut engines, mut reported, mut used) = (0_u32, 0_u32, 0.0);
        for (_, engine) in usable {
            engines += 1;
            if engine.load.report(now).is_some() {
                reported += 1;
                used += f64::from(engine.load.estimate_engine_load(&engine.runs, now).used);
            }
        }
        // Engines without a recent report are taken for like the others.
        used * f64::from(engines) / f64::from(reported.max(1)) / self.mean_life_secs()
    }
}
