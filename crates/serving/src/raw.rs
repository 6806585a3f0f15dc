//! A version as an adapter decoded it, unchecked.

/// A version of everything that is served.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawServing {
    /// Version, ascending.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RawRoute>,
    /// Services.
    pub services: Vec<RawService>,
    /// Bounds on what callers may send.
    pub limits: RawLimits,
    /// Organisations; empty when callers need no key.
    pub organisations: Vec<RawOrganisation>,
}

/// A route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawRoute {
    /// Name.
    pub name: String,
    /// Host header that it answers to.
    pub authority: String,
    /// Beginning of the paths that it answers to.
    pub prefix: String,
    /// How a request of it may be repeated: `idempotent`, `at_most_once` or `stream`.
    pub retry_mode: String,
    /// For a stream: true when it may be resumed at another endpoint.
    pub resumable: bool,
    /// Longest time that a request may be kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer counts as on time, in milliseconds.
    pub latency_objective_ms: u64,
    /// Longest pause between the events of a stream that counts as on time, in milliseconds.
    pub gap_objective_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services and their weights.
    pub targets: Vec<RawTarget>,
    /// Endpoints to which one request may be sent.
    pub max_sends: u32,
    /// True when no key is needed.
    pub public: bool,
}

/// A service of a route, with the share of the route's requests that it takes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawTarget {
    /// Service.
    pub service: String,
    /// Weight relative to the other targets.
    pub weight: u32,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawService {
    /// Name.
    pub name: String,
    /// What its engines can do, for a service that generates.
    pub engine: Option<RawEngine>,
}

/// What the engines of a service can do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawEngine {
    /// Sequences that run at a time.
    pub slots: u32,
    /// Key-value memory, in tokens.
    pub kv_capacity_tokens: u32,
    /// Bytes of key-value memory per token.
    pub kv_bytes_per_token: u32,
    /// Speed of the link between engines, in megabits per second.
    pub link_mbps: f64,
    /// True when running sequences can be copied to another engine.
    pub supports_migration: bool,
    /// Tokens in an event of a stream.
    pub tokens_per_event: u32,
}

/// Bounds on what callers may send.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawLimits {
    /// Largest head of a request, in bytes.
    pub max_head_bytes: u64,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Longest time for a head to arrive, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// An organisation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawOrganisation {
    /// Name.
    pub name: String,
    /// Keys that its callers present.
    pub keys: Vec<String>,
    /// Rank that replaces the one of the route.
    pub priority: Option<u8>,
}
