//! A host and its state.

use std::fmt;
use std::net::SocketAddr;
use std::time::Instant;

use camphorloft_types::prelude::*;

/// State of a host in the view of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// The host answers probes.
    Alive,
    /// The host did not answer a probe and has not refuted the suspicion yet.
    Suspect,
    /// The host did not refute a suspicion before the timeout.
    Dead,
    /// The host announced that it leaves.
    Left,
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "dead",
            MemberState::Left => "left",
        })
    }
}

/// Membership record of a host, as exchanged between hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name.
    pub host: HostName,
    /// Address for messages of this protocol.
    pub addr: SocketAddr,
    /// HTTP address for clients and operators.
    pub http_addr: SocketAddr,
    /// Region.
    pub region: Region,
    /// Availability zone.
    pub zone: AvailabilityZone,
    /// Start time of the host's process, in milliseconds since the epoch. Distinguishes a restarted
    /// process from the previous one.
    pub started_ms: u64,
    /// Incarnation, raised only by the host itself.
    pub incarnation: Incarnation,
    /// State.
    pub state: MemberState,
    /// The host whose own probe failed; set only with [`MemberState::Suspect`]. Hosts that merely
    /// forward the suspicion are not counted as suspecting.
    pub suspected_by: Option<HostName>,
}

impl Member {
    /// Returns true when this record replaces `known`.
    ///
    /// A larger incarnation takes precedence, then the later state in the order of
    /// [`MemberState`].
    pub fn supersedes(&self, known: &Member) -> bool {
        (self.incarnation, self.state) > (known.incarnation, known.state)
    }
}

/// A member with the local state that this host keeps for it.
#[derive(Clone, Debug)]
pub struct KnownMember {
    /// The newest membership record.
    pub member: Member,
    /// When the record was stored.
    pub changed_at: Instant,
    /// Hosts that suspect the member independently of each other.
    pub suspecting_hosts: Vec<HostName>,
    /// Version of the object set that the member last reported.
    pub config_version: ConfigVersion,
}
