//! A pool of endpoints that routes send requests to.

use std::time::Duration;

use camphorloft_types::prelude::*;

/// Capabilities of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Maximum number of sequences that run concurrently.
    pub slots: u32,
    /// Capacity of the KV cache.
    pub kv_capacity: TokenCount,
    /// Size of the KV cache entry of one token.
    pub kv_bytes_per_token: ByteSize,
    /// Bandwidth of the link between two engines, in megabits per second.
    pub link_mbps: f64,
    /// True when running sequences can be migrated to another engine.
    pub supports_migration: bool,
    /// Number of tokens in each event of a stream; at least 1.
    pub tokens_per_event: u32,
}

impl EngineSpec {
    /// Returns the duration of a transfer of the KV cache of `tokens` between two engines.
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
    /// let duration = engine.transfer_duration(TokenCount(4_000));
    /// assert_eq!(duration.as_millis(), 220);
    /// ```
    pub fn transfer_duration(&self, tokens: TokenCount) -> Duration {
        const BITS_PER_BYTE: f64 = 8.0;
        const BITS_PER_MEGABIT: f64 = 1e6;
        /// Longer than any plan. Links without bandwidth would take infinitely long.
        const MAX_TRANSFER: Duration = Duration::from_secs(3600);
        let bits = f64::from(tokens.0) * self.kv_bytes_per_token.0 as f64 * BITS_PER_BYTE;
        let seconds = bits / (self.link_mbps * BITS_PER_MEGABIT);
        Duration::try_from_secs_f64(seconds).unwrap_or(MAX_TRANSFER).min(MAX_TRANSFER)
    }
}

/// Limit on the requests to an endpoint that has not warmed up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Time for which an endpoint is cold after a start.
    pub period: Duration,
    /// Rate of requests that a cold endpoint tolerates from all hosts together; above zero.
    pub rate: RequestRate,
}

/// A pool of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Capabilities of its engines, for a service that runs generations.
    pub engine: Option<EngineSpec>,
    /// Limit on the requests to a cold endpoint, if there is one.
    pub cold: Option<ColdLimit>,
    /// Maximum number of connections of an endpoint, if stated.
    pub max_connections: Option<u32>,
}
