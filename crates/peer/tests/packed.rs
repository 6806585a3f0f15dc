//! Compressed sets: every set survives a round trip, and arbitrary bytes are rejected safely.

use camphorloft_peer::packed::{MAX_UNPACKED_BYTES, PackedSet};
use proptest::prelude::*;

proptest! {
    #[test]
    fn any_set_survives_a_round_trip(set in prop::collection::vec(any::<u8>(), 0..4_096)) {
        prop_assert_eq!(PackedSet::pack(&set).unwrap().unpack().unwrap(), set);
    }

    #[test]
    fn arbitrary_bytes_are_unpacked_safely(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        // The result does not matter: unpacking must neither panic nor grow without bound.
        let _ = PackedSet::from(bytes).unpack();
    }
}

#[test]
fn a_small_frame_that_unpacks_beyond_the_limit_is_rejected() {
    let zeros = vec![0; MAX_UNPACKED_BYTES as usize + 1];
    let packed = PackedSet::pack(&zeros).unwrap();
    assert!(packed.bytes().len() < 200_000);
    assert!(packed.unpack().is_err());
}

/// Guards against a configuration of 1,800 routes that occupies a link of 10 Mbit/s for longer than
/// a stream may pause.
#[test]
fn a_configuration_of_many_routes_is_sent_over_a_slow_link_within_a_pause() {
    let route = |ix: u32| {
        format!(
            r#"{{"name":"r-{:07x}","host":"h{}.example","prefix":"/p{:x}/","kind":"idempotent","timeout-ms":1000,"max-attempts":2,"service":"s-{}","latency-goal-ms":400,"priority":2}}"#,
            ix.wrapping_mul(2_654_435_761) >> 4,
            ix % 7,
            ix.wrapping_mul(40_503),
            ix % 3
        )
    };
    let set: Vec<String> = (0..1_800).map(route).collect();
    let packed = PackedSet::pack(set.join(",").as_bytes()).unwrap();
    let link_bytes_per_ms = 10_000_000 / 8 / 1_000;
    let transfer_ms = packed.bytes().len() / link_bytes_per_ms;
    assert!(transfer_ms < 180, "{transfer_ms} ms for {} bytes", packed.bytes().len());
}
