//! The regions in which a request may be processed, under the version by which it was routed and the one
//! in force.

use std::rc::Rc;

use camphorloft_dispatch::prelude::*;
use camphorloft_dispatch::residency;
use camphorloft_serving::prelude::*;
use camphorloft_types::prelude::*;
use slog::warn;

use crate::call::Call;
use crate::context::{Host, State};

/// Maximum number of log lines about routes and organisations without a common region. A version may
/// contain thousands of either.
const MAX_CONFLICTS_LOGGED: usize = 16;

/// Returns the regions in which a call may be processed under the version by which it was routed and
/// the one in force.
pub(crate) fn residency_of(call: &Call, in_force: Option<&Rc<ServingSet>>) -> Residency {
    let own = call.serving.residency(call.route, call.organisation);
    match in_force {
        Some(in_force) if !Rc::ptr_eq(in_force, &call.serving) => {
            let route = &call.route().name;
            own.intersection(&in_force.residency_by_name(route, call.organisation_name()))
        }
        _ => own,
    }
}

impl<W, R> Host<W, R> {
    /// Returns the regions in which a call may be processed from now on. A newer version than the one by
    /// which it was routed can only restrict it further.
    pub fn residency(&self, call: &Call) -> Residency {
        residency_of(call, self.state.borrow().serving.as_ref())
    }

    /// Checks whether an endpoint of a service in an allowed region accepts new work.
    ///
    /// # Errors
    ///
    /// Returns [`ResidencyRefusal`] if there is none.
    pub fn check_residency(
        &self,
        service: &ServiceName,
        residency: &Residency,
    ) -> Result<(), ResidencyRefusal> {
        let mut guard = self.state.borrow_mut();
        let State { fleet, rng, .. } = &mut *guard;
        residency::check(fleet, service, residency, rng)
    }

    /// Returns true if a call may now be sent to an endpoint, through another host if given.
    pub fn allows_send(&self, call: &Call, ix: EndpointIx, via: Option<&HostName>) -> bool {
        let residency = self.residency(call);
        if residency.is_unrestricted() {
            return true;
        }
        let state = self.state.borrow();
        let region = state.fleet.get(ix).and_then(|endpoint| endpoint.region.as_ref());
        let is_allowed = |host: &HostName| {
            let mut hosts = state.peers.live().filter(|member| member.host == *host);
            hosts.any(|member| residency.allows(&member.region))
        };
        residency.allows_place(region) && via.is_none_or(is_allowed)
    }

    /// Warns of restrictions in a version that admit no endpoint, or not those that were meant.
    pub(crate) fn warn_of_restrictions(&self, set: &ServingSet) {
        let version = set.version;
        if !set.warnings.is_empty() {
            warn!(self.log, "version in force has findings"; "version" => %version,
                "findings" => %set.warnings);
        }
        let locality = &self.settings.locality;
        let unknown: Vec<&str> = set
            .named_regions()
            .into_iter()
            .filter(|region| !locality.has_region(region))
            .map(Region::as_str)
            .collect();
        if !unknown.is_empty() {
            warn!(self.log, "version names unknown regions"; "version" => %version,
                "regions" => unknown.join(","));
        }
        let mut conflicts = 0;
        for (route, organisation) in set.residency_conflicts() {
            conflicts += 1;
            if conflicts <= MAX_CONFLICTS_LOGGED {
                warn!(self.log, "route and organisation have no allowed region in common";
                    "version" => %version, "route" => %route.name,
                    "organisation" => %organisation.name, "route_regions" => %route.residency,
                    "organisation_regions" => %organisation.residency);
            }
        }
        self.metrics.residency_conflicts.set(i64::try_from(conflicts).unwrap_or(i64::MAX));
    }
}
