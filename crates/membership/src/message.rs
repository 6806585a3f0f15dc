//! Messages of the membership protocol.

use std::net::SocketAddr;

use camphorloft_types::prelude::*;

use crate::member::Member;

/// Identifier of a probe, unique per sender.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProbeId(pub u64);

/// Kind of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A probe, to be answered with [`MessageKind::Ack`].
    Ping(ProbeId),
    /// The answer to a ping.
    Ack(ProbeId),
    /// A request to probe a third host and to forward its acknowledgement.
    PingRequest(ProbeId, SocketAddr),
    /// A request for all members, with the digest of the sender's view.
    SyncRequest(u64),
    /// Membership updates only.
    Updates,
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Kind of the message.
    pub kind: MessageKind,
    /// Membership record of the sender.
    pub sender: Member,
    /// Version of the object set that the sender has.
    pub config_version: ConfigVersion,
    /// Membership updates.
    pub updates: Vec<Member>,
}

/// A message with its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Destination.
    pub to: SocketAddr,
    /// Message.
    pub message: Message,
}
