//! Entries that lapse while the registry is away come back within a time after its return.

use std::time::{Duration, Instant};

use camphorloft_host::registry_outage::RegistryOutage;

#[test]
fn a_missing_entry_has_time_after_the_return_only() {
    let now = Instant::now();
    let mut outage = RegistryOutage::default();
    assert_eq!(outage.grace_until(now), None, "an entry that is removed is gone");
    outage.record_failure(now);
    let back = now + Duration::from_secs(8);
    outage.record_success(back);
    // About two seconds, and not much longer: an endpoint that left takes no new work.
    assert!(outage.grace_until(back + Duration::from_millis(2_000)).is_some());
    assert_eq!(outage.grace_until(back + Duration::from_millis(2_500)), None);
}

/// The host hears from a reader that the registry is back. When it reads for itself much later, an
/// entry that is removed then is gone at once.
#[test]
fn a_later_change_of_readers_gives_no_more_time() {
    let now = Instant::now();
    let mut outage = RegistryOutage::default();
    outage.record_failure(now);
    let told = now + Duration::from_secs(8);
    outage.record_success(told);
    let reads = told + Duration::from_secs(30);
    assert_eq!(outage.record_success(reads), None);
    assert_eq!(outage.grace_until(reads), None);
}
