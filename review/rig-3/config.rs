//! The operator's config: a plain service with an unsafe and a safe route, and engines with a stream.

use crate::json::{Json, number, object, text};

/// Host name of all routes.
pub const AUTHORITY: &str = "calls.example";
/// Key of the only tenant.
pub const KEY: &str = "key-1";
/// Services.
pub const PLAIN: &str = "bot-core";
pub const ENGINES: &str = "camphor-fleet";

/// Returns the latency goal of a route, as the sheets state it for its kind.
fn latency_goal_ms(kind: &str, is_resumable: bool) -> u64 {
    match (kind, is_resumable) {
        ("streaming", false) => 4000,
        ("streaming", true) => 1500,
        _ => 400,
    }
}

fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, attempts: u64) -> Json {
    let is_resumable = kind == "streaming" && attempts > 1;
    object(&[
        ("name", text(name)),
        ("host", text(AUTHORITY)),
        ("prefix", text(&format!("/{name}/"))),
        ("kind", text(kind)),
        ("timeout-ms", number(timeout_ms)),
        ("latency-goal-ms", number(latency_goal_ms(kind, is_resumable))),
        ("priority", number(1)),
        ("service", text(service)),
        ("max-attempts", number(attempts)),
        ("public", Json::Bool(false)),
        ("resumable", Json::Bool(is_resumable)),
        ("gap-target-ms", number(180)),
    ])
}

/// Returns the first version of the config.
pub fn config() -> String {
    let engine = object(&[
        ("slots", number(24)),
        ("kv-capacity-tokens", number(34304)),
        ("kv-token-bytes", number(35136)),
        ("link-mbps", number(5100)),
        ("migrations", Json::Bool(true)),
        ("backups", Json::Bool(true)),
        ("stride", number(4)),
    ]);
    let plain = object(&[
        ("name", text(PLAIN)),
        ("health-path", text("/health")),
        ("max-conns", number(100)),
    ]);
    let engines = object(&[
        ("name", text(ENGINES)),
        ("health-path", text("/health")),
        ("max-conns", number(272)),
        ("engine", engine),
    ]);
    let tenant = object(&[
        ("name", text("huka270")),
        ("api-keys", Json::List(vec![text(KEY)])),
        ("priority", number(1)),
    ]);
    object(&[
        ("version", number(7)),
        (
            "routes",
            Json::List(vec![
                route("merges", "non_idempotent", PLAIN, 2000, 1),
                route("reads", "idempotent", PLAIN, 2000, 2),
                route("drafts", "streaming", ENGINES, 39_000, 1),
                route("verdicts", "streaming", ENGINES, 6000, 2),
            ]),
        ),
        ("services", Json::List(vec![plain, engines])),
        (
            "limits",
            object(&[
                ("max-header-bytes", number(16_384)),
                ("max-body-bytes", number(4_194_304)),
                ("header-timeout-ms", number(3000)),
                ("idle-timeout-ms", number(15_000)),
            ]),
        ),
        ("tenants", Json::List(vec![tenant])),
    ])
    .to_string()
}
