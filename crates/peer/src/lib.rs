//! Protocol between hosts: messages, authentication and framing.
//!
//! - [`wire`]: messages as protocol buffers.
//! - [`packed`]: compression of object sets.
//! - [`convert`]: conversion between wire messages and membership messages.
//! - [`seal`]: frame authentication with a shared secret that can be rotated.
//! - [`link`]: datagram protocol between one host and its peers.
//! - [`replay`]: replay protection.
//! - [`stream`]: length-delimited frames over TCP.

pub mod convert;
pub mod link;
pub mod packed;
pub mod replay;
pub mod seal;
pub mod stream;
pub mod wire;
