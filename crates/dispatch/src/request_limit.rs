//! Rate of requests that an endpoint accepts from all hosts together.
//!
//! Answers the load of an endpoint in need that each of many hosts would use. The hosts share the rate
//! without asking each other: all of them rank the hosts for an endpoint in the same way, and only the
//! first few send requests there, with equal shares of the rate. If each of hundreds of hosts had a
//! share, the single requests of all of them could exceed the limit at once.
//!
//! An endpoint that has not warmed up has such a rate too, which its service states. It crashes well above
//! that rate, and a whole zone may turn cold at once. The lower of both rates applies.

use std::time::{Duration, Instant};

use camphorloft_types::prelude::RequestRate;

/// Number of hosts that send to an endpoint, in addition to one per request per second. Enough for
/// another host to be there when one leaves.
const MIN_SENDERS: usize = 2;
/// Period whose share of requests a host may send at once.
const BURST_PERIOD: Duration = Duration::from_millis(500);
/// The same for a cold endpoint, whose requests are counted within one second and not within several.
const COLD_BURST_PERIOD: Duration = Duration::from_millis(250);
/// Rate that is used of a lower limit, in requests per second. Responses are the only sign that a
/// limit was raised.
const MIN_PER_SECOND: f64 = 0.25;
/// Time after which a limit that is not stated any more ends. It ends earlier for an endpoint that
/// responds without it.
const LIFETIME: Duration = Duration::from_secs(30);
/// Interval at which a limit is announced to the other hosts, which may have started since or missed
/// a datagram.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which the end of a limit is announced.
const WITHDRAWAL_ANNOUNCEMENTS: Duration = Duration::from_secs(5);

/// Rate of requests that an endpoint accepts from all hosts together, as last stated, and this host's
/// use of it.
#[derive(Clone, Debug, Default)]
pub struct RequestLimit {
    rate: Option<RequestRate>,
    /// When the endpoint stated it.
    as_of: Option<Instant>,
    /// Rate that applies while the endpoint is cold, if its service has one.
    cold_rate: Option<RequestRate>,
    /// Until when the endpoint is cold.
    cold_until: Option<Instant>,
    /// When the limit last changed.
    changed_at: Option<Instant>,
    /// When this or another host last announced it.
    announced_at: Option<Instant>,
    /// Number of hosts that share the rate; `None` if this host is not one of them.
    senders: Option<usize>,
    /// When this host's share allows a request without using up any of the burst.
    next_at: Option<Instant>,
}

impl RequestLimit {
    /// Returns the limit in force, if any: the lower one of what the endpoint stated and of the rate of a
    /// cold endpoint.
    pub fn rate(&self, now: Instant) -> Option<RequestRate> {
        match (self.stated_rate(now), self.cold_rate(now)) {
            (Some(stated), Some(cold)) if stated > cold => Some(cold),
            (stated, cold) => stated.or(cold),
        }
    }

    /// Returns the limit that the endpoint stated, if it holds.
    pub fn stated_rate(&self, now: Instant) -> Option<RequestRate> {
        self.rate.filter(|_| self.age(now).is_some_and(|age| age <= LIFETIME))
    }

    /// Returns the rate of a cold endpoint, if it is cold and has one.
    pub fn cold_rate(&self, now: Instant) -> Option<RequestRate> {
        self.cold_rate.filter(|_| self.cold_until.is_some_and(|until| now < until))
    }

