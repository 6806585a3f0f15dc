//! Load reports and cache events.

use serde::{Deserialize, Serialize};

/// A load report, the body of the response to `GET /load`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// KV memory in use, in tokens.
    pub kv_used: u32,
    /// Capacity of the KV memory, in tokens.
    pub kv_tokens: u32,
    /// Sequences that are decoding.
    pub running: u32,
    /// Sequences that are waiting for memory.
    pub waiting: u32,
    /// Prompt tokens of the waiting sequences.
    pub waiting_tokens: u32,
    /// Preemptions since the engine started.
    pub preemptions: u64,
    /// True when the engine is draining.
    pub draining: bool,
    /// Models that are loaded.
    pub models: Vec<String>,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
    /// Value that differs after each restart of the engine.
    pub incarnation: u64,
}

/// Cache events, the body of the response to `GET /cache_events`.
///
/// They announce the prefixes that were added to the cache. They arrive late, and some are missing.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Position for the next request.
    pub next: usize,
    /// Identifiers of the prefixes that were added to the cache.
    pub prefixes: Vec<u64>,
}
