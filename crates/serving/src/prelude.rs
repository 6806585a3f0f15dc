//! Common imports.

pub use crate::change::Change;
pub use crate::check::{CheckReport, CheckSettings};
pub use crate::limits::ClientLimits;
pub use crate::raw::{
    RawEngine, RawLimits, RawOrganisation, RawRoute, RawService, RawServing, RawTarget,
};
pub use crate::residency::Residency;
pub use crate::route::{RetryMode, Route, Target};
pub use crate::service::{ColdLimit, EngineSpec, Service};
pub use crate::set::{Organisation, RouteError, ServingSet};
