//! Check of a proposed version: entries that never match, contradictions, and differences.

use camphorloft_serving::check::check;
use camphorloft_serving::prelude::*;

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn route(name: &str, prefix: &str) -> RawRoute {
    RawRoute {
        name: name.to_owned(),
        authority: "calls.example".to_owned(),
        prefix: prefix.to_owned(),
        retry_mode: "idempotent".to_owned(),
        timeout_ms: 1000,
        latency_objective_ms: 400,
        targets: vec![RawTarget { service: "bookings".to_owned(), weight: 1 }],
        max_sends: 2,
        ..RawRoute::default()
    }
}

fn organisation(name: &str, keys: &[&str]) -> RawOrganisation {
    RawOrganisation { name: name.to_owned(), keys: names(keys), ..RawOrganisation::default() }
}

/// Returns a version without findings.
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
        organisations: vec![organisation("coop", &["k1"]), organisation("union", &["k2", "k3"])],
    }
}

fn settings() -> CheckSettings {
    CheckSettings {
        regions: ["north", "south"].map(|region| region.parse().unwrap()).into(),
        retry_ratio: 0.2,
        retry_extra: 54.0,
    }
}

fn paths(findings: &camphorloft_config::Findings) -> Vec<&str> {
    findings.0.iter().map(|finding| finding.path.as_str()).collect()
}

/// Asserts that a version has exactly the given warnings and no error.
fn assert_warnings(raw: &RawServing, expected: &[&str]) {
    let report = check(raw, None, Some(&settings()));
    assert_eq!(paths(&report.errors), [] as [&str; 0]);
    assert_eq!(paths(&report.warnings), expected);
}

#[test]
fn sound_version_has_no_findings() {
    assert_warnings(&raw(), &[]);
    assert!(check(&raw(), Some(&raw()), None).errors.is_empty(), "the same version again");
}

/// The findings of the verifier are kept, and warnings of a host are errors of a proposal.
#[test]
fn findings_of_the_verifier_are_errors() {
    let mut raw = raw();
    raw.routes[0].targets[0].service = "missing".to_owned();
    raw.routes[1].allowed_regions = names(&["Not A Region"]);
    raw.services[0].cold_s = -1.0;
    let report = check(&raw, None, None);
    let expected = [
        "/services/0/cold_s",
        "/routes/0/targets/0",
        "/routes/0/targets",
        "/routes/1/allowed_regions/0",
    ];
    assert_eq!(paths(&report.errors), expected);
}

#[test]
fn entries_that_never_match_are_not_noticed() {
    let mut shadowed = raw();
    shadowed.routes.push(RawRoute { authority: "Calls.Example".to_owned(), ..route("c", "/a/") });
    assert_warnings(&shadowed, &["/routes/2/prefix"]);
    let mut malformed = raw();
    malformed.routes[0].authority = "https://calls.example/".to_owned();
    malformed.routes[1].prefix = "/a b?/".to_owned();
    assert_warnings(&malformed, &["/routes/0/authority", "/routes/1/prefix"]);
    let mut unused = raw();
    unused.services.push(RawService { name: "spare".to_owned(), ..RawService::default() });
    assert_warnings(&unused, &["/services/1"]);
    unused.routes[0].targets.push(RawTarget { service: "spare".to_owned(), weight: 0 });
    assert_warnings(&unused, &["/services/1"]);
    unused.routes[0].targets[1].weight = 1;
    assert_warnings(&unused, &[]);
}

/// A key of two organisations is an error of the verifier.
#[test]
fn keys_that_never_match_are_not_noticed() {
    let mut raw = raw();
    raw.organisations[1].keys = names(&["k2", "k2", " k4", ""]);
    raw.organisations.push(organisation("coop", &[]));
    let expected = [
        "/organisations/2/name",
        "/organisations/1/keys/1",
        "/organisations/1/keys/2",
        "/organisations/1/keys/3",
        "/organisations/2/keys",
    ];
    assert_warnings(&raw, &expected);
    raw.organisations[1].keys = names(&["k1"]);
    assert_eq!(paths(&check(&raw, None, None).errors), ["/organisations/1/keys/0"]);
}

#[test]
fn limits_that_contradict_each_other_are_not_noticed() {
    let mut late = raw();
    late.routes[0].latency_objective_ms = 1001;
    late.routes[1].gap_objective_ms = 1001;
    assert_warnings(&late, &["/routes/0/latency_objective_ms", "/routes/1/gap_objective_ms"]);
    let mut sends = raw();
    (sends.routes[0].max_sends, sends.routes[1].max_sends) = (0, 56);
    assert_warnings(&sends, &["/routes/0/max_sends", "/routes/1/max_sends"]);
    sends.routes[1].max_sends = 55;
    assert_warnings(&sends, &["/routes/0/max_sends"]);
    let mut cold = raw();
    cold.services[0].cold_s = 1.0;
    assert_warnings(&cold, &["/services/0/cold_per_s"]);
    (cold.services[0].cold_s, cold.services[0].cold_per_s) = (0.0, 26.0);
    assert_warnings(&cold, &["/services/0/cold_s"]);
    let mut engine = raw();
    engine.services[0].engine =
        Some(RawEngine { supports_migration: true, ..RawEngine::default() });
    let expected = ["slots", "kv_capacity_tokens", "link_mbps"];
    assert_warnings(
        &engine,
        &expected.map(|field| format!("/services/0/engine/{field}")).each_ref().map(String::as_str),
    );
}

#[test]
fn allowed_regions_without_a_zone_or_in_common_are_not_noticed() {
    let mut raw = raw();
    raw.routes[0].allowed_regions = names(&["south", "mars"]);
    raw.organisations[0].allowed_regions = names(&["south"]);
    assert_warnings(&raw, &["/routes/0/allowed_regions/1"]);
    raw.organisations[0].allowed_regions = names(&["north"]);
    let report = check(&raw, None, None);
    assert_eq!(paths(&report.errors), ["/routes/0/allowed_regions"]);
    let what = &report.errors.0[0].what;
    assert!(what.contains("\"outer\"") && what.contains("coop"), "{what}");
    for number in 0..9 {
        let other = organisation(&format!("other-{number}"), &[&format!("key-{number}")]);
        raw.organisations.push(RawOrganisation { allowed_regions: names(&["north"]), ..other });
    }
    let report = check(&raw, None, None);
    assert!(report.errors.0[0].what.ends_with("other-3 and 5 more"), "{}", report.errors);
}

#[test]
fn differences_from_the_version_in_force_are_listed_without_keys() {
    let mut after = raw();
    after.version = 8;
    after.routes[0].allowed_regions = names(&["south", "north"]);
    after.routes[0].timeout_ms = 900;
    after.routes[1].name = "inmost".to_owned();
    after.organisations[1].keys = names(&["k3", "secret"]);
    after.limits.max_body_bytes = 2;
    let report = check(&after, Some(&raw()), None);
    let changes: Vec<String> = report.changes.iter().map(ToString::to_string).collect();
    let expected = [
        "removed /routes/inner",
        "added /routes/inmost",
        "changed /routes/outer/timeout_ms: 1000 -> 900",
        "changed /routes/outer/allowed_regions: any -> north,south",
        "changed /organisations/union/keys: 2 keys -> 2 keys, 1 added and 1 removed",
        "changed /limits/max_body_bytes: 1 -> 2",
    ];
    assert_eq!(changes, expected);
    assert!(report.errors.is_empty());
    // Hosts would ignore it.
    after.version = 7;
    assert_eq!(paths(&check(&after, Some(&raw()), None).errors), ["/version"]);
}
