//! Property tests of event identifiers, request bodies and the digest of delivered text.

use camphorloft_gateway::event_id::{EventId, EventIdKey};
use camphorloft_gateway::request::{ApiKind, GenerationRequest};
use camphorloft_gateway::transcript::Transcript;
use camphorloft_types::prelude::*;
use proptest::prelude::*;

fn key() -> EventIdKey {
    EventIdKey::derive(b"secret", &"org".parse().unwrap())
}

proptest! {
    #[test]
    fn any_text_is_rejected_without_a_panic(text: String) {
        prop_assert!(key().verify(&text).is_err());
    }

    #[test]
    fn a_changed_identifier_is_rejected(
        generation: u128, attempt: u32, offset: u32, text_digest: u64,
        position: prop::sample::Index, replacement in "[A-Za-z0-9_-]",
    ) {
        let id = EventId {
            generation: GenerationId(generation),
            attempt: Attempt(attempt),
            offset,
            text_digest,
            endpoint: "e-1".parse().unwrap(),
        };
        let signed = key().sign(&id);
        prop_assert_eq!(key().verify(&signed).unwrap(), id);
        let ix = position.index(signed.len());
        let mut changed = signed.clone();
        changed.replace_range(ix..=ix, &replacement);
        if changed != signed {
            prop_assert!(key().verify(&changed).is_err());
        }
    }

    #[test]
    fn any_body_is_parsed_or_rejected_as_not_run(body: Vec<u8>) {
        if let Err(problem) = GenerationRequest::parse(ApiKind::Chat, &body) {
            prop_assert_eq!(problem.outcome, Outcome::NotRun);
        }
    }

    #[test]
    fn the_digest_does_not_depend_on_where_a_stream_was_resumed(
        tokens in proptest::collection::vec(" [a-z]{1,8}", 1..40),
        at: prop::sample::Index,
    ) {
        let mut whole = Transcript::new();
        for token in &tokens {
            whole.push(token);
        }
        let split = at.index(tokens.len());
        let mut first = Transcript::new();
        for token in &tokens[..split] {
            first.push(token);
        }
        for text in [None, first.text()] {
            let resumed = Transcript::resumed(text, first.tokens(), first.digest());
            let mut resumed = resumed.unwrap();
            for token in &tokens[split..] {
                resumed.push(token);
            }
            prop_assert_eq!(resumed.digest(), whole.digest());
            prop_assert_eq!(resumed.tokens(), whole.tokens());
        }
    }
}
