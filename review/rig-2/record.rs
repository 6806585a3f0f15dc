//! What was sent, answered and run, with times since the start of the traffic.

use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// How a run ended at a replica, and when.
#[derive(Clone, Debug)]
pub struct End {
    pub replica: String,
    pub how: String,
    pub at: Instant,
}

pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
    ends: Mutex<HashMap<String, Vec<End>>>,
    arrived: Mutex<HashSet<String>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        Ok(Self {
            file,
            started_at: Instant::now(),
            ends: Mutex::default(),
            arrived: Mutex::default(),
        })
    }

    pub fn line(&self, text: &str) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("not poisoned");
        writeln!(file, "{seconds:8.3} s  {text}").expect("a writable file");
    }

    /// Records that a request has reached a replica.
    pub fn arrived(&self, call: &str, replica: &str) {
        self.line(&format!("{call}: reaches {replica}"));
        self.arrived.lock().expect("not poisoned").insert(call.to_owned());
    }

    /// Returns true if a request has reached a replica.
    pub fn has_arrived(&self, call: &str) -> bool {
        self.arrived.lock().expect("not poisoned").contains(call)
    }

    /// Records the end of a run at a replica.
    pub fn ended(&self, call: &str, replica: &str, how: &str) {
        self.line(&format!("{call}: its run at {replica} ends: {how}"));
        let end = End { replica: replica.to_owned(), how: how.to_owned(), at: Instant::now() };
        self.ends.lock().expect("not poisoned").entry(call.to_owned()).or_default().push(end);
    }

    /// Returns the ends of the runs of a request.
    pub fn ends(&self, call: &str) -> Vec<End> {
        self.ends.lock().expect("not poisoned").get(call).cloned().unwrap_or_default()
    }
}
