//! The serving configuration: routes, services, organisations and limits, verified as one set.
//!
//! An operator publishes complete versions. Each version is verified as a whole and is immutable
//! afterwards. A host uses one version at a time and never replaces it with an older one.
//!
//! - [`raw`]: an unverified version, as decoded by an adapter.
//! - [`route`]: the configuration of one route.
//! - [`service`]: a pool of endpoints that routes send requests to.
//! - [`residency`]: the regions in which a request may be processed.
//! - [`limits`]: limits on client requests and connections.
//! - [`set`]: a verified version with its lookups.
//! - [`verify`]: verifies a raw version and collects every finding.
//! - [`check`]: checks a proposed version before it is published.
//! - [`change`]: differences between two versions.

pub mod change;
pub mod check;
pub mod limits;
pub mod prelude;
pub mod raw;
pub mod residency;
pub mod route;
pub mod service;
pub mod set;
pub mod verify;
