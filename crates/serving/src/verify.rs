//! Verifies a raw version and collects every finding.

use std::collections::HashMap;
use std::fmt::Display;
use std::hash::Hash;
use std::str::FromStr;
use std::time::Duration;

use camphorloft_config::finding::Findings;
use camphorloft_types::prelude::*;
use cranelift_entity::PrimaryMap;

use crate::limits::ClientLimits;
use crate::raw::{RawLimits, RawOrganisation, RawRoute, RawService, RawServing};
use crate::residency::Residency;
use crate::route::{RetryMode, Route, Target};
use crate::service::{ColdLimit, EngineSpec, Service};
use crate::set::{Organisation, ServingSet};

/// Verified objects and findings so far.
struct Verifier<'a> {
    raw: &'a RawServing,
    findings: Findings,
    warnings: Findings,
    services: PrimaryMap<ServiceIx, Service>,
    service_names: HashMap<&'a str, ServiceIx>,
    routes: PrimaryMap<RouteIx, Route>,
    organisations: PrimaryMap<OrganisationIx, Organisation>,
    by_key: HashMap<Box<str>, OrganisationIx>,
}

/// Verifies a raw version.
///
/// # Errors
///
/// Returns every finding with its path.
///
/// ```
/// use camphorloft_serving::raw::{RawRoute, RawServing};
/// use camphorloft_serving::verify::verify;
/// let raw = RawServing { routes: vec![RawRoute::default()], ..RawServing::default() };
/// let findings = verify(&raw).unwrap_err();
/// assert!(findings.0.iter().any(|finding| finding.path == "/routes/0/prefix"));
/// ```
pub fn verify(raw: &RawServing) -> Result<ServingSet, Findings> {
    verify_with_warnings(raw).0
}

/// Verifies a raw version. Returns its warnings also if it is rejected.
pub(crate) fn verify_with_warnings(raw: &RawServing) -> (Result<ServingSet, Findings>, Findings) {
    let mut verifier = Verifier {
        raw,
        findings: Findings::default(),
        warnings: Findings::default(),
        services: PrimaryMap::new(),
        service_names: HashMap::new(),
        routes: PrimaryMap::new(),
        organisations: PrimaryMap::new(),
        by_key: HashMap::new(),
    };
    verifier.check_services();
    verifier.check_routes();
    verifier.check_organisations();
    let limits = verifier.check_limits(&raw.limits);
    let warnings = verifier.warnings.clone();
    (verifier.finish(limits), warnings)
}

impl<'a> Verifier<'a> {
    fn parse<Name>(&mut self, path: String, text: &str) -> Option<Name>
    where
        Name: FromStr,
        Name::Err: Display,
    {
        match text.parse() {
            Ok(name) => Some(name),
            Err(err) => {
                self.findings.push(path, err.to_string(), "use a valid name");
                None
            }
        }
    }

    fn check_services(&mut self) {
        for (position, service) in self.raw.services.iter().enumerate() {
            let path = format!("/services/{position}");
            if self.service_names.contains_key(service.name.as_str()) {
                self.findings.push(format!("{path}/name"), "the name is duplicated", "rename one");
                continue;
            }
            if let Some(checked) = self.check_service(&path, service) {
                let ix = self.services.push(checked);
                self.service_names.insert(&service.name, ix);
            }
        }
    }

    fn check_service(&mut self, path: &str, raw: &RawService) -> Option<Service> {
        let name = self.parse(format!("{path}/name"), &raw.name)?;
        let engine = raw.engine.as_ref().map(|engine| EngineSpec {
            slots: engine.slots,
            kv_capacity: TokenCount(engine.kv_capacity_tokens),
            kv_bytes_per_token: ByteSize(u64::from(engine.kv_bytes_per_token)),
            link_mbps: engine.link_mbps,
            supports_migration: engine.supports_migration && engine.link_mbps > 0.0,
            tokens_per_event: engine.tokens_per_event.max(1),
        });
        let cold = self.check_cold_limit(path, raw);
        let max_connections = (raw.max_connections > 0).then_some(raw.max_connections);
        Some(Service { name, engine, cold, max_connections })
    }

