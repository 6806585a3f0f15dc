//! State of the platform stand-in: tables, objects and a delayed host list.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use camphorloft_platform::wire::{Conflict, Expect, HostEntry, Row, Write};
use serde::{Deserialize, Serialize};

/// Delay after which a change of the host list becomes visible.
const HOST_LIST_LAG: Duration = Duration::from_secs(3);

/// A fault that the platform stand-in can inject.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformFault {
    /// Rejects all calls for a duration, in milliseconds.
    Outage(u64),
    /// Delays each response by the first value for a duration of the second, both in milliseconds.
    Slow(u64, u64),
    /// Loses the responses of this many transactions after processing them.
    LoseAnswers(u32),
}

/// Counters of the calls.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Reads of rows, objects and the host list.
    pub reads: u64,
    /// Transactions and object writes.
    pub writes: u64,
    /// Rows written.
    pub rows: u64,
    /// Calls rejected during an outage.
    pub refused: u64,
}

/// State of the platform stand-in.
#[derive(Default)]
pub struct PlatformState {
    tables: BTreeMap<String, BTreeMap<String, Row>>,
    objects: BTreeMap<String, Vec<u8>>,
    hosts: BTreeMap<String, HostEntry>,
    /// Host lists after each change, with the time of the change.
    host_list_history: VecDeque<(Instant, Vec<HostEntry>)>,
    outage_until: Option<Instant>,
    slow_until: Option<(Instant, Duration)>,
    pending_response_losses: u32,
    /// Counters of the calls.
    pub counts: PlatformCounts,
}

impl PlatformState {
    /// Injects a fault.
    pub fn inject(&mut self, fault: PlatformFault) {
        let after = |ms| Instant::now() + Duration::from_millis(ms);
        match fault {
            PlatformFault::Outage(ms) => self.outage_until = Some(after(ms)),
            PlatformFault::Slow(delay, ms) => {
                self.slow_until = Some((after(ms), Duration::from_millis(delay)));
            }
            PlatformFault::LoseAnswers(count) => self.pending_response_losses += count,
        }
    }

    /// Returns true during an outage and counts the rejected call.
    pub fn check_outage(&mut self) -> bool {
        let outage = self.outage_until.is_some_and(|until| Instant::now() < until);
        self.counts.refused += u64::from(outage);
        outage
    }

    /// Returns the delay of the next response.
    pub fn response_delay(&self) -> Duration {
        let slow = self.slow_until.filter(|(until, _)| Instant::now() < *until);
        slow.map_or(Duration::ZERO, |(_, delay)| delay)
    }

    /// Returns true when the response of the current transaction must be lost, and decrements the
    /// number of pending losses.
    pub fn take_response_loss(&mut self) -> bool {
        let lose = self.pending_response_losses > 0;
        self.pending_response_losses = self.pending_response_losses.saturating_sub(1);
        lose
    }

    /// Reads a row.
    pub fn read(&mut self, table: &str, key: &str) -> Option<Row> {
        self.counts.reads += 1;
        self.tables.get(table)?.get(key).cloned()
    }

    /// Reads up to `limit` rows whose keys start with `prefix` and are greater than `after`, in
    /// ascending order of keys.
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
    /// Returns all failed conditions.
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

    /// Changes the host list. The change becomes visible after the delay.
    pub fn set_host(&mut self, name: &str, entry: Option<HostEntry>) {
        match entry {
            Some(entry) => self.hosts.insert(name.to_owned(), entry),
            None => self.hosts.remove(name),
        };
        let hosts = self.hosts.values().cloned().collect();
        self.host_list_history.push_back((Instant::now(), hosts));
    }

    /// Returns the newest host list that is older than the delay, or the oldest kept one when none
    /// is.
    pub fn hosts(&mut self) -> Vec<HostEntry> {
        self.counts.reads += 1;
        while self.host_list_history.len() > 1
            && self.host_list_history[1].0.elapsed() >= HOST_LIST_LAG
        {
            self.host_list_history.pop_front();
        }
        self.host_list_history.front().map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }
}
