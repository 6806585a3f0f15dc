//! A task ends with its owner.

use std::cell::Cell;
use std::rc::Rc;

use camphorloft_host::task::OwnedTask;
use tokio::task::{LocalSet, yield_now};

/// Work for a client that has disconnected must not continue.
#[tokio::test(flavor = "current_thread")]
async fn a_task_stops_when_its_owner_is_dropped() {
    let steps = Rc::new(Cell::new(0));
    let counter = steps.clone();
    let run = async move {
        let task = OwnedTask::spawn(async move {
            loop {
                counter.set(counter.get() + 1);
                yield_now().await;
            }
        });
        yield_now().await;
        drop(task);
        yield_now().await;
        let at_drop = steps.get();
        for _ in 0..10 {
            yield_now().await;
        }
        (at_drop, steps.get())
    };
    let (at_drop, later) = LocalSet::new().run_until(run).await;
    assert!(at_drop > 0);
    assert_eq!(later, at_drop);
}
