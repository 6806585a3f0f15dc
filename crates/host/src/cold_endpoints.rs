//! Keeps to the rate of requests that cold endpoints tolerate.

use std::time::Instant;

use camphorloft_serving::prelude::ServingSet;
use camphorloft_types::prelude::EndpointIx;

use crate::context::Host;
use crate::upstream::ExchangeError;

impl<W, R> Host<W, R> {
    /// Applies the limits of a version on the requests to cold endpoints.
    pub(crate) fn apply_cold_limits(&self, set: &ServingSet, now: Instant) {
        let services = set.services.values();
        let rates = services.filter_map(|of| Some((of.name.clone(), of.cold.as_ref()?.rate)));
        self.state.borrow_mut().fleet.set_cold_rates(rates.collect(), now);
        self.update_limit_shares(now);
    }

    /// Counts a call of this host itself, such as one for a load report, against its share of the rate of a
    /// cold endpoint.
    pub(crate) fn count_own_call(&self, ix: EndpointIx) {
        let now = Instant::now();
        let fleet = &mut self.state.borrow_mut().fleet;
        if fleet.get(ix).is_some_and(|endpoint| endpoint.is_cold_limited(now)) {
            fleet.reserve_send(ix, now);
        }
    }

    /// Returns an error if a request that was placed at `placed_at` may not be sent any more: the endpoint
    /// turned cold since, or the process was paused, so that its share is one of the time before.
    /// `is_counted` is true if the request was counted against a share.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::NotSent`].
    pub(crate) fn check_share(
        &self,
        ix: EndpointIx,
        placed_at: Instant,
        is_counted: bool,
    ) -> Result<(), ExchangeError> {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let was_paused = state.pauses.was_paused_since(placed_at, now);
        let Some(endpoint) = state.fleet.get_mut(ix) else { return Ok(()) };
        if !endpoint.is_cold_limited(now) || is_counted && !was_paused {
            return Ok(());
        }
        if endpoint.request_limit.send_at(now) == Some(now) {
            endpoint.request_limit.reserve(now);
            return Ok(());
        }
        Err(ExchangeError::NotSent("this host has no share of the cold endpoint".to_owned()))
    }
}
