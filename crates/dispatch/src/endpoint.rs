//! State of one endpoint.

use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;

use crate::distance::Distance;
use crate::entry::EndpointEntry;
use crate::health::Health;
use crate::load::Load;
use crate::request_limit::RequestLimit;
use crate::request_window::RequestWindow;
use crate::run::Run;
use crate::speed::SpeedEstimate;

/// Weight of a new sample in the moving averages of durations.
const EWMA_WEIGHT: f64 = 0.15;
/// Assumed time to connect within a zone before the first sample: one round trip on current links.
const INITIAL_ZONE_CONNECT: Duration = Duration::from_micros(300);
/// Assumed time to connect within a region, likewise one round trip.
const INITIAL_REGION_CONNECT: Duration = Duration::from_millis(2);
/// Assumed time to connect between regions, likewise one round trip.
const INITIAL_REMOTE_CONNECT: Duration = Duration::from_millis(40);
/// Assumed duration of a plain call before the first sample: the mean of current services.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(60);

/// Time within which a failed request and the loss of its endpoint count as one crash: a crashed
/// endpoint refuses connections at once and is removed from the list after three missed heartbeats, which
/// hosts learn a second later.
const CRASH_WINDOW: Duration = Duration::from_secs(8);

/// State of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts new work.
    Ready,
    /// The endpoint accepts no new work and shuts down soon.
    Draining {
        /// When the endpoint was first known to be draining.
        since: Instant,
    },
    /// The endpoint is no longer listed.
    Removed {
        /// When the endpoint was first known to be draining or removed.
        since: Instant,
    },
}

/// State of one endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// List entry.
    pub entry: EndpointEntry,
    /// Digest of its name and process, which identifies it in peer updates.
    pub digest: u64,
    /// Distance from this host.
    pub distance: Distance,
    /// Region of its zone, if the settings state it.
    pub region: Option<Region>,
    /// State.
    pub state: EndpointState,
    /// When it was removed from the list, if it was.
    pub removed_at: Option<Instant>,
    /// Whether its zone is evacuated: it finishes what it runs and receives no further requests.
    pub is_evacuated: bool,
    /// Whether this host normally sends work to the endpoint. False for most endpoints of a service
    /// with many.
    pub in_subset: bool,
    /// When this host first received its entry.
    pub joined_at: Instant,
    /// When it shuts down, if announced.
    pub shutdown_at: Option<Instant>,
    /// When its warm-up ends.
    pub warm_at: Instant,
    /// When it last stated that it is cold.
    cold_stated_at: Option<Instant>,
    /// Rate of requests that it tolerates while it is cold, if its service limits them.
    cold_rate: Option<RequestRate>,
    /// Until when it wants no request from this host.
    pub hold_off_until: Option<Instant>,
    /// Until when this host sends it nothing because it had no room and is brittle.
    no_room_until: Option<Instant>,
    /// Failure rate.
    pub health: Health,
    /// Load.
    pub load: Load,
    /// Speed.
    pub speed: SpeedEstimate,
    /// Rate of requests that it accepts from all hosts together.
    pub request_limit: RequestLimit,
    /// Number of requests that this host may have in progress after a refusal.
    window: Option<RequestWindow>,
    /// Number of requests of this host that are placed there and not sent yet.
    pub unsent: u32,
    /// Requests of this host in progress.
    pub runs: Vec<Run>,
    /// Requests that failed recently while the endpoint was not known to be draining: time and
    /// features.
    suspects: Vec<(Instant, Rc<[RequestFeature]>)>,
    /// Whether this host is finding out if the endpoint crashed.
    crash_check_runs: bool,
    /// When this host last connected to it or received a response.
    pub reached_at: Option<Instant>,
    /// Moving average of the time to connect, in seconds.
    connect_secs: f64,
    /// Moving average of the duration of a plain call, in seconds.
    service_secs: f64,
    /// Whether a call of this host ended there.
    has_served: bool,
}

