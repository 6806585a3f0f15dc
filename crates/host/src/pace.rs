//! Pacing of large reads.
//!
//! A configuration with thousands of routes is sent to all hosts at once. On a host behind a slow
//! link, reading it at full speed would delay the events of all streams.

use std::time::Duration;

use camphorloft_types::prelude::ByteRate;

/// Number of bytes that are read without delay. About as many are buffered on the path in any case.
const BURST_BYTES: u64 = 64 << 10;
/// Fraction of the link that paced reads may use. The rest is left for client traffic.
const LINK_FRACTION: f64 = 0.4;

/// Maximum rate of a paced read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    rate: ByteRate,
}

impl Pace {
    /// Returns the pace for a link of the given rate.
    pub fn for_link(link: ByteRate) -> Self {
        Self { rate: ByteRate(((link.0 as f64 * LINK_FRACTION) as u64).max(1)) }
    }

    /// Returns the delay before the next read after `read_bytes` were read within `elapsed`.
    ///
    /// ```
    /// use camphorloft_host::pace::Pace;
    /// use camphorloft_types::prelude::ByteRate;
    /// use std::time::Duration;
    /// let pace = Pace::for_link(ByteRate(1_000_000));
    /// assert!(pace.delay(10_000, Duration::ZERO).is_zero());
    /// assert!(pace.delay(600_000, Duration::ZERO) > Duration::from_millis(800));
    /// assert!(pace.delay(600_000, Duration::from_secs(2)).is_zero());
    /// ```
    pub fn delay(&self, read_bytes: u64, elapsed: Duration) -> Duration {
        let paced = read_bytes.saturating_sub(BURST_BYTES) as f64;
        Duration::from_secs_f64(paced / self.rate.0 as f64).saturating_sub(elapsed)
    }
}
