//! Ends the processes that a run started if it takes too long.

use std::process::Command;
use std::sync::Mutex;
use std::thread::{self, sleep};
use std::time::Duration;

/// Time that a run may take.
const MAX_TIME: Duration = Duration::from_secs(112);

static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Records a process that the run started.
pub fn record_started(id: u32) {
    STARTED.lock().expect("no panic").push(id);
}

/// Removes a process that has ended.
pub fn record_ended(id: u32) {
    STARTED.lock().expect("no panic").retain(|known| *known != id);
}

/// Ends what was started, and the run with it, once its time is over.
pub fn start() {
    thread::spawn(|| {
        sleep(MAX_TIME);
        for id in STARTED.lock().expect("no panic").iter() {
            // The process may end by itself meanwhile.
            let _ = Command::new("sh").args(["-c", &format!("kill -KILL {id}")]).status();
        }
        println!("the run took too long");
        std::process::exit(2);
    });
}
