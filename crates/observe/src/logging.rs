//! Structured logs, with one JSON object per line.

use std::io;

use slog::{Drain, Level, Logger, o};
use slog_async::{Async, OverflowStrategy};

use crate::rate_limit::RateLimiter;

/// Maximum number of records that wait to be written. Further records are dropped, and their count
/// is logged.
const CHANNEL_RECORDS: usize = 8192;

/// Builds a logger that writes JSON lines to standard error.
pub fn stderr_logger(host: &str, level: Level) -> Logger {
    writer_logger(io::stderr(), host, level)
}

/// Builds a logger that writes JSON lines to standard output.
pub fn stdout_logger(host: &str, level: Level) -> Logger {
    writer_logger(io::stdout(), host, level)
}

/// Builds a logger that writes JSON lines to `writer`.
///
/// ```
/// let logger = camphorloft_observe::logging::writer_logger(std::io::sink(), "h", slog::Level::Info);
/// slog::info!(logger, "started");
/// ```
pub fn writer_logger<W>(writer: W, host: &str, level: Level) -> Logger
where
    W: io::Write + Send + 'static,
{
    let json = slog_json::Json::default(writer).fuse();
    let filtered = slog::LevelFilter::new(json, level).fuse();
    let drain = Async::new(filtered)
        .chan_size(CHANNEL_RECORDS)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    Logger::root(RateLimiter::new(drain).fuse(), o!("host" => host.to_owned()))
}
