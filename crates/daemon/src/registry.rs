//! Dense indices that are stable across versions of the object set.

use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;

use camphorloft_config::object::Endpoint;
use camphorloft_types::prelude::*;
use camphorloft_types::rendezvous;
use cranelift_entity::EntityRef;

/// Key of the digest by which hosts identify endpoints to each other.
pub const ENDPOINT_DIGEST_KEY: &str = "endpoint";

/// Assigns indices to names, in order of first use.
#[derive(Clone, Debug)]
pub struct Interner<Name, Ix>
where
    Name: Eq + Hash,
{
    indices: HashMap<Name, Ix>,
}

impl<Name, Ix> Default for Interner<Name, Ix>
where
    Name: Eq + Hash,
{
    fn default() -> Self {
        Self { indices: HashMap::new() }
    }
}

impl<Name, Ix> Interner<Name, Ix>
where
    Name: Clone + Eq + Hash,
    Ix: Copy + EntityRef,
{
    /// Returns the index of a name, if it has one.
    pub fn get(&self, name: &Name) -> Option<Ix> {
        self.indices.get(name).copied()
    }

    /// Returns the index of a name, and assigns the next one to a new name.
    pub fn intern(&mut self, name: &Name) -> Ix {
        if let Some(ix) = self.get(name) {
            return ix;
        }
        let ix = Ix::new(self.indices.len());
        self.indices.insert(name.clone(), ix);
        ix
    }
}

/// A configured endpoint with its stable index.
#[derive(Clone, Debug)]
pub struct RegisteredEndpoint {
    /// Stable index.
    pub ix: EndpointIx,
    /// Name.
    pub name: EndpointName,
    /// Address of the engine.
    pub addr: SocketAddr,
    /// Region of the engine.
    pub region: Region,
    /// True when the configuration no longer lists it.
    pub removed: bool,
    /// True when the engine checks fencing tokens.
    pub checks_fencing: bool,
    /// Models that it may load.
    pub allowed: Vec<ModelName>,
    /// Models that it may hold at a time.
    pub max_models: usize,
    /// Models that it has loaded, once reported.
    pub loaded: Option<Vec<ModelName>>,
}

impl RegisteredEndpoint {
    /// Returns true when it has a model loaded. Until its first report, every allowed model is
    /// assumed to be loaded.
    pub fn serves(&self, model: &ModelName) -> bool {
        self.loaded.as_ref().unwrap_or(&self.allowed).contains(model)
    }
}

/// Stable indices of endpoints, routes and organisations.
#[derive(Default)]
pub struct Registry {
    /// Endpoints in order of their indices.
    pub endpoints: Vec<RegisteredEndpoint>,
    by_name: HashMap<EndpointName, EndpointIx>,
    by_digest: HashMap<u64, EndpointIx>,
    /// Routes.
    pub routes: Interner<RouteName, RouteIx>,
    /// Organisations.
    pub organisations: Interner<OrganisationName, OrganisationIx>,
}

impl Registry {
    /// Returns an endpoint.
    pub fn endpoint(&self, ix: EndpointIx) -> &RegisteredEndpoint {
        &self.endpoints[ix.index()]
    }

    /// Returns the index of an endpoint by name.
    pub fn endpoint_ix(&self, name: &EndpointName) -> Option<EndpointIx> {
        self.by_name.get(name).copied()
    }

    /// Returns the index of an endpoint by the digest of its name.
    pub fn endpoint_by_digest(&self, digest: u64) -> Option<EndpointIx> {
        self.by_digest.get(&digest).copied()
    }

    /// Adds an endpoint, whose index must be the next one.
    pub fn add_endpoint(&mut self, ix: EndpointIx, name: &EndpointName, object: &Endpoint) {
        debug_assert_eq!(ix.index(), self.endpoints.len());
        self.by_name.insert(name.clone(), ix);
        self.by_digest.insert(rendezvous::score(ENDPOINT_DIGEST_KEY, name.as_str()), ix);
        self.endpoints.push(RegisteredEndpoint {
            ix,
            name: name.clone(),
            addr: object.address,
            region: object.region.clone(),
            removed: false,
            checks_fencing: object.checks_fencing,
            allowed: object.models.clone(),
            max_models: object.max_models.unwrap_or(object.models.len()),
            loaded: None,
        });
    }
}
