//! Which software version may continue a stream.

use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_peer::wire::WireStreamOrigin;
use camphorloft_types::prelude::*;
use quick_error::quick_error;
use slog::warn;
use tokio::time::sleep;

use crate::call::Call;
use crate::context::{Host, State};

/// Interval at which the origin of a running stream is announced to the other hosts, which may have
/// started since or missed a datagram.
pub const ORIGIN_ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum time for which a client that takes up a stream waits for a confirmation of the endpoint list. A
/// reader asks for changes once in 700 ms, and tells other hosts every 200 ms.
const MAX_CONFIRMATION_TIME: Duration = Duration::from_millis(1500);
/// Time between two checks for it.
const CONFIRMATION_CHECK_INTERVAL: Duration = Duration::from_millis(20);

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
        let has_events = call.last_event_id.is_some_and(|id| id > 0);
        if !has_events && call.resumes.is_none() {
            return Ok(None);
        }
        let until = self.response_end(call.deadline).min(Instant::now() + MAX_CONFIRMATION_TIME);
        let mut is_wanted = false;
        loop {
            let now = Instant::now();
            self.observe_versions(now);
            let (origin, only_version) = {
                let origins = &self.state.borrow().origins;
                let origin =
                    call.resumes.as_ref().and_then(|first| origins.find(first.into(), now));
                (origin, origins.only_version(&call.service().name, now))
            };
            if origin.is_some() {
                return Ok(origin);
            }
            // The stream may have begun at a version that joined before the client returned, and that a
            // list which was asked for before does not have.
            let is_confirmed = self.list_known_as_of().is_some_and(|at| at >= call.arrived_at);
            match only_version {
                Some(version) if is_confirmed => return Ok(Some(version)),
                Some(_) if now < until && !is_wanted => {
                    is_wanted = true;
                    self.list_wanted.notify_one();
                }
                Some(_) if now < until => {}
                Some(_) | None => return Err(ContinuationError::UnknownVersion),
            }
            sleep(CONFIRMATION_CHECK_INTERVAL).await;
        }
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
