//! Models are loaded on demand, under a lease.

mod common;

use camphorloft_config::RawSet;
use camphorloft_config::org_key::KeyHash;
use camphorloft_platform::http::HttpPlatform;
use camphorloft_platform::publication::{Proposal, propose};
use camphorloft_types::prelude::ConfigVersion;
use common::{KEYS, TestCluster, generate, wait_until};
use serde_json::json;

/// Publishes a set in which each engine holds one of two models and both have loaded `m`.
fn publish_two_models(cluster: &TestCluster) {
    let endpoint = |ix: usize| {
        json!({
            "address": cluster.engines[ix].addr.to_string(), "region": "r", "zone": "z",
            "kv_tokens": 24000, "models": ["m", "n"], "max_models": 1, "checks_fencing": true
        })
    };
    let route = |model: &str| json!({ "model": model, "pools": ["p"], "organisations": ["one"] });
    let document = json!({
        "models": { "m": { "max_output_tokens": 2000 }, "n": { "max_output_tokens": 2000 } },
        "pools": { "p": { "endpoints": { "engine-0": endpoint(0), "engine-1": endpoint(1) } } },
        "organisations": { "one": { "key_hash": KeyHash::of(KEYS[0]).to_hex(), "weight": 1 } },
        "routes": { "verdict": route("n"), "rationale": route("m") }
    });
    let proposal = Proposal {
        id: "two-models".to_owned(),
        author: "test".to_owned(),
        base: ConfigVersion(1),
        set: RawSet::parse(&document.to_string()).unwrap(),
    };
    propose(&HttpPlatform::new(cluster.platform.addr), &proposal).unwrap();
}

#[test]
fn a_requested_model_that_no_engine_has_loaded_is_loaded() {
    let cluster = TestCluster::start(1, 2);
    publish_two_models(&cluster);
    wait_until("version 2 is in force", || cluster.hosts[0].config.version() == ConfigVersion(2));
    // Requests are refused until the planner's hysteresis has elapsed and an engine was switched.
    let mut served = false;
    let deadline = std::time::Instant::now() + 3 * common::WAIT_TIMEOUT;
    while !served && std::time::Instant::now() < deadline {
        match generate(cluster.host(), KEYS[0], "which model?", 5, None) {
            Ok(stream) => {
                stream.read_to_end(5);
                served = true;
            }
            Err(_) => std::thread::sleep(std::time::Duration::from_millis(200)),
        }
    }
    assert!(served, "no engine was switched to the model");
    let commands: usize = cluster.engines.iter().map(|e| e.engine.record().commands.len()).sum();
    assert_eq!(commands, 2, "one unload and one load");
}
