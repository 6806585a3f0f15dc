//! Checks a whole object set and collects every finding.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::str::FromStr;

use camphorloft_types::prelude::*;
use serde::de::DeserializeOwned;

use crate::checked::{CheckedEndpoint, CheckedOrganisation, CheckedRoute, CheckedSet};
use crate::finding::Findings;
use crate::key::Kind;
use crate::object::{Adapter, Model, Objective, Organisation, Pool, Route, Service};
use crate::org_key::KeyHash;
use crate::raw::RawSet;

/// Typed objects with unresolved references, and the results so far.
struct Verifier {
    models: BTreeMap<ModelName, Model>,
    adapters: BTreeMap<AdapterName, Adapter>,
    pools: BTreeMap<PoolName, Pool>,
    objectives: BTreeMap<ObjectiveName, Objective>,
    organisations: BTreeMap<OrganisationName, Organisation>,
    routes: BTreeMap<RouteName, Route>,
    services: BTreeMap<ServiceName, Service>,
    findings: Findings,
    set: CheckedSet,
}

/// Checks an object set as a whole.
///
/// # Errors
///
/// Returns findings for all malformed objects, dangling references and contradictions.
///
/// ```
/// use camphorloft_config::{verify, RawSet};
/// let raw = RawSet::parse(r#"{"adapters": {"a": {"model": "missing"}}}"#).unwrap();
/// let findings = verify(&raw).unwrap_err();
/// assert_eq!(findings.0[0].path, "/adapters/a/model");
/// ```
pub fn verify(raw: &RawSet) -> Result<CheckedSet, Findings> {
    let mut findings = Findings::default();
    let mut verifier = Verifier {
        models: parse_objects(raw, Kind::Model, &mut findings),
        adapters: parse_objects(raw, Kind::Adapter, &mut findings),
        pools: parse_objects(raw, Kind::Pool, &mut findings),
        objectives: parse_objects(raw, Kind::Objective, &mut findings),
        organisations: parse_objects(raw, Kind::Organisation, &mut findings),
        routes: parse_objects(raw, Kind::Route, &mut findings),
        services: parse_objects(raw, Kind::Service, &mut findings),
        findings,
        set: CheckedSet::default(),
    };
    verifier.check_adapters();
    verifier.check_objectives();
    verifier.check_pools();
    verifier.check_organisations();
    verifier.check_routes();
    verifier.check_services();
    verifier.finish()
}

/// Deserializes every object of a kind. A malformed object is reported and omitted.
fn parse_objects<Name, Object>(
    raw: &RawSet,
    kind: Kind,
    findings: &mut Findings,
) -> BTreeMap<Name, Object>
where
    Name: FromStr + Ord,
    Name::Err: Display,
    Object: DeserializeOwned,
{
    let mut objects = BTreeMap::new();
    for (key, value) in raw.objects.iter().filter(|(key, _)| key.kind == kind) {
        let name = key.name.parse::<Name>();
        if let Err(err) = &name {
            findings.push(format!("/{key}"), err.to_string(), "rename the object");
        }
        let object = serde_path_to_error::deserialize::<_, Object>(value);
        if let Err(err) = &object {
            let field = err.path().to_string().replace('.', "/");
            findings.push(format!("/{key}/{field}"), err.inner().to_string(), "correct the value");
        }
        if let (Ok(name), Ok(object)) = (name, object) {
            objects.insert(name, object);
        }
    }
    objects
}

impl Verifier {
    fn check_adapters(&mut self) {
        for (name, adapter) in &self.adapters {
            if !self.models.contains_key(&adapter.model) {
                let path = format!("/adapters/{name}/model");
                push_missing(&mut self.findings, path, "model", &adapter.model);
            }
        }
    }

    fn check_objectives(&mut self) {
        for (name, objective) in &self.objectives {
            let weights = [objective.stall, objective.preemption, objective.gap];
            let valid = weights.iter().all(|w| w.is_finite() && *w >= 0.0);
            if !valid || weights.iter().sum::<f64>() <= 0.0 {
                self.findings.push(
                    format!("/objectives/{name}"),
                    "the weights are negative, not finite or all zero",
                    "use weights of at least 0, with at least one above 0",
                );
            }
        }
    }

    fn check_pools(&mut self) {
        let mut names = BTreeMap::new();
        let mut addresses = BTreeMap::new();
        for (pool_name, pool) in &self.pools {
            let pool_path = format!("/pools/{pool_name}/endpoints");
            if pool.endpoints.is_empty() {
                self.findings.push(pool_path.clone(), "the pool is empty", "add an endpoint");
            }
            for (name, endpoint) in &pool.endpoints {
                let path = format!("{pool_path}/{name}");
                if let Some(other) = names.insert(name.clone(), path.clone()) {
                    let what = format!("the endpoint name is also used at {other}");
                    self.findings.push(path.clone(), what, "rename one of them");
                }
                if let Some(other) = addresses.insert(endpoint.address, path.clone()) {
                    let what = format!("{} is also the address of {other}", endpoint.address);
                    self.findings.push(format!("{path}/address"), what, "correct one of them");
                }
                if endpoint.kv_tokens.0 == 0 {
                    let kv_path = format!("{path}/kv_tokens");
                    self.findings.push(kv_path, "the capacity is 0", "set the capacity in tokens");
                }
                if endpoint.max_models == Some(0) {
                    let limit_path = format!("{path}/max_models");
                    self.findings.push(limit_path, "the engine loads no model", "allow at least 1");
                }
                for model in endpoint.models.iter().filter(|m| !self.models.contains_key(*m)) {
                    push_missing(&mut self.findings, format!("{path}/models"), "model", model);
                }
                let object = endpoint.clone();
                self.set.endpoints.push(CheckedEndpoint { name: name.clone(), object });
            }
        }
    }

