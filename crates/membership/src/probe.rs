//! The probe under way.

use std::net::SocketAddr;
use std::time::Instant;

use camphorloft_types::prelude::HostName;

use crate::message::ProbeId;

/// How far a probe has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeStage {
    /// The host was asked directly.
    Direct,
    /// Others were asked to probe it.
    Indirect,
}

/// A probe of this host that is not answered yet.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Identity.
    pub id: ProbeId,
    /// Probed host.
    pub target: HostName,
    /// How far it has come.
    pub stage: ProbeStage,
    /// When the stage ends.
    pub deadline: Instant,
}

/// A probe made for another host.
#[derive(Clone, Debug)]
pub struct RelayedProbe {
    /// Identity of this host's own ping.
    pub id: ProbeId,
    /// Identity given by the host that asked.
    pub asked_id: ProbeId,
    /// Where the answer goes.
    pub asked_by: SocketAddr,
    /// When it is forgotten.
    pub deadline: Instant,
}
