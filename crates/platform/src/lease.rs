//! Lease with fencing tokens, safe under process pauses and without a shared clock. Does no I/O.
//!
//! The holder measures the validity from the instant before it sent the write that acquired or
//! renewed the lease. A challenger acquires a lease only when its row has not changed for the whole
//! lease duration on the challenger's own monotonic clock. The holder's validity therefore ends
//! first, regardless of the time that the clocks show, as long as they run at nearly the same rate;
//! [`CLOCK_RATE_MARGIN`] covers the difference.

use std::time::{Duration, Instant};

use camphorloft_types::prelude::{FencingToken, HostName};
use serde::{Deserialize, Serialize};

use crate::wire::{Expect, Row, Write};

/// Duration for which a lease is valid after a write.
pub const LEASE_DURATION: Duration = Duration::from_secs(10);
/// Interval between renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(3);
/// Safety margin by which the holder shortens the lease duration, for clocks that run at different
/// rates.
pub const CLOCK_RATE_MARGIN: Duration = Duration::from_millis(500);

/// The value of a row of the table `leases`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Holder.
    pub host: HostName,
    /// Distinguishes processes of the same host name.
    pub nonce: u64,
    /// Fencing token of the holder.
    pub fencing: FencingToken,
}

/// Next action of the owner of a [`Lease`].
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseAction {
    /// Do nothing until the next poll.
    Wait,
    /// Read the row and call [`Lease::observe`].
    Read,
    /// Send the write and call [`Lease::write_applied`] or [`Lease::write_conflicted`] with the
    /// result.
    Write(Write),
}

/// A row with the time when this version of it was first observed.
#[derive(Clone, Debug)]
struct Observed {
    row_version: u64,
    record: Option<LeaseRecord>,
    since: Instant,
}

#[derive(Clone, Debug)]
struct Held {
    fencing: FencingToken,
    since: Instant,
    valid_until: Instant,
    renew_at: Instant,
}

/// One lease as seen by one host.
#[derive(Clone, Debug)]
pub struct Lease {
    key: String,
    host: HostName,
    nonce: u64,
    observed: Option<Observed>,
    held: Option<Held>,
    sent: Option<(Instant, FencingToken)>,
    read_at: Option<Instant>,
}

impl Lease {
    /// Creates a lease that is not held.
    pub fn new(key: &str, host: HostName, nonce: u64) -> Self {
        let key = key.to_owned();
        Self { key, host, nonce, observed: None, held: None, sent: None, read_at: None }
    }

    /// Returns the fencing token while the lease is held. Must be called again immediately before
    /// each operation under the lease, because the process may have been paused.
    pub fn fencing(&self, now: Instant) -> Option<FencingToken> {
        self.held.as_ref().filter(|held| now < held.valid_until).map(|held| held.fencing)
    }

    /// Returns the remaining duration of the lease; zero when it is not held.
    pub fn remaining(&self, now: Instant) -> Duration {
        let held = self.held.as_ref();
        held.map_or(Duration::ZERO, |held| held.valid_until.saturating_duration_since(now))
    }

    /// Returns the duration for which this host has held the lease without interruption; zero when
    /// it is not held.
    pub fn held_for(&self, now: Instant) -> Duration {
        let held = self.held.as_ref().filter(|held| now < held.valid_until);
        held.map_or(Duration::ZERO, |held| now.saturating_duration_since(held.since))
    }

    /// Returns the row's key.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Returns the next action. `wanted` is true when this host should hold the lease.
    pub fn poll(&mut self, now: Instant, wanted: bool) -> LeaseAction {
        if self.held.as_ref().is_some_and(|held| now >= held.valid_until) {
            self.held = None;
            self.observed = None;
        }
        if !wanted {
            return LeaseAction::Wait;
        }
        if let Some(held) = &self.held {
            let due = now >= held.renew_at;
            let fencing = held.fencing;
            return if due { self.write(now, fencing) } else { LeaseAction::Wait };
        }
        let Some(observed) = &self.observed else { return self.read(now) };
        let expired = now.saturating_duration_since(observed.since) >= LEASE_DURATION;
        if observed.record.is_none() || expired {
            let last = observed.record.as_ref().map_or(FencingToken(0), |record| record.fencing);
            return self.write(now, last.next());
        }
        let read_due = self.read_at.is_none_or(|at| now >= at + RENEW_INTERVAL);
        if read_due { self.read(now) } else { LeaseAction::Wait }
    }

    fn read(&mut self, now: Instant) -> LeaseAction {
        self.read_at = Some(now);
        LeaseAction::Read
    }

    fn write(&mut self, now: Instant, fencing: FencingToken) -> LeaseAction {
        self.sent = Some((now, fencing));
        let record = LeaseRecord { host: self.host.clone(), nonce: self.nonce, fencing };
        let version = self.observed.as_ref().map_or(0, |observed| observed.row_version);
        let expect = if version == 0 { Expect::Absent } else { Expect::Version(version) };
        let value = serde_json::to_string(&record).ok();
        LeaseAction::Write(Write { key: self.key.clone(), expect, value })
    }

    /// Handles a row that was read at or after `now`.
    pub fn observe(&mut self, now: Instant, row: Option<&Row>) {
        let row_version = row.map_or(0, |row| row.version);
        let known = self.observed.as_ref().map(|observed| observed.row_version);
        if known == Some(row_version) {
            return;
        }
        let record = row.and_then(|row| serde_json::from_str(&row.value).ok());
        self.observed = Some(Observed { row_version, record, since: now });
        self.held = None;
    }

    /// Handles the response that the write was applied.
    pub fn write_applied(&mut self) {
        let Some((sent_at, fencing)) = self.sent.take() else { return };
        let version = self.observed.as_ref().map_or(0, |observed| observed.row_version) + 1;
        let record = LeaseRecord { host: self.host.clone(), nonce: self.nonce, fencing };
        self.observed =
            Some(Observed { row_version: version, record: Some(record), since: sent_at });
        let since = self.held.as_ref().filter(|held| held.fencing == fencing);
        let since = since.map_or(sent_at, |held| held.since);
        self.held = Some(Held {
            fencing,
            since,
            valid_until: sent_at + LEASE_DURATION - CLOCK_RATE_MARGIN,
            renew_at: sent_at + RENEW_INTERVAL,
        });
    }

    /// Handles the response that the condition of the write failed, with the existing row.
    ///
    /// A renewal whose response was lost appears here as a row with this host's own nonce. That
    /// write was applied at an unknown instant after it was sent, so the validity is not extended.
    pub fn write_conflicted(&mut self, now: Instant, row: Option<&Row>) {
        let sent = self.sent.take();
        let record = row.and_then(|row| serde_json::from_str::<LeaseRecord>(&row.value).ok());
        let own = record.as_ref().is_some_and(|r| r.host == self.host && r.nonce == self.nonce);
        let still_held = self.held.clone();
        self.observe(now, row);
        if own && sent.is_some() {
            self.held = still_held.filter(|held| now < held.valid_until);
            if let Some(held) = &mut self.held {
                held.renew_at = now;
            }
        }
    }
}
