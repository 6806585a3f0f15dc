//! Checks a proposed version before it is published.
//!
//! A host applies every version that [`crate::verify`] accepts. An operator also wants to know of entries
//! that never match and of limits that contradict each other, most of which are mistakes.

use std::collections::{BTreeSet, HashMap, HashSet};

use camphorloft_config::finding::Findings;
use camphorloft_types::prelude::*;

use crate::change::{Change, changes};
use crate::raw::{RawOrganisation, RawRoute, RawService, RawServing};
use crate::residency::Residency;
use crate::verify::verify_with_warnings;

/// Maximum number of organisations that one finding names.
const MAX_NAMES: usize = 5;

/// What the settings of the hosts add to a check.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckSettings {
    /// Regions of all zones.
    pub regions: BTreeSet<Region>,
    /// Retries added to the quota by each request.
    pub retry_ratio: f64,
    /// Retries allowed in a window in addition to those added by requests.
    pub retry_extra: f64,
}

/// Result of a check.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CheckReport {
    /// What must be corrected before the version is published.
    pub errors: Findings,
    /// What is probably a mistake.
    pub warnings: Findings,
    /// What differs from the version in force.
    pub changes: Vec<Change>,
}

/// A version and the findings so far.
struct Checker<'a> {
    raw: &'a RawServing,
    settings: Option<&'a CheckSettings>,
    report: CheckReport,
}

/// Checks a proposed version, and compares it with the one in force if that is given. Regions and the
/// retry quota are checked if the settings are given.
///
/// ```
/// use camphorloft_serving::check::check;
/// use camphorloft_serving::prelude::*;
/// let service = RawService { name: "fleet".to_owned(), cold_s: 1.0, ..RawService::default() };
/// let raw = RawServing { services: vec![service], ..RawServing::default() };
/// let report = check(&raw, None, None);
/// assert!(report.warnings.0.iter().any(|finding| finding.path == "/services/0/cold_per_s"));
/// ```
pub fn check(
    raw: &RawServing,
    in_force: Option<&RawServing>,
    settings: Option<&CheckSettings>,
) -> CheckReport {
    let (result, warnings) = verify_with_warnings(raw);
    let mut errors = result.err().unwrap_or_default();
    // What a host only warns of can still be corrected here.
    errors.0.extend(warnings.0);
    let report = CheckReport { errors, ..CheckReport::default() };
    let mut checker = Checker { raw, settings, report };
    checker.check_routes();
    checker.check_services();
    checker.check_organisations();
    checker.check_common_regions();
    if let Some(in_force) = in_force {
        checker.compare(in_force);
    }
    checker.report
}

impl<'a> Checker<'a> {
    fn warn<What>(&mut self, path: String, what: What, remedy: &str)
    where
        What: Into<String>,
    {
        self.report.warnings.push(path, what, remedy);
    }

    fn check_routes(&mut self) {
        let raw = self.raw;
        let mut places: HashMap<(String, &str), usize> = HashMap::new();
        self.check_names("routes", raw.routes.iter().map(|route| &route.name));
        for (position, route) in raw.routes.iter().enumerate() {
            let path = format!("/routes/{position}");
            let place = (route.authority.to_ascii_lowercase(), route.prefix.as_str());
            if let Some(first) = places.get(&place) {
                let what = format!("never matches: route {first} has the same host and prefix");
                self.warn(format!("{path}/prefix"), what, "remove one of the routes");
            } else {
                places.insert(place, position);
            }
            self.check_matching(&path, route);
            self.check_durations(&path, route);
            self.check_sends(&path, route);
            self.check_regions(&path, &route.allowed_regions);
        }
    }

    /// Checks that a request can have the authority and the prefix of a route.
    fn check_matching(&mut self, path: &str, route: &RawRoute) {
        let is_part = |c: char| c.is_ascii_graphic() && !"/?#@\\\"<>".contains(c);
        if route.authority.is_empty() || !route.authority.chars().all(is_part) {
            let what = format!("never matches: {:?} is not a host", route.authority);
            self.warn(format!("{path}/authority"), what, "use a host, with its port if it has one");
        }
        let is_part = |c: char| c.is_ascii_graphic() && !"?#<>".contains(c);
        if !route.prefix.chars().all(is_part) {
            let what = format!("never matches: {:?} is not part of a path", route.prefix);
            self.warn(format!("{path}/prefix"), what, "percent-encode special characters");
        }
    }

    fn check_durations(&mut self, path: &str, route: &RawRoute) {
        let objectives = [
            ("latency_objective_ms", route.latency_objective_ms),
            ("gap_objective_ms", route.gap_objective_ms),
        ];
        for (field, objective) in objectives {
            if objective > route.timeout_ms {
                let what = format!("{objective} ms exceed the timeout of {} ms", route.timeout_ms);
                self.warn(format!("{path}/{field}"), what, "lower it, or raise the timeout");
            }
        }
    }

    fn check_sends(&mut self, path: &str, route: &RawRoute) {
        if route.max_sends == 0 {
            let place = format!("{path}/max_sends");
            self.warn(place, "no attempt is allowed, which counts as one", "allow at least one");
        }
        let retries = f64::from(route.max_sends.saturating_sub(1));
        if let Some(settings) = self.settings
            && retries > settings.retry_extra + settings.retry_ratio
        {
            let what = format!(
                "one request may be retried {retries} times, and the quota of retries may be {}",
                settings.retry_extra + settings.retry_ratio
            );
            self.warn(
                format!("{path}/max_sends"),
                what,
                "allow fewer attempts, or raise the quota",
            );
        }
        let mut services = HashSet::new();
        for (position, target) in route.targets.iter().enumerate() {
            if !services.insert(target.service.as_str()) {
                let what = format!("service {:?} is listed twice", target.service);
                self.warn(format!("{path}/targets/{position}"), what, "add the weights");
            }
        }
    }

