//! JSON messages of the platform's protocol.

use serde::{Deserialize, Serialize};

/// A versioned row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Version, incremented by each write of the row. The first version is 1.
    pub version: u64,
    /// Value of the row.
    pub value: String,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(u64),
    /// No condition.
    Any,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// Condition.
    pub expect: Expect,
    /// New value; `None` deletes the row.
    pub value: Option<String>,
}

/// A write whose condition failed, with the existing row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    /// Position of the write in the transaction.
    pub index: usize,
    /// Existing row, if any.
    pub row: Option<Row>,
}

/// Entry of the host list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub name: String,
    /// Address for messages between hosts of this system, or the address of an engine.
    pub addr: String,
    /// HTTP address for clients and operators; only hosts of this system have one.
    #[serde(default)]
    pub http_addr: Option<String>,
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
    /// True when the host is draining.
    #[serde(default)]
    pub leaving: bool,
}
