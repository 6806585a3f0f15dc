//! Verification of a version, and its lookups of routes and organisations.

use camphorloft_serving::prelude::*;
use camphorloft_types::prelude::*;

fn route(name: &str, prefix: &str) -> RawRoute {
    RawRoute {
        name: name.to_owned(),
        authority: "Calls.example".to_owned(),
        prefix: prefix.to_owned(),
        retry_mode: "idempotent".to_owned(),
        timeout_ms: 1000,
        targets: vec![RawTarget { service: "bookings".to_owned(), weight: 1 }],
        ..RawRoute::default()
    }
}

fn raw() -> RawServing {
    RawServing {
        version: 7,
        routes: vec![route("outer", "/a/"), route("inner", "/a/b/")],
        services: vec![RawService { name: "bookings".to_owned(), ..RawService::default() }],
        limits: RawLimits {
            max_head_bytes: 1,
            max_body_bytes: 1,
            head_timeout_ms: 1,
            idle_timeout_ms: 1,
        },
        organisations: vec![RawOrganisation {
            name: "coop".to_owned(),
            keys: vec!["k1".to_owned()],
            ..RawOrganisation::default()
        }],
    }
}

#[test]
fn longest_prefix_wins() {
    let set = ServingSet::try_from(raw()).unwrap();
    let inner = set.route("calls.EXAMPLE", "/a/b/c").unwrap();
    assert_eq!(set.routes[inner].name.as_str(), "inner");
    let outer = set.route("calls.example", "/a/c").unwrap();
    assert_eq!(set.routes[outer].name.as_str(), "outer");
    assert_eq!(set.route("calls.example", "/b"), None);
}

#[test]
fn key_is_required_unless_public() {
    let mut public = raw();
    public.routes[0].public = true;
    let set = ServingSet::try_from(public).unwrap();
    assert_eq!(set.resolve("calls.example", "/a/b/", None), Err(RouteError::NoKey));
    assert_eq!(set.resolve("calls.example", "/a/b/", Some("k2")), Err(RouteError::NoKey));
    assert!(set.resolve("calls.example", "/a/b/", Some("k1")).unwrap().1.is_some());
    assert_eq!(set.resolve("calls.example", "/a/", None).unwrap().1, None);
}

#[test]
fn every_finding_has_its_path() {
    let mut broken = raw();
    broken.routes[0].targets[0].service = "missing".to_owned();
    broken.routes[1].retry_mode = "twice".to_owned();
    broken.limits.max_body_bytes = 0;
    let findings = ServingSet::try_from(broken).unwrap_err();
    let paths: Vec<&str> = findings.0.iter().map(|finding| finding.path.as_str()).collect();
    let expected =
        ["/routes/0/targets/0", "/routes/0/targets", "/routes/1/repeat", "/limits/max_body_bytes"];
    assert_eq!(paths, expected);
}

#[test]
fn targets_are_chosen_by_weight() {
    let mut split = raw();
    split.services.push(RawService { name: "other".to_owned(), ..RawService::default() });
    split.routes[0].targets[0].weight = 90;
    split.routes[0].targets.push(RawTarget { service: "other".to_owned(), weight: 10 });
    let set = ServingSet::try_from(split).unwrap();
    let route = &set.routes[RouteIx::from_u32(0)];
    assert_eq!(route.choose_target(0.0), ServiceIx::from_u32(0));
    assert_eq!(route.choose_target(0.89), ServiceIx::from_u32(0));
    assert_eq!(route.choose_target(0.91), ServiceIx::from_u32(1));
}
