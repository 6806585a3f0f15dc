//! In-process platform with scripted failures, for tests.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use camphorloft_platform::api::{PlatformApi, PlatformError, Table, TransactOutcome};
use camphorloft_platform::wire::{HostEntry, Row, Write};

use crate::platform::PlatformState;

/// Scripted outcome of one transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScriptedOutcome {
    /// It is processed and its response arrives.
    Completed,
    /// It is processed but its response is lost.
    ResponseLost,
    /// It is lost before it is processed. The client cannot tell this from a lost response.
    RequestLost,
    /// It is rejected.
    Rejected,
}

/// In-process platform.
#[derive(Default)]
pub struct FakePlatform {
    state: Mutex<PlatformState>,
    outcomes: Mutex<VecDeque<ScriptedOutcome>>,
}

impl FakePlatform {
    /// Scripts the outcomes of the next transactions. Later ones are completed.
    pub fn script<Outcomes>(&self, outcomes: Outcomes)
    where
        Outcomes: IntoIterator<Item = ScriptedOutcome>,
    {
        self.outcomes.lock().unwrap_or_else(PoisonError::into_inner).extend(outcomes);
    }

    /// Locks the state.
    pub fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_outcome(&self) -> ScriptedOutcome {
        let mut outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        outcomes.pop_front().unwrap_or(ScriptedOutcome::Completed)
    }
}

impl PlatformApi for FakePlatform {
    fn read(&self, table: Table, key: &str) -> Result<Option<Row>, PlatformError> {
        Ok(self.state().read(&table.to_string(), key))
    }

    fn scan(
        &self,
        table: Table,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<(String, Row)>, PlatformError> {
        Ok(self.state().scan(&table.to_string(), prefix, after, limit))
    }

    fn transact(&self, table: Table, writes: &[Write]) -> Result<TransactOutcome, PlatformError> {
        let lost = || PlatformError::Ambiguous("scripted".to_owned());
        let outcome = self.next_outcome();
        match outcome {
            ScriptedOutcome::RequestLost => return Err(lost()),
            ScriptedOutcome::Rejected => {
                return Err(PlatformError::Unavailable("scripted".to_owned()));
            }
            ScriptedOutcome::Completed | ScriptedOutcome::ResponseLost => {}
        }
        let result = self.state().transact(&table.to_string(), writes);
        if outcome == ScriptedOutcome::ResponseLost {
            return Err(lost());
        }
        Ok(match result {
            Ok(()) => TransactOutcome::Applied,
            Err(conflicts) => TransactOutcome::Conflicts(conflicts),
        })
    }

    fn put_object(&self, name: &str, bytes: &[u8]) -> Result<(), PlatformError> {
        self.state().put_object(name, bytes.to_vec());
        Ok(())
    }

    fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        Ok(self.state().get_object(name))
    }

    fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        Ok(self.state().hosts())
    }
}
