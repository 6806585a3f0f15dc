//! Differences between two versions.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::raw::{RawEngine, RawLimits, RawOrganisation, RawRoute, RawService, RawServing};
use crate::residency::Residency;

/// Fields of an entry with their values, in the order in which they are shown.
type Fields = Vec<(&'static str, String)>;

/// A difference between two versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Path of the entry or field, with the name of the entry instead of its position.
    pub path: String,
    /// Value before, `None` if the entry was added.
    pub before: Option<String>,
    /// Value after, `None` if the entry was removed.
    pub after: Option<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "changed {}: {before} -> {after}", self.path),
            (None, _) => write!(f, "added {}", self.path),
            (Some(_), None) => write!(f, "removed {}", self.path),
        }
    }
}

/// Returns the differences between two versions, without their version numbers. Keys are counted, not
/// shown.
///
/// ```
/// use camphorloft_serving::change::changes;
/// use camphorloft_serving::prelude::*;
/// let service = RawService { name: "fleet".to_owned(), ..RawService::default() };
/// let before = RawServing { services: vec![service.clone()], ..RawServing::default() };
/// let service = RawService { cold_s: 1.5, ..service };
/// let after = RawServing { services: vec![service], ..RawServing::default() };
/// let changes = changes(&before, &after);
/// assert_eq!(changes[0].to_string(), "changed /services/fleet/cold_s: 0 -> 1.5");
/// ```
pub fn changes(before: &RawServing, after: &RawServing) -> Vec<Change> {
    let mut changes = Vec::new();
    let routes = |raw: &RawServing| entries(&raw.routes, |route| &route.name, route_fields);
    let services = |raw: &RawServing| entries(&raw.services, |of| &of.name, service_fields);
    let organisations =
        |raw: &RawServing| entries(&raw.organisations, |of| &of.name, organisation_fields);
    compare_lists("/routes", &routes(before), &routes(after), &mut changes);
    compare_lists("/services", &services(before), &services(after), &mut changes);
    compare_lists("/organisations", &organisations(before), &organisations(after), &mut changes);
    compare_keys(before, after, &mut changes);
    compare_fields(
        "/limits",
        &limit_fields(&before.limits),
        &limit_fields(&after.limits),
        &mut changes,
    );
    changes
}

/// Returns the fields of entries by name. Of entries that share a name, further ones are numbered.
fn entries<Entry, Name, Show>(list: &[Entry], name: Name, show: Show) -> BTreeMap<String, Fields>
where
    Name: Fn(&Entry) -> &String,
    Show: Fn(&Entry) -> Fields,
{
    let mut entries = BTreeMap::new();
    for entry in list {
        let mut key = name(entry).clone();
        for number in 2.. {
            if !entries.contains_key(&key) {
                break;
            }
            key = format!("{}#{number}", name(entry));
        }
        entries.insert(key, show(entry));
    }
    entries
}

fn compare_lists(
    path: &str,
    before: &BTreeMap<String, Fields>,
    after: &BTreeMap<String, Fields>,
    changes: &mut Vec<Change>,
) {
    for name in before.keys().filter(|name| !after.contains_key(*name)) {
        let before = Some(name.clone());
        changes.push(Change { path: format!("{path}/{name}"), before, after: None });
    }
    for (name, fields) in after {
        let path = format!("{path}/{name}");
        match before.get(name) {
            Some(before) => compare_fields(&path, before, fields, changes),
            None => changes.push(Change { path, before: None, after: Some(name.clone()) }),
        }
    }
}

fn compare_fields(path: &str, before: &Fields, after: &Fields, changes: &mut Vec<Change>) {
    for ((field, before), (_, after)) in before.iter().zip(after) {
        if before != after {
            let (before, after) = (Some(before.clone()), Some(after.clone()));
            changes.push(Change { path: format!("{path}/{field}"), before, after });
        }
    }
}

