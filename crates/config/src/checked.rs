//! The immutable, checked object set that the daemon serves from.

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
    /// Attributes as configured.
    pub object: Endpoint,
}

/// A checked organisation.
#[derive(Clone, Debug)]
pub struct CheckedOrganisation {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Hash of its key.
    pub key_hash: KeyHash,
    /// Share of capacity.
    pub weight: Weight,
}

/// A checked route, its references resolved.
#[derive(Clone, Debug)]
pub struct CheckedRoute {
    /// Name of the route.
    pub name: RouteName,
    /// Model that answers.
    pub model: ModelName,
    /// Adapter of the model, if any.
    pub adapter: Option<AdapterName>,
    /// Longest output, in tokens.
    pub max_output_tokens: TokenCount,
    /// Scheduling class.
    pub priority: Priority,
    /// Weights for placement.
    pub objective: Objective,
    /// Endpoints that may run the request.
    pub endpoints: Vec<EndpointIx>,
    /// Organisations that may use the route.
    pub organisations: Vec<OrganisationIx>,
}

/// A checked object set. Built by [`crate::verify()`].
#[derive(Clone, Debug, Default)]
pub struct CheckedSet {
    /// Endpoints of all pools, in order of their names.
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
    /// Finds the organisation that holds a key. Compares every hash, in constant time each.
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

    /// Finds a route that the organisation may use. A forbidden route looks like a missing one.
    pub fn route_for(&self, name: &str, organisation: OrganisationIx) -> Option<RouteIx> {
        let (ix, route) = self.routes.iter().find(|(_, route)| route.name.as_str() == name)?;
        route.organisations.contains(&organisation).then_some(ix)
    }

    /// Finds an endpoint by name.
    pub fn endpoint_by_name(&self, name: &EndpointName) -> Option<EndpointIx> {
        self.endpoints.iter().find(|(_, e)| e.name == *name).map(|(ix, _)| ix)
    }

    /// Finds a service that the organisation may use.
    pub fn service_for(&self, name: &str, organisation: OrganisationIx) -> Option<&Service> {
        let service = self.services.get(&name.parse::<ServiceName>().ok()?)?;
        let owner = &self.organisations[organisation].name;
        service.organisations.contains(owner).then_some(service)
    }
}