    /// Sets the rate of the endpoint while it is cold, and until when it is.
    ///
    /// ```
    /// use camphorloft_dispatch::request_limit::RequestLimit;
    /// use std::time::{Duration, Instant};
    /// let (now, second) = (Instant::now(), Duration::from_secs(1));
    /// let mut limit = RequestLimit::default();
    /// limit.set_cold(Some("26".parse().unwrap()), Some(now + second), now);
    /// assert_eq!(limit.rate(now).map(|rate| rate.per_second()), Some(26.0));
    /// limit.record(Some("2".parse().unwrap()), now, now);
    /// assert_eq!(limit.rate(now).map(|rate| rate.per_second()), Some(2.0));
    /// limit.record(None, now, now);
    /// assert_eq!(limit.rate(now + second), None);
    /// ```
    pub fn set_cold(&mut self, rate: Option<RequestRate>, until: Option<Instant>, now: Instant) {
        let before = self.rate(now);
        (self.cold_rate, self.cold_until) = (rate, until);
        match (before, self.rate(now)) {
            (Some(before), Some(rate)) if before != rate => {
                self.rescale_reservations(before, rate, now);
            }
            // Shares begin anew, so that the requests of the time without a limit count for nothing.
            (None, Some(_)) => (self.senders, self.next_at) = (None, None),
            _ => {}
        }
    }

    /// Lets this host's share begin anew after a pause of the process, whose share it must not use.
    pub fn restart_share(&mut self, now: Instant) {
        let Some((rate, senders)) = self.rate(now).zip(self.senders) else { return };
        let first = now + self.interval(rate, senders) + self.burst(now);
        self.next_at = Some(self.next_at.map_or(first, |at| at.max(first)));
    }

