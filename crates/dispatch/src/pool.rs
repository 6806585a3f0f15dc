//! The engines of one service.

use camphorloft_serving::prelude::EngineSpec;
use camphorloft_types::prelude::ServiceName;

use crate::fleet::Fleet;

/// The engines of one service.
#[derive(Clone, Copy, Debug)]
pub struct Pool<'a> {
    /// Table of endpoints.
    pub fleet: &'a Fleet,
    /// Service.
    pub service: &'a ServiceName,
    /// Specification of the engines.
    pub spec: &'a EngineSpec,
}
