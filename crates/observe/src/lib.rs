//! Structured logs whose volume is bounded and which never block the process.
//!
//! - [`logging`]: JSON lines to a writer, from a thread of their own.
//! - [`bounded`]: drops lines beyond a rate and counts them.

pub mod bounded;
pub mod logging;
