//! Of concurrent proposals at most one is accepted, even when responses are lost.

use std::sync::Arc;

use camphorloft_config::RawSet;
use camphorloft_platform::publication::{
    Proposal, ProposeError, VersionedSet, fetch_current, fetch_since, propose, read_proposal,
};
use camphorloft_standins::platform_fake::{FakePlatform, ScriptedOutcome};
use camphorloft_types::prelude::ConfigVersion;
use proptest::prelude::*;

fn set(tokens: u32) -> RawSet {
    let text = format!(r#"{{"models": {{"m": {{"max_output_tokens": {tokens}}}}}}}"#);
    RawSet::parse(&text).unwrap()
}

fn proposal(id: &str, base: u64, tokens: u32) -> Proposal {
    let (id, author) = (id.to_owned(), "test".to_owned());
    Proposal { id, author, base: ConfigVersion(base), set: set(tokens) }
}

#[test]
fn a_proposal_whose_response_is_lost_is_accepted_once() {
    let platform = FakePlatform::default();
    platform.script([ScriptedOutcome::ResponseLost]);
    assert_eq!(propose(&platform, &proposal("a", 0, 1)).unwrap(), ConfigVersion(1));
    assert_eq!(fetch_current(&platform).unwrap().version, ConfigVersion(1));
    // The operator repeats the command with the same identifier.
    assert_eq!(propose(&platform, &proposal("a", 0, 1)).unwrap(), ConfigVersion(1));
    assert_eq!(fetch_current(&platform).unwrap().version, ConfigVersion(1));
}

#[test]
fn a_proposal_on_an_old_base_lists_conflicting_objects() {
    let platform = FakePlatform::default();
    propose(&platform, &proposal("a", 0, 1)).unwrap();
    propose(&platform, &proposal("b", 1, 2)).unwrap();
    match propose(&platform, &proposal("c", 1, 3)) {
        Err(ProposeError::Superseded(version, conflicting)) => {
            assert_eq!(version, ConfigVersion(2));
            assert_eq!(
                conflicting.iter().map(ToString::to_string).collect::<Vec<_>>(),
                ["models/m"]
            );
        }
        other => panic!("{other:?}"),
    }
    assert_eq!(read_proposal(&platform, "c").unwrap(), None);
}

#[test]
fn an_undetermined_proposal_can_be_looked_up() {
    let platform = FakePlatform::default();
    platform.script([ScriptedOutcome::RequestLost; 8]);
    let result = propose(&platform, &proposal("a", 0, 1));
    assert!(matches!(result, Err(ProposeError::Undetermined(..))));
    assert_eq!(read_proposal(&platform, "a").unwrap(), None);
    assert_eq!(propose(&platform, &proposal("a", 0, 1)).unwrap(), ConfigVersion(1));
}

#[test]
fn one_of_several_concurrent_proposals_is_accepted() {
    const PROPOSERS: u32 = 8;
    let platform = Arc::new(FakePlatform::default());
    propose(&*platform, &proposal("first", 0, 1)).unwrap();
    let proposer = |ix: u32| {
        let platform = platform.clone();
        std::thread::spawn(move || propose(&*platform, &proposal(&format!("r{ix}"), 1, ix + 2)))
    };
    let threads: Vec<_> = (0..PROPOSERS).map(proposer).collect();
    let results: Vec<_> = threads.into_iter().map(|thread| thread.join().unwrap()).collect();
    let accepted = results.iter().filter(|result| result.is_ok()).count();
    assert_eq!(accepted, 1);
    assert_eq!(fetch_current(&*platform).unwrap().version, ConfigVersion(2));
}

fn any_outcome() -> impl Strategy<Value = ScriptedOutcome> {
    prop_oneof![
        Just(ScriptedOutcome::Completed),
        Just(ScriptedOutcome::ResponseLost),
        Just(ScriptedOutcome::RequestLost),
        Just(ScriptedOutcome::Rejected)
    ]
}

proptest! {
    #[test]
    fn versions_ascend_and_deltas_produce_the_newest_set(
        outcomes in proptest::collection::vec(any_outcome(), 0..60),
        bases in proptest::collection::vec(0_u64..12, 1..12),
    ) {
        let platform = FakePlatform::default();
        platform.script(outcomes);
        let mut accepted = 0;
        let mut follower = VersionedSet::default();
        for (ix, base) in bases.iter().enumerate() {
            let result = propose(&platform, &proposal(&format!("p{ix}"), *base, ix as u32 + 1));
            let current = fetch_current(&platform).unwrap();
            if let Ok(version) = result {
                prop_assert_eq!(version, current.version);
                prop_assert_eq!(version.0, base + 1);
                accepted += 1;
            }
            // A proposal that was definitely rejected must not have been published.
            if matches!(result, Err(ProposeError::Superseded(..) | ProposeError::Platform(_))) {
                prop_assert_eq!(read_proposal(&platform, &format!("p{ix}")).unwrap(), None);
            }
            if let Some(next) = fetch_since(&platform, &follower).unwrap() {
                prop_assert!(next.version > follower.version);
                prop_assert_eq!(&next, &current);
                follower = next;
            }
        }
        prop_assert!(fetch_current(&platform).unwrap().version.0 >= accepted);
    }
}
