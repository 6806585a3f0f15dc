//! Bounds what is sent again, with the other hosts in mind.
//!
//! Answers endpoints that fail many requests at once: resends may add only a fixed share to the
//! load of a service over all hosts. Hosts do not coordinate. Each takes the share that its own
//! requests earn, and an equal part of what no request earns.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use camphorloft_types::prelude::ServiceName;

/// Parts of the window that are counted together.
const BUCKETS: u32 = 20;
/// Part of the quota that a host uses, since hosts see windows that are shifted against each other
/// and count requests that never arrive.
const USED_FRACTION: f64 = 0.8;

/// The quota of a service over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Length of the sliding window.
    pub window: Duration,
    /// Resends earned by a request.
    pub ratio: f64,
    /// Resends in a window that no request earns.
    pub extra: f64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    started_at: Instant,
    requests: u32,
    resends: u32,
}

/// What this host may send again.
#[derive(Clone, Debug)]
pub struct RetryQuota {
    settings: QuotaSettings,
    hosts: u32,
    services: HashMap<ServiceName, VecDeque<Bucket>>,
}

impl RetryQuota {
    /// Builds a quota that is shared by `hosts` hosts.
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
            buckets.push_back(Bucket { started_at: now, requests: 0, resends: 0 });
        }
        buckets
    }

    /// Counts a request of a service.
    pub fn record_request(&mut self, service: &ServiceName, now: Instant) {
        if let Some(bucket) = self.buckets(service, now).back_mut() {
            bucket.requests += 1;
        }
    }

    /// Takes a resend to a service if one is left.
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
        let resends: u32 = buckets.iter().map(|bucket| bucket.resends).sum();
        let allowed = f64::from(requests) * settings.ratio + settings.extra / hosts;
        if f64::from(resends + 1) > allowed * USED_FRACTION {
            return false;
        }
        if let Some(bucket) = buckets.back_mut() {
            bucket.resends += 1;
        }
        true
    }
}
