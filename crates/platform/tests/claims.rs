//! A claim is granted at most once, even when responses are lost.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use camphorloft_platform::api::{PlatformApi, Table};
use camphorloft_platform::budget::{CallBudget, CallClass};
use camphorloft_platform::claim::{
    ClaimDecision, ClaimKey, ClaimRecord, ClaimState, StoredResponse,
};
use camphorloft_platform::claim_batch::{ClaimBatch, ClaimRequest};
use camphorloft_platform::claims::start_claim_service;
use camphorloft_platform::wire::{Conflict, Row};
use camphorloft_standins::platform_fake::{FakePlatform, ScriptedOutcome};
use proptest::prelude::*;

fn key(name: &str) -> ClaimKey {
    ClaimKey::new(&"org".parse().unwrap(), &"booking".parse().unwrap(), name)
}

fn request(name: &str, nonce: &str) -> ClaimRequest {
    let record = ClaimRecord {
        nonce: nonce.to_owned(),
        host: "h".parse().unwrap(),
        started_ms: 1,
        fingerprint: "f".to_owned(),
        state: ClaimState::Claimed,
    };
    ClaimRequest { key: key(name), record }
}

fn budget() -> CallBudget {
    CallBudget::new(100_000.0, 1000.0, Instant::now())
}

#[test]
fn a_lost_response_is_resolved_by_the_nonce() {
    let platform = Arc::new(FakePlatform::default());
    platform.script([ScriptedOutcome::ResponseLost]);
    let client = start_claim_service(platform.clone(), budget());
    assert_eq!(client.claim(request("k", "n1")), ClaimDecision::Granted);
    assert!(matches!(client.claim(request("k", "n2")), ClaimDecision::Existing(_)));
}

#[test]
fn a_claim_during_an_outage_is_rejected_and_later_released() {
    let platform = Arc::new(FakePlatform::default());
    // The first transaction is applied but its response is lost; then the platform rejects all calls
    // until the claim timeout.
    platform.script(
        std::iter::once(ScriptedOutcome::ResponseLost).chain([ScriptedOutcome::Rejected; 200]),
    );
    let client = start_claim_service(platform.clone(), budget());
    assert_eq!(client.claim(request("k", "n1")), ClaimDecision::Unconfirmed);
    // The release is written as soon as the platform is available, so a repetition is granted.
    let decision = loop {
        match client.claim(request("k", "n2")) {
            ClaimDecision::Unconfirmed | ClaimDecision::Existing(_) => {
                std::thread::sleep(Duration::from_millis(20));
            }
            decision => break decision,
        }
    };
    assert_eq!(decision, ClaimDecision::Granted);
}

#[test]
fn a_stored_response_is_returned_to_a_repeated_claim() {
    let platform = Arc::new(FakePlatform::default());
    let client = start_claim_service(platform, budget());
    let first = request("k", "n1");
    assert_eq!(client.claim(first.clone()), ClaimDecision::Granted);
    let response = StoredResponse {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: Some("a".to_owned()),
    };
    let state = ClaimState::Done(response);
    client.record(first.key.clone(), ClaimRecord { state: state.clone(), ..first.record });
    let stored = loop {
        match client.claim(request("k", "n2")) {
            ClaimDecision::Existing(record) if record.state == state => break record,
            ClaimDecision::Existing(_) => std::thread::sleep(Duration::from_millis(5)),
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(stored.nonce, "n1");
}

#[test]
fn a_class_leaves_a_reserve_for_more_important_classes() {
    let now = Instant::now();
    let mut budget = CallBudget::new(10.0, 5.0, now);
    let mut taken = 0;
    while budget.try_take(CallClass::Statistics, now) {
        taken += 1;
    }
    assert_eq!(taken, 1);
    assert!(budget.try_take(CallClass::Config, now));
    assert!(budget.try_take(CallClass::Lease, now));
    assert!(budget.try_take(CallClass::Claim, now));
}

fn any_outcome() -> impl Strategy<Value = ScriptedOutcome> {
    prop_oneof![
        3 => Just(ScriptedOutcome::Completed),
        1 => Just(ScriptedOutcome::ResponseLost),
        1 => Just(ScriptedOutcome::RequestLost),
        1 => Just(ScriptedOutcome::Rejected)
    ]
}

proptest! {
    /// Batches of claims for a few keys, with lost requests and responses, must not grant a key
    /// twice.
    #[test]
    fn a_key_is_granted_at_most_once(
        batches in proptest::collection::vec(
            (
                proptest::collection::btree_set(0_u8..5, 1..5),
                proptest::collection::vec(any_outcome(), 0..4),
            ),
            1..12,
        ),
    ) {
        let platform = FakePlatform::default();
        let mut granted: BTreeMap<u8, u32> = BTreeMap::new();
        for (number, (keys, outcomes)) in batches.iter().enumerate() {
            let requests =
                keys.iter().map(|k| request(&k.to_string(), &format!("{number}-{k}"))).collect();
            let mut batch = ClaimBatch::new(requests);
            platform.script(outcomes.iter().copied());
            for _ in 0..outcomes.len() + 1 {
                let writes = batch.writes();
                if writes.is_empty() {
                    break;
                }
                match platform.transact(Table::Claims, &writes) {
                    Ok(camphorloft_platform::api::TransactOutcome::Applied) => batch.handle_applied(),
                    Ok(camphorloft_platform::api::TransactOutcome::Conflicts(conflicts)) => {
                        batch.handle_conflicts(&conflicts);
                    }
                    Err(_) => batch.handle_lost_response(),
                }
            }
            // Discards the remaining scripted outcomes, which belong to this batch only.
            while platform.transact(Table::Leases, &[]).is_err() {}
            let (decided, _) = batch.finish();
            for ((_, decision), key) in decided.iter().zip(keys) {
                if *decision == ClaimDecision::Granted {
                    *granted.entry(*key).or_default() += 1;
                }
            }
        }
        prop_assert!(granted.values().all(|count| *count <= 1), "{granted:?}");
    }
}

#[test]
fn a_released_claim_is_replaced_conditionally_on_its_version() {
    let released = ClaimRecord { state: ClaimState::Released, ..request("k", "old").record };
    let row = Row { version: 3, value: serde_json::to_string(&released).unwrap() };
    let mut batch = ClaimBatch::new(vec![request("k", "new")]);
    assert_eq!(batch.writes().len(), 1);
    batch.handle_conflicts(&[Conflict { index: 0, row: Some(row) }]);
    let writes = batch.writes();
    assert_eq!(writes[0].expect, camphorloft_platform::wire::Expect::Version(3));
}
