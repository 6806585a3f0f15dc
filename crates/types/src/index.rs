//! Dense indices of endpoints, organisations, routes and services. The table that assigns an index
//! determines how long it is valid: an object set for one version, other tables across versions.

use cranelift_entity::entity_impl;

/// Index of an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointIx(u32);
entity_impl!(EndpointIx, "endpoint");

/// Index of an organisation.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrganisationIx(u32);
entity_impl!(OrganisationIx, "organisation");

/// Index of a route.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteIx(u32);
entity_impl!(RouteIx, "route");

/// Index of a service.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceIx(u32);
entity_impl!(ServiceIx, "service");
