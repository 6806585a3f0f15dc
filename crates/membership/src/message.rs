//! What hosts tell each other.

use std::net::SocketAddr;

use camphorloft_types::prelude::*;

use crate::member::Member;

/// Identifies a probe within its sender.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProbeId(pub u64);

/// What a message asks or answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Asks for an answer.
    Ping(ProbeId),
    /// Answers a ping.
    Ack(ProbeId),
    /// Asks to probe a third host and to pass its answer on.
    PingRequest(ProbeId, SocketAddr),
    /// Asks for all members, with the digest of the sender's view.
    SyncRequest(u64),
    /// Carries members, without question or answer.
    Updates,
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// What it asks or answers.
    pub kind: MessageKind,
    /// The sender, alive.
    pub sender: Member,
    /// Version of the object set that the sender has.
    pub config_version: ConfigVersion,
    /// Statements about members.
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
