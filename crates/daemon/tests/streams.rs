//! Every token reaches the client exactly once, in order, from one generation.

mod common;

use camphorloft_standins::engine_http::EngineFault;
use common::{KEYS, TestCluster, generate, problem};

const TOKENS: u32 = 150;

/// Injects a fault into every engine that runs a generation.
fn inject_running(cluster: &TestCluster, fault: EngineFault) {
    for handle in &cluster.engines {
        if handle.engine.load_now().running > 0 {
            handle.engine.inject(fault);
        }
    }
}

#[test]
fn a_stream_continues_after_engine_crashes() {
    let cluster = TestCluster::start(1, 3);
    let mut stream = generate(cluster.host(), KEYS[0], "crash", TOKENS, None).ok().unwrap();
    stream.read(20);
    inject_running(&cluster, EngineFault::Crash(500));
    stream.read(40);
    inject_running(&cluster, EngineFault::Crash(500));
    stream.read_to_end(TOKENS);
    assert_eq!(cluster.violations(), 0);
}

#[test]
fn a_silent_connection_is_replaced() {
    let cluster = TestCluster::start(1, 1);
    let mut stream = generate(cluster.host(), KEYS[0], "silent", TOKENS, None).ok().unwrap();
    stream.read(20);
    cluster.engines[0].engine.inject(EngineFault::SilenceStreams);
    stream.read_to_end(TOKENS);
    // The engine never stopped, so it must not have started the request twice.
    let started: u32 = cluster.engines[0].engine.record().started.values().sum();
    assert_eq!(started, 1);
}

#[test]
fn a_slow_engine_is_not_abandoned() {
    let cluster = TestCluster::start(1, 1);
    let mut stream = generate(cluster.host(), KEYS[0], "slow", TOKENS, None).ok().unwrap();
    stream.read(20);
    cluster.engines[0].engine.inject(EngineFault::Freeze(4000));
    stream.read_to_end(TOKENS);
    let started: u32 = cluster.engines[0].engine.record().started.values().sum();
    assert_eq!(started, 1);
}

#[test]
fn a_stream_is_resumed_on_another_host() {
    let cluster = TestCluster::start(2, 2);
    let mut stream = generate(cluster.host(), KEYS[0], "resume", TOKENS, None).ok().unwrap();
    stream.read(30);
    let resumed =
        generate(cluster.hosts[1].addr, KEYS[0], "resume", TOKENS, Some((&stream, false)));
    resumed.ok().unwrap().read_to_end(TOKENS);
    let started: u32 =
        cluster.engines.iter().map(|e| e.engine.record().started.values().sum::<u32>()).sum();
    assert_eq!(started, 1);
}

#[test]
fn a_stream_survives_the_loss_of_host_and_engine_together() {
    let mut cluster = TestCluster::start(2, 2);
    let mut stream = generate(cluster.host(), KEYS[0], "both", TOKENS, None).ok().unwrap();
    stream.read(30);
    inject_running(&cluster, EngineFault::Crash(300_000));
    drop(cluster.hosts.remove(0));
    // Any host can continue the stream with the delivered text, and none without it.
    let mut refused =
        generate(cluster.host(), KEYS[0], "both", TOKENS, Some((&stream, false))).err().unwrap();
    assert_eq!(refused.status(), 410);
    assert_eq!(problem(&mut refused)["outcome"], "unknown");
    let resumed = generate(cluster.host(), KEYS[0], "both", TOKENS, Some((&stream, true)));
    resumed.ok().unwrap().read_to_end(TOKENS);
}

#[test]
fn another_organisation_cannot_resume_a_stream() {
    let cluster = TestCluster::start(1, 1);
    let mut stream = generate(cluster.host(), KEYS[0], "own", TOKENS, None).ok().unwrap();
    stream.read(5);
    // Organisation two may not use the route and gets the same status as for an unknown route.
    let refused = generate(cluster.host(), KEYS[1], "own", TOKENS, Some((&stream, false)));
    assert_eq!(refused.err().unwrap().status(), 404);
    stream.last_id = Some("AAAA".repeat(20));
    let mut refused =
        generate(cluster.host(), KEYS[0], "own", TOKENS, Some((&stream, false))).err().unwrap();
    assert_eq!(refused.status(), 400);
    assert_eq!(problem(&mut refused)["code"], "bad_last_event_id");
}

#[test]
fn text_that_was_not_delivered_is_not_continued() {
    let cluster = TestCluster::start(1, 1);
    let mut stream = generate(cluster.host(), KEYS[0], "forged", TOKENS, None).ok().unwrap();
    stream.read(5);
    stream.text.push_str(" forged");
    let mut refused =
        generate(cluster.host(), KEYS[0], "forged", TOKENS, Some((&stream, true))).err().unwrap();
    assert_eq!(problem(&mut refused)["code"], "wrong_delivered_text");
}

#[test]
fn a_poison_request_is_refused_after_three_crashes() {
    let cluster = TestCluster::start(1, 4);
    let refused = generate(cluster.host(), KEYS[0], "POISON", TOKENS, None).err().unwrap();
    assert!(refused.status() == 422 || refused.status() == 503);
    let crashes: u32 = cluster
        .engines
        .iter()
        .map(|e| e.engine.record().poison_crashes.values().sum::<u32>())
        .sum();
    assert!(crashes <= 3, "{crashes} crashes");
    let mut again = generate(cluster.host(), KEYS[0], "POISON", TOKENS, None).err().unwrap();
    assert_eq!(problem(&mut again)["outcome"], "not_run");
}
