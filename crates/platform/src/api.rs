//! Interface to the platform.

use std::fmt;
use std::sync::Arc;

use quick_error::quick_error;

use crate::wire::{Conflict, HostEntry, Row, Write};

/// A table of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Table {
    /// Published versions of the object set.
    Config,
    /// Claims of calls that are executed at most once.
    Claims,
    /// Leases with fencing tokens.
    Leases,
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Table::Config => "config",
            Table::Claims => "claims",
            Table::Leases => "leases",
        })
    }
}

quick_error! {
    /// Reason that a call to the platform returned no result.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PlatformError {
        /// The call did not reach the platform or was rejected by it. A write had no effect.
        Unavailable(detail: String) {
            display("the platform is unavailable: {}", detail)
        }
        /// The response was lost. A write may have been applied.
        Ambiguous(detail: String) {
            display("the platform's response was lost: {}", detail)
        }
        /// The call exceeds this host's own rate limit and was not sent.
        Limited {
            display("the call exceeds this host's rate limit for the platform")
        }
    }
}

/// Result of a transaction to which the platform responded.
#[derive(Clone, Debug, PartialEq)]
pub enum TransactOutcome {
    /// All writes were applied.
    Applied,
    /// No write was applied, because these conditions failed.
    Conflicts(Vec<Conflict>),
}

/// Operations of the platform.
pub trait PlatformApi: Send + Sync + 'static {
    /// Reads a row.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] when no valid response arrived.
    fn read(&self, table: Table, key: &str) -> Result<Option<Row>, PlatformError>;

    /// Reads up to `limit` rows whose keys start with `prefix` and are greater than `after`, in
    /// ascending order of keys.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] when no valid response arrived.
    fn scan(
        &self,
        table: Table,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<(String, Row)>, PlatformError>;

    /// Applies all writes or none.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Ambiguous`] when the writes may have been applied, and another
    /// [`PlatformError`] when they were not.
    fn transact(&self, table: Table, writes: &[Write]) -> Result<TransactOutcome, PlatformError>;

    /// Stores an object. The operation is idempotent.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] when no valid response arrived.
    fn put_object(&self, name: &str, bytes: &[u8]) -> Result<(), PlatformError>;

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] when no valid response arrived.
    fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError>;

    /// Reads the host list, which is delayed.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] when no valid response arrived.
    fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError>;
}

impl<P> PlatformApi for Arc<P>
where
    P: PlatformApi,
{
    fn read(&self, table: Table, key: &str) -> Result<Option<Row>, PlatformError> {
        (**self).read(table, key)
    }

    fn scan(
        &self,
        table: Table,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<(String, Row)>, PlatformError> {
        (**self).scan(table, prefix, after, limit)
    }

    fn transact(&self, table: Table, writes: &[Write]) -> Result<TransactOutcome, PlatformError> {
        (**self).transact(table, writes)
    }

    fn put_object(&self, name: &str, bytes: &[u8]) -> Result<(), PlatformError> {
        (**self).put_object(name, bytes)
    }

    fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        (**self).get_object(name)
    }

    fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        (**self).hosts()
    }
}
