//! Which hosts are alive, agreed by gossip. Does no I/O and reads no clock.
//!
//! The protocol is of the SWIM family: each host probes another at a fixed interval, asks others
//! to probe one that does not answer, suspects it before it is declared dead, and spreads what it
//! learns on the probes themselves. An incarnation number lets a suspected host refute. Safety of
//! the system never rests on this view: it only steers who does what.
//!
//! - [`member`]: a host and its state.
//! - [`message`]: what hosts tell each other.
//! - [`settings`]: intervals and limits.
//! - [`rumor_queue`]: updates that still have to be spread.
//! - [`probe`]: the probe under way.
//! - [`membership`]: the context that owns the view.

pub mod member;
pub mod membership;
pub mod message;
pub mod probe;
pub mod rumor_queue;
pub mod settings;

pub use member::{Member, MemberState};
pub use membership::Membership;
pub use message::{Message, Outgoing};
