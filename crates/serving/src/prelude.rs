//! Common imports.

pub use crate::limits::CallerLimits;
pub use crate::raw::{
    RawEngine, RawLimits, RawOrganisation, RawRoute, RawService, RawServing, RawTarget,
};
pub use crate::route::{Repeat, Route, Target};
pub use crate::service::{EngineSpec, Service};
pub use crate::set::{ServingSet, Unrouted};
