//! Records the outcomes of requests and the results of the checks of a run.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;

/// An invariant that is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// Every token is delivered to its client once, in order, from one generation.
    TokensOnceInOrder,
    /// A request reported as not run was not run.
    NotRunWasNotRun,
    /// A call has its effect at most once, and a completed call has it exactly once.
    EffectAtMostOnce,
    /// A draining endpoint is offered no new work after a few seconds.
    #[serde(rename = "leaving_gets_no_work")]
    DrainingGetsNoWork,
    /// A graceful shutdown interrupts no request.
    DrainCutsNothing,
    /// An accepted version is in force on every host before its deadline.
    ConfigInForce,
    /// The version in force on a host never decreases.
    ConfigMonotonic,
    /// A request that crashes endpoints is refused after a few crashes.
    PoisonRefused,
    /// Every request ends with one of the three outcomes.
    EveryRequestEnds,
    /// No host counted a violation of its own invariants.
    InvariantsHold,
}

/// Results of the checks of one invariant.
#[derive(Clone, Debug, Default, Serialize)]
pub struct InvariantRow {
    /// Name.
    pub name: String,
    /// Number of checks.
    pub trials: u64,
    /// Number of checks that failed.
    pub violations: u64,
    /// Descriptions of the first violations.
    pub details: Vec<String>,
}

/// Maximum number of described violations per invariant.
const MAX_DETAILS: usize = 5;

#[derive(Default)]
struct Entries {
    invariants: BTreeMap<Invariant, InvariantRow>,
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
    /// Requests started.
    pub requests: u64,
    /// Requests whose complete response was received.
    pub completed: u64,
    /// Requests that were not run.
    pub not_run: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Longest time without a completed request.
    pub longest_gap: Duration,
}

/// Outcome of a request for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response was received.
    Completed,
    /// The request was not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Recorder that all threads of a run share.
#[derive(Default)]
pub struct Recorder {
    entries: Mutex<Entries>,
}

impl Recorder {
    fn entries(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a check of an invariant, and a violation if it does not hold.
    pub fn check<Detail>(&self, invariant: Invariant, holds: bool, detail: Detail)
    where
        Detail: FnOnce() -> String,
    {
        let mut entries = self.entries();
        let row = entries.invariants.entry(invariant).or_default();
        row.trials += 1;
        if !holds {
            row.violations += 1;
            if row.details.len() < MAX_DETAILS {
                row.details.push(detail());
            }
        }
    }

    /// Records an injected fault.
    pub fn fault(&self, kind: &str) {
        *self.entries().faults.entry(kind.to_owned()).or_default() += 1;
    }

    /// Records the start of a request.
    pub fn start(&self) {
        self.entries().requests += 1;
    }

    /// Records the end of a request.
    pub fn end(&self, outcome: Outcome) {
        let mut entries = self.entries();
        match outcome {
            Outcome::Completed => {
                entries.completed += 1;
                let now = Instant::now();
                let gap = entries.last_completed.map_or(Duration::ZERO, |last| now - last);
                entries.longest_gap = entries.longest_gap.max(gap);
                entries.last_completed = Some(now);
            }
            Outcome::NotRun => entries.not_run += 1,
            Outcome::Unknown => entries.unknown += 1,
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

    /// Returns the results for every invariant that was checked.
    pub fn invariants(&self) -> Vec<InvariantRow> {
        let entries = self.entries();
        let named = entries.invariants.iter().map(|(invariant, row)| {
            let name = serde_json::to_value(invariant).unwrap_or_default();
            InvariantRow { name: name.as_str().unwrap_or_default().to_owned(), ..row.clone() }
        });
        named.collect()
    }

    /// Returns the number of injected faults of each kind.
    pub fn faults(&self) -> Vec<(String, u64)> {
        self.entries().faults.iter().map(|(kind, count)| (kind.clone(), *count)).collect()
    }
}
