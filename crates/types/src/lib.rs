//! Checked identifiers, sizes and rates shared by every camphorloft crate.
//!
//! - [`name`]: string identifiers of configured objects and machines.
//! - [`number`]: numeric newtypes for counts, sizes, versions and ordinals.
//! - [`index`]: dense indices for tables on the decision path.
//! - [`generation`]: the identity of one generation and of its attempts.
//! - [`outcome`]: the three ends that a request can have.
//! - [`rendezvous`]: highest-random-weight hashing.
//! - [`prelude`]: the types that nearly every module imports.

pub mod generation;
pub mod index;
pub mod name;
pub mod number;
pub mod outcome;
pub mod prelude;
pub mod rendezvous;
