//! Every token reaches its caller once, in order, from one generation.

mod common;

use camphorloft_standins::engine_http::EngineFault;
use common::{KEYS, TestCluster, ask, problem};

const TOKENS: u32 = 150;

/// Injects a fault into every engine that runs something.
fn inject_running(cluster: &TestCluster, fault: EngineFault) {
    for handle in &cluster.engines {
        if handle.engine.load_now().running > 0 {
            handle.engine.inject(fault);
        }
    }
}

#[test]
fn an_engine_that_crashes_in_the_middle_is_replaced() {
    let cluster = TestCluster::start(1, 3);
    let mut reading = ask(cluster.host(), KEYS[0], "crash", TOKENS, None).ok().unwrap();
    reading.read(20);
    inject_running(&cluster, EngineFault::Crash(500));
    reading.read(40);
    inject_running(&cluster, EngineFault::Crash(500));
    reading.read_whole(TOKENS);
    assert_eq!(cluster.violations(), 0);
}

#[test]
fn a_silent_connection_is_replaced_by_a_new_one() {
    let cluster = TestCluster::start(1, 1);
    let mut reading = ask(cluster.host(), KEYS[0], "silent", TOKENS, None).ok().unwrap();
    reading.read(20);
    cluster.engines[0].engine.inject(EngineFault::SilenceStreams);
    reading.read_whole(TOKENS);
    // The engine lived all the time, so it must not have run the request twice.
    let started: u32 = cluster.engines[0].engine.record().started.values().sum();
    assert_eq!(started, 1);
}

#[test]
fn a_slow_engine_is_not_given_up() {
    let cluster = TestCluster::start(1, 1);
    let mut reading = ask(cluster.host(), KEYS[0], "slow", TOKENS, None).ok().unwrap();
    reading.read(20);
    cluster.engines[0].engine.inject(EngineFault::Freeze(4000));
    reading.read_whole(TOKENS);
    let started: u32 = cluster.engines[0].engine.record().started.values().sum();
    assert_eq!(started, 1);
}

#[test]
fn a_stream_is_resumed_on_another_host() {
    let cluster = TestCluster::start(2, 2);
    let mut reading = ask(cluster.host(), KEYS[0], "resume", TOKENS, None).ok().unwrap();
    reading.read(30);
    let resumed = ask(cluster.hosts[1].addr, KEYS[0], "resume", TOKENS, Some((&reading, false)));
    resumed.ok().unwrap().read_whole(TOKENS);
    let started: u32 =
        cluster.engines.iter().map(|e| e.engine.record().started.values().sum::<u32>()).sum();
    assert_eq!(started, 1);
}

#[test]
fn a_stream_survives_the_loss_of_host_and_engine_together() {
    let mut cluster = TestCluster::start(2, 2);
    let mut reading = ask(cluster.host(), KEYS[0], "both", TOKENS, None).ok().unwrap();
    reading.read(30);
    inject_running(&cluster, EngineFault::Crash(300_000));
    drop(cluster.hosts.remove(0));
    // Without the text, no host can continue; with it, any can.
    let mut refused =
        ask(cluster.host(), KEYS[0], "both", TOKENS, Some((&reading, false))).err().unwrap();
    assert_eq!(refused.status(), 410);
    assert_eq!(problem(&mut refused)["outcome"], "unknown");
    let resumed = ask(cluster.host(), KEYS[0], "both", TOKENS, Some((&reading, true)));
    resumed.ok().unwrap().read_whole(TOKENS);
}

#[test]
fn another_organisation_cannot_resume_a_stream() {
    let cluster = TestCluster::start(1, 1);
    let mut reading = ask(cluster.host(), KEYS[0], "own", TOKENS, None).ok().unwrap();
    reading.read(5);
    // Organisation two may not use the route, which looks like a route that does not exist.
    let refused = ask(cluster.host(), KEYS[1], "own", TOKENS, Some((&reading, false)));
    assert_eq!(refused.err().unwrap().status(), 404);
    reading.last_id = Some("AAAA".repeat(20));
    let mut refused =
        ask(cluster.host(), KEYS[0], "own", TOKENS, Some((&reading, false))).err().unwrap();
    assert_eq!(refused.status(), 400);
    assert_eq!(problem(&mut refused)["code"], "bad_last_event_id");
}

#[test]
fn text_that_was_not_delivered_is_not_continued() {
    let cluster = TestCluster::start(1, 1);
    let mut reading = ask(cluster.host(), KEYS[0], "forged", TOKENS, None).ok().unwrap();
    reading.read(5);
    reading.text.push_str(" forged");
    let mut refused =
        ask(cluster.host(), KEYS[0], "forged", TOKENS, Some((&reading, true))).err().unwrap();
    assert_eq!(problem(&mut refused)["code"], "wrong_delivered_text");
}

#[test]
fn a_poison_request_is_refused_after_three_crashes() {
    let cluster = TestCluster::start(1, 4);
    let refused = ask(cluster.host(), KEYS[0], "POISON", TOKENS, None).err().unwrap();
    assert!(refused.status() == 422 || refused.status() == 503);
    let crashes: u32 = cluster
        .engines
        .iter()
        .map(|e| e.engine.record().poison_crashes.values().sum::<u32>())
        .sum();
    assert!(crashes <= 3, "{crashes} crashes");
    let mut again = ask(cluster.host(), KEYS[0], "POISON", TOKENS, None).err().unwrap();
    assert_eq!(problem(&mut again)["outcome"], "not_run");
}
