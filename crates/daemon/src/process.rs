//! Runs a host as a process: signals and exit codes.

use std::io;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::host::Host;

/// Exit code when the shutdown aborted a request in flight.
pub const EXIT_REQUESTS_ABORTED: u8 = 3;
/// Interval between two checks for a signal.
const SIGNAL_POLL: Duration = Duration::from_millis(100);

/// Waits for SIGTERM, SIGINT or an operator's drain request, then shuts down gracefully.
///
/// # Errors
///
/// Returns the error of registering the signal handlers.
pub fn run_until_drained(host: &Host) -> io::Result<ExitCode> {
    let terminate = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, terminate.clone())?;
    }
    while !terminate.load(Ordering::Relaxed) && !host.is_draining() {
        thread::sleep(SIGNAL_POLL);
    }
    let aborted = host.drain();
    Ok(if aborted > 0 { ExitCode::from(EXIT_REQUESTS_ABORTED) } else { ExitCode::SUCCESS })
}
