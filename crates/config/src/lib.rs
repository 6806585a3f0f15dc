//! The object set that operators publish, and its checks. Does no I/O.
//!
//! - [`finding`]: one problem with its location and remedy.
//! - [`key`]: the kind and name of an object.
//! - [`raw`]: the set as JSON values, with parsing and digest.
//! - [`delta`]: the change between two object sets.
//! - [`object`]: the typed form of each kind of object.
//! - [`verify`]: checks the whole set and collects every finding.
//! - [`checked`]: the immutable, checked object set that the daemon uses.
//! - [`org_key`]: hashing and comparison of organisation keys.

pub mod checked;
pub mod delta;
pub mod finding;
pub mod key;
pub mod object;
pub mod org_key;
pub mod raw;
pub mod verify;

pub use checked::CheckedSet;
pub use delta::SetDelta;
pub use finding::{Finding, Findings};
pub use key::{Kind, ObjectKey};
pub use raw::RawSet;
pub use verify::verify;
