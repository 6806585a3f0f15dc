//! Many requesters keep a channel each and use it again before the idle limit. Others come and are not served.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::{request, send};
use crate::config::config;
use crate::host::{Host, SMALL, Settings};
use crate::http::Channel;
use crate::record::Record;
use crate::replica::Replica;
use crate::store::Store;

/// Machine of the smallest descriptor limit on the pages.
const MACHINE: Settings = Settings { max_fds: 3075, ..SMALL };
/// Requesters that keep a channel, with and without the burst. The machine may open 2,875 sockets.
const KEPT_CHANNELS: usize = 1000;
const KEPT_CHANNELS_BEFORE: usize = 300;
/// Time between two requests on a channel: four fifths of `idle-timeout-ms`.
const REUSED_AFTER: Duration = Duration::from_millis(12_000);
/// Requesters that come later.
const NEW_REQUESTERS: usize = 10;
const CONTACT: Duration = Duration::from_millis(5000);
/// Time for which they try.
const TRIED_FOR: Duration = Duration::from_millis(20_000);

/// Opens a channel and uses it until the end. Counts it once its first request is served.
fn keep_channel(to: SocketAddr, number: usize, served: &AtomicUsize, stop: &AtomicBool) {
    let Ok(mut channel) = Channel::open(to) else { return };
    for round in 0.. {
        let attempt = format!("k{number}-{round}");
        let req = request("GET", "/reads/2f", &attempt, 2000, "");
        let until = Instant::now() + Duration::from_millis(2000);
        if channel.send(req.as_bytes()).is_err() || channel.receive(until).is_err() {
            return;
        }
        if round == 0 {
            served.fetch_add(1, Ordering::SeqCst);
        }
        let next_at = Instant::now() + REUSED_AFTER;
        while Instant::now() < next_at {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            sleep(Duration::from_millis(100));
        }
    }
}

/// Runs the case. Returns true if the rule held.
pub fn run(trouble: bool, record: &Record) -> bool {
    let store = Store::start();
    store.put("op", "config", &config());
    for id in ["i-1", "i-2", "i-3"] {
        Replica::start(id, &store, record);
    }
    let host = Host::start(1, store.addr, MACHINE, &[]);
    record.line("the host is ready");
    sleep(CONTACT);
    let (stop, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let channels = if trouble { KEPT_CHANNELS } else { KEPT_CHANNELS_BEFORE };
    let to = host.clients;
    for number in 0..channels {
        let (served, stop) = (served.clone(), stop.clone());
        let keep = move || keep_channel(to, number, &served, &stop);
        thread::Builder::new().stack_size(64 << 10).spawn(keep).expect("a thread");
        // The replicas serve 300 requests a second.
        sleep(Duration::from_millis(8));
    }
    sleep(Duration::from_millis(2500));
    let line = format!(
        "{} of {channels} requesters were served and keep their channels",
        served.load(Ordering::SeqCst)
    );
    record.line(&line);
    println!("{line}");
    let from = Instant::now();
    let answers = Arc::new(Mutex::new(Vec::new()));
    let requesters: Vec<_> = (0..NEW_REQUESTERS)
        .map(|number| {
            let (answers, record) = (answers.clone(), record.clone());
            thread::spawn(move || {
                let mut round = 0;
                while from.elapsed() < TRIED_FOR {
                    let attempt = format!("n{number}-{round}");
                    let answer = send(to, "POST", "/merges/2f", &attempt, 2000, &record);
                    answers.lock().expect("no panic").push(answer);
                    round += 1;
                    sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    let mut ready = 0;
    while from.elapsed() < TRIED_FOR {
        ready += u32::from(host.is_ready());
        sleep(Duration::from_millis(1000));
    }
    for requester in requesters {
        requester.join().expect("no panic");
    }
    stop.store(true, Ordering::SeqCst);
    let answers = answers.lock().expect("no panic");
    // The longest time in which no request of the newcomers got any answer.
    let mut answered: Vec<Instant> = answers
        .iter()
        .filter(|answer| answer.status.is_some())
        .map(|answer| answer.sent_at)
        .collect();
    answered.sort();
    let mut longest = Duration::ZERO;
    let mut last = from;
    for at in answered.iter().copied().chain([from + TRIED_FOR]) {
        longest = longest.max(at.saturating_duration_since(last));
        last = last.max(at);
    }
    let line = format!(
        "{NEW_REQUESTERS} new requesters: {} requests, {} answered; longest time without an answer {:.1} s; \
         the host said {ready} times that it is ready",
        answers.len(),
        answered.len(),
        longest.as_secs_f64()
    );
    record.line(&line);
    println!("{line}");
    longest < CONTACT
}
