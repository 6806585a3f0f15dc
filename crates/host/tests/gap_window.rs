//! Observation of the time between events on a host whose process pauses.

use std::time::{Duration, Instant};

use camphorloft_host::gap_window::GapWindow;
use camphorloft_host::stall_monitor::{StallMonitor, TICK};
use proptest::prelude::*;

/// Time between the events that the engine writes.
const GAP: Duration = Duration::from_millis(50);
const EVENTS: u32 = 80;

/// Returns the means observed by a host that does not run for `pause`, from `paused_at` on. At the end of
/// the pause it handles the tick first or last, and reads what was received in `reads` parts.
fn observe(paused_at: Duration, pause: Duration, tick_first: bool, reads: u32) -> Vec<Duration> {
    let start = Instant::now();
    let (asleep, awake) = (start + paused_at, start + paused_at + pause);
    let runs_at = |at: Instant| if at > asleep && at < awake { awake } else { at };
    let monitor = StallMonitor::new(start);
    let mut window: Option<GapWindow> = None;
    let mut means = Vec::new();
    let mut read = |monitor: &StallMonitor, events: u32, now: Instant| {
        if let Some(window) = &mut window
            && !window.record(events, now)
        {
            return;
        }
        let ended = window.replace(GapWindow::new(Some(false), now));
        let mean = ended.and_then(|window| window.end(Some(false), now));
        means.extend(mean.filter(|mean| !monitor.stalled_since(mean.began_at, now)));
    };
    let (mut ticked_at, mut received) = (start, 0);
    for number in 1..=EVENTS {
        let now = runs_at(start + GAP * number);
        if now == awake && tick_first {
            monitor.tick(now);
            ticked_at = now;
        }
        while now != awake && runs_at(ticked_at + TICK) <= now {
            ticked_at = runs_at(ticked_at + TICK);
            monitor.tick(ticked_at);
        }
        received += 1;
        let next = runs_at(start + GAP * (number + 1));
        if next != now {
            let parts = if now == awake { reads.min(received) } else { 1 };
            for part in 0..parts {
                let events = received / parts + u32::from(part < received % parts);
                read(&monitor, events, now);
            }
            received = 0;
        }
    }
    means.into_iter().map(|mean| mean.gap).collect()
}

proptest! {
    /// A pause of the host is no slowness of the engine, and what it reads afterwards at once is no
    /// speed.
    #[test]
    fn pauses_of_the_host_do_not_count(
        paused_ms in 0_u64..3_000,
        pause_ms in 330_u64..2_500,
        tick_first in any::<bool>(),
        reads in 1_u32..5,
    ) {
        let ms = Duration::from_millis;
        for gap in observe(ms(paused_ms), ms(pause_ms), tick_first, reads) {
            let ratio = gap.as_secs_f64() / GAP.as_secs_f64();
            prop_assert!((0.85..1.2).contains(&ratio), "{gap:?}");
        }
    }
}

#[test]
fn host_that_runs_observes_the_gap() {
    let means = observe(GAP * (EVENTS + 9), Duration::ZERO, false, 1);
    assert!(means.len() >= 8 && means.iter().all(|gap| *gap == GAP), "{means:?}");
}

/// The time between events of a slow client is that of the client.
#[test]
fn windows_of_a_slow_client_are_used() {
    let start = Instant::now();
    let mut window = GapWindow::new(Some(false), start);
    window.disturb();
    let end = start + Duration::from_millis(500);
    assert!(window.record(5, end));
    assert!(window.end(Some(false), end).is_none());
    let mut uncertain = GapWindow::new(None, start);
    assert!(uncertain.record(5, end));
    assert!(uncertain.end(None, end).is_none(), "it is not known whether the engine prefilled");
}
