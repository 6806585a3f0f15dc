//! A pool of endpoints that a route sends to.

use std::time::Duration;

use camphorloft_types::prelude::*;

/// What the engines of a service can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Sequences that run at a time.
    pub slots: u32,
    /// Key-value memory.
    pub kv_capacity: TokenCount,
    /// Key-value memory of one token.
    pub kv_bytes_per_token: ByteSize,
    /// Speed of the link between engines, in megabits per second.
    pub link_mbps: f64,
    /// True when running sequences can be copied to another engine.
    pub supports_migration: bool,
    /// Tokens in an event of a stream; at least 1.
    pub tokens_per_event: u32,
}

impl EngineSpec {
    /// Returns the time in which the memory of `tokens` crosses the link between two engines.
    ///
    /// ```
    /// use camphorloft_serving::prelude::EngineSpec;
    /// use camphorloft_types::prelude::*;
    /// let engine = EngineSpec {
    ///     slots: 24,
    ///     kv_capacity: TokenCount(34_304),
    ///     kv_bytes_per_token: ByteSize(35_136),
    ///     link_mbps: 5_100.0,
    ///     supports_migration: true,
    ///     tokens_per_event: 4,
    /// };
    /// let copy = engine.transfer_duration(TokenCount(4_000));
    /// assert_eq!(copy.as_millis(), 220);
    /// ```
    pub fn transfer_duration(&self, tokens: TokenCount) -> Duration {
        const BITS_PER_BYTE: f64 = 8.0;
        const BITS_PER_MEGABIT: f64 = 1e6;
        let bits = f64::from(tokens.0) * self.kv_bytes_per_token.0 as f64 * BITS_PER_BYTE;
        Duration::from_secs_f64(bits / (self.link_mbps * BITS_PER_MEGABIT))
    }
}

/// A pool of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// What its engines can do, for a service that generates.
    pub engine: Option<EngineSpec>,
}
