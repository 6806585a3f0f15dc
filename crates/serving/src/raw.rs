//! An unverified version of the serving configuration, as decoded by an adapter.

/// A version of the serving configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawServing {
    /// Version number; newer versions have larger numbers.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RawRoute>,
    /// Services.
    pub services: Vec<RawService>,
    /// Limits on client requests and connections.
    pub limits: RawLimits,
    /// Organisations. If empty, clients need no key.
    pub organisations: Vec<RawOrganisation>,
}

/// A route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawRoute {
    /// Name.
    pub name: String,
    /// Value of the Host header that the route matches.
    pub authority: String,
    /// Path prefix that the route matches.
    pub prefix: String,
    /// How its requests may be retried: `idempotent`, `at_most_once` or `stream`.
    pub retry_mode: String,
    /// True when a stream may be resumed on another endpoint.
    pub resumable: bool,
    /// Timeout of a request from its arrival, in milliseconds. Clients may set a shorter one.
    pub timeout_ms: u64,
    /// Target latency of a response, in milliseconds; for a stream, of its first event.
    pub latency_objective_ms: u64,
    /// Target for the longest pause between events of a stream, in milliseconds.
    pub gap_objective_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services that the route sends requests to, with their weights.
    pub targets: Vec<RawTarget>,
    /// Maximum number of endpoints that one request may be sent to.
    pub max_sends: u32,
    /// True when clients need no key.
    pub public: bool,
    /// Regions in which its requests may be processed. If empty, all are allowed.
    pub allowed_regions: Vec<String>,
}

/// A service of a route and its share of the route's requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawTarget {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other targets.
    pub weight: u32,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawService {
    /// Name.
    pub name: String,
    /// Capabilities of its engines, for a service that runs generations.
    pub engine: Option<RawEngine>,
    /// Time for which an endpoint is cold after a start, in seconds.
    pub cold_s: f64,
    /// Requests per second that a cold endpoint tolerates; 0 if there is no limit.
    pub cold_per_s: f64,
    /// Maximum number of connections of an endpoint; 0 if not stated.
    pub max_connections: u32,
}

/// Capabilities of the engines of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawEngine {
    /// Maximum number of sequences that run concurrently.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub kv_capacity_tokens: u32,
    /// Size of the KV cache entry of one token, in bytes.
    pub kv_bytes_per_token: u32,
    /// Bandwidth of the link between two engines, in megabits per second.
    pub link_mbps: f64,
    /// True when running sequences can be migrated to another engine.
    pub supports_migration: bool,
    /// Number of tokens in each event of a stream.
    pub tokens_per_event: u32,
}

/// Limits on client requests and connections.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: u64,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Timeout for receiving a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Idle time after which a connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// An organisation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawOrganisation {
    /// Name.
    pub name: String,
    /// Keys that authenticate its clients.
    pub keys: Vec<String>,
    /// Priority that overrides the priority of the route.
    pub priority: Option<u8>,
    /// Regions in which its requests may be processed. If empty, all are allowed.
    pub allowed_regions: Vec<String>,
}
