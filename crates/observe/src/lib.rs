//! Structured, rate-limited logs that never block the process, and metrics.
//!
//! - [`logging`]: JSON lines, written from a separate thread.
//! - [`rate_limit`]: drops log records above a rate limit and counts them.
//! - [`metric_set`]: metrics in a separate registry, exported as text.

pub mod logging;
pub mod metric_set;
pub mod rate_limit;
