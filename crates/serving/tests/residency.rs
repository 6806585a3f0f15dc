//! Allowed regions of routes and organisations, and limits of services.

use std::time::Duration;

use camphorloft_serving::prelude::*;
use camphorloft_types::prelude::*;

fn names(regions: &[&str]) -> Vec<String> {
    regions.iter().map(|region| (*region).to_owned()).collect()
}

fn residency(regions: &[&str]) -> Residency {
    Residency::restricted_to(regions.iter().map(|region| region.parse().unwrap()))
}

fn route(name: &str, prefix: &str, regions: &[&str]) -> RawRoute {
    RawRoute {
        name: name.to_owned(),
        authority: "calls.example".to_owned(),
        prefix: prefix.to_owned(),
        retry_mode: "idempotent".to_owned(),
        timeout_ms: 1000,
        targets: vec![RawTarget { service: "bookings".to_owned(), weight: 1 }],
        public: true,
        allowed_regions: names(regions),
        ..RawRoute::default()
    }
}

fn organisation(name: &str, regions: &[&str]) -> RawOrganisation {
    RawOrganisation {
        name: name.to_owned(),
        keys: vec![format!("key-of-{name}")],
        allowed_regions: names(regions),
        ..RawOrganisation::default()
    }
}

fn raw() -> RawServing {
    RawServing {
        version: 7,
        routes: vec![
            route("open", "/open/", &[]),
            route("north", "/north/", &["north", "east", "north"]),
            route("south", "/south/", &["south"]),
        ],
        services: vec![RawService { name: "bookings".to_owned(), ..RawService::default() }],
        limits: RawLimits {
            max_head_bytes: 1,
            max_body_bytes: 1,
            head_timeout_ms: 1,
            idle_timeout_ms: 1,
        },
        organisations: vec![organisation("any", &[]), organisation("coop", &["north", "west"])],
    }
}

fn resolved(set: &ServingSet, path: &str, key: Option<&str>) -> Residency {
    let (route, organisation) = set.resolve("calls.example", path, key).unwrap();
    set.residency(route, organisation)
}

#[test]
fn regions_are_sorted_and_an_empty_set_differs_from_no_restriction() {
    assert_eq!(residency(&["south", "north", "south"]).to_string(), "north,south");
    assert_eq!(Residency::UNRESTRICTED.to_string(), "any");
    assert_eq!(residency(&[]).to_string(), "none");
    assert!(residency(&[]).is_empty() && !residency(&[]).is_unrestricted());
    assert!(!Residency::default().is_empty() && Residency::default().is_unrestricted());
    let north: Region = "north".parse().unwrap();
    assert!(residency(&["north"]).allows(&north) && !residency(&["south"]).allows(&north));
    assert!(!residency(&["north"]).allows_place(None), "an unknown region is not allowed");
    assert_eq!(residency(&["north"]).intersection(&residency(&["south"])), residency(&[]));
    assert!(!residency(&["north"]).excludes(&Residency::UNRESTRICTED));
}

/// The restriction of the organisation is lost where the route has one, or the reverse.
#[test]
fn restrictions_of_the_route_and_of_the_organisation_both_apply() {
    let set = ServingSet::try_from(raw()).unwrap();
    let coop = Some("key-of-coop");
    assert!(resolved(&set, "/open/1", None).is_unrestricted());
    assert!(resolved(&set, "/open/1", Some("key-of-any")).is_unrestricted());
    assert_eq!(resolved(&set, "/open/1", coop), residency(&["north", "west"]));
    assert_eq!(resolved(&set, "/north/1", None), residency(&["east", "north"]));
    assert_eq!(resolved(&set, "/north/1", coop), residency(&["north"]));
    assert!(resolved(&set, "/south/1", coop).is_empty());
}

#[test]
fn version_states_restrictions_by_name_for_requests_of_other_versions() {
    let mut raw = raw();
    raw.routes.push(route("south", "/other/", &["south", "north"]));
    let set = ServingSet::try_from(raw).unwrap();
    let by_name = |route: &str, organisation: Option<&str>| {
        let organisation = organisation.map(|name| name.parse::<OrganisationName>().unwrap());
        set.residency_by_name(&route.parse().unwrap(), organisation.as_ref())
    };
    assert_eq!(by_name("north", Some("coop")), residency(&["north"]));
    assert_eq!(by_name("open", Some("coop")), residency(&["north", "west"]));
    assert!(by_name("open", None).is_unrestricted());
    assert!(by_name("unknown", Some("unknown")).is_unrestricted());
    assert_eq!(by_name("south", None), residency(&["south"]), "routes that share a name");
}

#[test]
fn routes_and_organisations_without_a_common_region_are_found() {
    let set = ServingSet::try_from(raw()).unwrap();
    let conflicts: Vec<_> = set
        .residency_conflicts()
        .map(|(route, organisation)| (route.name.as_str(), organisation.name.as_str()))
        .collect();
    assert_eq!(conflicts, [("south", "coop")]);
    let named: Vec<&str> = set.named_regions().into_iter().map(Region::as_str).collect();
    assert_eq!(named, ["east", "north", "south", "west"]);
}

/// A version with a region that no zone can have is applied, and the region allows nothing.
#[test]
fn malformed_region_rejects_the_version_or_lifts_the_restriction() {
    let mut raw = raw();
    raw.routes[0].allowed_regions = names(&["Not A Region"]);
    raw.organisations[1].allowed_regions = names(&["north", ""]);
    let set = ServingSet::try_from(raw).unwrap();
    assert!(resolved(&set, "/open/1", None).is_empty());
    assert_eq!(resolved(&set, "/north/1", Some("key-of-coop")), residency(&["north"]));
    let paths: Vec<&str> = set.warnings.0.iter().map(|finding| finding.path.as_str()).collect();
    assert_eq!(paths, ["/routes/0/allowed_regions/0", "/organisations/1/allowed_regions/1"]);
}

#[test]
fn limits_of_a_service_are_converted() {
    let mut raw = raw();
    let service = &mut raw.services[0];
    (service.cold_s, service.cold_per_s, service.max_connections) = (1.5, 26.0, 200);
    let set = ServingSet::try_from(raw.clone()).unwrap();
    let service = set.services.values().next().unwrap();
    let rate = RequestRate::try_from(26.0).unwrap();
    assert_eq!(service.cold, Some(ColdLimit { period: Duration::from_millis(1500), rate }));
    assert_eq!(service.max_connections, Some(200));
    let service = &mut raw.services[0];
    (service.cold_per_s, service.max_connections) = (0.0, 0);
    let set = ServingSet::try_from(raw).unwrap();
    let service = set.services.values().next().unwrap();
    assert_eq!((service.cold, service.max_connections), (None, None));
}

/// Conversion of such a number to a duration or a rate panics, or it is taken for another one.
#[test]
fn limits_out_of_range_panic_or_are_replaced() {
    let out_of_range = [-1.0, f64::NAN, f64::INFINITY, 1e30, f64::MAX];
    for value in out_of_range {
        let mut raw = raw();
        raw.services[0].cold_s = value;
        let findings = ServingSet::try_from(raw.clone()).unwrap_err();
        assert_eq!(findings.0[0].path, "/services/0/cold_s", "{value}");
        raw.services[0].cold_per_s = value;
        let findings = ServingSet::try_from(raw).unwrap_err();
        let paths: Vec<&str> = findings.0.iter().map(|finding| finding.path.as_str()).collect();
        assert_eq!(paths, ["/services/0/cold_s", "/services/0/cold_per_s"], "{value}");
    }
}
