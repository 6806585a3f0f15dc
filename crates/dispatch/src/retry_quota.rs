//! Limits retries across all hosts.
//!
//! When endpoints fail many requests at once, retries may add only a fixed fraction to the load of
//! a service over all hosts. Hosts do not coordinate: each uses the retries allowed by its own
//! requests, and an equal share of the retries allowed irrespective of requests.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use camphorloft_types::prelude::ServiceName;

/// Number of buckets in the window.
const BUCKETS: u32 = 20;
/// Fraction of the quota that a host uses: the windows of the hosts are shifted against each other,
/// and hosts count requests that never arrive at an endpoint.
const USED_FRACTION: f64 = 0.8;

/// Retry quota of a service over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in a window irrespective of requests.
    pub extra: f64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    started_at: Instant,
    requests: u32,
    retries: u32,
}

/// Retry quota of this host.
#[derive(Clone, Debug)]
pub struct RetryQuota {
    settings: QuotaSettings,
    hosts: u32,
    services: HashMap<ServiceName, VecDeque<Bucket>>,
}

impl RetryQuota {
    /// Creates a quota shared by `hosts` hosts.
    pub fn new(settings: QuotaSettings, hosts: u32) -> Self {
        Self { settings, hosts: hosts.max(1), services: HashMap::new() }
    }

    /// Sets the quota of each service over all hosts.
    pub fn set_settings(&mut self, settings: QuotaSettings) {
        self.settings = settings;
    }

    /// Sets the number of hosts that share the quota, this one included.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.hosts = hosts.max(1);
    }

    fn buckets(&mut self, service: &ServiceName, now: Instant) -> &mut VecDeque<Bucket> {
        let width = self.settings.window / BUCKETS;
        let window = self.settings.window + width;
        let buckets = self.services.entry(service.clone()).or_default();
        let old = |bucket: &Bucket| now.saturating_duration_since(bucket.started_at) > window;
        while buckets.front().is_some_and(old) {
            buckets.pop_front();
        }
        let current = |bucket: &Bucket| now.saturating_duration_since(bucket.started_at) < width;
        if !buckets.back().is_some_and(current) {
            buckets.push_back(Bucket { started_at: now, requests: 0, retries: 0 });
        }
        buckets
    }

    /// Counts a request to a service.
    pub fn record_request(&mut self, service: &ServiceName, now: Instant) {
        if let Some(bucket) = self.buckets(service, now).back_mut() {
            bucket.requests += 1;
        }
    }

    /// Counts a retry to a service if the quota allows it. Returns false otherwise.
    ///
    /// ```
    /// use camphorloft_dispatch::retry_quota::{QuotaSettings, RetryQuota};
    /// use std::time::{Duration, Instant};
    /// let settings = QuotaSettings { window: Duration::from_secs(10), ratio: 0.5, extra: 0.0 };
    /// let mut quota = RetryQuota::new(settings, 3);
    /// let (service, now) = ("bookings".parse().unwrap(), Instant::now());
    /// assert!(!quota.try_acquire(&service, now));
    /// (0..5).for_each(|_| quota.record_request(&service, now));
    /// assert!(quota.try_acquire(&service, now));
    /// ```
    pub fn try_acquire(&mut self, service: &ServiceName, now: Instant) -> bool {
        let (settings, hosts) = (self.settings, f64::from(self.hosts));
        let buckets = self.buckets(service, now);
        let requests: u32 = buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed = f64::from(requests) * settings.ratio + settings.extra / hosts;
        if f64::from(retries + 1) > allowed * USED_FRACTION {
            return false;
        }
        if let Some(bucket) = buckets.back_mut() {
            bucket.retries += 1;
        }
        true
    }
}
