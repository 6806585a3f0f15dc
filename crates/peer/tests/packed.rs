//! Compressed sets: any set comes back, and foreign bytes are refused without harm.

use camphorloft_peer::packed::{MAX_UNPACKED_BYTES, PackedSet};
use proptest::prelude::*;

proptest! {
    #[test]
    fn any_set_comes_back(set in prop::collection::vec(any::<u8>(), 0..4_096)) {
        prop_assert_eq!(PackedSet::pack(&set).unwrap().unpack().unwrap(), set);
    }

    #[test]
    fn foreign_bytes_end(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        // What it holds does not matter; it must neither panic nor grow without bound.
        let _ = PackedSet::from(bytes).unpack();
    }
}

#[test]
fn a_small_frame_that_unpacks_to_too_much_is_refused() {
    let zeros = vec![0; MAX_UNPACKED_BYTES as usize + 1];
    let packed = PackedSet::pack(&zeros).unwrap();
    assert!(packed.bytes().len() < 200_000);
    assert!(packed.unpack().is_err());
}

/// A configuration of 1,800 routes crosses a link of 10 Mbit/s in less than a pause that a stream
/// bears.
#[test]
fn a_configuration_of_many_routes_crosses_a_slow_link_within_a_pause() {
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
    let took_ms = packed.bytes().len() / link_bytes_per_ms;
    assert!(took_ms < 180, "{took_ms} ms for {} bytes", packed.bytes().len());
}
