//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of a run.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file at a path.
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { started_at: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Returns the seconds since the start.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started_at).as_secs_f64()
    }

    /// Adds a line with the time.
    pub fn line(&self, line: &str) {
        let mut file = self.file.lock().expect("no panic");
        // A record that cannot be written does not change the result.
        let _ = writeln!(file, "{:8.3} s  {line}", self.seconds(Instant::now()));
    }
}
