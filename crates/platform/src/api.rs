//! The narrow interface to the platform.

use std::fmt;
use std::sync::Arc;

use quick_error::quick_error;

use crate::wire::{Conflict, HostEntry, Row, Write};

/// A table of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Table {
    /// Published versions of the object set.
    Config,
    /// Claims of calls with an effect.
    Claims,
    /// Leases.
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
    /// Reason that a call to the platform gave no answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PlatformError {
        /// The call did not reach the platform or was refused by it.
        Unavailable(detail: String) {
            display("the platform is unavailable: {}", detail)
        }
        /// The answer was lost. A write may have taken effect.
        Ambiguous(detail: String) {
            display("the platform's answer was lost: {}", detail)
        }
        /// The call was held back by this host's own limit.
        Limited {
            display("the call exceeds this host's share of the platform")
        }
    }
}

/// Result of a transaction that the platform answered.
#[derive(Clone, Debug, PartialEq)]
pub enum TransactOutcome {
    /// All writes were applied.
    Applied,
    /// No write was applied; these conditions failed.
    Conflicts(Vec<Conflict>),
}

/// The platform as the rest of the system sees it.
pub trait PlatformApi: Send + Sync + 'static {
    /// Reads a row.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] when no answer arrived.
    fn read(&self, table: Table, key: &str) -> Result<Option<Row>, PlatformError>;

    /// Reads up to `limit` rows whose keys start with `prefix` and follow `after`, in order.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] when no answer arrived.
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
    /// Returns [`PlatformError::Ambiguous`] when the writes may have been applied.
    fn transact(&self, table: Table, writes: &[Write]) -> Result<TransactOutcome, PlatformError>;

    /// Stores an object. Repeating it is harmless.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] when no answer arrived.
    fn put_object(&self, name: &str, bytes: &[u8]) -> Result<(), PlatformError>;

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] when no answer arrived.
    fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError>;

    /// Reads the lagging host list.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] when no answer arrived.
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
