//! All that is known of one endpoint.

use std::time::{Duration, Instant};

use crate::distance::Distance;
use crate::entry::EndpointEntry;
use crate::health::Health;
use crate::load::Load;
use crate::run::Run;

/// Weight of a new observation of a time.
const EWMA_WEIGHT: f64 = 0.15;
/// Time to connect that is assumed before one was observed: two crossings of today's links.
const INITIAL_ZONE_CONNECT: Duration = Duration::from_micros(300);
/// The same within a region.
const INITIAL_REGION_CONNECT: Duration = Duration::from_millis(2);
/// The same between regions.
const INITIAL_REMOTE_CONNECT: Duration = Duration::from_millis(40);
/// Time that an endpoint takes for a plain call before one was observed; the mean of today's services.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(60);

/// Time within which a broken request and the loss of its endpoint count as one crash: a crashed
/// endpoint refuses connections at once and is delisted after three heartbeats.
const CRASH_WINDOW: Duration = Duration::from_secs(5);

/// State of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes new work.
    Ready,
    /// It takes no new work and leaves soon.
    Draining {
        /// When this host learned of it.
        since: Instant,
    },
    /// It is no longer listed.
    Removed {
        /// When this host learned of it.
        since: Instant,
    },
}

/// All that is known of one endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// What the list says.
    pub entry: EndpointEntry,
    /// Digest of its name and process, by which hosts tell each other of it.
    pub digest: u64,
    /// How far it is.
    pub distance: Distance,
    /// State.
    pub state: EndpointState,
    /// When this host first heard of it.
    pub joined_at: Instant,
    /// When it leaves, if it told.
    pub shutdown_at: Option<Instant>,
    /// When it stops being slow after its start.
    pub warm_at: Instant,
    /// How often it fails.
    pub health: Health,
    /// How busy it is.
    pub load: Load,
    /// Requests of this host that it works on.
    pub runs: Vec<Run>,
    /// Requests that broke off lately while nothing said that the endpoint leaves, by fingerprint.
    suspects: Vec<(Instant, u64)>,
    /// Time to connect, averaged.
    connect: f64,
    /// Time that it takes for a plain call, averaged.
    work: f64,
}

impl Endpoint {
    /// Builds the record of an endpoint that has just been listed.
    pub fn new(entry: EndpointEntry, distance: Distance, now: Instant) -> Self {
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
            state,
            joined_at: now,
            shutdown_at: None,
            health: Health::default(),
            load: Load::default(),
            runs: Vec::new(),
            suspects: Vec::new(),
            connect: connect.as_secs_f64(),
            work: INITIAL_SERVICE_TIME.as_secs_f64(),
        }
    }

    /// Returns true when new work may be sent to it.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.state == EndpointState::Ready && !self.health.is_backed_off(now)
    }

    /// Returns true when it is listed and not leaving, reachable or not.
    pub fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }

    /// Returns true when no report of the last `age` is known, though one could have arrived.
    pub fn lacks_report(&self, age: Duration, now: Instant) -> bool {
        let known = self.load.report(now).map(|(_, known)| known);
        known.unwrap_or_else(|| now.saturating_duration_since(self.joined_at)) > age
    }

    /// Returns when this host learned that the endpoint leaves or left.
    pub fn draining_since(&self) -> Option<Instant> {
        match self.state {
            EndpointState::Ready => None,
            EndpointState::Draining { since } | EndpointState::Removed { since } => Some(since),
        }
    }

    /// Takes that a request broke off, which may be the first sign of a crash.
    pub fn record_broken_request(&mut self, fingerprint: u64, now: Instant) {
        const MAX_SUSPECTS: usize = 64;
        self.health.record_no_answer(now);
        if self.is_ready() && self.suspects.len() < MAX_SUSPECTS {
            self.suspects.push((now, fingerprint));
        }
    }

    /// Takes the confirmation that the endpoint crashed. Returns the fingerprints of the requests
    /// that broke off just before.
    pub fn take_crash_suspects(&mut self, now: Instant) -> Vec<u64> {
        let recent = |(at, _): &(Instant, u64)| now.saturating_duration_since(*at) <= CRASH_WINDOW;
        std::mem::take(&mut self.suspects)
            .into_iter()
            .filter(recent)
            .map(|(_, fingerprint)| fingerprint)
            .collect()
    }

    /// Returns the average time to connect.
    pub fn connect_time(&self) -> Duration {
        Duration::from_secs_f64(self.connect)
    }

    /// Returns the average time of a plain call, without the way there and back.
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.work)
    }

    /// Takes the time that a connection took.
    pub fn record_connect_time(&mut self, took: Duration) {
        self.connect += (took.as_secs_f64() - self.connect) * EWMA_WEIGHT;
    }

    /// Takes the time that a plain call took.
    pub fn record_service_time(&mut self, took: Duration) {
        let work = (took.as_secs_f64() - self.connect).max(0.0);
        self.work += (work - self.work) * EWMA_WEIGHT;
    }
}
