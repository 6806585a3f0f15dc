//! Many requesters send a long prompt each. The host holds their requests while they wait for engines, and the
//! platform kills a process that exceeds its memory.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::{request, stream_request};
use crate::config::config;
use crate::engine::{Engine, Events};
use crate::host::{Host, SMALL, Settings};
use crate::http::{Channel, read_chunk, read_head};
use crate::record::Record;
use crate::replica::Replica;
use crate::store::Store;

/// The smallest machines of the grown deployments.
const MACHINE: Settings = Settings { memory_mb: 88, max_fds: 4100, ..SMALL };
const REQUESTERS: usize = 1240;
const REQUESTERS_BEFORE: usize = 300;
const ENGINES: usize = 9;
/// Parts of a prompt of 3,000 tokens. With them, the head of a request has some 15,000 of `max-header-bytes`
/// 16,384.
const PARTS: u64 = 1000;
/// Body of a request. `max-body-bytes` is 4,194,304.
const BODY_BYTES: usize = 30_000;
const DEADLINE_MS: u64 = 39_000;
const CONTACT: Duration = Duration::from_millis(5000);
/// Time after which the run ends, whatever waits.
const WATCHED: Duration = Duration::from_millis(40_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Complete,
    Refused,
    /// The channel closed in the middle of the answer.
    CutOff,
    /// The channel closed without an answer.
    Closed,
}

/// Requesters whose streams run before the others come.
const FIRST_REQUESTERS: usize = 100;
const OTHERS_AFTER: Duration = Duration::from_millis(2000);

/// Uses a channel for a short request, waits for the others, and sends the long prompt on it.
fn send_prompt(host: std::net::SocketAddr, number: usize, all: &Barrier) -> Option<End> {
    let mut channel = Channel::open(host).ok();
    let until = Instant::now() + Duration::from_millis(2000);
    let first = request("GET", "/reads/2f", &format!("r{number}"), 2000, "");
    let served = channel.as_mut().is_some_and(|channel| {
        channel.send(first.as_bytes()).is_ok()
            && channel.receive(until).is_ok_and(|response| response.head.status() == 200)
    });
    all.wait();
    if number >= FIRST_REQUESTERS {
        sleep(OTHERS_AFTER);
    }
    let mut channel = channel.filter(|_| served)?;
    let parts: Vec<String> =
        (0..PARTS).map(|at| format!("{:012x}:3", at << 16 | number as u64)).collect();
    let prefix = format!("Prompt-Prefix: {}\r\n", parts.join(","));
    let attempt = format!("d{number}");
    let body = "p".repeat(BODY_BYTES);
    let req = stream_request("/drafts/2f", &attempt, DEADLINE_MS, &prefix, &body);
    let mut read = || {
        channel.send(req.as_bytes())?;
        let rx = channel.reader();
        rx.get_ref().set_read_timeout(Some(WATCHED))?;
        let head = read_head(rx)?;
        if head.status() != 200 {
            return Ok(End::Refused);
        }
        loop {
            match read_chunk(rx) {
                Ok(chunk) if chunk.is_empty() => return Ok(End::Complete),
                Ok(_) => {}
                Err(_) => return Ok::<End, std::io::Error>(End::CutOff),
            }
        }
    };
    Some(read().unwrap_or(End::Closed))
}

/// Runs the case. Returns true if the rule held.
pub fn run(trouble: bool, record: &Record) -> bool {
    let ms = Duration::from_millis;
    let store = Store::start();
    store.put("op", "config", &config());
    let events = Events {
        first: 1,
        step: 1,
        count: 232,
        prefill: ms(214),
        is_head_first: false,
        pause: ms(40),
    };
    let engines: Vec<_> = (1..=ENGINES)
        .map(|number| Engine::start(&format!("e-{number}"), events, &store, record))
        .collect();
    for id in ["i-1", "i-2", "i-3"] {
        Replica::start(id, &store, record);
    }
    let host = Arc::new(Mutex::new(Host::start(1, store.addr, MACHINE, &[])));
    record.line("the host is ready");
    sleep(CONTACT);
    let requesters = if trouble { REQUESTERS } else { REQUESTERS_BEFORE };
    let to = host.lock().expect("no panic").clients;
    let all = Arc::new(Barrier::new(requesters + 1));
    let ends = Arc::new(Mutex::new(Vec::new()));
    for number in 0..requesters {
        let (all, ends) = (all.clone(), ends.clone());
        let send = move || {
            let end = send_prompt(to, number, &all);
            ends.lock().expect("no panic").push((format!("d{number}"), end));
        };
        thread::Builder::new().stack_size(128 << 10).spawn(send).expect("a thread");
        // The replicas serve 300 requests a second.
        sleep(ms(5));
    }
    all.wait();
    record
        .line(&format!("{requesters} requesters send a prompt on a channel that was used before"));
    // The platform kills a process that exceeds its memory.
    let limit = u64::from(MACHINE.memory_mb) << 20;
    let (is_killed, most) = (AtomicBool::new(false), AtomicUsize::new(0));
    let begun = Instant::now();
    let mut running = Vec::new();
    while begun.elapsed() < WATCHED && ends.lock().expect("no panic").len() < requesters {
        let memory = host.lock().expect("no panic").memory().unwrap_or(0);
        most.fetch_max(memory as usize, Ordering::SeqCst);
        if memory > limit && !is_killed.swap(true, Ordering::SeqCst) {
            // What the engines run is what the host has passed on.
            for engine in &engines {
                let attempts = engine.running.lock().expect("no panic");
                running.extend(attempts.iter().map(|(attempt, _)| attempt.clone()));
            }
            host.lock().expect("no panic").kill();
            let line =
                format!("the host uses {} MB of {}: killed", memory >> 20, MACHINE.memory_mb);
            record.line(&line);
            println!("{line}");
        }
        if is_killed.load(Ordering::SeqCst) && begun.elapsed() > ms(15_000) {
            break;
        }
        sleep(ms(10));
    }
    let ends = ends.lock().expect("no panic");
    let count = |wanted: Option<End>| ends.iter().filter(|(_, end)| *end == wanted).count();
    let cut = ends
        .iter()
        .filter(|(attempt, end)| *end == Some(End::Closed) && running.contains(attempt))
        .count();
    for (attempt, end) in ends.iter() {
        record.line(&format!("{attempt}: {end:?}"));
    }
    let line = format!(
        "{requesters} prompts: {} complete, {} refused, {} cut off, {} channels closed without an answer, {cut} of them \
         with a request that a sound engine has; {} requesters not served before; at most {} MB in use",
        count(Some(End::Complete)),
        count(Some(End::Refused)),
        count(Some(End::CutOff)),
        count(Some(End::Closed)),
        count(None),
        most.load(Ordering::SeqCst) >> 20,
    );
    record.line(&line);
    println!("{line}");
    cut <= 3
}
