//! The tool checks a configuration of the entry hosts, and object sets of the daemon as before.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

use camphorloft_platform_standins::config::{config, restricted_config};
use serde_json::Value;

const SETTINGS: &str = r#"
node-name = "edge-1"
ip = "127.0.0.1"
zone = "north-a"
region = "north"
port-range = [7200, 7215]
zones = { north-a = "north" }
listen = { front = "127.0.0.1:8740", readiness = "127.0.0.1:8749" }
limits = { memory-mb = 110, max-fds = 4100 }
bounds = { grace-s = 8, budget-ratio = 0.2, budget-window-s = 10, budget-extra = 54 }
platform = { address = "127.0.0.1:8742" }
"#;

/// Returns a configuration without the objective of the route `slow`, which exceeds its timeout.
fn clean(text: &str) -> String {
    let mut document: Value = serde_json::from_str(text).expect("JSON");
    document["routes"][6]["latency-goal-ms"] = 200.into();
    document.to_string()
}

/// Writes a file for one test.
fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("a file");
    path
}

fn check(args: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_camphorloft"));
    let Output { status, stdout, .. } =
        command.args(["config", "check"]).args(args).output().expect("the tool starts");
    (status.code(), String::from_utf8(stdout).expect("text"))
}

#[test]
fn exit_code_tells_warnings_from_errors() {
    let sound = file("sound.json", &clean(&config(7)));
    let (code, text) = check(&[sound.to_str().unwrap()]);
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("no findings"));
    let late = file("late.json", &config(7));
    let (code, text) = check(&[late.to_str().unwrap()]);
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("warning: ") && text.contains("/routes/6/latency-goal-ms"), "{text}");
    let conflict: [(&str, &str, &[&str]); 2] =
        [("routes", "reads", &["north"]), ("tenants", "coop", &["south"])];
    let conflict = file("conflict.json", &restricted_config(7, &conflict));
    let (code, text) = check(&[conflict.to_str().unwrap()]);
    assert_eq!(code, Some(2), "{text}");
    assert!(text.contains("error: ") && text.contains("/routes/0/allowed-regions"), "{text}");
    assert_eq!(check(&["no-such-file.json"]).0, Some(2));
}

/// Paths of findings are those of the operator's document.
#[test]
fn places_are_not_those_of_the_document() {
    let text = config(7)
        .replace("\"service\":\"fleet\"", "\"service\":\"missing\"")
        .replace("\"max-conns\":200", "\"max-conns\":200,\"cold-s\":-1");
    let path = file("places.json", &text);
    let (code, text) = check(&["--json", path.to_str().unwrap()]);
    let report: Value = serde_json::from_str(&text).expect("JSON");
    let errors = report["errors"].as_array().expect("a list");
    let places: Vec<&str> = errors.iter().filter_map(|error| error["path"].as_str()).collect();
    assert_eq!(code, Some(2));
    assert_eq!(places[..2], ["/services/0/cold-s", "/routes/0/service"]);
    let malformed = config(7).replace("\"slots\":24", "\"slots\":\"many\"");
    let path = file("malformed.json", &malformed);
    let (code, text) = check(&[path.to_str().unwrap()]);
    assert_eq!(code, Some(2));
    assert!(text.contains("/services/0/engine/slots") && text.contains("line "), "{text}");
}

#[test]
fn regions_and_differences_are_printed_on_request() {
    let before = file("before.json", &clean(&config(7)));
    let settings = file("settings.toml", SETTINGS);
    let restrictions: [(&str, &str, &[&str]); 1] = [("routes", "reads", &["north", "mars"])];
    let after = file("after.json", &clean(&restricted_config(8, &restrictions)));
    let (before, settings, after) =
        (before.to_str().unwrap(), settings.to_str().unwrap(), after.to_str().unwrap());
    let (code, text) = check(&["--in-force", before, after]);
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("changed /routes/reads/allowed-regions: any -> mars,north"), "{text}");
    let (code, text) = check(&["--settings", settings, "--in-force", before, "--json", after]);
    assert_eq!(code, Some(1), "{text}");
    let report: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(report["warnings"][0]["path"], "/routes/0/allowed-regions/1");
    assert_eq!(report["changes"][0]["after"], "mars,north");
    assert_eq!((report["version"].as_u64(), report["in_force"].as_u64()), (Some(8), Some(7)));
    // A version that hosts would ignore.
    let (code, text) = check(&["--in-force", after, before]);
    assert_eq!(code, Some(2), "{text}");
    assert!(text.contains("/version"), "{text}");
}

#[test]
fn object_sets_of_the_daemon_are_checked_as_before() {
    let examples = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for name in ["consortium.json", "solidaria.json"] {
        let path = examples.join(name);
        let (code, text) = check(&[path.to_str().unwrap()]);
        assert_eq!(code, Some(0), "{text}");
        assert!(text.contains("objects, no findings"), "{text}");
    }
    let broken = file("broken-set.json", r#"{"modles": {}}"#);
    let (code, text) = check(&["--json", broken.to_str().unwrap()]);
    assert_eq!(code, Some(2));
    assert!(text.contains("\"valid\":false"), "{text}");
    assert_eq!(check(&[file("not-json.json", "{").to_str().unwrap()]).0, Some(2));
}
