//! A replica leaves, and the store then comes back from an older copy, in which the replica is ready.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::base::{Verdict, note, sleep_ms};
use crate::client::{Answer, send};
use crate::hosts::Machine;
use crate::replica::{Behaviour, Replica, config};
use crate::store::Store;

const DRAIN: Duration = Duration::from_millis(2500);

pub fn run(trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op", "config", &config(7, "huvo11a", "wuno96b"));
    // Replicas of one service differ in speed.
    let start = |name: &str, work_ms: u64| {
        let behaviour = Behaviour { work_ms, ..Behaviour::default() };
        Replica::start(&store, name, "wuno96b", "khomas-a", false, behaviour)
    };
    let (leaving, staying) = (start("i-5a11e001", 200), start("i-5a11e002", 400));
    let machine = Arc::new(Machine::new("edge-khomas-a-1", 1, "khomas-a", store.addr, None));
    machine.start();
    if !machine.wait_until_ready() {
        return Verdict::CannotRun("the machine is not ready".to_owned());
    }
    sleep_ms(1000);
    // Requesters send reads and merges, one after the other, on new channels.
    let stop = Arc::new(AtomicBool::new(false));
    let requesters: Vec<_> = (0..5)
        .map(|requester| {
            let (stop, to) = (stop.clone(), machine.front());
            std::thread::spawn(move || {
                let mut answers: Vec<Answer> = Vec::new();
                for number in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return answers;
                    }
                    let id = format!("{requester}c41d07b{number:08}");
                    let (method, path) = match number % 2 {
                        0 => ("POST", "/pule252/2f"),
                        _ => ("GET", "/puxa403/2f"),
                    };
                    answers.push(send(to, method, path, &id, 2000, ""));
                    sleep_ms(20);
                }
                answers
            })
        })
        .collect();
    sleep_ms(2000);
    let copy = store.copy();
    sleep_ms(1000);
    leaving.leave_silently();
    sleep_ms(3500);
    if trouble {
        // The copy is 4.5 s old. The store then drops the silent entry after three pings.
        store.restore(copy);
    }
    sleep_ms(500);
    leaving.exit();
    sleep_ms(3100);
    store.remove("servers", &leaving.name);
    note("store: the entry of the replica that left is removed after three pings of silence");
    sleep_ms(1000);
    stop.store(true, Ordering::SeqCst);
    let answers: Vec<Answer> =
        requesters.into_iter().filter_map(|thread| thread.join().ok()).flatten().collect();
    machine.note_log(&["endpoint changed", "restored", "process", "reloading"]);
    let passed_on = answers.iter().filter(|answer| answer.head.contains("server-leaving: 1"));
    let Some(passed_on) = passed_on.filter_map(|answer| answer.received_at).min() else {
        return Verdict::CannotRun("no answer with Server-Leaving was passed on".to_owned());
    };
    let late: Vec<_> = leaving
        .ran()
        .into_iter()
        .filter(|(id, _, _)| {
            let sent =
                answers.iter().find(|answer| answer.id == *id).and_then(|answer| answer.sent_at);
            sent.is_some_and(|at| at > passed_on + DRAIN)
        })
        .collect();
    let failed = answers.iter().filter(|answer| answer.status != 200 || !answer.complete);
    let lost = failed
        .inspect(|answer| note(&format!("not served: {}, status {}", answer.id, answer.status)))
        .count();
    note(&format!(
        "the first answer with Server-Leaving had arrived {:.1} s before the end; {} requests, {lost} not served; {} ran at the replica that left, {} of them sent later than drain-ms after \
         the machine had passed on that it leaves; {} at the other one",
        passed_on.elapsed().as_secs_f64(),
        answers.len(),
        leaving.ran().len(),
        late.len(),
        staying.ran().len()
    ));
    match late.len() {
        0 if answers.is_empty() => Verdict::CannotRun("no request was served".to_owned()),
        0 => Verdict::Held,
        late => Verdict::Broken(format!(
            "{late} requests reached the leaving replica later than drain-ms; {lost} requests were not served"
        )),
    }
}
