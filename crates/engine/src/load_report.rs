//! Load reports.

use serde::{Deserialize, Serialize};

/// A load report, as it stands in the answer to `GET /load`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// KV memory in use, in tokens.
    pub kv_used: u32,
    /// KV memory, in tokens.
    pub kv_tokens: u32,
    /// Sequences that decode.
    pub running: u32,
    /// Sequences that wait for memory.
    pub waiting: u32,
    /// Prompt tokens of the waiting sequences.
    pub waiting_tokens: u32,
    /// Preemptions since the start.
    pub preemptions: u64,
    /// True when the engine is about to leave.
    pub draining: bool,
    /// Models that are loaded.
    pub models: Vec<String>,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
    /// Distinguishes restarts of the engine.
    pub incarnation: u64,
}

/// Announcements of cached prefixes, as they stand in the answer to `GET /cache_events`.
///
/// Announcements arrive late and some are missing.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Position to ask for next.
    pub next: usize,
    /// Identities of prefixes that entered the cache.
    pub prefixes: Vec<u64>,
}
