//! Checks that a stream is split into the same events regardless of how its bytes are chunked.

use camphorloft_host::event_id::EventId;
use camphorloft_host::event_splitter::EventSplitter;
use proptest::prelude::*;

/// Bytes and ID of an event.
type Split = (Vec<u8>, Option<EventId>);

/// Splits `bytes`, pushed in chunks that end at `cuts`. Returns the events and the incomplete rest.
fn split(bytes: &[u8], cuts: &[usize]) -> (Vec<Split>, Vec<u8>) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
    cuts.extend([0, bytes.len()]);
    cuts.sort_unstable();
    for part in cuts.windows(2) {
        assert!(splitter.push(&bytes[part[0]..part[1]]));
        while let Some(event) = splitter.next_event() {
            events.push((event.bytes.to_vec(), event.id));
        }
    }
    (events, splitter.take_partial().to_vec())
}

proptest! {
    #[test]
    fn chunking_does_not_change_events(
        text in "(id: ?[0-9]{1,3}\r?\n|data: [a-z]{0,5}\n|\n|\r\n|:x\n){0,40}[a-z:\r]{0,5}",
        cuts in prop::collection::vec(any::<usize>(), 0..20),
    ) {
        let whole = split(text.as_bytes(), &[]);
        prop_assert_eq!(&split(text.as_bytes(), &cuts), &whole);
        let (events, rest) = whole;
        let mut joined: Vec<u8> = events.into_iter().flat_map(|(bytes, _)| bytes).collect();
        joined.extend(rest);
        prop_assert_eq!(joined, text.as_bytes());
    }

    #[test]
    fn chunking_does_not_change_events_of_arbitrary_bytes(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
        cuts in prop::collection::vec(any::<usize>(), 0..8),
    ) {
        prop_assert_eq!(split(&bytes, &cuts), split(&bytes, &[]));
    }
}
