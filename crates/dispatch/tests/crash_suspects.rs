//! Replays crashes of endpoints that requests with a common feature cause.

use std::time::{Duration, Instant};

use camphorloft_dispatch::crash_suspects::{CrashRecord, CrashSuspects, FeatureCrash, REFUSE_AT};
use camphorloft_types::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn part(name: &str) -> RequestFeature {
    RequestFeature::of_prompt_part(name)
}

fn crash(suspects: &mut CrashSuspects, endpoint: u64, features: &[RequestFeature], at: Instant) {
    for feature in features {
        suspects.record_crash(FeatureCrash { feature: *feature, endpoint, at });
    }
}

fn finish(suspects: &mut CrashSuspects, features: &[RequestFeature], at: Instant) {
    for feature in features {
        suspects.record_finished(*feature, at);
    }
}

#[test]
fn parts_of_sound_requests_on_crashing_engines_are_not_refused() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut suspects = CrashSuspects::default();
        let start = Instant::now();
        let (shared, poison) = (part("shared"), part("poison"));
        let siblings: Vec<_> = (0..20).map(|number| part(&format!("sibling-{number}"))).collect();
        let (mut poison_crashes, mut sound_refused, mut sound) = (0, 0, 0);
        for step in 0..600_u64 {
            let now = start + Duration::from_millis(100 * step);
            let mut draw = || siblings[rng.random_range(0..siblings.len())];
            let (requested, interrupted) = ([shared, draw()], [shared, draw()]);
            sound += 1;
            match suspects.find_refused(&requested) {
                Some(_) => sound_refused += 1,
                None => finish(&mut suspects, &requested, now),
            }
            // Another sound request is interrupted by each crash.
            let crashing = [shared, draw(), poison];
            if step > 50 && step % 5 == 0 && suspects.find_refused(&crashing).is_none() {
                poison_crashes += 1;
                crash(&mut suspects, step, &crashing, now);
                crash(&mut suspects, step, &interrupted, now);
            }
        }
        assert_eq!(poison_crashes, REFUSE_AT, "seed {seed}");
        assert!(sound_refused * 100 <= sound, "seed {seed}: {sound_refused} of {sound}");
    }
}

/// All engines crash at once again and again, so that no request finishes for a while.
#[test]
fn features_that_cannot_be_told_apart_are_refused_only_together() {
    let mut suspects = CrashSuspects::default();
    let now = Instant::now();
    let (first, caller, poison) = (part("first"), part("caller"), part("poison"));
    for endpoint in 0..5 {
        crash(&mut suspects, endpoint, &[first, caller, poison], now);
    }
    assert!(suspects.find_refused(&[first, caller, poison]).is_some());
    assert!(suspects.find_refused(&[first, caller]).is_none());
    // A request with the part and another client is let through once, and distinguishes the part.
    assert!(suspects.find_refused(&[first, part("other"), poison]).is_none());
    crash(&mut suspects, 6, &[first, part("other"), poison], now);
    finish(&mut suspects, &[first, caller], now + Duration::from_secs(1));
    assert!(suspects.find_refused(&[part("third"), poison]).is_some());
    assert!(suspects.find_refused(&[first, caller]).is_none());
}

#[test]
fn crash_reported_by_several_hosts_counts_once() {
    let mut suspects = CrashSuspects::default();
    let (now, poison) = (Instant::now(), part("poison"));
    for _ in 0..10 {
        crash(&mut suspects, 1, &[poison], now);
        crash(&mut suspects, 2, &[poison], now);
    }
    assert!(suspects.find_refused(&[poison]).is_none());
    assert!(!suspects.may_resend(&[poison]));
}

#[test]
fn crash_of_a_feature_that_finishes_is_refuted() {
    let mut suspects = CrashSuspects::default();
    let (now, feature) = (Instant::now(), part("sound"));
    for endpoint in 0..4 {
        crash(&mut suspects, endpoint, &[feature], now);
    }
    assert!(suspects.find_refused(&[feature]).is_some());
    // A request that was sent before the refusal finishes.
    assert!(suspects.record_finished(feature, now));
    assert!(suspects.find_refused(&[feature]).is_none());
    let late = FeatureCrash { feature, endpoint: 9, at: now + Duration::from_secs(10) };
    assert_eq!(suspects.record_crash(late), CrashRecord::Refuted);
    // Long after, the feature may have become one that crashes endpoints.
    let later = FeatureCrash { at: now + Duration::from_secs(60), ..late };
    assert_eq!(suspects.record_crash(later), CrashRecord::New);
}

#[test]
fn tables_are_bounded() {
    let mut suspects = CrashSuspects::default();
    let now = Instant::now();
    for number in 0..100_000 {
        crash(&mut suspects, number, &[part(&number.to_string())], now);
        crash(&mut suspects, number, &[part("one")], now);
    }
    assert!(suspects.repeated(usize::MAX).len() <= 16);
    suspects.purge(now + Duration::from_secs(3600));
    assert_eq!(suspects.crashes(part("one")), 0);
}

/// All requests with a sound part are interrupted by crashes at first, and from then on refused.
#[test]
fn sound_part_whose_requests_were_all_interrupted_is_refused_for_good() {
    let mut suspects = CrashSuspects::default();
    let start = Instant::now();
    let (sound, poison) = (part("sound"), part("poison"));
    for endpoint in 0..4 {
        crash(&mut suspects, endpoint, &[sound, poison], start);
    }
    crash(&mut suspects, 4, &[sound], start);
    assert_eq!(suspects.find_refused(&[sound]), Some(&[sound][..]));
    let (mut let_through, mut served) = (0, 0);
    for second in 1..=60 {
        let now = start + Duration::from_secs(second);
        if suspects.find_refused(&[sound]).is_none() || suspects.begin_probe(&[sound], now) {
            finish(&mut suspects, &[sound], now);
            served += 1;
        }
        let group = suspects.find_refused(&[poison]).map(<[RequestFeature]>::to_vec);
        if group.is_none_or(|group| suspects.begin_probe(&group, now)) {
            crash(&mut suspects, 100 + second, &[poison], now);
            let_through += 1;
        }
    }
    assert!(served >= 10, "{served} of 60 served");
    assert!(let_through <= 3, "{let_through} of 60 let through");
}
