//! A lease with fencing numbers, safe under pauses, without a shared clock. Does no I/O.
//!
//! The holder counts its validity from the instant before it sent the write that acquired or
//! renewed the lease. A challenger takes a lease only when its row has not changed for the whole
//! duration on the challenger's own monotonic clock. The holder's validity therefore ends first,
//! whatever the clocks show, as long as they run at nearly the same rate; [`CLOCK_RATE_MARGIN`] covers
//! the difference.

use std::time::{Duration, Instant};

use camphorloft_types::prelude::{FencingNumber, HostName};
use serde::{Deserialize, Serialize};

use crate::wire::{Expect, Row, Write};

/// Time for which a lease is valid after a write.
pub const LEASE_DURATION: Duration = Duration::from_secs(10);
/// Time between renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(3);
/// Part of the duration that the holder gives up for clocks that run at different rates.
pub const CLOCK_RATE_MARGIN: Duration = Duration::from_millis(500);

/// The value of a row of the table `leases`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Holder.
    pub host: HostName,
    /// Distinguishes processes of the same host name.
    pub nonce: u64,
    /// Fencing number of the holder.
    pub fencing: FencingNumber,
}

/// What the owner of a [`Lease`] must do next.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseAction {
    /// Nothing until the next poll.
    Wait,
    /// Read the row and call [`Lease::observe`].
    Read,
    /// Send the write and call [`Lease::write_applied`].
    Write(Write),
}

/// A row as it was first seen.
#[derive(Clone, Debug)]
struct Observed {
    row_version: u64,
    record: Option<LeaseRecord>,
    since: Instant,
}

#[derive(Clone, Debug)]
struct Held {
    fencing: FencingNumber,
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
    sent: Option<(Instant, FencingNumber)>,
    read_at: Option<Instant>,
}

impl Lease {
    /// Builds a lease that is not held.
    pub fn new(key: &str, host: HostName, nonce: u64) -> Self {
        let key = key.to_owned();
        Self { key, host, nonce, observed: None, held: None, sent: None, read_at: None }
    }

    /// Returns the fencing number while the lease is held. Must be asked again after any pause,
    /// right before each act under the lease.
    pub fn fencing(&self, now: Instant) -> Option<FencingNumber> {
        self.held.as_ref().filter(|held| now < held.valid_until).map(|held| held.fencing)
    }

    /// Returns the time for which the lease is still held.
    pub fn remaining(&self, now: Instant) -> Duration {
        let held = self.held.as_ref();
        held.map_or(Duration::ZERO, |held| held.valid_until.saturating_duration_since(now))
    }

    /// Returns the time for which this host has held the lease without a break.
    pub fn held_for(&self, now: Instant) -> Duration {
        let held = self.held.as_ref().filter(|held| now < held.valid_until);
        held.map_or(Duration::ZERO, |held| now.saturating_duration_since(held.since))
    }

    /// Returns the row's key.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Decides what to do. `wanted` is true when this host should hold the lease.
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
            let last = observed.record.as_ref().map_or(FencingNumber(0), |record| record.fencing);
            return self.write(now, last.next());
        }
        let read_due = self.read_at.is_none_or(|at| now >= at + RENEW_INTERVAL);
        if read_due { self.read(now) } else { LeaseAction::Wait }
    }

    fn read(&mut self, now: Instant) -> LeaseAction {
        self.read_at = Some(now);
        LeaseAction::Read
    }

    fn write(&mut self, now: Instant, fencing: FencingNumber) -> LeaseAction {
        self.sent = Some((now, fencing));
        let record = LeaseRecord { host: self.host.clone(), nonce: self.nonce, fencing };
        let version = self.observed.as_ref().map_or(0, |observed| observed.row_version);
        let expect = if version == 0 { Expect::Absent } else { Expect::Version(version) };
        let value = serde_json::to_string(&record).ok();
        LeaseAction::Write(Write { key: self.key.clone(), expect, value })
    }

    /// Takes the row that was read at or after `now`.
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

    /// Takes the answer that the write was applied.
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

    /// Takes a failed condition, with the row as it stands.
    ///
    /// A renewal whose answer was lost shows up here with this host's own nonce. The write then
    /// took effect at an unknown instant after it was sent, so validity still counts from there.
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
