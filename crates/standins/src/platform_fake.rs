//! The platform without a network, with scripted failures, for tests.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use camphorloft_platform::api::{PlatformApi, PlatformError, Table, TransactOutcome};
use camphorloft_platform::wire::{HostEntry, Row, Write};

use crate::platform::PlatformState;

/// What happens to one transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It is applied and answered.
    Answered,
    /// It is applied and its answer is lost.
    AnswerLost,
    /// It is lost before it is applied, and the caller cannot tell.
    RequestLost,
    /// It is refused.
    Refused,
}

/// The platform without a network.
#[derive(Default)]
pub struct FakePlatform {
    state: Mutex<PlatformState>,
    fates: Mutex<VecDeque<Fate>>,
}

impl FakePlatform {
    /// Scripts the fates of the next transactions. Later ones are answered.
    pub fn script<Fates>(&self, fates: Fates)
    where
        Fates: IntoIterator<Item = Fate>,
    {
        self.fates.lock().unwrap_or_else(PoisonError::into_inner).extend(fates);
    }

    /// Locks the state.
    pub fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_fate(&self) -> Fate {
        let mut fates = self.fates.lock().unwrap_or_else(PoisonError::into_inner);
        fates.pop_front().unwrap_or(Fate::Answered)
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
        let fate = self.next_fate();
        match fate {
            Fate::RequestLost => return Err(lost()),
            Fate::Refused => return Err(PlatformError::Unavailable("scripted".to_owned())),
            Fate::Answered | Fate::AnswerLost => {}
        }
        let result = self.state().transact(&table.to_string(), writes);
        if fate == Fate::AnswerLost {
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
