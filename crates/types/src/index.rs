//! Dense indices of configured objects, valid within one version of the object set.

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