    fn check_cold_limit(&mut self, path: &str, raw: &RawService) -> Option<ColdLimit> {
        /// Longest accepted time, in seconds. No endpoint takes a day to warm up.
        const MAX_COLD_SECONDS: f64 = 86_400.0;
        let is_time = (0.0..=MAX_COLD_SECONDS).contains(&raw.cold_s);
        if !is_time {
            let what = format!("not a time from 0 to {MAX_COLD_SECONDS} seconds: {}", raw.cold_s);
            self.findings.push(format!("{path}/cold_s"), what, "use a time within the range");
        }
        let rate = match RequestRate::try_from(raw.cold_per_s) {
            Ok(rate) => rate,
            Err(err) => {
                let remedy = "use a rate within the range, or 0 for no limit";
                self.findings.push(format!("{path}/cold_per_s"), err.to_string(), remedy);
                return None;
            }
        };
        let is_limited = is_time && rate > RequestRate::default();
        is_limited.then(|| ColdLimit { period: Duration::from_secs_f64(raw.cold_s), rate })
    }

    /// Returns the residency that a list of regions stands for. A name that no region can have is only
    /// warned of, since a version that is rejected would stop all other requests.
    fn check_residency(&mut self, path: &str, raw: &[String]) -> Residency {
        let (residency, malformed) = Residency::from_names(raw);
        for (position, err) in malformed {
            let what = format!("{:?} is not the name of a region: {err}", raw[position]);
            let remedy = "use the name of a region; no endpoint is allowed by this one";
            self.warnings.push(format!("{path}/allowed_regions/{position}"), what, remedy);
        }
        residency
    }

    fn check_routes(&mut self) {
        for (position, route) in self.raw.routes.iter().enumerate() {
            if let Some(checked) = self.check_route(&format!("/routes/{position}"), route) {
                self.routes.push(checked);
            }
        }
    }

    fn check_route(&mut self, path: &str, raw: &RawRoute) -> Option<Route> {
        let name = self.parse(format!("{path}/name"), &raw.name);
        if !raw.prefix.starts_with('/') || !raw.prefix.ends_with('/') {
            let remedy = "start and end it with a slash";
            self.findings.push(format!("{path}/prefix"), "not a path prefix", remedy);
        }
        if raw.timeout_ms == 0 {
            self.findings.push(format!("{path}/timeout"), "the timeout is zero", "increase it");
        }
        let retry_mode = self.check_retry_mode(path, raw);
        let targets = self.check_targets(path, raw);
        let residency = self.check_residency(path, &raw.allowed_regions);
        Some(Route {
            name: name?,
            authority: raw.authority.to_ascii_lowercase().into(),
            prefix: raw.prefix.as_str().into(),
            retry_mode: retry_mode?,
            timeout: Duration::from_millis(raw.timeout_ms),
            latency_objective: Duration::from_millis(raw.latency_objective_ms),
            gap_objective: Duration::from_millis(raw.gap_objective_ms),
            priority: raw.priority,
            targets: targets?,
            max_sends: raw.max_sends.max(1),
            public: raw.public,
            residency,
        })
    }

    fn check_retry_mode(&mut self, path: &str, raw: &RawRoute) -> Option<RetryMode> {
        match raw.retry_mode.as_str() {
            "idempotent" => Some(RetryMode::Idempotent),
            "at_most_once" => Some(RetryMode::AtMostOnce),
            "stream" => Some(RetryMode::Stream { resumable: raw.resumable }),
            other => {
                let what = format!("{other:?} is not a valid retry mode");
                let remedy = "use idempotent, at_most_once or stream";
                self.findings.push(format!("{path}/repeat"), what, remedy);
                None
            }
        }
    }