    /// Returns the age of the last statement, if any.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.as_of.map(|at| now.saturating_duration_since(at))
    }

    /// Records what the endpoint stated at `as_of`; `None` means that it has no limit. A statement
    /// older than the last one is ignored. Returns true if the limit changed.
    ///
    /// ```
    /// use camphorloft_dispatch::request_limit::RequestLimit;
    /// use std::time::{Duration, Instant};
    /// let (now, rate) = (Instant::now(), "2.5".parse().unwrap());
    /// let mut limit = RequestLimit::default();
    /// assert!(limit.record(Some(rate), now, now));
    /// assert!(!limit.record(None, now - Duration::from_millis(1), now));
    /// assert_eq!(limit.rate(now), Some(rate));
    /// assert!(limit.record(None, now, now));
    /// ```
    pub fn record(&mut self, rate: Option<RequestRate>, as_of: Instant, now: Instant) -> bool {
        if self.as_of.is_some_and(|known| as_of < known) {
            return false;
        }
        let (before, in_force_before) = (self.stated_rate(now), self.rate(now));
        self.as_of = Some(as_of);
        self.rate = rate;
        if before == rate {
            return false;
        }
        self.changed_at = Some(now);
        if let Some((before, rate)) = in_force_before.zip(self.rate(now)) {
            self.rescale_reservations(before, rate, now);
        }
        true
    }

    /// Keeps the number of reserved requests when the rate changes.
    fn rescale_reservations(&mut self, before: RequestRate, rate: RequestRate, now: Instant) {
        let factor = usable_per_second(before) / usable_per_second(rate);
        let reserved = |at: Instant| at.saturating_duration_since(now).mul_f64(factor);
        self.next_at = self.next_at.map(|at| now + reserved(at));
    }

    /// Sets the position of this host among the `hosts` hosts, ranked for this endpoint.
    ///
    /// ```
    /// use camphorloft_dispatch::request_limit::RequestLimit;
    /// use std::time::Instant;
    /// let now = Instant::now();
    /// let mut limit = RequestLimit::default();
    /// limit.record(Some("2".parse().unwrap()), now, now);
    /// limit.set_position(100, 195, now);
    /// assert_eq!(limit.send_at(now), None);
    /// limit.set_position(0, 195, now);
    /// assert!(limit.send_at(now).is_some_and(|at| at > now));
    /// ```
    pub fn set_position(&mut self, rank: usize, hosts: usize, now: Instant) {
        let Some(rate) = self.rate(now) else { return };
        let senders = self.senders_among(hosts, rate, now);
        let was_sender = self.senders.is_some();
        self.senders = (rank < senders).then_some(senders);
        if !was_sender && self.senders.is_some() {
            // Shares begin empty and staggered, so that hosts that become senders together do not
            // send together.
            let offset = (rank + 1) as f64 / senders as f64;
            let first = now + self.interval(rate, senders).mul_f64(offset) + self.burst(now);
            self.next_at = Some(self.next_at.map_or(first, |at| at.max(first)));
        }
    }

    /// Returns the number of hosts that share a rate.
    fn senders_among(&self, hosts: usize, rate: RequestRate, now: Instant) -> usize {
        let senders = (MIN_SENDERS + rate.per_second() as usize).min(hosts).max(1);
        if self.cold_rate(now).is_none() {
            return senders;
        }
        // If each of them sent a little more than once a second, a second could contain two requests of
        // each, twice the rate. With half as many hosts it contains at most three of each.
        let half = (rate.per_second() / 2.0) as usize;
        let is_doubled = senders > half && senders as f64 <= rate.per_second();
        if is_doubled { half.max(MIN_SENDERS.min(hosts)) } else { senders }
    }

    /// Returns the interval between the requests of this host.
    fn interval(&self, rate: RequestRate, senders: usize) -> Duration {
        Duration::from_secs_f64(senders as f64 / usable_per_second(rate))
    }

    /// Returns how far the requests of this host may be ahead of its share.
    fn burst(&self, now: Instant) -> Duration {
        let Some((rate, senders)) = self.rate(now).zip(self.senders) else { return Duration::ZERO };
        let period = match self.cold_rate(now) {
            Some(_) => COLD_BURST_PERIOD,
            None => BURST_PERIOD,
        };
        period.saturating_sub(self.interval(rate, senders))
    }

    /// Returns when this host may send a request, `now` at the earliest, or `None` if the requests
    /// are left to other hosts for an unknown time.
    pub fn send_at(&self, now: Instant) -> Option<Instant> {
        if self.rate(now).is_none() {
            return Some(now);
        }
        let own = self.senders.and(self.next_at);
        let own = own.map(|at| at.checked_sub(self.burst(now)).map_or(now, |at| at.max(now)));
        // All hosts may send again once the endpoint is warm.
        let warm_at = self.cold_until.filter(|_| self.stated_rate(now).is_none());
        own.map_or(warm_at, |own| Some(warm_at.map_or(own, |at| own.min(at))))
    }

    /// Counts a request against the share of this host, also one that exceeds it. Returns false if there
    /// is no limit, or if this host has no share.
    ///
    /// ```
    /// use camphorloft_dispatch::request_limit::RequestLimit;
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let mut limit = RequestLimit::default();
    /// limit.record(Some("2".parse().unwrap()), now, now);
    /// limit.set_position(0, 1, now);
    /// let first = limit.send_at(now).unwrap();
    /// assert!(limit.reserve(now));
    /// assert_eq!(limit.send_at(now).unwrap(), first + Duration::from_millis(500));
    /// ```
    pub fn reserve(&mut self, now: Instant) -> bool {
        let Some(rate) = self.rate(now) else { return false };
        let from = self.next_at.map_or(now, |at| at.max(now));
        self.next_at = Some(from + self.interval(rate, self.senders.unwrap_or(1)));
        self.senders.is_some()
    }

    /// Returns true if the limit or its end is to be announced to the other hosts, and records the
    /// announcement.
    pub fn begin_announcement(&mut self, now: Instant) -> bool {
        let ended_recently = || {
            let is_recent = |at| now.saturating_duration_since(at) < WITHDRAWAL_ANNOUNCEMENTS;
            self.changed_at.is_some_and(is_recent)
        };
        let is_due = |at| now.saturating_duration_since(at) >= ANNOUNCEMENT_INTERVAL;
        let changed_since = self.announced_at < self.changed_at;
        let due = changed_since || self.announced_at.is_none_or(is_due);
        let announces = due && (self.stated_rate(now).is_some() || ended_recently());
        if announces {
            self.announced_at = Some(now);
        }
        announces
    }

    /// Records the announcement of another host.
    pub fn record_announcement(&mut self, now: Instant) {
        self.announced_at = Some(now);
    }
}

fn usable_per_second(rate: RequestRate) -> f64 {
    rate.per_second().max(MIN_PER_SECOND)
}
