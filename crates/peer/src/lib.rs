//! Protocol between hosts: messages, authentication and framing.
//!
//! - [`wire`]: messages as protocol buffers.
//! - [`packed`]: compression of object sets.
//! - [`convert`]: conversion between wire messages and membership messages.
//! - [`seal`]: frame authentication with a shared secret that can be rotated.
//! - [`updates`]: updates that hosts send each other.
//! - [`update_buffer`]: updates held at a relay until they are sent together.
//! - [`forward_scope`]: hosts that the receiver of a datagram forwards its updates to.
//! - [`relay_table`]: selects the hosts that relay updates.
//! - [`distribution`]: distributes updates to all hosts through relays.
//! - [`link`]: datagram protocol between one host and its peers.
//! - [`replay`]: replay protection.
//! - [`stream`]: length-delimited frames over TCP.

pub mod convert;
pub mod distribution;
pub mod forward_scope;
pub mod link;
pub mod packed;
pub mod relay_table;
pub mod replay;
pub mod seal;
pub mod stream;
pub mod update_buffer;
pub mod updates;
pub mod wire;
