//! Endpoints that fail every request: the retries of all hosts together stay within the quota.

use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_types::prelude::ServiceName;
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const EXTRA: f64 = 54.0;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    /// Every request attempts a retry at once, on hosts with uneven traffic. In every window the
    /// retries stay within what its requests, or those of the window before, allow.
    #[test]
    fn retries_of_all_hosts_stay_within_the_quota(
        arrivals in prop::collection::vec((0_u64..30_000, 0_usize..7), 100..1500),
    ) {
        let service: ServiceName = "bookings".parse().unwrap();
        let start = Instant::now();
        let settings = QuotaSettings { window: WINDOW, ratio: RATIO, extra: EXTRA };
        let mut hosts = vec![RetryQuota::new(settings, 7); 7];
        let mut arrivals = arrivals;
        arrivals.sort_unstable();
        let mut retries: Vec<u64> = Vec::new();
        for (at, host) in &arrivals {
            let now = start + Duration::from_millis(*at);
            hosts[*host].record_request(&service, now);
            if hosts[*host].try_acquire(&service, now) {
                retries.push(*at);
            }
        }
        let window = WINDOW.as_millis() as u64;
        for end in &retries {
            let from = end.saturating_sub(window);
            let count = retries.iter().filter(|at| (from..=*end).contains(*at)).count() as f64;
            let before = from.saturating_sub(window);
            let requests = |from: u64, to: u64| {
                arrivals.iter().filter(|(at, _)| (from..=to).contains(at)).count() as f64
            };
            let counted = requests(from, *end).max(requests(before, from));
            prop_assert!(count <= RATIO * counted + EXTRA, "{count} retries for {counted} requests");
        }
    }
}
