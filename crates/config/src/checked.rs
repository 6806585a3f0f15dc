//! The immutable, checked object set that the daemon uses.

use std::collections::BTreeMap;

use camphorloft_types::prelude::*;
use cranelift_entity::PrimaryMap;

use crate::object::{Adapter, Endpoint, Model, Objective, Priority, Service};
use crate::org_key::KeyHash;

/// A checked endpoint.
#[derive(Clone, Debug)]
pub struct CheckedEndpoint {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// Configured attributes.
    pub object: Endpoint,
}

/// A checked organisation.
#[derive(Clone, Debug)]
pub struct CheckedOrganisation {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Hash of its key.
    pub key_hash: KeyHash,
    /// Share of capacity relative to other organisations.
    pub weight: Weight,
}

/// A checked route with resolved references.
#[derive(Clone, Debug)]
pub struct CheckedRoute {
    /// Name of the route.
    pub name: RouteName,
    /// Model that runs the requests.
    pub model: ModelName,
    /// Adapter of the model, if any.
    pub adapter: Option<AdapterName>,
    /// Maximum output of a generation, in tokens.
    pub max_output_tokens: TokenCount,
    /// Scheduling class.
    pub priority: Priority,
    /// Weights for the placement policy.
    pub objective: Objective,
    /// Endpoints that may run the requests.
    pub endpoints: Vec<EndpointIx>,
    /// Organisations that may use the route.
    pub organisations: Vec<OrganisationIx>,
}

/// A checked object set, built by [`crate::verify()`].
#[derive(Clone, Debug, Default)]
pub struct CheckedSet {
    /// Endpoints of all pools, ordered by pool name and endpoint name.
    pub endpoints: PrimaryMap<EndpointIx, CheckedEndpoint>,
    /// Organisations.
    pub organisations: PrimaryMap<OrganisationIx, CheckedOrganisation>,
    /// Routes.
    pub routes: PrimaryMap<RouteIx, CheckedRoute>,
    /// Plain services.
    pub services: BTreeMap<ServiceName, Service>,
    /// Models.
    pub models: BTreeMap<ModelName, Model>,
    /// Adapters.
    pub adapters: BTreeMap<AdapterName, Adapter>,
}

impl CheckedSet {
    /// Returns the organisation that a key belongs to. Compares every hash, each in constant time.
    pub fn organisation_by_key(&self, key: &str) -> Option<OrganisationIx> {
        let hash = KeyHash::of(key);
        let mut found = None;
        for (ix, organisation) in self.organisations.iter() {
            if organisation.key_hash.matches(&hash) {
                found = Some(ix);
            }
        }
        found
    }

    /// Returns a route if the organisation may use it. The result does not distinguish a forbidden
    /// route from a missing one.
    pub fn route_for(&self, name: &str, organisation: OrganisationIx) -> Option<RouteIx> {
        let (ix, route) = self.routes.iter().find(|(_, route)| route.name.as_str() == name)?;
        route.organisations.contains(&organisation).then_some(ix)
    }

    /// Returns the endpoint with the given name.
    pub fn endpoint_by_name(&self, name: &EndpointName) -> Option<EndpointIx> {
        self.endpoints.iter().find(|(_, e)| e.name == *name).map(|(ix, _)| ix)
    }

    /// Returns a service if the organisation may use it.
    pub fn service_for(&self, name: &str, organisation: OrganisationIx) -> Option<&Service> {
        let service = self.services.get(&name.parse::<ServiceName>().ok()?)?;
        let owner = &self.organisations[organisation].name;
        service.organisations.contains(owner).then_some(service)
    }
}