impl Endpoint {
    /// Creates the state of a newly listed endpoint.
    pub fn new(
        entry: EndpointEntry,
        distance: Distance,
        region: Option<Region>,
        now: Instant,
    ) -> Self {
        let state = match entry.draining {
            true => EndpointState::Draining { since: now },
            false => EndpointState::Ready,
        };
        let connect = match distance {
            Distance::Zone => INITIAL_ZONE_CONNECT,
            Distance::Region => INITIAL_REGION_CONNECT,
            Distance::Remote => INITIAL_REMOTE_CONNECT,
        };
        Self {
            warm_at: now + entry.warmup_remaining,
            digest: entry.digest(),
            entry,
            distance,
            region,
            state,
            removed_at: None,
            is_evacuated: false,
            in_subset: true,
            joined_at: now,
            shutdown_at: None,
            cold_stated_at: None,
            cold_rate: None,
            hold_off_until: None,
            no_room_until: None,
            health: Health::default(),
            load: Load::default(),
            speed: SpeedEstimate::default(),
            request_limit: RequestLimit::default(),
            window: None,
            unsent: 0,
            runs: Vec::new(),
            suspects: Vec::new(),
            crash_check_runs: false,
            reached_at: None,
            connect_secs: connect.as_secs_f64(),
            service_secs: INITIAL_SERVICE_TIME.as_secs_f64(),
            has_served: false,
        }
    }

