//! Reads of the registry while the whole fleet starts for the first time.
//!
//! All hosts start at once and traffic begins seconds later. Every call to the registry is billed, so
//! hosts wait until they know each other and one of them reads for all.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::context::Host;

/// Time in which hosts that start together discover each other.
const JOIN_PERIOD: Duration = Duration::from_millis(1500);
/// Time after which a host that received nothing from an assigned reader reads by itself.
const MAX_WAIT: Duration = Duration::from_millis(3500);
/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Returns true if a host that started `uptime` ago may read the registry.
///
/// ```
/// use camphorloft_host::first_start::may_read;
/// use std::time::Duration;
/// let seconds = Duration::from_secs;
/// assert!(may_read(false, false, seconds(0)), "a restarted host serves as soon as possible");
/// assert!(!may_read(true, true, seconds(1)));
/// assert!(may_read(true, true, seconds(2)));
/// assert!(!may_read(true, false, seconds(2)));
/// assert!(may_read(true, false, seconds(4)));
/// ```
pub fn may_read(is_first_start: bool, is_reader: bool, uptime: Duration) -> bool {
    let wait = if is_reader { JOIN_PERIOD } else { MAX_WAIT };
    !is_first_start || uptime >= wait
}

/// Waits until this host may read the registry, or until `is_maintained` returns true because another
/// host reads it for this one.
pub async fn wait_to_read<W, R, IsMaintained>(cx: &Rc<Host<W, R>>, is_maintained: IsMaintained)
where
    IsMaintained: Fn() -> bool,
{
    loop {
        let now = Instant::now();
        let is_reader = cx.registry_read_scope(now).is_some();
        let uptime = now.saturating_duration_since(cx.started_at);
        if is_maintained() || may_read(cx.settings.is_first_start, is_reader, uptime) {
            return;
        }
        sleep(CHECK_INTERVAL).await;
    }
}
