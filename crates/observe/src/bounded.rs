//! Drops lines beyond a rate and counts them.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use slog::{Drain, Level, OwnedKVList, Record, b, record};

/// Lines that pass in a window. Today's hosts write about a tenth of it at their peak.
pub const LINES_PER_WINDOW: u32 = 400;
/// Length of a window.
pub const WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Window {
    began: Instant,
    lines: u32,
    dropped: u64,
}

/// A drain that passes a bounded number of lines in each window. Warnings and errors pass always:
/// they tell of changes of belief, which are few. The first line of the next window is preceded by
/// one that tells how many were dropped.
#[derive(Debug)]
pub struct Bounded<D> {
    inner: D,
    window: Mutex<Window>,
}

impl<D> Bounded<D> {
    /// Bounds a drain.
    pub fn new(inner: D) -> Self {
        let window = Window { began: Instant::now(), lines: 0, dropped: 0 };
        Self { inner, window: Mutex::new(window) }
    }

    /// Returns whether a line passes, and how many were dropped before if a window has ended.
    fn pass(&self, level: Level, now: Instant) -> (bool, Option<u64>) {
        // A poisoned lock still holds a valid window.
        let mut window = self.window.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let mut report = None;
        if now.saturating_duration_since(window.began) >= WINDOW {
            report = (window.dropped > 0).then_some(window.dropped);
            *window = Window { began: now, lines: 0, dropped: 0 };
        }
        if level.is_at_least(Level::Warning) {
            return (true, report);
        }
        window.lines += 1;
        let passes = window.lines <= LINES_PER_WINDOW;
        window.dropped += u64::from(!passes);
        (passes, report)
    }
}

impl<D> Drain for Bounded<D>
where
    D: Drain,
{
    type Ok = Option<D::Ok>;
    type Err = D::Err;

    fn log(&self, line: &Record<'_>, values: &OwnedKVList) -> Result<Self::Ok, Self::Err> {
        let (passes, dropped) = self.pass(line.level(), Instant::now());
        if let Some(dropped) = dropped {
            let args = format_args!("log lines dropped");
            self.inner.log(&record!(Level::Warning, "", &args, b!("count" => dropped)), values)?;
        }
        if !passes {
            return Ok(None);
        }
        self.inner.log(line, values).map(Some)
    }
}