    /// Returns true if new work may be sent to the endpoint.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.state == EndpointState::Ready && !self.is_evacuated && !self.health.is_backed_off(now)
    }

    /// Returns when this host may send a request to the endpoint, `now` at the earliest, or `None` if
    /// requests are left to other hosts.
    pub fn send_at(&self, now: Instant) -> Option<Instant> {
        let limited = self.request_limit.send_at(now)?;
        let paused_until = self.hold_off_until.max(self.no_room_until);
        Some(paused_until.map_or(limited, |until| until.max(limited)))
    }

    /// Returns true if, as far as this host knows, a further request would not have to wait.
    pub fn has_free_slot(&self, now: Instant) -> bool {
        let own = self.own_requests();
        let requests = own + self.load.peer_requests(now);
        // An endpoint that states no slots has one at least.
        requests < f64::from(self.entry.slots.max(1))
            && self.window.is_none_or(|window| window.admits(own, now))
    }

    /// Records that the endpoint, which is brittle, refused a request of this or another host. This host
    /// sends it nothing for `pause`.
    pub fn record_no_room(&mut self, pause: Duration, now: Instant) {
        self.no_room_until = self.no_room_until.max(Some(now + pause));
        self.window = Some(RequestWindow::after_refusal(self.own_requests(), now));
    }

    /// Returns the number of requests of this host that are in progress or about to be sent.
    fn own_requests(&self) -> f64 {
        f64::from(self.unsent) + self.runs.len() as f64
    }

    /// Returns true if the endpoint is cold and its service limits the requests to cold endpoints.
    pub fn is_cold_limited(&self, now: Instant) -> bool {
        self.request_limit.cold_rate(now).is_some()
    }

    /// Records that the endpoint stated how long it stays cold. Returns true if it turned cold, or stays so
    /// for longer than was known.
    pub fn record_cold(&mut self, left: Duration, now: Instant) -> bool {
        /// Time by which two statements about the same warm-up differ, because each arrives with its own
        /// delay.
        const TOLERANCE: Duration = Duration::from_millis(300);
        /// Time after which a shorter statement is not one from before a longer one: entries are written
        /// about once a second and read within another one.
        const STATEMENT_LIFETIME: Duration = Duration::from_secs(3);
        let until = now + left;
        let is_recent = |at| now.saturating_duration_since(at) < STATEMENT_LIFETIME;
        if until <= self.warm_at && self.cold_stated_at.is_some_and(is_recent) {
            return false;
        }
        let is_news = until > self.warm_at.max(now) + TOLERANCE;
        self.warm_at = until;
        if !left.is_zero() {
            self.cold_stated_at = Some(now);
        }
        self.update_cold_limit(now);
        is_news
    }

    /// Sets the rate of requests that the endpoint tolerates while it is cold, if it is limited.
    pub fn set_cold_rate(&mut self, rate: Option<RequestRate>, now: Instant) {
        self.cold_rate = rate;
        self.update_cold_limit(now);
    }

    fn update_cold_limit(&mut self, now: Instant) {
        self.request_limit.set_cold(self.cold_rate, Some(self.warm_at), now);
    }

    /// Returns its list entry with what is left of its warm-up.
    pub fn entry_now(&self, now: Instant) -> EndpointEntry {
        let warmup_remaining = self.warm_at.saturating_duration_since(now);
        EndpointEntry { warmup_remaining, ..self.entry.clone() }
    }

    /// Returns true during the time for which the endpoint wants no request from this host.
    pub fn is_held_off(&self, now: Instant) -> bool {
        self.hold_off_until.is_some_and(|until| now < until)
    }

    /// Returns true if the endpoint is listed and not draining, whether or not it is reachable.
    pub fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }

    /// Returns true if the endpoint is in the list, ready or draining.
    pub fn is_listed(&self) -> bool {
        !matches!(self.state, EndpointState::Removed { .. })
    }

    /// Returns true if no report from within the last `age` is known, although one could have
    /// arrived.
    pub fn lacks_report(&self, age: Duration, now: Instant) -> bool {
        let last = self.load.last_report_at().map_or(self.joined_at, |at| at.max(self.joined_at));
        now.saturating_duration_since(last) > age
    }

    /// Returns when the endpoint was first known to be draining or removed.
    pub fn draining_since(&self) -> Option<Instant> {
        match self.state {
            EndpointState::Ready => None,
            EndpointState::Draining { since } | EndpointState::Removed { since } => Some(since),
        }
    }

    /// Returns when the endpoint announced that it leaves, if it did before it was removed.
    fn announced_leaving_at(&self) -> Option<Instant> {
        let announced = |since: &Instant| self.entry.draining || self.removed_at != Some(*since);
        self.draining_since().filter(announced)
    }

    /// Takes over what the same process stated before its entry was removed and listed again: that it leaves,
    /// which is final, and until when it wants no request.
    pub(crate) fn restore_statements(&mut self, former: &Endpoint) {
        if let Some(since) = former.announced_leaving_at() {
            self.state = EndpointState::Draining { since };
            self.entry.draining = true;
        }
        self.hold_off_until = former.hold_off_until;
    }

    /// Records a request whose connection broke, possibly the first sign of a crash.
    pub fn record_broken_request(&mut self, features: &Rc<[RequestFeature]>, now: Instant) {
        const MAX_SUSPECTS: usize = 64;
        self.health.record_no_answer(now);
        if self.is_ready() && self.suspects.len() < MAX_SUSPECTS {
            self.suspects.push((now, features.clone()));
        }
    }

    /// Returns true if a check whether the endpoint crashed may begin, and records that it has begun.
    pub fn begin_crash_check(&mut self) -> bool {
        let may_begin = !self.crash_check_runs && !self.suspects.is_empty();
        self.crash_check_runs |= may_begin;
        may_begin
    }

    /// Records that a check whether the endpoint crashed has ended.
    pub fn end_crash_check(&mut self) {
        self.crash_check_runs = false;
    }

    /// Returns when the latest recorded request broke.
    pub fn last_broken_at(&self) -> Option<Instant> {
        self.suspects.last().map(|(at, _)| *at)
    }

    /// Removes the recorded broken requests, because the endpoint did not crash.
    pub fn clear_crash_suspects(&mut self) {
        self.suspects.clear();
    }

    /// Called when a crash of the endpoint is confirmed. Removes the recorded requests and returns the
    /// features of those that broke just before.
    pub fn take_crash_suspects(&mut self, now: Instant) -> Vec<RequestFeature> {
        let suspects = std::mem::take(&mut self.suspects).into_iter();
        let recent = suspects.filter(|(at, _)| now.saturating_duration_since(*at) <= CRASH_WINDOW);
        let mut features: Vec<_> = recent.flat_map(|(_, features)| features.to_vec()).collect();
        features.sort_unstable();
        features.dedup();
        features
    }

    /// Returns the average time to connect.
    pub fn connect_time(&self) -> Duration {
        Duration::from_secs_f64(self.connect_secs)
    }

    /// Returns the average duration of a plain call, without the network round trip.
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service_secs)
    }

    /// Returns true if a call of this host ended there, so that the average duration is known.
    pub fn has_served(&self) -> bool {
        self.has_served
    }

    /// Records the duration of connecting.
    pub fn record_connect_time(&mut self, took: Duration) {
        self.connect_secs += (took.as_secs_f64() - self.connect_secs) * EWMA_WEIGHT;
    }

    /// Records the duration of a plain call, including the network round trip.
    pub fn record_service_time(&mut self, took: Duration) {
        let service_secs = (took.as_secs_f64() - self.connect_secs).max(0.0);
        self.has_served = true;
        self.service_secs += (service_secs - self.service_secs) * EWMA_WEIGHT;
    }
}
