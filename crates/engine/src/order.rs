//! Orders to an engine.

use camphorloft_types::prelude::{FencingToken, ModelName};
use serde::{Deserialize, Serialize};

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load the model.
    Load,
    /// Unload the model.
    Unload,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the lease under which the order is given.
    pub fencing: FencingToken,
    /// What to do.
    pub action: OrderAction,
    /// Model that the order concerns.
    pub model: ModelName,
}
