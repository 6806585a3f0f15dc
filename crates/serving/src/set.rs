//! A verified version with its lookups.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use camphorloft_config::finding::Findings;
use camphorloft_types::prelude::*;
use cranelift_entity::PrimaryMap;

use crate::limits::ClientLimits;
use crate::raw::RawServing;
use crate::residency::Residency;
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
    /// Regions in which its requests may be processed.
    pub residency: Residency,
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
    /// What an operator should correct although the version can be applied.
    pub warnings: Findings,
    /// Routes by authority, longest prefix first.
    pub(crate) by_authority: HashMap<Box<str>, Vec<RouteIx>>,
    pub(crate) by_key: HashMap<Box<str>, OrganisationIx>,
    /// The restricted routes. Where routes share a name, each restriction applies.
    pub(crate) restricted_routes: HashMap<RouteName, Residency>,
    /// The restricted organisations, likewise.
    pub(crate) restricted_organisations: HashMap<OrganisationName, Residency>,
}

impl ServingSet {
    /// Returns the route of the authority with the longest prefix that matches the path.
    pub fn route(&self, authority: &str, path: &str) -> Option<RouteIx> {
        let lower = authority.to_ascii_lowercase();
        let routes = self.by_authority.get(lower.as_str())?;
        routes.iter().copied().find(|route| path.starts_with(&*self.routes[*route].prefix))
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

    /// Returns the regions in which the requests of an organisation to a route may be processed.
    pub fn residency(&self, route: RouteIx, organisation: Option<OrganisationIx>) -> Residency {
        let route = &self.routes[route].residency;
        match organisation {
            Some(organisation) => route.intersection(&self.organisations[organisation].residency),
            None => route.clone(),
        }
    }

    /// Returns the same by name, for requests that were routed under another version. A name that the
    /// version does not contain is not restricted by it.
    pub fn residency_by_name(
        &self,
        route: &RouteName,
        organisation: Option<&OrganisationName>,
    ) -> Residency {
        let route = self.restricted_routes.get(route);
        let organisation = organisation.and_then(|name| self.restricted_organisations.get(name));
        let (route, organisation) = (route.unwrap_or_default(), organisation.unwrap_or_default());
        route.intersection(organisation)
    }

    /// Returns the routes and organisations that have no allowed region in common.
    pub fn residency_conflicts(&self) -> impl Iterator<Item = (&Route, &Organisation)> {
        // A version may contain thousands of each, and few different restrictions.
        let mut restricted: BTreeMap<&Residency, Vec<&Organisation>> = BTreeMap::new();
        for organisation in self.organisations.values() {
            restricted.entry(&organisation.residency).or_default().push(organisation);
        }
        let restricted: Vec<_> = restricted.into_iter().collect();
        self.routes.values().flat_map(move |route| {
            let conflicting = restricted.iter().filter(|(of, _)| route.residency.excludes(of));
            let organisations = conflicting.flat_map(|(_, organisations)| organisations);
            organisations.map(|of| (route, *of)).collect::<Vec<_>>()
        })
    }

    /// Returns the regions that routes and organisations name, in order.
    pub fn named_regions(&self) -> BTreeSet<&Region> {
        let routes = self.routes.values().map(|route| &route.residency);
        let organisations = self.organisations.values().map(|organisation| &organisation.residency);
        routes.chain(organisations).flat_map(Residency::regions).collect()
    }
}

impl TryFrom<RawServing> for ServingSet {
    type Error = Findings;

    fn try_from(raw: RawServing) -> Result<Self, Self::Error> {
        verify(&raw)
    }
}
