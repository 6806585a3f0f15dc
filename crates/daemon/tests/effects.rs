//! A service call that is not idempotent takes effect at most once.

mod common;

use camphorloft_standins::platform::PlatformFault;
use camphorloft_standins::service::ServiceFault;
use common::{TestCluster, problem, reserve, wait_until};

fn total_effects(cluster: &TestCluster) -> u64 {
    cluster.service.service.effects().values().sum()
}

#[test]
fn a_repeated_call_gets_the_first_response() {
    let cluster = TestCluster::start(2, 1);
    let mut first = reserve(cluster.hosts[0].addr, "k", "roller");
    assert_eq!(first.status(), 200);
    let first_body = first.body_mut().read_to_string().unwrap();
    // The other host replays the response from the claim once the outcome is recorded.
    wait_until("the outcome is recorded", || {
        let mut again = reserve(cluster.hosts[1].addr, "k", "roller");
        let replayed = again.headers().contains_key("camphorloft-replayed");
        replayed && again.body_mut().read_to_string().unwrap() == first_body
    });
    assert_eq!(total_effects(&cluster), 1);
}

#[test]
fn an_idempotency_key_of_another_call_is_refused() {
    let cluster = TestCluster::start(1, 1);
    assert_eq!(reserve(cluster.host(), "k", "roller").status(), 200);
    let mut other = reserve(cluster.host(), "k", "excavator");
    assert_eq!(other.status(), 422);
    assert_eq!(problem(&mut other)["outcome"], "not_run");
    assert_eq!(total_effects(&cluster), 1);
}

#[test]
fn a_call_whose_response_is_lost_has_an_unknown_outcome_and_is_not_repeated() {
    let cluster = TestCluster::start(1, 1);
    cluster.service.service.inject(ServiceFault::LoseAnswers(1));
    let mut lost = reserve(cluster.host(), "k", "roller");
    assert_eq!(problem(&mut lost)["outcome"], "unknown");
    for _ in 0..5 {
        let mut again = reserve(cluster.host(), "k", "roller");
        assert_eq!(problem(&mut again)["outcome"], "unknown");
    }
    assert_eq!(total_effects(&cluster), 1);
}

#[test]
fn a_call_during_a_platform_outage_is_refused_without_running() {
    let cluster = TestCluster::start(1, 1);
    cluster.platform.platform.state().inject(PlatformFault::Outage(60_000));
    let mut refused = reserve(cluster.host(), "k", "roller");
    assert_eq!(refused.status(), 503);
    assert_eq!(problem(&mut refused)["outcome"], "not_run");
    assert_eq!(total_effects(&cluster), 0);
}

#[test]
fn a_lost_platform_response_does_not_fail_the_call() {
    let cluster = TestCluster::start(1, 1);
    cluster.platform.platform.state().inject(PlatformFault::LoseAnswers(1));
    assert_eq!(reserve(cluster.host(), "k", "roller").status(), 200);
    assert_eq!(total_effects(&cluster), 1);
}

#[test]
fn concurrent_repeated_calls_have_one_effect() {
    let cluster = TestCluster::start(2, 1);
    let addresses = [cluster.hosts[0].addr, cluster.hosts[1].addr];
    std::thread::scope(|scope| {
        for ix in 0..16 {
            scope.spawn(move || reserve(addresses[ix % 2], "k", "roller"));
        }
    });
    assert_eq!(total_effects(&cluster), 1);
}

#[test]
fn a_claim_of_a_dead_process_has_an_unknown_outcome_and_is_not_in_progress() {
    use camphorloft_platform::claim::{ClaimKey, ClaimRecord, ClaimState};
    use camphorloft_platform::wire::{Expect, Write};
    let cluster = TestCluster::start(1, 1);
    // The same call with another key provides a record as this host writes it.
    assert_eq!(reserve(cluster.host(), "other", "roller").status(), 200);
    let (organisation, service) = ("one".parse().unwrap(), "booking".parse().unwrap());
    let other = ClaimKey::new(&organisation, &service, "other");
    let read = || cluster.platform.platform.state().read("claims", other.as_str()).unwrap();
    let mut record: ClaimRecord = serde_json::from_str(&read().value).unwrap();
    record.state = ClaimState::Claimed;
    record.started_ms -= 1;
    let write = Write {
        key: ClaimKey::new(&organisation, &service, "k").as_str().to_owned(),
        expect: Expect::Absent,
        value: serde_json::to_string(&record).ok(),
    };
    cluster.platform.platform.state().transact("claims", &[write]).unwrap();
    let mut again = reserve(cluster.host(), "k", "roller");
    assert_eq!(problem(&mut again)["code"], "outcome_unknown");
    assert_eq!(total_effects(&cluster), 1);
}

#[test]
fn a_call_without_an_idempotency_key_is_refused() {
    let cluster = TestCluster::start(1, 1);
    let mut refused = reserve(cluster.host(), "", "roller");
    assert_eq!(problem(&mut refused)["code"], "missing_idempotency_key");
    assert_eq!(total_effects(&cluster), 0);
}
