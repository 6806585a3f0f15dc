//! Validated identifiers, sizes and rates shared by every camphorloft crate.
//!
//! - [`name`]: string identifiers of configured objects and hosts.
//! - [`number`]: numeric newtypes for counts, sizes, versions and sequence numbers.
//! - [`index`]: dense indices for tables used in placement decisions.
//! - [`generation`]: identifiers of generations and of their attempts.
//! - [`outcome`]: the possible outcomes of a request.
//! - [`rendezvous`]: highest-random-weight hashing.
//! - [`request_feature`]: what requests may have in common.
//! - [`request_rate`]: a rate of requests.
//! - [`software_version`]: version of an endpoint's software.
//! - [`prelude`]: the types that nearly every module imports.

pub mod generation;
pub mod index;
pub mod name;
pub mod number;
pub mod outcome;
pub mod prelude;
pub mod rendezvous;
pub mod request_feature;
pub mod request_rate;
pub mod software_version;
