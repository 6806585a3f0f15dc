//! Speed of an endpoint as known to another host.

use std::time::Instant;

use crate::slowness_samples::UsualSlowness;

/// Speed of an endpoint as known to another host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerSlowness {
    /// Usual slowness that the endpoint states.
    pub stated: UsualSlowness,
    /// Usual slowness that hosts observe.
    pub observed: UsualSlowness,
    /// Latest figure that the endpoint stated, in percent, and when it was valid.
    pub latest: Option<(u32, Instant)>,
    /// When any endpoint of the service last stated a figure.
    pub stated_at: Instant,
}
