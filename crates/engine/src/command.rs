//! Commands to load or unload a model on an engine.

use camphorloft_types::prelude::{FencingToken, ModelName};
use serde::{Deserialize, Serialize};

/// Action of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelAction {
    /// Load the model.
    Load,
    /// Unload the model.
    Unload,
}

/// A command to an engine, the body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelCommand {
    /// Fencing token of the lease under which the command is sent.
    pub fencing: FencingToken,
    /// Action to perform.
    pub action: ModelAction,
    /// Model to load or unload.
    pub model: ModelName,
}
