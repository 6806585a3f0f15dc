//! Drops log records above a rate limit and counts them.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use slog::{Drain, Level, OwnedKVList, Record, b, record};

/// Maximum number of records logged per window, about ten times the peak rate of a host.
pub const MAX_RECORDS_PER_WINDOW: u32 = 400;
/// Duration of a window.
pub const WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Window {
    start: Instant,
    records: u32,
    dropped: u64,
}

/// A drain that forwards a limited number of records in each window.
///
/// Warnings and errors are always forwarded, because they report changes of state, which are rare.
/// If records were dropped in a window, the first record after it is preceded by a warning with
/// their count.
#[derive(Debug)]
pub struct RateLimiter<D> {
    inner: D,
    window: Mutex<Window>,
}

impl<D> RateLimiter<D> {
    /// Wraps a drain.
    pub fn new(inner: D) -> Self {
        let window = Window { start: Instant::now(), records: 0, dropped: 0 };
        Self { inner, window: Mutex::new(window) }
    }

    /// Returns whether to forward a record, and the number of records dropped in the last window
    /// if that window has ended.
    fn check(&self, level: Level, now: Instant) -> (bool, Option<u64>) {
        // The window behind a poisoned lock is still valid.
        let mut window = self.window.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let mut dropped = None;
        if now.saturating_duration_since(window.start) >= WINDOW {
            dropped = (window.dropped > 0).then_some(window.dropped);
            *window = Window { start: now, records: 0, dropped: 0 };
        }
        if level.is_at_least(Level::Warning) {
            return (true, dropped);
        }
        window.records += 1;
        let allowed = window.records <= MAX_RECORDS_PER_WINDOW;
        window.dropped += u64::from(!allowed);
        (allowed, dropped)
    }
}

impl<D> Drain for RateLimiter<D>
where
    D: Drain,
{
    type Ok = Option<D::Ok>;
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<Self::Ok, Self::Err> {
        let (allowed, dropped) = self.check(record.level(), Instant::now());
        if let Some(dropped) = dropped {
            let args = format_args!("log lines dropped");
            self.inner.log(&record!(Level::Warning, "", &args, b!("count" => dropped)), values)?;
        }
        if !allowed {
            return Ok(None);
        }
        self.inner.log(record, values).map(Some)
    }
}
