//! State of the platform stand-in: tables, objects and a lagging host list.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use camphorloft_platform::wire::{Conflict, Expect, HostEntry, Row, Write};
use serde::{Deserialize, Serialize};

/// Age at which a change of the host list becomes visible.
const HOST_LIST_LAG: Duration = Duration::from_secs(3);

/// A fault for the stand-in to show.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformFault {
    /// Refuses everything for a time, in milliseconds.
    Outage(u64),
    /// Delays each answer by the first number for a time of the second, both in milliseconds.
    Slow(u64, u64),
    /// Loses this many answers of transactions after they took effect.
    LoseAnswers(u32),
}

/// Counts of the calls served.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Reads of rows, objects and the host list.
    pub reads: u64,
    /// Transactions and object writes.
    pub writes: u64,
    /// Rows written.
    pub rows: u64,
    /// Calls refused in an outage.
    pub refused: u64,
}

/// The whole state.
#[derive(Default)]
pub struct PlatformState {
    tables: BTreeMap<String, BTreeMap<String, Row>>,
    objects: BTreeMap<String, Vec<u8>>,
    hosts: BTreeMap<String, HostEntry>,
    host_views: VecDeque<(Instant, Vec<HostEntry>)>,
    outage_until: Option<Instant>,
    slow_until: Option<(Instant, Duration)>,
    lose_answers: u32,
    /// Calls served.
    pub counts: PlatformCounts,
}

impl PlatformState {
    /// Shows a fault.
    pub fn inject(&mut self, fault: PlatformFault) {
        let after = |ms| Instant::now() + Duration::from_millis(ms);
        match fault {
            PlatformFault::Outage(ms) => self.outage_until = Some(after(ms)),
            PlatformFault::Slow(delay, ms) => {
                self.slow_until = Some((after(ms), Duration::from_millis(delay)));
            }
            PlatformFault::LoseAnswers(count) => self.lose_answers += count,
        }
    }

    /// Returns true in an outage and counts the refused call.
    pub fn refuses(&mut self) -> bool {
        let out = self.outage_until.is_some_and(|until| Instant::now() < until);
        self.counts.refused += u64::from(out);
        out
    }

    /// Returns the delay of the next answer.
    pub fn delay(&self) -> Duration {
        let slow = self.slow_until.filter(|(until, _)| Instant::now() < *until);
        slow.map_or(Duration::ZERO, |(_, delay)| delay)
    }

    /// Returns true when the answer of the transaction just made must be lost.
    pub fn loses_answer(&mut self) -> bool {
        let lose = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        lose
    }

    /// Reads a row.
    pub fn read(&mut self, table: &str, key: &str) -> Option<Row> {
        self.counts.reads += 1;
        self.tables.get(table)?.get(key).cloned()
    }

    /// Reads up to `limit` rows whose keys start with `prefix` and follow `after`, in order.
    pub fn scan(
        &mut self,
        table: &str,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Vec<(String, Row)> {
        self.counts.reads += 1;
        let Some(rows) = self.tables.get(table) else { return Vec::new() };
        let from = if after > prefix { after } else { prefix };
        rows.range(from.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after)
            .take(limit)
            .map(|(key, row)| (key.clone(), row.clone()))
            .collect()
    }

    /// Applies all writes, or none when a condition fails.
    ///
    /// # Errors
    ///
    /// Returns every failed condition.
    pub fn transact(&mut self, table: &str, writes: &[Write]) -> Result<(), Vec<Conflict>> {
        self.counts.writes += 1;
        let rows = self.tables.entry(table.to_owned()).or_default();
        let failed = |write: &Write| {
            let row = rows.get(&write.key);
            match write.expect {
                Expect::Any => false,
                Expect::Absent => row.is_some(),
                Expect::Version(version) => row.map(|r| r.version) != Some(version),
            }
        };
        let indexed = writes.iter().enumerate();
        let conflicts: Vec<Conflict> = indexed
            .filter(|(_, write)| failed(write))
            .map(|(index, write)| Conflict { index, row: rows.get(&write.key).cloned() })
            .collect();
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        for write in writes {
            let version = rows.get(&write.key).map_or(1, |row| row.version + 1);
            match &write.value {
                Some(value) => {
                    rows.insert(write.key.clone(), Row { version, value: value.clone() });
                }
                None => {
                    rows.remove(&write.key);
                }
            }
        }
        self.counts.rows += writes.len() as u64;
        Ok(())
    }

    /// Stores an object.
    pub fn put_object(&mut self, name: &str, bytes: Vec<u8>) {
        self.counts.writes += 1;
        self.objects.insert(name.to_owned(), bytes);
    }

    /// Reads an object.
    pub fn get_object(&mut self, name: &str) -> Option<Vec<u8>> {
        self.counts.reads += 1;
        self.objects.get(name).cloned()
    }

    /// Changes the host list. The change becomes visible after the lag.
    pub fn set_host(&mut self, name: &str, entry: Option<HostEntry>) {
        match entry {
            Some(entry) => self.hosts.insert(name.to_owned(), entry),
            None => self.hosts.remove(name),
        };
        let view = self.hosts.values().cloned().collect();
        self.host_views.push_back((Instant::now(), view));
    }

    /// Returns the host list as it was before the lag.
    pub fn hosts(&mut self) -> Vec<HostEntry> {
        self.counts.reads += 1;
        while self.host_views.len() > 1 && self.host_views[1].0.elapsed() >= HOST_LIST_LAG {
            self.host_views.pop_front();
        }
        self.host_views.front().map(|(_, view)| view.clone()).unwrap_or_default()
    }
}
