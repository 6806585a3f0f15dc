//! Which software version may continue a stream.

use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_peer::wire::WireStreamOrigin;
use camphorloft_types::prelude::*;
use quick_error::quick_error;
use slog::warn;

use crate::call::Call;
use crate::context::{Host, State};

/// Interval at which the origin of a running stream is announced to the other hosts, which may have
/// started since or missed a datagram.
pub const ORIGIN_ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(2);

quick_error! {
    /// Error for a stream that cannot be continued.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum ContinuationError {
        /// This host does not know which software version began it.
        UnknownVersion {
            display("the software version that began the stream is not known")
        }
    }
}

impl<W, R> Host<W, R> {
    /// Returns the software version that must continue the stream that a client takes up with a call,
    /// or `None` if the call starts a new stream.
    ///
    /// # Errors
    ///
    /// Returns [`ContinuationError`] if the version is not known.
    pub fn required_software(
        &self,
        call: &Call,
        now: Instant,
    ) -> Result<Option<SoftwareVersion>, ContinuationError> {
        let has_events = call.last_event_id.is_some_and(|id| id > 0);
        if !has_events && call.resumes.is_none() {
            return Ok(None);
        }
        let state = self.state.borrow();
        let origin = call.resumes.as_ref().and_then(|first| state.origins.find(first.into(), now));
        let service = &call.service().name;
        // A host that receives no changes of the endpoint list does not know which versions serve now.
        let only_version =
            || state.origins.only_version(service, now).filter(|_| self.is_list_current());
        let software = origin.or_else(only_version);
        software.map(Some).ok_or(ContinuationError::UnknownVersion)
    }

    /// Records the software version that began the stream of a call, and announces it.
    pub fn announce_stream_origin(&self, call: &Call, software: &SoftwareVersion) {
        let stream = StreamDigest::from(call.resumes.as_ref().unwrap_or(&call.id));
        self.state.borrow_mut().origins.record(stream, software, Instant::now());
        let software = software.to_string();
        self.send_stream_origin(WireStreamOrigin { stream: stream.0, software });
    }

    /// Records the software version that began a stream of another host.
    pub fn receive_stream_origin(&self, wire: &WireStreamOrigin, now: Instant) {
        match wire.software.parse::<SoftwareVersion>() {
            Ok(software) => {
                let stream = StreamDigest(wire.stream);
                self.state.borrow_mut().origins.record(stream, &software, now);
            }
            Err(err) => self.warn_of_malformed(now, || {
                warn!(self.log, "origin of a stream is not valid"; "error" => %err);
            }),
        }
    }

    /// Records the software versions that are listed.
    pub fn observe_versions(&self, now: Instant) {
        let mut guard = self.state.borrow_mut();
        let State { fleet, origins, .. } = &mut *guard;
        origins.observe(fleet, self.has_full_list.get(), now);
    }
}
