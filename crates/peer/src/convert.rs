//! Conversion between wire messages and membership messages.

use camphorloft_membership::message::{MessageKind, ProbeId};
use camphorloft_membership::{Member, MemberState, Message};
use camphorloft_types::prelude::*;

use crate::seal::FrameError;
use crate::wire::{WireDatagram, WireKind, WireMember, WirePingRequest};

/// Returns the wire form of a member.
pub fn member_to_wire(member: &Member) -> WireMember {
    WireMember {
        host: member.host.to_string(),
        addr: member.addr.to_string(),
        http_addr: member.http_addr.to_string(),
        region: member.region.to_string(),
        zone: member.zone.to_string(),
        incarnation: member.incarnation.0,
        started_ms: member.started_ms,
        state: match member.state {
            MemberState::Alive => 0,
            MemberState::Suspect => 1,
            MemberState::Dead => 2,
            MemberState::Left => 3,
        },
        accuser: member.suspected_by.as_ref().map(ToString::to_string).unwrap_or_default(),
    }
}

/// Parses the wire form of a member.
///
/// # Errors
///
/// Returns [`FrameError::Malformed`] for a name, address or state that is not valid.
pub fn member_from_wire(wire: &WireMember) -> Result<Member, FrameError> {
    let state = match wire.state {
        0 => MemberState::Alive,
        1 => MemberState::Suspect,
        2 => MemberState::Dead,
        3 => MemberState::Left,
        _ => return Err(FrameError::Malformed),
    };
    let suspected_by = match wire.accuser.as_str() {
        "" => None,
        name => Some(name.parse().map_err(|_| FrameError::Malformed)?),
    };
    Ok(Member {
        suspected_by,
        host: wire.host.parse().map_err(|_| FrameError::Malformed)?,
        addr: wire.addr.parse().map_err(|_| FrameError::Malformed)?,
        http_addr: wire.http_addr.parse().map_err(|_| FrameError::Malformed)?,
        region: wire.region.parse().map_err(|_| FrameError::Malformed)?,
        zone: wire.zone.parse().map_err(|_| FrameError::Malformed)?,
        incarnation: Incarnation(wire.incarnation),
        started_ms: wire.started_ms,
        state,
    })
}

/// Returns the wire form of a membership message.
pub fn message_to_wire(message: &Message) -> WireDatagram {
    let kind = match message.kind {
        MessageKind::Ping(id) => Some(WireKind::Ping(id.0)),
        MessageKind::Ack(id) => Some(WireKind::Ack(id.0)),
        MessageKind::PingRequest(id, target) => {
            Some(WireKind::PingRequest(WirePingRequest { id: id.0, target: target.to_string() }))
        }
        MessageKind::SyncRequest(digest) => Some(WireKind::SyncRequest(digest)),
        MessageKind::Updates => None,
    };
    WireDatagram {
        sender: Some(member_to_wire(&message.sender)),
        config_version: message.config_version.0,
        updates: message.updates.iter().map(member_to_wire).collect(),
        kind,
        ..WireDatagram::default()
    }
}

/// Parses the wire form of a membership message.
///
/// # Errors
///
/// Returns [`FrameError::Malformed`] when the sender is missing, or it or the kind is not valid. Updates that are
/// not valid are left out.
pub fn message_from_wire(wire: &WireDatagram) -> Result<Message, FrameError> {
    let kind = match &wire.kind {
        Some(WireKind::Ping(id)) => MessageKind::Ping(ProbeId(*id)),
        Some(WireKind::Ack(id)) => MessageKind::Ack(ProbeId(*id)),
        Some(WireKind::PingRequest(request)) => {
            let target = request.target.parse().map_err(|_| FrameError::Malformed)?;
            MessageKind::PingRequest(ProbeId(request.id), target)
        }
        Some(WireKind::SyncRequest(digest)) => MessageKind::SyncRequest(*digest),
        None => MessageKind::Updates,
    };
    let sender = wire.sender.as_ref().ok_or(FrameError::Malformed)?;
    let updates = wire.updates.iter().filter_map(|update| member_from_wire(update).ok());
    Ok(Message {
        kind,
        sender: member_from_wire(sender)?,
        config_version: ConfigVersion(wire.config_version),
        updates: updates.collect(),
    })
}
