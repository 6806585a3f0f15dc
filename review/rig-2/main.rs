//! Runs the cases of the second review that are scripts: `rig CASE FOLDER`.
//!
//! The entry host is the project's own program, as a process of its own. The store, the replicas and the
//! requesters are small stand-ins in this process, on loopback addresses.

mod bodies;
mod client;
mod crash_unseen;
mod engine;
mod host;
mod http;
mod json;
mod left_engine;
mod record;
mod replica;
mod reused_index;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use engine::Engine;
use store::Store;

/// Result of a case.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else { return ExitCode::from(2) };
    if case == "replica" {
        let id = args.get(3).map_or("", String::as_str);
        return replica::run(folder, id).map_or(ExitCode::from(2), |()| ExitCode::SUCCESS);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = Path::new(folder);
    let outcome = match case.as_str() {
        "left-engine" => left_engine::run(folder, trouble),
        "bodies" => bodies::run(folder, trouble),
        "reused-index" => reused_index::run(folder, trouble),
        "crash-unseen" => crash_unseen::run(folder, trouble),
        other => Ok(Outcome::CouldNotRun(format!("no case {other}"))),
    };
    match outcome.unwrap_or_else(|err| Outcome::CouldNotRun(err.to_string())) {
        Outcome::Held => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Outcome::Broken => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Outcome::CouldNotRun(why) => {
            println!("the case could not run: {why}");
            ExitCode::from(2)
        }
    }
}

/// Returns a configuration with the model routes of `kpc-depbot`. `verdict_timeout_ms` is that of the short
/// streams.
pub fn config(verdict_timeout_ms: u64) -> String {
    let route = |name: &str, timeout_ms: u64, goal_ms: u64, priority: u8, more: &str| {
        format!(
            r#"{{"name":"{name}","host":"calls.example","prefix":"/{name}/","kind":"streaming","timeout-ms":{timeout_ms},"latency-goal-ms":{goal_ms},"priority":{priority},"service":"camphor-fleet","public":false,"sticky":true,"gap-target-ms":180{more}}}"#
        )
    };
    let routes = [
        route("rationale", 39_000, 1_800, 1, r#","max-attempts":1,"resumable":false"#),
        r#"{"name":"merge","host":"calls.example","prefix":"/merge/","kind":"non_idempotent","timeout-ms":1000,"latency-goal-ms":400,"priority":2,"service":"bot-core","max-attempts":1,"public":false,"sticky":false}"#.to_owned(),
        route("verdict", verdict_timeout_ms, 1_500, 0, r#","max-attempts":2,"resumable":true"#),
    ];
    format!(
        r#"{{"version":7,"routes":[{}],"services":[{{"name":"camphor-fleet","health-path":"/health","max-conns":272,"protocol":"h1","tls":false,"engine":{{"slots":24,"kv-capacity-tokens":34304,"kv-token-bytes":35136,"link-mbps":5100.0,"migrations":true,"backups":true,"stride":4,"most":12,"pin-ms":4000.0,"hold-time-ms":2000.0,"handle-s":5.0,"models":[{{"name":"m"}}]}}}},{{"name":"bot-core","health-path":"/health","max-conns":100,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"huka270","api-keys":["key-1"],"priority":1}}]}}"#,
        routes.join(",")
    )
}

/// Lists a replica in the store, now and at each heartbeat.
pub fn list(store: &Arc<Store>, engine: &Arc<Engine>) {
    let (store, engine) = (store.clone(), engine.clone());
    store.put("servers", &engine.id, Some(&engine.entry(1)));
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(1200));
            if engine.has_left() {
                return;
            }
            store.put("servers", &engine.id, Some(&engine.entry(sequence)));
        }
    });
}
