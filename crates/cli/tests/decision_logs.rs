//! The tool explains one request from decision logs, and counts how requests ended.

use std::io::{self, Write};
use std::process::{Command, Output, Stdio};

/// Lines of two hosts as from a log collector: out of order and with a prefix.
const LOG: &str = r#"
h1 | {"msg":"generation placed","ts":"2026-12-04T01:00:00.100Z","host":"h1","call":"c1","endpoint":"i-1","fill":0.4}
h1 | {"msg":"stream ended","ts":"2026-12-04T01:00:02.000Z","host":"h1","call":"c1","endpoint":"i-1","outcome":"unknown","end":"broken_off"}
h1 | {"msg":"endpoint changed","ts":"2026-12-04T01:00:01.500Z","host":"h1","endpoint":"i-1","change":"gone","source":"registry_change"}
h1 | {"msg":"endpoint changed","ts":"2026-12-04T01:00:01.600Z","host":"h1","endpoint":"i-2","change":"gone","source":"registry_change"}
h2 | {"msg":"endpoint changed","ts":"2026-12-04T01:00:01.700Z","host":"h2","endpoint":"i-1","change":"gone","source":"host"}
h2 | {"msg":"call answered","ts":"2026-12-04T01:00:00.300Z","host":"h2","call":"c2","outcome":"completed","reason":"endpoint"}
h2 | {"msg":"generation placed","ts":"2026-12-04T01:00:00.350Z","host":"h2","call":"c4","endpoint":"i-2","gap_ms":61,"slowness_percent":120,"stated_age_ms":310}
h2 | {"msg":"request refused","ts":"2026-12-04T01:00:00.400Z","host":"h2","call":"c3","reason":"no_room"}
not a line of JSON
"#;

fn run(args: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_camphorloft"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the tool starts");
    let written = child.stdin.take().expect("a pipe").write_all(LOG.as_bytes());
    // The tool exits without reading its input when it rejects its arguments.
    let refused = written.is_err_and(|err| err.kind() != io::ErrorKind::BrokenPipe);
    assert!(!refused, "the tool does not read its input");
    child.wait_with_output().expect("the tool exits")
}

/// Without the speed of the engine, a late stream has no visible cause.
#[test]
fn explain_omits_the_speed_of_the_engine() {
    let output = run(&["explain", "--call", "c4"]);
    let text = String::from_utf8_lossy(&output.stdout);
    let speed = "generation placed i-2 (gap_ms=61, slowness_percent=120, stated_age_ms=310)";
    assert!(text.contains(speed), "{text}");
}

#[test]
fn explain_includes_endpoint_changes_that_the_host_recorded() {
    let output = run(&["explain", "--call", "c1"]);
    assert!(output.status.success());
    let text = String::from_utf8_lossy(&output.stdout);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[0].contains("generation placed i-1 (fill=0.4)"));
    assert!(lines[1].contains("endpoint changed i-1 (change=gone, source=registry_change)"));
    assert!(lines[2].contains("stream ended i-1 (end=broken_off, outcome=unknown)"));
}

#[test]
fn explain_of_an_unknown_request_is_an_error() {
    let output = run(&["explain", "--call", "c9"]);
    assert_eq!(output.status.code(), Some(1));
    let output = run(&["explain"]);
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn request_ends_are_counted_by_cause_and_second() {
    let output = run(&["logs"]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(text.contains("1 call answered: completed: endpoint"), "{text}");
    assert!(text.contains("1 request refused: not_run: no_room"), "{text}");
    assert!(text.contains("2026-12-04T01:00:02 broken_off 1"), "{text}");
}
