//! Verification of an object set reports every finding with its path.

use camphorloft_config::{RawSet, SetDelta, verify};
use proptest::prelude::*;

const BROKEN: &str = r#"{
  "models": { "m": { "max_output_tokens": 100 }, "n": { "max_output_tokens": "many" } },
  "adapters": { "a": { "model": "missing" }, "b": { "model": "m" } },
  "pools": {
    "p": {
      "endpoints": {
        "e1": { "address": "127.0.0.1:1", "region": "r", "zone": "z", "kv_tokens": 0, "models": ["m"] },
        "e2": { "address": "127.0.0.1:1", "region": "r", "zone": "z", "kv_tokens": 5, "models": ["x"] }
      }
    },
    "empty": { "endpoints": {} }
  },
  "objectives": { "o": { "stall": -1, "preemption": 0, "gap": 0 } },
  "organisations": {
    "one": { "key_hash": "zz", "weight": 1 },
    "two": { "key_hash": "00000000000000000000000000000000000000000000000000000000000000aa", "weight": 0 },
    "three": { "key_hash": "00000000000000000000000000000000000000000000000000000000000000aa", "weight": 1 }
  },
  "routes": {
    "Bad Name": { "model": "m", "pools": ["p"], "organisations": [] },
    "r": { "model": "m", "adapter": "a", "pools": ["p", "q"], "objective": "none", "organisations": ["four"] },
    "s": { "model": "m", "pools": ["empty"], "organisations": [], "colour": "red" }
  },
  "services": { "v": { "endpoints": [], "organisations": ["five"] } }
}"#;

#[test]
fn every_finding_has_its_path() {
    let raw = RawSet::parse(BROKEN).unwrap();
    let findings = verify(&raw).unwrap_err().in_file("set.json");
    insta::assert_snapshot!(findings.to_string());
}

#[test]
fn malformed_text_reports_line_and_column() {
    let findings = RawSet::parse("{\n  \"models\": {,}\n}").unwrap_err();
    assert_eq!(findings.0[0].path, "line 2 column 14");
}

#[test]
fn an_object_defined_twice_is_a_finding() {
    let text = r#"{"models": {"m": {"max_output_tokens": 1}, "m": {"max_output_tokens": 2}}}"#;
    let findings = RawSet::parse(text).unwrap_err();
    assert_eq!(findings.0[0].path, "/models/m");
}

/// Generates a set of models.
fn any_set() -> impl Strategy<Value = RawSet> {
    proptest::collection::btree_map("[a-e]", 1_u32..4, 0..6).prop_map(|models| {
        let objects = models.into_iter().map(|(name, tokens)| {
            (
                format!("models/{name}").parse().unwrap(),
                serde_json::json!({ "max_output_tokens": tokens }),
            )
        });
        RawSet { objects: objects.collect() }
    })
}

proptest! {
    #[test]
    fn delta_transforms_one_set_into_the_other(from in any_set(), to in any_set()) {
        let delta = SetDelta::between(&from, &to);
        prop_assert_eq!(delta.apply(&from).digest(), to.digest());
        let unchanged = delta.keys().into_iter().all(|key| from.objects.get(&key) != to.objects.get(&key));
        prop_assert!(unchanged);
    }

    #[test]
    fn text_round_trips(set in any_set()) {
        prop_assert_eq!(RawSet::parse(&set.to_value().to_string()).unwrap(), set);
    }
}
