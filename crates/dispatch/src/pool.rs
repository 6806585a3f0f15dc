//! The engines of one service.

use camphorloft_serving::prelude::EngineSpec;
use camphorloft_types::prelude::ServiceName;

use crate::fleet::Fleet;

/// The engines of one service.
#[derive(Clone, Copy, Debug)]
pub struct Pool<'a> {
    /// Table that holds them.
    pub fleet: &'a Fleet,
    /// Service.
    pub service: &'a ServiceName,
    /// What they can do.
    pub spec: &'a EngineSpec,
}
