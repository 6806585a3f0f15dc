//! Entries that expire during a registry outage may reappear within a grace period after it.

use std::time::{Duration, Instant};

use camphorloft_host::registry_outage::RegistryOutage;

#[test]
fn a_missing_entry_has_a_grace_period_only_after_an_outage() {
    let now = Instant::now();
    let mut outage = RegistryOutage::default();
    assert_eq!(outage.grace_until(now), None, "without an outage an entry is removed immediately");
    outage.record_failure(now);
    let recovered_at = now + Duration::from_secs(8);
    outage.record_success(recovered_at);
    // About 2 s and not much longer, because a removed endpoint must receive no new work.
    assert!(outage.grace_until(recovered_at + Duration::from_millis(2_000)).is_some());
    assert_eq!(outage.grace_until(recovered_at + Duration::from_millis(2_500)), None);
}

/// The assigned reader reports that the registry is available again, and much later this host reads
/// the registry itself. An entry that is missing then must be removed immediately.
#[test]
fn a_later_change_of_the_reader_does_not_extend_the_grace_period() {
    let now = Instant::now();
    let mut outage = RegistryOutage::default();
    outage.record_failure(now);
    let recovered_at = now + Duration::from_secs(8);
    outage.record_success(recovered_at);
    let own_read_at = recovered_at + Duration::from_secs(30);
    assert_eq!(outage.record_success(own_read_at), None);
    assert_eq!(outage.grace_until(own_read_at), None);
}