    fn check_targets(&mut self, path: &str, raw: &RawRoute) -> Option<Vec<Target>> {
        let mut targets = Vec::with_capacity(raw.targets.len());
        for (position, target) in raw.targets.iter().enumerate() {
            match self.service_names.get(target.service.as_str()) {
                Some(service) => {
                    targets.push(Target { service: *service, weight: Weight(target.weight) });
                }
                None => {
                    let what = format!("service {:?} does not exist", target.service);
                    let target_path = format!("{path}/targets/{position}");
                    self.findings.push(target_path, what, "define it or use another service");
                }
            }
        }
        if targets.iter().all(|target| target.weight.0 == 0) {
            let remedy = "add a service with a weight above zero";
            self.findings.push(format!("{path}/targets"), "no service receives requests", remedy);
            return None;
        }
        Some(targets)
    }

    fn check_organisations(&mut self) {
        for (position, organisation) in self.raw.organisations.iter().enumerate() {
            self.check_organisation(&format!("/organisations/{position}"), organisation);
        }
    }

    fn check_organisation(&mut self, path: &str, raw: &RawOrganisation) {
        let Some(name) = self.parse(format!("{path}/name"), &raw.name) else { return };
        let residency = self.check_residency(path, &raw.allowed_regions);
        let ix = self.organisations.push(Organisation { name, priority: raw.priority, residency });
        for (position, key) in raw.keys.iter().enumerate() {
            if self.by_key.insert(key.as_str().into(), ix).is_some_and(|other| other != ix) {
                let what = "another organisation has the same key";
                self.findings.push(format!("{path}/keys/{position}"), what, "issue a new key");
            }
        }
    }

    fn check_limits(&mut self, raw: &RawLimits) -> ClientLimits {
        let mut positive = |name: &str, value: u64| {
            if value == 0 {
                self.findings.push(format!("/limits/{name}"), "the limit is zero", "increase it");
            }
            value
        };
        ClientLimits {
            max_head: ByteSize(positive("max_head_bytes", raw.max_head_bytes)),
            max_body: ByteSize(positive("max_body_bytes", raw.max_body_bytes)),
            head_timeout: Duration::from_millis(positive("head_timeout_ms", raw.head_timeout_ms)),
            idle_timeout: Duration::from_millis(positive("idle_timeout_ms", raw.idle_timeout_ms)),
        }
    }

    fn finish(self, limits: ClientLimits) -> Result<ServingSet, Findings> {
        if !self.findings.is_empty() {
            return Err(self.findings);
        }
        let mut by_authority: HashMap<Box<str>, Vec<RouteIx>> = HashMap::new();
        for (ix, route) in self.routes.iter() {
            by_authority.entry(route.authority.clone()).or_default().push(ix);
        }
        for routes in by_authority.values_mut() {
            routes.sort_by_key(|ix| std::cmp::Reverse(self.routes[*ix].prefix.len()));
        }
        let mut restricted_routes: HashMap<RouteName, Residency> = HashMap::new();
        for route in self.routes.values() {
            restrict(&mut restricted_routes, &route.name, &route.residency);
        }
        let mut restricted_organisations: HashMap<OrganisationName, Residency> = HashMap::new();
        for organisation in self.organisations.values() {
            restrict(&mut restricted_organisations, &organisation.name, &organisation.residency);
        }
        Ok(ServingSet {
            version: ConfigVersion(self.raw.version),
            routes: self.routes,
            services: self.services,
            organisations: self.organisations,
            limits,
            warnings: self.warnings,
            by_authority,
            by_key: self.by_key,
            restricted_routes,
            restricted_organisations,
        })
    }
}

/// Adds a restriction to those known by name.
fn restrict<Name>(known: &mut HashMap<Name, Residency>, name: &Name, residency: &Residency)
where
    Name: Clone + Eq + Hash,
{
    if !residency.is_unrestricted() {
        let known = known.entry(name.clone()).or_default();
        *known = known.intersection(residency);
    }
}
