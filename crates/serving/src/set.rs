//! A checked version with its lookups.

use std::collections::HashMap;

use camphorloft_config::finding::Findings;
use camphorloft_types::prelude::*;
use cranelift_entity::PrimaryMap;

use crate::limits::ClientLimits;
use crate::raw::RawServing;
use crate::route::Route;
use crate::service::Service;
use crate::verify::verify;

/// Why a request has no route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// No route answers to the authority and path.
    NoRoute,
    /// The route needs a key and none that is known was presented.
    NoKey,
}

/// An organisation as the relay sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Name, which endpoints are told.
    pub name: OrganisationName,
    /// Rank that replaces the one of the route.
    pub priority: Option<u8>,
}

/// A checked version.
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
    /// Bounds on what callers may send.
    pub limits: ClientLimits,
    /// Routes of an authority, the longest prefix first.
    pub(crate) by_authority: HashMap<Box<str>, Vec<RouteIx>>,
    pub(crate) by_key: HashMap<Box<str>, OrganisationIx>,
}

impl ServingSet {
    /// Returns the route with the longest prefix among those of the authority that begin the path.
    pub fn route(&self, authority: &str, path: &str) -> Option<RouteIx> {
        let lower = authority.to_ascii_lowercase();
        let routes = self.by_authority.get(lower.as_str())?;
        routes.iter().copied().find(|route| path.starts_with(&*self.routes[*route].prefix))
    }

    /// Returns the organisation that holds a key.
    pub fn organisation(&self, key: &str) -> Option<OrganisationIx> {
        self.by_key.get(key).copied()
    }

    /// Finds the route of a request and the organisation of its key.
    ///
    /// # Errors
    ///
    /// Returns [`RouteError`] when no route answers, or when the route needs a key that is missing.
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
