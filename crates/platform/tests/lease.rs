//! Two hosts never hold a lease at the same time, even with pauses and lost requests or responses.

use std::time::{Duration, Instant};

use camphorloft_platform::api::{PlatformApi, Table, TransactOutcome};
use camphorloft_platform::lease::{Lease, LeaseAction};
use camphorloft_standins::platform_fake::{FakePlatform, ScriptedOutcome};
use proptest::prelude::*;

/// One step of a host: time that passes, and the outcome of its write.
#[derive(Clone, Copy, Debug)]
struct Step {
    host: usize,
    elapsed_ms: u64,
    outcome: ScriptedOutcome,
}

fn any_step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        4 => Just(ScriptedOutcome::Completed),
        1 => Just(ScriptedOutcome::ResponseLost),
        1 => Just(ScriptedOutcome::RequestLost),
        1 => Just(ScriptedOutcome::Rejected)
    ];
    (0_usize..3, 0_u64..6000, outcome).prop_map(|(host, elapsed_ms, outcome)| Step {
        host,
        elapsed_ms,
        outcome,
    })
}

/// Polls a lease and runs the resulting action against the platform.
fn poll_once(lease: &mut Lease, platform: &FakePlatform, now: Instant, outcome: ScriptedOutcome) {
    match lease.poll(now, true) {
        LeaseAction::Wait => {}
        LeaseAction::Read => {
            let row = platform.read(Table::Leases, lease.key()).unwrap();
            lease.observe(now, row.as_ref());
        }
        LeaseAction::Write(write) => {
            platform.script([outcome]);
            match platform.transact(Table::Leases, &[write]) {
                Ok(TransactOutcome::Applied) => lease.write_applied(),
                Ok(TransactOutcome::Conflicts(conflicts)) => {
                    lease.write_conflicted(now, conflicts[0].row.as_ref());
                }
                Err(_) => {}
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn at_most_one_holder_with_ascending_fencing_tokens(
        steps in proptest::collection::vec(any_step(), 1..80),
    ) {
        let platform = FakePlatform::default();
        let mut leases: Vec<Lease> = (0..3)
            .map(|ix| Lease::new("zone-a", format!("h{ix}").parse().unwrap(), ix))
            .collect();
        let mut now = Instant::now();
        let mut highest = 0;
        for step in steps {
            now += Duration::from_millis(step.elapsed_ms);
            poll_once(&mut leases[step.host], &platform, now, step.outcome);
            let held: Vec<u64> =
                leases.iter().filter_map(|lease| lease.fencing(now)).map(|f| f.0).collect();
            prop_assert!(held.len() <= 1, "held with fencing tokens {held:?}");
            if let Some(fencing) = held.first() {
                prop_assert!(*fencing >= highest, "fencing token decreased from {highest} to {fencing}");
                highest = *fencing;
            }
        }
    }
}

#[test]
fn a_lease_is_acquired_by_another_host_after_its_holder_stops() {
    let platform = FakePlatform::default();
    let mut holder = Lease::new("k", "h0".parse().unwrap(), 0);
    let mut other = Lease::new("k", "h1".parse().unwrap(), 1);
    let mut now = Instant::now();
    for _ in 0..3 {
        poll_once(&mut holder, &platform, now, ScriptedOutcome::Completed);
    }
    let first = holder.fencing(now).unwrap();
    for _ in 0..20 {
        now += Duration::from_secs(1);
        poll_once(&mut other, &platform, now, ScriptedOutcome::Completed);
    }
    assert!(other.fencing(now).unwrap() > first);
    assert_eq!(holder.fencing(now), None);
}
