//! Structured logs whose volume is bounded and which never block the process, and metrics.
//!
//! - [`logging`]: JSON lines to a writer, from a thread of their own.
//! - [`bounded`]: drops lines beyond a rate and counts them.
//! - [`metric_set`]: metrics in a registry of their own, as text.

pub mod bounded;
pub mod logging;
pub mod metric_set;
