//! Probes in progress.

use std::net::SocketAddr;
use std::time::Instant;

use camphorloft_types::prelude::HostName;

use crate::message::ProbeId;

/// Stage of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeStage {
    /// The target was pinged directly.
    Direct,
    /// Other hosts were requested to probe the target.
    Indirect,
}

/// A probe sent by this host and not yet acknowledged.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Identifier.
    pub id: ProbeId,
    /// Host that is probed.
    pub target: HostName,
    /// Current stage.
    pub stage: ProbeStage,
    /// End of the stage.
    pub deadline: Instant,
}

/// A probe sent on behalf of another host.
#[derive(Clone, Debug)]
pub struct RelayedProbe {
    /// Identifier of the ping that this host sent to the target.
    pub id: ProbeId,
    /// Identifier from the ping request.
    pub request_id: ProbeId,
    /// Address to which the acknowledgement is forwarded.
    pub reply_to: SocketAddr,
    /// When the probe is discarded.
    pub deadline: Instant,
}
