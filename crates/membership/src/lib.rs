//! Gossip-based host membership and failure detection. Does no I/O and reads no clock.
//!
//! The protocol is of the SWIM family: each host probes another at a fixed interval, requests
//! indirect probes of a host that does not answer, marks it as suspect before declaring it dead,
//! and piggybacks membership updates on the probes. A suspected host refutes by raising its
//! incarnation number. The membership view only distributes work among hosts; the safety of the
//! system never depends on it.
//!
//! - [`member`]: a host and its state.
//! - [`message`]: protocol messages.
//! - [`settings`]: intervals and limits.
//! - [`update_queue`]: updates still to be gossiped.
//! - [`probe`]: probes in progress.
//! - [`membership`]: the membership view and the protocol logic.

pub mod member;
pub mod membership;
pub mod message;
pub mod probe;
pub mod settings;
pub mod update_queue;

pub use member::{Member, MemberState};
pub use membership::Membership;
pub use message::{Message, Outgoing};
