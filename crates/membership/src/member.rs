//! A host and its state.

use std::fmt;
use std::net::SocketAddr;
use std::time::Instant;

use camphorloft_types::prelude::*;

/// State of a host in the view of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer and has not refuted yet.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It said that it leaves.
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

/// What hosts tell each other about a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name.
    pub host: HostName,
    /// Address for messages of this protocol.
    pub addr: SocketAddr,
    /// Address for callers and operators.
    pub http_addr: SocketAddr,
    /// Region.
    pub region: Region,
    /// Availability zone.
    pub zone: AvailabilityZone,
    /// When its process started, in milliseconds since the epoch. Tells a restarted process from
    /// the one before it.
    pub started_ms: u64,
    /// Incarnation, raised by the host itself only.
    pub incarnation: Incarnation,
    /// State.
    pub state: MemberState,
    /// The host whose own probe failed, with [`MemberState::Suspect`] only. Hosts that merely pass
    /// the suspicion on do not count as suspecting.
    pub accuser: Option<HostName>,
}

impl Member {
    /// Returns true when this statement replaces `known`.
    ///
    /// A larger incarnation wins; within one incarnation the worse state wins.
    pub fn supersedes(&self, known: &Member) -> bool {
        (self.incarnation, self.state) > (known.incarnation, known.state)
    }
}

/// A member with what only this host knows of it.
#[derive(Clone, Debug)]
pub struct KnownMember {
    /// The newest statement.
    pub member: Member,
    /// When the statement was taken.
    pub changed_at: Instant,
    /// Hosts that suspect it independently.
    pub suspected_by: Vec<HostName>,
    /// Version of the object set that it last said to have.
    pub config_version: ConfigVersion,
}
