//! Many requesters come at once, with bodies within the limit of the configuration. The host must not exceed
//! the memory of its machine.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Asked, Seen, ask_on, open};
use crate::engine::{Engine, Fleet};
use crate::host::{Host, KILL};
use crate::record::Record;
use crate::store::Store;
use crate::{Outcome, config, list};

/// `memory-mb` of the settings.
const MEMORY: u64 = 110 << 20;
/// Below `max-body-bytes`, 4,194,304.
const BODY: usize = 4_000_000;
const ENGINES: usize = 4;
/// Events of each stream: about four seconds.
const EVENTS: u64 = 120;
const ROUNDS: u32 = 5;
/// Streams per second in ordinary times.
const RATE: f64 = 5.0;
/// `x` and `for_s` of the burst.
const BURST: f64 = 1.7;
const BURST_TIME: f64 = 3.0;
/// Time of ordinary traffic before each burst, and after it.
const BEFORE: f64 = 5.0;
const AFTER: f64 = 1.0;
/// Time between two rounds, in which all streams end.
const PAUSE: Duration = Duration::from_secs(5);
const LOG: &str = "target/review-2/bodies.log";

pub fn run(folder: &Path, trouble: bool) -> std::io::Result<Outcome> {
    let record = Arc::new(Record::create(&folder.join("record.txt"))?);
    let (store, fleet) = (Store::start(), Arc::new(Fleet::default()));
    store.put("op", "config", Some(&config(6_000)));
    for number in 1..=ENGINES {
        list(&store, &Engine::start(&format!("i-{number}"), "khomas-a", &fleet, &record));
    }
    let host = Host::start(store.addr, Path::new(LOG))?;
    if !host.wait_until_ready(Duration::from_secs(15)) {
        return Ok(Outcome::CouldNotRun("the host is not ready".to_owned()));
    }
    let front = host.front;
    let host = Arc::new(Mutex::new(host));
    let done = Arc::new(AtomicBool::new(false));
    let platform = {
        let (host, done, record) = (host.clone(), done.clone(), record.clone());
        thread::spawn(move || watch_memory(&host, &done, &record))
    };
    let mut seen = Vec::new();
    for round in 0..ROUNDS {
        thread::sleep(Duration::from_millis(1500));
        record.line(&format!("round {round}"));
        let requests: Vec<_> = times(trouble)
            .into_iter()
            .enumerate()
            .map(|(number, at)| {
                let id = format!("call-{round}-{number}");
                fleet.lengths.lock().expect("not poisoned").insert(id.clone(), EVENTS);
                fleet.lengths.lock().expect("not poisoned").insert(format!("{id}-first"), 2);
                let record = record.clone();
                thread::spawn(move || keep_channel(front, &id, at, &record))
            })
            .collect();
        seen.extend(requests.into_iter().filter_map(|request| request.join().expect("no panic")));
        thread::sleep(PAUSE - Duration::from_millis(1500));
    }
    done.store(true, Ordering::SeqCst);
    let (kills, peak) = platform.join().expect("no panic");
    let unanswered = seen.iter().filter(|seen| is_unanswered(seen, &record)).count();
    let cut = seen
        .iter()
        .filter(|seen| seen.status == Some(200) && !seen.is_complete && !seen.has_left)
        .count();
    let complete = seen.iter().filter(|seen| seen.is_complete && seen.status == Some(200)).count();
    record.line(&format!(
        "{} streams, {complete} complete; memory up to {} MB of {}; the process exceeded it {kills} times; on kept channels {unanswered} requests that were passed on have no answer, and {cut} streams were cut",
        seen.len(),
        peak >> 20,
        MEMORY >> 20
    ));
    if complete == 0 {
        return Ok(Outcome::CouldNotRun("no stream was served".to_owned()));
    }
    Ok(if unanswered > 3 { Outcome::Broken } else { Outcome::Held })
}

/// Returns the times of the requests of a round.
fn times(trouble: bool) -> Vec<Duration> {
    let (mut at, mut times) = (0.0, Vec::new());
    while at < BEFORE + BURST_TIME + AFTER {
        times.push(Duration::from_secs_f64(at));
        let in_burst = trouble && (BEFORE..BEFORE + BURST_TIME).contains(&at);
        at += 1.0 / if in_burst { RATE * BURST } else { RATE };
    }
    times
}

/// Sends a short request and then a long one on the same channel.
fn keep_channel(
    front: std::net::SocketAddr,
    id: &str,
    at: Duration,
    record: &Record,
) -> Option<Seen> {
    let sends_at = Instant::now() + at;
    thread::sleep(at);
    let mut channel = open(front).ok()?;
    let first = Asked {
        id: format!("{id}-first"),
        path: "/verdict/x",
        tokens: "300,80".to_owned(),
        hint: None,
        body: 600,
        limit: Duration::from_secs(6),
        patience: Duration::from_secs(6),
    };
    if !ask_on(&mut channel, &first).is_complete {
        return None;
    }
    thread::sleep(
        (sends_at + Duration::from_millis(300)).saturating_duration_since(Instant::now()),
    );
    let asked = Asked {
        id: id.to_owned(),
        path: "/rationale/x",
        tokens: "3000,600".to_owned(),
        hint: None,
        body: BODY,
        limit: Duration::from_secs(39),
        patience: Duration::from_millis(7_200),
    };
    record.line(&format!("{id}: sent on a kept channel"));
    let seen = ask_on(&mut channel, &asked);
    record.line(&format!(
        "{id}: status {:?}, {} events, {}",
        seen.status,
        seen.events.len(),
        seen.how
    ));
    Some(seen)
}

/// Returns true if a request that was passed on to a replica has no answer, because its channel was closed.
fn is_unanswered(seen: &Seen, record: &Record) -> bool {
    seen.status.is_none() && !seen.has_left && record.has_arrived(&seen.id)
}

/// Ends the process when it exceeds its memory, as the platform does, and starts it again after a short
/// delay. Returns how often, and the most memory in use.
fn watch_memory(host: &Mutex<Host>, done: &AtomicBool, record: &Record) -> (u32, u64) {
    let (mut kills, mut peak) = (0, 0);
    while !done.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(20));
        let mut host = host.lock().expect("not poisoned");
        let memory = host.memory().unwrap_or(0);
        peak = peak.max(memory);
        if memory <= MEMORY {
            continue;
        }
        record.line(&format!("the process uses {} MB and is killed", memory >> 20));
        host.signal(KILL);
        kills += 1;
        thread::sleep(Duration::from_millis(500));
        host.restart(Path::new(LOG)).expect("a process");
    }
    (kills, peak)
}
