//! What a deployment serves: routes, services, organisations and limits, checked as one set.
//!
//! An operator publishes whole versions. A version is checked as a whole and is immutable
//! afterwards; a host holds one version at a time and never an older one after a newer one.
//!
//! - [`raw`]: a version as an adapter decoded it, unchecked.
//! - [`route`]: what the relay has to know of one route.
//! - [`service`]: a pool of endpoints that a route sends to.
//! - [`limits`]: bounds on what callers may send.
//! - [`set`]: a checked version with its lookups.
//! - [`verify`]: checks a raw version and collects every finding.

pub mod limits;
pub mod prelude;
pub mod raw;
pub mod route;
pub mod service;
pub mod set;
pub mod verify;
