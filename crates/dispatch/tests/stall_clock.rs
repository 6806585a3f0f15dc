//! Streams with pauses of their engines and of the host, in virtual time.

use std::time::{Duration, Instant};

use camphorloft_dispatch::stall_clock::StallClock;

/// Objectives of a route whose clients abandon a stream after 7.2 s.
const OBJECTIVE: Duration = Duration::from_millis(1800);
const GAP_OBJECTIVE: Duration = Duration::from_millis(180);
const PATIENCE: Duration = Duration::from_millis(7200);

/// Checks when due until `end`. Returns true if the stream was found stalled.
fn is_stalled_by(clock: &mut StallClock, end: Instant) -> bool {
    while clock.check_at() <= end {
        if clock.check(clock.check_at()) {
            return true;
        }
    }
    false
}

#[test]
fn event_within_the_patience_of_the_client_does_not_come_too_late() {
    let start = Instant::now();
    let mut clock = StallClock::start(OBJECTIVE, GAP_OBJECTIVE, start);
    for event in 1..20 {
        let at = start + PATIENCE * event;
        assert!(!is_stalled_by(&mut clock, at), "before event {event}");
        clock.record_event(at);
    }
    assert!(is_stalled_by(&mut clock, start + PATIENCE * 21));
}

/// Events that arrived in the pause are read after the first check, which is late.
#[test]
fn pause_of_the_host_does_not_end_its_streams() {
    let start = Instant::now();
    let mut clock = StallClock::start(OBJECTIVE, GAP_OBJECTIVE, start);
    let woken_at = start + Duration::from_secs(30);
    assert!(!clock.check(woken_at));
    assert!(!is_stalled_by(&mut clock, woken_at + PATIENCE));
    assert!(is_stalled_by(&mut clock, woken_at + PATIENCE * 2));
}
