//! Records what endpoints state about themselves in their responses.

use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_types::prelude::*;
use http::response;
use slog::{info, warn};

use crate::boundary::{ResponseKind, Wire};
use crate::context::Host;

/// Minimum time between two log lines about statements that are not valid.
const MALFORMED_LOG_INTERVAL: Duration = Duration::from_secs(60);

impl<W, R> Host<W, R>
where
    W: Wire,
{
    /// Records what an endpoint states about itself in the head of its response to a request.
    pub fn record_directives(
        self: &Rc<Self>,
        ix: EndpointIx,
        kind: ResponseKind,
        head: &response::Parts,
    ) {
        let is_own = match kind {
            ResponseKind::Success | ResponseKind::Failed => true,
            ResponseKind::NotRun { wrong_endpoint } => !wrong_endpoint,
            ResponseKind::Mismatched => false,
        };
        if !is_own {
            return;
        }
        let now = Instant::now();
        match self.wire.directives(head).request_limit {
            Directive::Stated(rate) => self.record_request_limit(ix, Some(rate), now, "response"),
            // An endpoint that refuses a request may do so before it determines its limit.
            Directive::Absent if matches!(kind, ResponseKind::NotRun { .. }) => {}
            Directive::Absent => self.record_request_limit(ix, None, now, "response"),
            Directive::Malformed => self.record_malformed_directive(ix, "request_limit", now),
        }
    }

    /// Records the limit that an endpoint stated at `as_of`.
    fn record_request_limit(
        &self,
        ix: EndpointIx,
        rate: Option<RequestRate>,
        as_of: Instant,
        source: &str,
    ) {
        let mut state = self.state.borrow_mut();
        let Some(endpoint) = state.fleet.get_mut(ix) else { return };
        let before = endpoint.request_limit.rate();
        if endpoint.request_limit.record(rate, as_of) {
            info!(self.log, "endpoint limit changed"; "endpoint" => %endpoint.entry.name,
                "limit_per_s" => rate.map(RequestRate::per_second),
                "before_per_s" => before.map(RequestRate::per_second), "source" => source,
                "age_ms" => as_of.elapsed().as_millis() as u64);
        }
    }

    fn record_malformed_directive(&self, ix: EndpointIx, directive: &str, now: Instant) {
        self.metrics.malformed_directives.with_label_values(&[directive]).inc();
        let is_recent = |at| now.saturating_duration_since(at) < MALFORMED_LOG_INTERVAL;
        if self.malformed_logged_at.get().is_some_and(is_recent) {
            return;
        }
        self.malformed_logged_at.set(Some(now));
        let state = self.state.borrow();
        let name = state.fleet.get(ix).map(|endpoint| endpoint.entry.name.to_string());
        warn!(self.log, "directive of an endpoint is not valid"; "endpoint" => name,
            "directive" => directive);
    }
}