    fn check_services(&mut self) {
        let raw = self.raw;
        let targets = raw.routes.iter().flat_map(|route| &route.targets);
        let used: HashSet<&str> = targets
            .filter(|target| target.weight > 0)
            .map(|target| target.service.as_str())
            .collect();
        for (position, service) in raw.services.iter().enumerate() {
            let path = format!("/services/{position}");
            if !used.contains(service.name.as_str()) {
                let what = format!("no route sends requests to service {:?}", service.name);
                self.warn(path.clone(), what, "add a route, or remove the service");
            }
            self.check_service(&path, service);
        }
    }

    fn check_service(&mut self, path: &str, service: &RawService) {
        if service.cold_s > 0.0 && service.cold_per_s == 0.0 {
            let what = "endpoints are cold for some time, and requests to them are not limited";
            self.warn(format!("{path}/cold_per_s"), what, "set a rate, or a time of zero");
        }
        if service.cold_per_s > 0.0 && service.cold_s == 0.0 {
            let what = "requests to cold endpoints are limited, and endpoints are cold for no time";
            self.warn(format!("{path}/cold_s"), what, "set a time, or a rate of zero");
        }
        let Some(engine) = &service.engine else { return };
        if engine.slots == 0 {
            let what = "the engines run no generation";
            self.warn(format!("{path}/engine/slots"), what, "increase it");
        }
        if engine.kv_capacity_tokens == 0 {
            let what = "the engines hold no generation";
            self.warn(format!("{path}/engine/kv_capacity_tokens"), what, "increase it");
        }
        if engine.supports_migration && engine.link_mbps <= 0.0 {
            let what = "generations migrate only over links with a bandwidth";
            self.warn(format!("{path}/engine/link_mbps"), what, "state the bandwidth");
        }
    }

    fn check_organisations(&mut self) {
        let raw = self.raw;
        self.check_names("organisations", raw.organisations.iter().map(|of| &of.name));
        for (position, organisation) in raw.organisations.iter().enumerate() {
            let path = format!("/organisations/{position}");
            self.check_keys(&path, organisation);
            self.check_regions(&path, &organisation.allowed_regions);
        }
    }

    /// Findings do not contain keys, which are secret.
    fn check_keys(&mut self, path: &str, organisation: &RawOrganisation) {
        if organisation.keys.is_empty() {
            let what = "never matches: the organisation has no key";
            self.warn(format!("{path}/keys"), what, "issue a key, or remove the organisation");
        }
        let mut keys = HashSet::new();
        for (position, key) in organisation.keys.iter().enumerate() {
            let place = format!("{path}/keys/{position}");
            if key.is_empty() || key.trim() != key {
                let what = "never matches: the key is empty, or begins or ends with a space";
                self.warn(place, what, "correct the key");
            } else if !keys.insert(key) {
                self.warn(place, "the organisation has the same key twice", "remove one");
            }
        }
    }

    fn check_names<'n, Names>(&mut self, list: &str, names: Names)
    where
        Names: Iterator<Item = &'n String>,
    {
        let mut known = HashMap::new();
        for (position, name) in names.enumerate() {
            if let Some(first) = known.get(name) {
                let what = format!("entry {first} has the same name");
                self.warn(format!("/{list}/{position}/name"), what, "rename one");
            } else {
                known.insert(name, position);
            }
        }
    }

    fn check_regions(&mut self, path: &str, names: &[String]) {
        let Some(settings) = self.settings else { return };
        for (position, name) in names.iter().enumerate() {
            let known = |region: Region| settings.regions.contains(&region);
            if name.parse().is_ok_and(|region| !known(region)) {
                let what = format!("no zone of the settings is in region {name:?}");
                let remedy = "correct the name, or add its zones to the settings";
                self.warn(format!("{path}/allowed_regions/{position}"), what, remedy);
            }
        }
    }

    /// Checks that each route has an allowed region in common with each organisation.
    fn check_common_regions(&mut self) {
        let residency = |names: &[String]| Residency::from_names(names).0;
        let organisations: Vec<(&str, Residency)> = self
            .raw
            .organisations
            .iter()
            .map(|of| (of.name.as_str(), residency(&of.allowed_regions)))
            .collect();
        for (position, route) in self.raw.routes.iter().enumerate() {
            let allowed = residency(&route.allowed_regions);
            let conflicting = organisations.iter().filter(|(_, other)| allowed.excludes(other));
            let names: Vec<&str> = conflicting.map(|(name, _)| *name).collect();
            if names.is_empty() {
                continue;
            }
            let shown = names[..names.len().min(MAX_NAMES)].join(", ");
            let further = match names.len().saturating_sub(MAX_NAMES) {
                0 => String::new(),
                further => format!(" and {further} more"),
            };
            let what = format!(
                "route {:?} has no allowed region in common with {shown}{further}",
                route.name
            );
            let remedy = "allow a common region, or lift one of the restrictions";
            self.report.errors.push(format!("/routes/{position}/allowed_regions"), what, remedy);
        }
    }

    fn compare(&mut self, in_force: &RawServing) {
        self.report.changes = changes(in_force, self.raw);
        if !self.report.changes.is_empty() && self.raw.version <= in_force.version {
            let what = format!(
                "version {} does not replace version {} in force",
                self.raw.version, in_force.version
            );
            self.report.errors.push("/version", what, "use a greater number");
        }
    }
}
