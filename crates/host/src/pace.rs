//! How fast a large answer is read.
//!
//! Answers a configuration that has grown by thousands of routes and arrives at all hosts at once,
//! some of them behind a slow link: read at full speed it would hold up the events of all streams.

use std::time::Duration;

use camphorloft_types::prelude::ByteRate;

/// Bytes that are read at full speed: as many as wait on the way anyway.
const BURST_BYTES: u64 = 64 << 10;
/// Part of a link that large answers may take; the rest is for callers.
const LINK_PART: f64 = 0.4;

/// How fast a large answer is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    rate: ByteRate,
}

impl Pace {
    /// Returns the pace for a link.
    pub fn for_link(link: ByteRate) -> Self {
        Self { rate: ByteRate(((link.0 as f64 * LINK_PART) as u64).max(1)) }
    }

    /// Returns the time to wait after `read` bytes of an answer were read within `took`.
    ///
    /// ```
    /// use camphorloft_host::pace::Pace;
    /// use camphorloft_types::prelude::ByteRate;
    /// use std::time::Duration;
    /// let pace = Pace::for_link(ByteRate(1_000_000));
    /// assert!(pace.pause(10_000, Duration::ZERO).is_zero());
    /// assert!(pace.pause(600_000, Duration::ZERO) > Duration::from_millis(800));
    /// assert!(pace.pause(600_000, Duration::from_secs(2)).is_zero());
    /// ```
    pub fn pause(&self, read: u64, took: Duration) -> Duration {
        let paced = read.saturating_sub(BURST_BYTES) as f64;
        Duration::from_secs_f64(paced / self.rate.0 as f64).saturating_sub(took)
    }
}
