//! The frames that hosts exchange, and how they are authenticated.
//!
//! - [`wire`]: the frames as protocol buffers.
//! - [`packed`]: compresses large object sets.
//! - [`convert`]: between frames and the messages of the protocols.
//! - [`seal`]: authenticates frames with a shared secret, with rotation.
//! - [`link`]: what one host exchanges with the others.
//! - [`replay`]: drops frames that were seen before.
//! - [`stream`]: length-delimited frames over TCP.

pub mod convert;
pub mod link;
pub mod packed;
pub mod replay;
pub mod seal;
pub mod stream;
pub mod wire;
