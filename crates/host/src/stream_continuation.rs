//! Which software version may continue a stream.

use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_peer::wire::WireStreamOrigin;
use camphorloft_types::prelude::*;
use quick_error::quick_error;
use slog::warn;

use crate::call::Call;
use crate::context::{Host, State};
use crate::list_confirmation::MAX_CONFIRMATION_TIME;

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
    /// or `None` if the call starts a new stream. If only one version is known to serve, waits until the
    /// endpoint list confirms it.
    ///
    /// # Errors
    ///
    /// Returns [`ContinuationError`] if the version is not known.
    pub async fn required_software(
        &self,
        call: &Call,
    ) -> Result<Option<SoftwareVersion>, ContinuationError> {
        if call.last_event_id.is_none() && call.resumes.is_none() {
            return Ok(None);
        }
        let service = &call.service().name;
        let find_origin = || {
            let first = call.resumes.as_ref()?;
            self.state.borrow().origins.find(first.into(), Instant::now())
        };
        let find_only_version = || {
            let now = Instant::now();
            self.observe_versions(now);
            self.state.borrow().origins.only_version(service, now)
        };
        // The stream may have begun at a version that joined before the client returned, and that a list
        // which was asked for before does not have.
        let until = self.response_end(call.deadline).min(Instant::now() + MAX_CONFIRMATION_TIME);
        let is_needed = || find_origin().is_none() && find_only_version().is_some();
        let is_confirmed = self.confirm_list(call.arrived_at, until, is_needed).await;
        let only_version = || find_only_version().filter(|_| is_confirmed);
        find_origin().or_else(only_version).map(Some).ok_or(ContinuationError::UnknownVersion)
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
