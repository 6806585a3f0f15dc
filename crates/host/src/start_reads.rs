//! When a starting host reads the registry by itself.
//!
//! Hundreds of hosts may start at once, and every call to the registry is billed. A host of a large
//! fleet therefore first fetches the version and the endpoint list from another host. When all hosts
//! start at once, the assigned reader reads first, and the others spread their reads over the time
//! that the registry needs for them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_peer::distribution::MAX_DIRECT_RECIPIENTS;
use rand::Rng;
use tokio::time::sleep;

use crate::context::Host;

/// Time in which all hosts that start for the first time discover each other. There is no traffic yet.
const FIRST_JOIN_PERIOD: Duration = Duration::from_millis(1500);
/// Time after the first start at which a host without any updates reads by itself.
const MAX_FIRST_WAIT: Duration = Duration::from_millis(3500);
/// Time in which a restarted host of a large fleet receives the state of a running one: two round
/// trips between regions, and the transfer.
const JOIN_PERIOD: Duration = Duration::from_millis(150);
/// Time in which a running host replies with its version and list, which all hosts of a zone may fetch
/// from it at once.
const TRANSFER_PERIOD: Duration = Duration::from_secs(3);
/// Calls to the registry of one starting host, with a list of a few thousand endpoints.
const CALLS_PER_HOST: f64 = 8.0;
/// Fraction of the registry's rate that starting hosts use.
const START_RATE_FRACTION: f64 = 0.5;
/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Circumstances of a starting host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartContext {
    /// True when all hosts start for the first time.
    pub is_first_start: bool,
    /// Hosts that the registry listed.
    pub announced_hosts: usize,
    /// Reads a second that the registry serves to all hosts together, if known.
    pub registry_reads_per_s: Option<u32>,
    /// Random fraction between 0 and 1, drawn at the start.
    pub draw: f64,
    /// True when this host is the assigned reader, as far as it knows the others.
    pub is_reader: bool,
    /// True when a host that has a version in force is known.
    pub knows_running_host: bool,
}

/// Returns how long after its start a host reads the registry by itself, unless another host
/// maintains its state before.
///
/// ```
/// use camphorloft_host::start_reads::{StartContext, read_delay};
/// use std::time::Duration;
/// let alone = StartContext {
///     is_first_start: false,
///     announced_hosts: 7,
///     registry_reads_per_s: Some(2_000),
///     draw: 0.5,
///     is_reader: true,
///     knows_running_host: false,
/// };
/// assert!(read_delay(&alone).is_zero(), "a host of a small fleet reads at once");
/// let large = StartContext { announced_hosts: 300, is_reader: false, ..alone };
/// let reader = StartContext { is_reader: true, ..large };
/// assert!(read_delay(&reader) < read_delay(&large), "the others wait for the reader");
/// let joins = StartContext { knows_running_host: true, draw: 0.0, ..large };
/// assert!(read_delay(&joins) > Duration::from_millis(500), "it fetches from a running host");
/// ```
pub fn read_delay(start: &StartContext) -> Duration {
    if start.is_first_start {
        return if start.is_reader { FIRST_JOIN_PERIOD } else { MAX_FIRST_WAIT };
    }
    if start.announced_hosts <= MAX_DIRECT_RECIPIENTS {
        return Duration::ZERO;
    }
    if start.knows_running_host {
        return JOIN_PERIOD + TRANSFER_PERIOD;
    }
    if start.is_reader {
        return JOIN_PERIOD;
    }
    let calls = start.announced_hosts as f64 * CALLS_PER_HOST;
    let rate = start.registry_reads_per_s.map_or(f64::INFINITY, f64::from) * START_RATE_FRACTION;
    JOIN_PERIOD + Duration::from_secs_f64(calls / rate.max(1.0) * start.draw)
}

/// Waits until this host reads the registry by itself, or until `is_maintained` returns true because
/// another host does so for this one.
pub async fn wait_to_read<W, R, IsMaintained>(cx: &Rc<Host<W, R>>, is_maintained: IsMaintained)
where
    IsMaintained: Fn() -> bool,
{
    cx.wait_until_registry_reached().await;
    let draw = cx.state.borrow_mut().rng.random::<f64>();
    loop {
        let now = Instant::now();
        let start = StartContext {
            is_first_start: cx.settings.is_first_start,
            announced_hosts: cx.announced_hosts.get(),
            registry_reads_per_s: cx.settings.registry_reads_per_s,
            draw,
            is_reader: cx.registry_read_scope(now).is_some(),
            knows_running_host: cx.state.borrow().peers.knows_version(),
        };
        let uptime = now.saturating_duration_since(cx.started_at);
        if is_maintained() || uptime >= read_delay(&start) {
            return;
        }
        sleep(CHECK_INTERVAL).await;
    }
}

impl<W, R> Host<W, R> {
    /// Returns true while this host has no complete endpoint list and fetches it from another host.
    pub fn wants_endpoint_list(&self) -> bool {
        self.announced_hosts.get() > MAX_DIRECT_RECIPIENTS && !self.has_full_list.get()
    }
}
