//! The number of log records per window is limited, except for warnings.

use std::io;
use std::sync::{Arc, Mutex};

use camphorloft_observe::rate_limit::{MAX_RECORDS_PER_WINDOW, RateLimiter};
use slog::{Drain, Level, Logger, OwnedKVList, Record, info, o, warn};

/// Collects the levels of the forwarded records.
struct Recorder(Arc<Mutex<Vec<Level>>>);

impl Drain for Recorder {
    type Ok = ();
    type Err = io::Error;

    fn log(&self, line: &Record<'_>, _values: &OwnedKVList) -> Result<(), io::Error> {
        self.0.lock().expect("no test thread failed").push(line.level());
        Ok(())
    }
}

#[test]
fn only_warnings_exceed_the_rate_limit() {
    let passed = Arc::new(Mutex::new(Vec::new()));
    let limiter = RateLimiter::new(Recorder(passed.clone()));
    let log = Logger::root(limiter.fuse(), o!());
    for _ in 0..3 * MAX_RECORDS_PER_WINDOW {
        info!(log, "decided");
    }
    warn!(log, "lost");
    let passed = passed.lock().expect("no test thread failed");
    let infos = passed.iter().filter(|level| **level == Level::Info).count();
    assert!(infos <= MAX_RECORDS_PER_WINDOW as usize * 2, "two windows at most: {infos}");
    assert_eq!(passed.last(), Some(&Level::Warning));
}
