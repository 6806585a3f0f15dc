//! The typed form of each kind of object, as it stands in JSON.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;

use camphorloft_types::prelude::*;

/// A model.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Longest output of one generation, in tokens.
    pub max_output_tokens: TokenCount,
}

/// An adapter of a model.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Model that the adapter changes.
    pub model: ModelName,
}

/// Sequences that an engine runs at a time when its object does not say.
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
    /// Sequences that the engine runs at a time.
    #[serde(default = "default_max_sequences")]
    pub max_sequences: u32,
    /// Models that the engine serves or may load.
    pub models: Vec<ModelName>,
    /// Models that the engine holds at a time; all of them when absent.
    #[serde(default)]
    pub max_models: Option<usize>,
    /// True when the engine refuses an order with an old fencing number.
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
    /// Weight of stall time.
    pub stall: f64,
    /// Weight of preemptions.
    pub preemption: f64,
    /// Weight of tail latency between tokens.
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
    /// Shed first.
    Low,
    /// The default.
    #[default]
    Normal,
    /// Shed last.
    High,
}

/// A route.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Model that answers.
    pub model: ModelName,
    /// Adapter of the model, if any.
    #[serde(default)]
    pub adapter: Option<AdapterName>,
    /// Pools whose endpoints may run the request.
    pub pools: Vec<PoolName>,
    /// Weights for placement.
    #[serde(default)]
    pub objective: Option<ObjectiveName>,
    /// Scheduling class.
    #[serde(default)]
    pub priority: Priority,
    /// Organisations that may use the route.
    pub organisations: Vec<OrganisationName>,
}

/// A call of a plain service that is idempotent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdempotentCall {
    /// HTTP method in capitals.
    pub method: String,
    /// Prefix of the path within the service.
    pub path_prefix: String,
}

/// A plain service beside the engines.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Addresses of the replicas.
    pub endpoints: Vec<SocketAddr>,
    /// Calls that may be repeated. Every other call runs at most once.
    #[serde(default)]
    pub idempotent: Vec<IdempotentCall>,
    /// Organisations that may use the service.
    pub organisations: Vec<OrganisationName>,
}

impl Service {
    /// Returns true when the call may be repeated.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        self.idempotent.iter().any(|c| c.method == method && path.starts_with(&c.path_prefix))
    }
}
