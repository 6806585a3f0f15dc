//! The volume of logs stays bounded, and what was left out is counted.

use std::io;
use std::sync::{Arc, Mutex};

use camphorloft_observe::bounded::{Bounded, LINES_PER_WINDOW};
use slog::{Drain, Level, Logger, OwnedKVList, Record, info, o, warn};

/// Records the levels that pass.
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
fn only_warnings_pass_beyond_the_rate() {
    let passed = Arc::new(Mutex::new(Vec::new()));
    let bounded = Bounded::new(Recorder(passed.clone()));
    let log = Logger::root(bounded.fuse(), o!());
    for _ in 0..3 * LINES_PER_WINDOW {
        info!(log, "decided");
    }
    warn!(log, "lost");
    let passed = passed.lock().expect("no test thread failed");
    let infos = passed.iter().filter(|level| **level == Level::Info).count();
    assert!(infos <= LINES_PER_WINDOW as usize * 2, "two windows at most: {infos}");
    assert_eq!(passed.last(), Some(&Level::Warning));
}
