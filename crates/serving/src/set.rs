//! A verified version with its lookups.

use std::collections::HashMap;
use std::time::Duration;

use camphorloft_config::finding::Findings;
use camphorloft_types::prelude::*;
use cranelift_entity::PrimaryMap;

use crate::limits::ClientLimits;
use crate::raw::RawServing;
use crate::route::Route;
use crate::service::Service;
use crate::verify::verify;

/// Error for a request that cannot be routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// No route matches the authority and the path.
    NoRoute,
    /// The route requires a key, and the request has none or an unknown one.
    NoKey,
}

/// A verified organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Name, which is sent to endpoints.
    pub name: OrganisationName,
    /// Priority that overrides the priority of the route.
    pub priority: Option<u8>,
}

/// A verified version of the serving configuration.
#[derive(Clone, Debug)]
pub struct ServingSet {
    /// Version.
    pub version: ConfigVersion,
    /// Routes.
    pub routes: PrimaryMap<RouteIx, Route>,
    /// Services.
    pub services: PrimaryMap<ServiceIx, Service>,
    /// Organisations.
    pub organisations: PrimaryMap<OrganisationIx, Organisation>,
    /// Limits on client requests and connections.
    pub limits: ClientLimits,
    /// Routes by authority, longest prefix first.
    pub(crate) by_authority: HashMap<Box<str>, Vec<RouteIx>>,
    pub(crate) by_key: HashMap<Box<str>, OrganisationIx>,
}

impl ServingSet {
    /// Returns the route of the authority with the longest prefix that matches the path.
    pub fn route(&self, authority: &str, path: &str) -> Option<RouteIx> {
        let lower = authority.to_ascii_lowercase();
        let routes = self.by_authority.get(lower.as_str())?;
        routes.iter().copied().find(|route| path.starts_with(&*self.routes[*route].prefix))
    }

    /// Returns the shortest target for pauses between events on the routes of a service, if any has one.
    pub fn gap_target(&self, service: ServiceIx) -> Option<Duration> {
        let routes = self.routes.values();
        let of_service =
            routes.filter(|route| route.targets.iter().any(|target| target.service == service));
        of_service.map(|route| route.gap_objective).filter(|target| !target.is_zero()).min()
    }

    /// Returns the organisation that a key belongs to.
    pub fn organisation(&self, key: &str) -> Option<OrganisationIx> {
        self.by_key.get(key).copied()
    }

    /// Finds the route of a request and the organisation of its key.
    ///
    /// # Errors
    ///
    /// Returns [`RouteError`] when no route matches, or when the route requires a key and the
    /// request has none or an unknown one.
    pub fn resolve(
        &self,
        authority: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(RouteIx, Option<OrganisationIx>), RouteError> {
        let route = self.route(authority, path).ok_or(RouteError::NoRoute)?;
        let organisation = key.and_then(|key| self.organisation(key));
        let open = self.routes[route].public || self.organisations.is_empty();
        if organisation.is_none() && !open {
            return Err(RouteError::NoKey);
        }
        Ok((route, organisation))
    }
}

impl TryFrom<RawServing> for ServingSet {
    type Error = Findings;

    fn try_from(raw: RawServing) -> Result<Self, Self::Error> {
        verify(&raw)
    }
}