    fn check_organisations(&mut self) {
        let mut hashes: BTreeMap<String, &OrganisationName> = BTreeMap::new();
        for (name, organisation) in &self.organisations {
            let path = format!("/organisations/{name}");
            let Some(key_hash) = KeyHash::from_hex(&organisation.key_hash) else {
                let remedy = "run `camphorloft key hash` and paste its output";
                let what = "key_hash is not 64 hexadecimal digits";
                self.findings.push(format!("{path}/key_hash"), what, remedy);
                continue;
            };
            if let Some(other) = hashes.insert(key_hash.to_hex(), name) {
                let what = format!("organisation {other} has the same key");
                self.findings.push(format!("{path}/key_hash"), what, "use separate keys");
            }
            if organisation.weight.0 == 0 {
                let remedy = "use a weight of at least 1";
                self.findings.push(format!("{path}/weight"), "the weight is 0", remedy);
            }
            let weight = organisation.weight;
            self.set.organisations.push(CheckedOrganisation {
                name: name.clone(),
                key_hash,
                weight,
            });
        }
    }

    fn check_routes(&mut self) {
        let routes = std::mem::take(&mut self.routes);
        for (name, route) in &routes {
            self.check_route(name, route);
        }
    }

    fn check_route(&mut self, name: &RouteName, route: &Route) {
        let path = format!("/routes/{name}");
        let max_output_tokens = match self.models.get(&route.model) {
            Some(model) => model.max_output_tokens,
            None => {
                push_missing(&mut self.findings, format!("{path}/model"), "model", &route.model);
                TokenCount(0)
            }
        };
        self.check_route_adapter(&path, route);
        let objective = self.route_objective(&path, route);
        let endpoints = self.route_endpoints(&path, route);
        let organisations = self.route_organisations(&path, &route.organisations);
        self.set.routes.push(CheckedRoute {
            name: name.clone(),
            model: route.model.clone(),
            adapter: route.adapter.clone(),
            max_output_tokens,
            priority: route.priority,
            objective,
            endpoints,
            organisations,
        });
    }

    fn check_route_adapter(&mut self, path: &str, route: &Route) {
        let Some(name) = &route.adapter else { return };
        match self.adapters.get(name) {
            None => push_missing(&mut self.findings, format!("{path}/adapter"), "adapter", name),
            Some(adapter) if adapter.model != route.model => {
                let what = format!(
                    "adapter {name} belongs to model {}, the route uses {}",
                    adapter.model, route.model
                );
                self.findings.push(format!("{path}/adapter"), what, "use one model for both");
            }
            Some(_) => {}
        }
    }

    fn route_objective(&mut self, path: &str, route: &Route) -> Objective {
        let Some(name) = &route.objective else { return Objective::default() };
        match self.objectives.get(name) {
            Some(objective) => *objective,
            None => {
                push_missing(&mut self.findings, format!("{path}/objective"), "objective", name);
                Objective::default()
            }
        }
    }

    fn route_endpoints(&mut self, path: &str, route: &Route) -> Vec<EndpointIx> {
        let mut names = BTreeSet::new();
        for pool_name in &route.pools {
            match self.pools.get(pool_name) {
                Some(pool) => names.extend(pool.endpoints.keys().cloned()),
                None => {
                    push_missing(&mut self.findings, format!("{path}/pools"), "pool", pool_name)
                }
            }
        }
        let serves = |e: &CheckedEndpoint| e.object.models.contains(&route.model);
        let candidates = self.set.endpoints.iter();
        let endpoints: Vec<EndpointIx> = candidates
            .filter(|(_, e)| names.contains(&e.name) && serves(e))
            .map(|(ix, _)| ix)
            .collect();
        if endpoints.is_empty() {
            let what = format!("no endpoint of its pools serves model {}", route.model);
            self.findings.push(format!("{path}/pools"), what, "add a pool that serves the model");
        }
        endpoints
    }

    fn route_organisations(
        &mut self,
        path: &str,
        names: &[OrganisationName],
    ) -> Vec<OrganisationIx> {
        let mut indices = Vec::new();
        for name in names {
            if !self.organisations.contains_key(name) {
                let names_path = format!("{path}/organisations");
                push_missing(&mut self.findings, names_path, "organisation", name);
            }
            let found = self.set.organisations.iter().find(|(_, o)| o.name == *name);
            indices.extend(found.map(|(ix, _)| ix));
        }
        indices
    }

    fn check_services(&mut self) {
        let services = std::mem::take(&mut self.services);
        for (name, service) in &services {
            let path = format!("/services/{name}");
            if service.endpoints.is_empty() {
                let endpoints_path = format!("{path}/endpoints");
                self.findings.push(endpoints_path, "the service has no endpoint", "add an address");
            }
            self.route_organisations(&path, &service.organisations);
        }
        self.set.services = services;
    }

    fn finish(mut self) -> Result<CheckedSet, Findings> {
        if !self.findings.is_empty() {
            return Err(self.findings);
        }
        self.set.models = self.models;
        self.set.adapters = self.adapters;
        Ok(self.set)
    }
}

fn push_missing<Name>(findings: &mut Findings, path: String, kind: &str, name: &Name)
where
    Name: Display,
{
    let remedy = format!("define {kind} {name} or refer to one that exists");
    findings.push(path, format!("{kind} {name} does not exist"), remedy);
}