/// Compares the keys of organisations that both versions contain.
fn compare_keys(before: &RawServing, after: &RawServing, changes: &mut Vec<Change>) {
    let keys = |raw: &RawServing, name: &str| -> BTreeSet<String> {
        let organisations = raw.organisations.iter().filter(|of| of.name == name);
        organisations.flat_map(|of| of.keys.iter().cloned()).collect()
    };
    let names: BTreeSet<&String> = after.organisations.iter().map(|of| &of.name).collect();
    for name in names {
        let is_known = before.organisations.iter().any(|of| of.name == *name);
        let (before, after) = (keys(before, name), keys(after, name));
        if is_known && before != after {
            let removed = before.difference(&after).count();
            let added = after.difference(&before).count();
            changes.push(Change {
                path: format!("/organisations/{name}/keys"),
                before: Some(format!("{} keys", before.len())),
                after: Some(format!("{} keys, {added} added and {removed} removed", after.len())),
            });
        }
    }
}

fn residency_text(names: &[String]) -> String {
    Residency::from_names(names).0.to_string()
}

fn route_fields(route: &RawRoute) -> Fields {
    let RawRoute {
        name: _,
        authority,
        prefix,
        retry_mode,
        resumable,
        timeout_ms,
        latency_objective_ms,
        gap_objective_ms,
        priority,
        targets,
        max_sends,
        public,
        allowed_regions,
    } = route;
    let target = |target: &crate::raw::RawTarget| format!("{}:{}", target.service, target.weight);
    let targets: Vec<String> = targets.iter().map(target).collect();
    vec![
        ("authority", authority.clone()),
        ("prefix", prefix.clone()),
        ("retry_mode", retry_mode.clone()),
        ("resumable", resumable.to_string()),
        ("timeout_ms", timeout_ms.to_string()),
        ("latency_objective_ms", latency_objective_ms.to_string()),
        ("gap_objective_ms", gap_objective_ms.to_string()),
        ("priority", priority.to_string()),
        ("targets", targets.join(",")),
        ("max_sends", max_sends.to_string()),
        ("public", public.to_string()),
        ("allowed_regions", residency_text(allowed_regions)),
    ]
}

fn service_fields(service: &RawService) -> Fields {
    let RawService { name: _, engine, cold_s, cold_per_s, max_connections } = service;
    let mut fields = vec![
        ("cold_s", cold_s.to_string()),
        ("cold_per_s", cold_per_s.to_string()),
        ("max_connections", max_connections.to_string()),
        ("engine", if engine.is_some() { "present" } else { "absent" }.to_owned()),
    ];
    let RawEngine {
        slots,
        kv_capacity_tokens,
        kv_bytes_per_token,
        link_mbps,
        supports_migration,
        tokens_per_event,
    } = engine.clone().unwrap_or_default();
    fields.extend([
        ("engine/slots", slots.to_string()),
        ("engine/kv_capacity_tokens", kv_capacity_tokens.to_string()),
        ("engine/kv_bytes_per_token", kv_bytes_per_token.to_string()),
        ("engine/link_mbps", link_mbps.to_string()),
        ("engine/supports_migration", supports_migration.to_string()),
        ("engine/tokens_per_event", tokens_per_event.to_string()),
    ]);
    fields
}

fn organisation_fields(organisation: &RawOrganisation) -> Fields {
    let RawOrganisation { name: _, keys: _, priority, allowed_regions } = organisation;
    let priority = priority.map_or("of the route".to_owned(), |priority| priority.to_string());
    vec![("priority", priority), ("allowed_regions", residency_text(allowed_regions))]
}

fn limit_fields(limits: &RawLimits) -> Fields {
    let RawLimits { max_head_bytes, max_body_bytes, head_timeout_ms, idle_timeout_ms } = limits;
    vec![
        ("max_head_bytes", max_head_bytes.to_string()),
        ("max_body_bytes", max_body_bytes.to_string()),
        ("head_timeout_ms", head_timeout_ms.to_string()),
        ("idle_timeout_ms", idle_timeout_ms.to_string()),
    ]
}
