//! Updates the core when the configuration, the live hosts or the loaded models change.

use std::sync::{Arc, PoisonError};
use std::time::Instant;

use camphorloft_config::checked::CheckedRoute;
use camphorloft_decide::endpoint_view::Distance;
use camphorloft_decide::model_placement::{ModelSwitch, Replica};
use camphorloft_decide::policy_settings::ObjectiveWeights;
use camphorloft_gateway::control::{Invariant, ServingSet};
use camphorloft_membership::Member;
use camphorloft_types::prelude::*;
use slog::info;

use crate::core::Core;
use crate::core_thread::{PlannedSwitch, PolledEndpoint};
use crate::registry::RegisteredEndpoint;

impl Core {
    /// Updates the other live hosts, which determine the endpoints that this host places on.
    pub(crate) fn update_live_hosts(&mut self, others: &[Member]) {
        self.subset.set_live(others);
        self.decider.set_sharing_hosts(self.subset.hosts_per_endpoint());
        self.decider.set_receives_peer_placements(self.subset.is_small());
        self.update_polled();
        if let Some(serving) = self.serving.clone() {
            self.configure_routes(&serving);
        }
    }

    pub(crate) fn configure_routes(&mut self, serving: &ServingSet) {
        for (_, route) in serving.set.routes.iter() {
            self.configure_route(serving, route);
        }
    }

    /// Puts a version into force.
    pub(crate) fn configure(&mut self, serving: Arc<ServingSet>, source: &str) {
        let before = self.serving.as_ref().map_or(ConfigVersion(0), |serving| serving.version);
        if serving.version < before {
            let detail = format!("version {} follows {before}", serving.version);
            self.setup.shared.record_violation(
                &self.setup.log,
                Invariant::ConfigMonotonic,
                &detail,
            );
            return;
        }
        self.configure_endpoints(&serving);
        for (_, organisation) in serving.set.organisations.iter() {
            let ix = self.registry.organisations.intern(&organisation.name);
            self.decider.set_weight(ix, organisation.weight);
        }
        self.configure_routes(&serving);
        info!(self.setup.log, "configuration in force";
            "version" => %serving.version, "source" => source);
        self.setup.shared.metrics.config_version.set(serving.version.0 as i64);
        self.serving = Some(serving);
    }

    pub(crate) fn configure_endpoints(&mut self, serving: &ServingSet) {
        for endpoint in &mut self.registry.endpoints {
            endpoint.removed = true;
        }
        for (_, endpoint) in serving.set.endpoints.iter() {
            let ix = match self.registry.endpoint_ix(&endpoint.name) {
                Some(ix) => ix,
                None => {
                    let distance = self.distance(&endpoint.object.region, &endpoint.object.zone);
                    let object = &endpoint.object;
                    let (kv, sequences) = (object.kv_tokens.0, object.max_sequences);
                    let ix = self.decider.add_endpoint(kv, sequences, distance);
                    self.registry.add_endpoint(ix, &endpoint.name, object);
                    ix
                }
            };
            let registered = &mut self.registry.endpoints[ix.as_u32() as usize];
            registered.removed = false;
            registered.addr = endpoint.object.address;
            registered.checks_fencing = endpoint.object.checks_fencing;
            registered.allowed = endpoint.object.models.clone();
            let all = endpoint.object.models.len();
            registered.max_models = endpoint.object.max_models.unwrap_or(all);
        }
        self.update_polled();
        self.update_draining();
    }

    /// Returns true when this host places generations on an endpoint.
    pub(crate) fn is_in_subset(&self, endpoint: &RegisteredEndpoint) -> bool {
        self.subset.includes(&endpoint.name, &endpoint.region)
    }

    /// Updates the endpoints that the poller reads.
    pub(crate) fn update_polled(&self) {
        let present = self.registry.endpoints.iter().filter(|endpoint| !endpoint.removed);
        let in_subset = present.filter(|endpoint| self.is_in_subset(endpoint));
        let polled =
            in_subset.map(|endpoint| PolledEndpoint { ix: endpoint.ix, addr: endpoint.addr });
        *self.setup.polled.lock().unwrap_or_else(PoisonError::into_inner) = polled.collect();
    }

    /// Marks the endpoints that receive no new work in the decider.
    pub(crate) fn update_draining(&mut self) {
        for endpoint in &self.registry.endpoints {
            let listed = self.draining_addresses.contains(&endpoint.addr.to_string());
            self.decider.endpoint_mut(endpoint.ix).listed_draining = endpoint.removed || listed;
        }
    }

    pub(crate) fn configure_route(&mut self, serving: &ServingSet, route: &CheckedRoute) {
        let names = route.endpoints.iter().map(|ix| &serving.set.endpoints[*ix].name);
        let known = names.filter_map(|name| self.registry.endpoint_ix(name));
        let serves = |ix: &EndpointIx| {
            let endpoint = self.registry.endpoint(*ix);
            endpoint.serves(&route.model) && self.is_in_subset(endpoint)
        };
        let endpoints = known.filter(serves).collect();
        let weights = ObjectiveWeights {
            stall: route.objective.stall as f32,
            preemption: route.objective.preemption as f32,
            gap: route.objective.gap as f32,
        };
        let ix = self.registry.routes.intern(&route.name);
        self.decider.set_route(ix, endpoints, weights);
    }

    pub(crate) fn distance(&self, region: &Region, zone: &AvailabilityZone) -> Distance {
        if *region != self.setup.settings.region {
            return Distance::Remote;
        }
        if *zone == self.setup.settings.zone { Distance::Zone } else { Distance::Region }
    }

    /// Records the models that an endpoint has loaded. A change also changes the endpoints of the
    /// routes.
    pub(crate) fn record_loaded_models(&mut self, endpoint: EndpointIx, models: &[String]) {
        let loaded: Vec<ModelName> = models.iter().filter_map(|name| name.parse().ok()).collect();
        let registered = &mut self.registry.endpoints[endpoint.as_u32() as usize];
        if registered.loaded.as_ref() == Some(&loaded) {
            return;
        }
        registered.loaded = Some(loaded);
        if let Some(serving) = self.serving.clone() {
            self.configure_routes(&serving);
        }
    }

    /// Plans model switches on the engines of this region that cannot hold all of their allowed
    /// models at once.
    pub(crate) fn plan_models(&mut self, now: Instant) -> Vec<PlannedSwitch> {
        let mut replicas = Vec::new();
        for endpoint in &self.registry.endpoints {
            let view = self.decider.endpoint(endpoint.ix);
            let local = view.distance < Distance::Remote;
            let partial = endpoint.max_models < endpoint.allowed.len();
            let Some(loaded) = endpoint.loaded.clone().filter(|_| local && partial) else {
                continue;
            };
            if view.is_usable(now) {
                replicas.push(Replica {
                    endpoint: endpoint.ix,
                    allowed: endpoint.allowed.clone(),
                    loaded,
                    max_models: endpoint.max_models,
                    running: view.running(),
                });
            }
        }
        if replicas.is_empty() {
            return Vec::new();
        }
        let switches = self.planner.plan(&replicas, now);
        switches.into_iter().map(|switch| self.planned_switch(switch)).collect()
    }

    pub(crate) fn planned_switch(&self, switch: ModelSwitch) -> PlannedSwitch {
        let endpoint = self.registry.endpoint(switch.endpoint);
        PlannedSwitch {
            endpoint: endpoint.name.clone(),
            addr: endpoint.addr,
            checks_fencing: endpoint.checks_fencing,
            unload: switch.unload,
            load: switch.load,
        }
    }
}
