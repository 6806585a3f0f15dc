//! The typed form of each kind of object, as deserialized from JSON.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;

use camphorloft_types::prelude::*;

/// A model.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Maximum output of a generation, in tokens.
    pub max_output_tokens: TokenCount,
}

/// An adapter of a model.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Model that the adapter applies to.
    pub model: ModelName,
}

/// Default for the maximum number of sequences that an engine runs concurrently.
const DEFAULT_MAX_SEQUENCES: u32 = 96;

fn default_max_sequences() -> u32 {
    DEFAULT_MAX_SEQUENCES
}

/// One endpoint of a pool.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Region of the engine.
    pub region: Region,
    /// Availability zone of the engine.
    pub zone: AvailabilityZone,
    /// Capacity of the KV cache, in tokens.
    pub kv_tokens: TokenCount,
    /// Maximum number of sequences that the engine runs concurrently.
    #[serde(default = "default_max_sequences")]
    pub max_sequences: u32,
    /// Models that the engine serves or may load.
    pub models: Vec<ModelName>,
    /// Maximum number of models loaded at the same time. If absent, all models may be loaded.
    #[serde(default)]
    pub max_models: Option<usize>,
    /// True when the engine rejects orders with an old fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// A pool of endpoints.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Endpoints of the pool.
    pub endpoints: BTreeMap<EndpointName, Endpoint>,
}

/// Weights for the placement policy.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Weight of the stall time.
    pub stall: f64,
    /// Weight of preemptions.
    pub preemption: f64,
    /// Weight of the tail latency between tokens.
    pub gap: f64,
}

impl Default for Objective {
    fn default() -> Self {
        Self { stall: 1.0, preemption: 1.0, gap: 1.0 }
    }
}

/// An organisation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Hash of the key, 64 hexadecimal digits.
    pub key_hash: String,
    /// Share of capacity relative to other organisations.
    pub weight: Weight,
}

/// Scheduling class of a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Requests are shed first.
    Low,
    /// The default.
    #[default]
    Normal,
    /// Requests are shed last.
    High,
}

/// A route.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Model that runs the requests.
    pub model: ModelName,
    /// Adapter of the model, if any.
    #[serde(default)]
    pub adapter: Option<AdapterName>,
    /// Pools whose endpoints may run the requests.
    pub pools: Vec<PoolName>,
    /// Objective with the weights for the placement policy.
    #[serde(default)]
    pub objective: Option<ObjectiveName>,
    /// Scheduling class.
    #[serde(default)]
    pub priority: Priority,
    /// Organisations that may use the route.
    pub organisations: Vec<OrganisationName>,
}

/// An idempotent call of a plain service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdempotentCall {
    /// HTTP method, in upper case.
    pub method: String,
    /// Prefix of the path within the service.
    pub path_prefix: String,
}

/// A plain service, whose endpoints are not engines.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Addresses of the replicas.
    pub endpoints: Vec<SocketAddr>,
    /// Calls that may be retried. Every other call runs at most once.
    #[serde(default)]
    pub idempotent: Vec<IdempotentCall>,
    /// Organisations that may use the service.
    pub organisations: Vec<OrganisationName>,
}

impl Service {
    /// Returns true when the call may be retried.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        self.idempotent.iter().any(|c| c.method == method && path.starts_with(&c.path_prefix))
    }
}
