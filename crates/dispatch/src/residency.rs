//! Refuses requests that no endpoint in their allowed regions can serve.
//!
//! Handles the loss of all endpoints of a region, for example because its engines are reclaimed together,
//! while requests that may be processed only there keep arriving. Endpoints of other regions cannot serve
//! them, so that waiting would only use up their time, and clients that retry at once would add load.

use std::fmt;
use std::time::Duration;

use camphorloft_serving::prelude::Residency;
use camphorloft_types::prelude::ServiceName;
use rand::Rng;

use crate::endpoint::Endpoint;
use crate::fleet::Fleet;

/// Shortest time after which a replacement endpoint may have registered. The longest is twice that.
const MIN_REPLACEMENT_TIME: Duration = Duration::from_millis(1500);

/// Reason that a request cannot be served in its allowed regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResidencyRefusal {
    /// No region is allowed.
    NoAllowedRegion,
    /// No endpoint that accepts new work is in an allowed region.
    NoEndpoint {
        /// Time after which the client should retry.
        retry_after: Duration,
    },
}

impl ResidencyRefusal {
    /// Returns its name in logs and responses.
    pub fn as_str(self) -> &'static str {
        match self {
            ResidencyRefusal::NoAllowedRegion => "no_allowed_region",
            ResidencyRefusal::NoEndpoint { .. } => "no_endpoint_in_region",
        }
    }

    /// Returns the time after which the client should retry, `None` if a retry cannot succeed.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            ResidencyRefusal::NoAllowedRegion => None,
            ResidencyRefusal::NoEndpoint { retry_after } => Some(retry_after),
        }
    }
}

impl fmt::Display for ResidencyRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Checks whether an endpoint of a service in an allowed region accepts new work, busy or not.
///
/// # Errors
///
/// Returns [`ResidencyRefusal`] if there is none, so that the request is to be refused at once.
pub fn check<Draws>(
    fleet: &Fleet,
    service: &ServiceName,
    residency: &Residency,
    rng: &mut Draws,
) -> Result<(), ResidencyRefusal>
where
    Draws: Rng,
{
    if residency.is_unrestricted() {
        return Ok(());
    }
    if residency.is_empty() {
        return Err(ResidencyRefusal::NoAllowedRegion);
    }
    let mut endpoints = fleet.of_service(service);
    let can_serve = |e: &Endpoint| e.is_ready() && residency.allows_place(e.region.as_ref());
    if endpoints.any(|(_, endpoint)| can_serve(endpoint)) {
        return Ok(());
    }
    let retry_after = MIN_REPLACEMENT_TIME.mul_f64(1.0 + rng.random::<f64>());
    Err(ResidencyRefusal::NoEndpoint { retry_after })
}
