//! What the callers of a run saw, and which promises were broken.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;

/// A promise that is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// Every token reaches its caller once, in order, from one generation.
    TokensOnceInOrder,
    /// A request reported as not run was not run.
    NotRunWasNotRun,
    /// A call with an effect has it at most once, and a completed one has it.
    EffectAtMostOnce,
    /// A leaving endpoint is offered no new work after a few seconds.
    LeavingGetsNoWork,
    /// A graceful shutdown cuts no request.
    DrainCutsNothing,
    /// An accepted version is in force everywhere in time.
    ConfigInForce,
    /// The version in force on a host never decreases.
    ConfigMonotonic,
    /// A request that crashes endpoints is refused after a few crashes.
    PoisonRefused,
    /// Every request ends in one of the three outcomes.
    EveryRequestEnds,
    /// No host counted a breach of an invariant.
    InvariantsHold,
}

/// Trials and violations of one promise.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PromiseRow {
    /// Name.
    pub name: String,
    /// Times that the promise was put to the test.
    pub trials: u64,
    /// Times that it was broken.
    pub violations: u64,
    /// The first violations.
    pub details: Vec<String>,
}

/// Violations that are described.
const MAX_DETAILS: usize = 5;

#[derive(Default)]
struct Entries {
    promises: BTreeMap<Promise, PromiseRow>,
    faults: BTreeMap<String, u64>,
    requests: u64,
    completed: u64,
    not_run: u64,
    unknown: u64,
    last_completed: Option<Instant>,
    longest_gap: Duration,
}

/// Totals of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Requests begun.
    pub requests: u64,
    /// Requests whose whole answer arrived.
    pub completed: u64,
    /// Requests that were not run.
    pub not_run: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Longest time without a completed request.
    pub longest_gap: Duration,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The whole answer arrived.
    Completed,
    /// It was not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The ledger, shared by all threads of a run.
#[derive(Default)]
pub struct Ledger {
    entries: Mutex<Entries>,
}

impl Ledger {
    fn entries(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a trial of a promise, and a violation when it did not hold.
    pub fn check<Detail>(&self, promise: Promise, holds: bool, detail: Detail)
    where
        Detail: FnOnce() -> String,
    {
        let mut entries = self.entries();
        let row = entries.promises.entry(promise).or_default();
        row.trials += 1;
        if !holds {
            row.violations += 1;
            if row.details.len() < MAX_DETAILS {
                row.details.push(detail());
            }
        }
    }

    /// Counts an injected fault.
    pub fn fault(&self, kind: &str) {
        *self.entries().faults.entry(kind.to_owned()).or_default() += 1;
    }

    /// Counts the beginning of a request.
    pub fn begin(&self) {
        self.entries().requests += 1;
    }

    /// Counts the end of a request.
    pub fn end(&self, ended: Ended) {
        let mut entries = self.entries();
        match ended {
            Ended::Completed => {
                entries.completed += 1;
                let now = Instant::now();
                let gap = entries.last_completed.map_or(Duration::ZERO, |last| now - last);
                entries.longest_gap = entries.longest_gap.max(gap);
                entries.last_completed = Some(now);
            }
            Ended::NotRun => entries.not_run += 1,
            Ended::Unknown => entries.unknown += 1,
        }
    }

    /// Returns the totals.
    pub fn totals(&self) -> Totals {
        let entries = self.entries();
        Totals {
            requests: entries.requests,
            completed: entries.completed,
            not_run: entries.not_run,
            unknown: entries.unknown,
            longest_gap: entries.longest_gap,
        }
    }

    /// Returns every promise that was put to the test.
    pub fn promises(&self) -> Vec<PromiseRow> {
        let entries = self.entries();
        let named = entries.promises.iter().map(|(promise, row)| {
            let name = serde_json::to_value(promise).unwrap_or_default();
            PromiseRow { name: name.as_str().unwrap_or_default().to_owned(), ..row.clone() }
        });
        named.collect()
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> Vec<(String, u64)> {
        self.entries().faults.iter().map(|(kind, count)| (kind.clone(), *count)).collect()
    }
}
