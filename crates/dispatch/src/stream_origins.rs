//! Software versions that began streams.
//!
//! Engines of several software versions serve side by side, and only the version that began a stream
//! can continue it. A client returns with an interrupted stream to any host, and names the attempt in
//! which it received the first event.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;
use camphorloft_types::rendezvous;

use crate::fleet::Fleet;
use crate::run::CallId;

/// Minimum time for which the origin of a stream is kept after it was last announced.
const MIN_RETENTION: Duration = Duration::from_secs(60);
/// The same as a multiple of the longest time for which a route serves a stream: a client may take up its
/// stream after that time, and again until the new attempt has lasted as long.
const RETENTION_FACTOR: u32 = 2;
/// Maximum number of streams. The origins of further ones are not recorded until
/// [`StreamOrigins::purge`] is called.
const MAX_STREAMS: usize = 1 << 16;
/// Separates the digests of streams from other digests of call identifiers.
const STREAM_KEY: &str = "stream";

/// Identifies a stream across hosts by the client's attempt in which it began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamDigest(pub u64);

impl From<&CallId> for StreamDigest {
    fn from(call: &CallId) -> Self {
        Self(rendezvous::score(call.as_str(), STREAM_KEY))
    }
}

/// Software versions that began streams, and the versions that served.
#[derive(Clone, Debug)]
pub struct StreamOrigins {
    retention: Duration,
    streams: HashMap<StreamDigest, (SoftwareVersion, Instant)>,
    /// When endpoints of a version were last listed.
    versions: HashMap<(ServiceName, SoftwareVersion), Instant>,
    /// Since when all versions that serve are known.
    complete_since: Option<Instant>,
}

impl Default for StreamOrigins {
    fn default() -> Self {
        Self {
            retention: MIN_RETENTION,
            streams: HashMap::new(),
            versions: HashMap::new(),
            complete_since: None,
        }
    }
}

impl StreamOrigins {
    /// Sets the longest time for which a route serves a stream. The retention time does not become shorter,
    /// since streams of the former configuration may go on.
    pub fn set_longest_stream(&mut self, longest: Duration) {
        self.retention = self.retention.max(longest.saturating_mul(RETENTION_FACTOR));
    }

    fn is_kept(&self, at: Instant, now: Instant) -> bool {
        now.saturating_duration_since(at) <= self.retention
    }

    /// Records the version that began a stream. A stream never changes its version, so that a later
    /// record of another one is ignored.
    ///
    /// ```
    /// use camphorloft_dispatch::stream_origins::{StreamDigest, StreamOrigins};
    /// use std::time::Instant;
    /// let (now, call) = (Instant::now(), "a-1".parse().unwrap());
    /// let (digest, version) = (StreamDigest::from(&call), "v1".parse().unwrap());
    /// let mut origins = StreamOrigins::default();
    /// origins.record(digest, &version, now);
    /// assert_eq!(origins.find(digest, now), Some(version));
    /// ```
    pub fn record(&mut self, stream: StreamDigest, software: &SoftwareVersion, now: Instant) {
        if self.streams.len() >= MAX_STREAMS && !self.streams.contains_key(&stream) {
            return;
        }
        let known = self.find(stream, now);
        if known.is_none_or(|known| known == *software) {
            self.streams.insert(stream, (software.clone(), now));
        }
    }

    /// Returns the version that began a stream, if known.
    pub fn find(&self, stream: StreamDigest, now: Instant) -> Option<SoftwareVersion> {
        let (software, at) = self.streams.get(&stream)?;
        self.is_kept(*at, now).then(|| software.clone())
    }

    /// Records the versions that are listed. `is_complete` is true when all endpoints are known.
    pub fn observe(&mut self, fleet: &Fleet, is_complete: bool, now: Instant) {
        if is_complete {
            self.complete_since.get_or_insert(now);
        }
        for (_, endpoint) in fleet.iter() {
            if let Some(software) = endpoint.entry.software.clone() {
                self.versions.insert((endpoint.entry.service.clone(), software), now);
            }
        }
    }

    /// Returns the version of a service if no other one served within the retention time, so that it
    /// began every stream.
    pub fn only_version(&self, service: &ServiceName, now: Instant) -> Option<SoftwareVersion> {
        let since = self.complete_since?;
        if now.saturating_duration_since(since) < self.retention {
            return None;
        }
        let versions = self.versions.iter();
        let served = versions.filter(|((of, _), at)| of == service && self.is_kept(**at, now));
        let served: BTreeSet<&SoftwareVersion> = served.map(|((_, version), _)| version).collect();
        match served.len() {
            1 => served.first().map(|version| (*version).clone()),
            _ => None,
        }
    }

    /// Removes what is older than the retention time.
    pub fn purge(&mut self, now: Instant) {
        let is_kept = |at: Instant| now.saturating_duration_since(at) <= self.retention;
        self.streams.retain(|_, (_, at)| is_kept(*at));
        self.versions.retain(|_, at| is_kept(*at));
    }
}
