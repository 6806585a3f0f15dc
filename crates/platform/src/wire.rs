//! The platform's protocol as JSON.

use serde::{Deserialize, Serialize};

/// A versioned row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Incremented by each write of the row. The first is 1.
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
    /// New value; none deletes the row.
    pub value: Option<String>,
}

/// A write whose condition failed, with the row as it stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    /// Position of the write in the transaction.
    pub index: usize,
    /// The row, if it exists.
    pub row: Option<Row>,
}

/// State of a host in the host list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub name: String,
    /// Address of the host: for messages between hosts of this system, or of an engine.
    pub addr: String,
    /// Address for callers and operators; only hosts of this system have one.
    #[serde(default)]
    pub http_addr: Option<String>,
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
    /// True when the host is about to leave.
    #[serde(default)]
    pub leaving: bool,
}
