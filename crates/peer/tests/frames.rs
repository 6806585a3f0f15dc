//! Corrupted, truncated and replayed frames are rejected.

use std::io;

use camphorloft_peer::convert::message_from_wire;
use camphorloft_peer::replay::ReplayGuard;
use camphorloft_peer::seal::{FrameError, FrameKeys};
use camphorloft_peer::stream::{read_frame, write_frame};
use camphorloft_peer::wire::{WireConfigReply, WireConfigRequest, WireDatagram};
use proptest::prelude::*;
use prost::Message;

fn keys() -> FrameKeys {
    FrameKeys::derive(&[b"one secret of many".to_vec()])
}

proptest! {
    #[test]
    fn any_changed_byte_is_detected(payload: Vec<u8>, position: prop::sample::Index, change in 1_u8..) {
        let mut frame = keys().seal(&payload);
        let ix = position.index(frame.len());
        frame[ix] ^= change;
        prop_assert_eq!(keys().open(&frame), Err(FrameError::InvalidTag));
    }

    #[test]
    fn arbitrary_bytes_are_rejected_without_a_panic(frame: Vec<u8>) {
        prop_assert!(keys().open(&frame).is_err());
        if let Ok(datagram) = WireDatagram::decode(frame.as_slice()) {
            let _ = message_from_wire(&datagram);
        }
    }

    #[test]
    fn a_truncated_stream_is_an_error(
        version: u64,
        set: Vec<u8>,
        endpoints: Vec<u8>,
        length: prop::sample::Index,
    ) {
        let mut bytes = Vec::new();
        let reply = WireConfigReply {
            version,
            packed_set: set,
            packed_endpoints: endpoints,
            evacuations: None,
        };
        write_frame(&mut bytes, &keys(), &reply).unwrap();
        let whole: WireConfigReply = read_frame(&mut bytes.as_slice(), &keys()).unwrap();
        prop_assert_eq!(&whole, &reply);
        let truncated = &bytes[..length.index(bytes.len())];
        let result: io::Result<WireConfigReply> = read_frame(&mut &truncated[..], &keys());
        prop_assert_eq!(result.unwrap_err().kind(), io::ErrorKind::UnexpectedEof);
    }

    #[test]
    fn a_sequence_number_is_accepted_once(sequences in proptest::collection::vec(0_u64..200, 1..200)) {
        let host = "h".parse().unwrap();
        let mut guard = ReplayGuard::default();
        let mut accepted = std::collections::BTreeSet::new();
        for sequence in sequences {
            if guard.accept(&host, 1, sequence) {
                prop_assert!(accepted.insert(sequence));
            }
        }
    }
}

#[test]
fn a_frame_sealed_with_another_secret_is_rejected_over_tcp() {
    let mut bytes = Vec::new();
    let other = FrameKeys::derive(&[b"another secret".to_vec()]);
    write_frame(
        &mut bytes,
        &other,
        &WireConfigRequest { known: 1, ..WireConfigRequest::default() },
    )
    .unwrap();
    let result: io::Result<WireConfigRequest> = read_frame(&mut bytes.as_slice(), &keys());
    assert_eq!(result.unwrap_err().kind(), io::ErrorKind::InvalidData);
}
