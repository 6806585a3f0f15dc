//! Streams of engines that number their events in other ways than 1, 2, 3.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::{request, stream_request};
use crate::config::config;
use crate::engine::{Engine, Events};
use crate::host::{Host, SMALL};
use crate::http::{Channel, describe, read_chunk, read_head};
use crate::record::Record;
use crate::replica::Replica;
use crate::store::Store;

/// Time budget of a stream.
const DEADLINE_MS: u64 = 6000;
const CONTACT: Duration = Duration::from_millis(4000);

/// A stream, as its requester saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub attempt: String,
    pub status: u16,
    pub ids: Vec<u64>,
    pub is_complete: bool,
}

/// Sends a request for a stream and reads it to its end.
fn read_stream(channel: &mut Channel, path: &str, attempt: &str, record: &Record) -> Seen {
    let until = Instant::now() + Duration::from_millis(DEADLINE_MS);
    let mut seen =
        Seen { attempt: attempt.to_owned(), status: 0, ids: Vec::new(), is_complete: false };
    let req = stream_request(path, attempt, DEADLINE_MS, "", "a prompt");
    let mut text = String::new();
    let mut read = || {
        channel.send(req.as_bytes())?;
        let rx = channel.reader();
        rx.get_ref().set_read_timeout(Some(until.saturating_duration_since(Instant::now())))?;
        let head = read_head(rx)?;
        seen.status = head.status();
        if seen.status != 200 {
            // A refusal has a length and is not looked at further.
            return Ok(());
        }
        loop {
            let chunk = read_chunk(rx)?;
            if chunk.is_empty() {
                seen.is_complete = true;
                return Ok::<(), std::io::Error>(());
            }
            text.push_str(&String::from_utf8_lossy(&chunk));
        }
    };
    let end = match read() {
        Ok(()) => "end",
        Err(err) => describe(&err),
    };
    let ids = text.lines().filter_map(|line| line.strip_prefix("id:"));
    seen.ids = ids.filter_map(|id| id.trim().parse().ok()).collect();
    record.line(&format!("{attempt}: {} events {:?}, {end}", seen.status, seen.ids));
    seen
}

/// Sends streams side by side, each on a channel of its own that was used before.
fn read_streams(to: SocketAddr, path: &'static str, count: usize, record: &Record) -> Vec<Seen> {
    let all = Arc::new(Mutex::new(Vec::new()));
    let requesters: Vec<_> = (0..count)
        .map(|number| {
            let (all, record) = (all.clone(), record.clone());
            thread::spawn(move || {
                let Ok(mut channel) = Channel::open(to) else { return };
                let first = request("GET", "/reads/2f", &format!("r{number}"), 2000, "");
                let until = Instant::now() + Duration::from_millis(2000);
                if channel.send(first.as_bytes()).is_err() || channel.receive(until).is_err() {
                    return;
                }
                let attempt = format!("s{number}");
                let seen = read_stream(&mut channel, path, &attempt, &record);
                all.lock().expect("no panic").push(seen);
            })
        })
        .collect();
    for requester in requesters {
        requester.join().expect("no panic");
    }
    let mut all = all.lock().expect("no panic").clone();
    all.sort_by(|a, b| a.attempt.cmp(&b.attempt));
    all
}

fn start(events: Events, engines: usize, record: &Record) -> (Vec<Arc<Engine>>, Host, Arc<Store>) {
    let store = Store::start();
    store.put("op", "config", &config());
    let engines =
        (1..=engines).map(|number| Engine::start(&format!("e-{number}"), events, &store, record));
    let engines = engines.collect();
    Replica::start("i-1", &store, record);
    let host = Host::start(1, store.addr, SMALL, &[]);
    record.line("the host is ready");
    sleep(CONTACT);
    (engines, host, store)
}

/// An engine crashes before the first event of its streams, which may be resumed. The engines number events
/// from 0. Returns true if the rule held.
pub fn run_crash(trouble: bool, record: &Record) -> bool {
    /// One engine of six crashes.
    const ENGINES: usize = 6;
    const STREAMS: usize = 24;
    let ms = Duration::from_millis;
    let events = Events {
        first: 0,
        step: 1,
        count: 8,
        prefill: ms(600),
        is_head_first: true,
        pause: ms(40),
    };
    let (engines, host, _store) = start(events, ENGINES, record);
    let crashing = engines[0].clone();
    let crash = thread::spawn(move || {
        let until = Instant::now() + ms(3000);
        // It has taken in requests and sent none of their events.
        let is_due = || {
            let running = crashing.running.lock().expect("no panic");
            running.iter().any(|(_, since)| since.elapsed() > ms(250))
        };
        while !is_due() && Instant::now() < until {
            sleep(ms(5));
        }
        if trouble {
            crashing.crash();
        }
    });
    let all = read_streams(host.clients, "/verdicts/2f", STREAMS, record);
    crash.join().expect("no panic");
    let expected = events.ids();
    let complete: Vec<&Seen> =
        all.iter().filter(|seen| seen.is_complete && seen.status == 200).collect();
    let lossy: Vec<&&Seen> = complete.iter().filter(|seen| seen.ids != expected).collect();
    for seen in &lossy {
        println!("{} ended as complete with events {:?}", seen.attempt, seen.ids);
    }
    let line = format!(
        "{} streams, {} complete for their requesters, {} of these without all events {expected:?}",
        all.len(),
        complete.len(),
        lossy.len()
    );
    record.line(&line);
    println!("{line}");
    lossy.is_empty()
}

/// Engines number events by the tokens that they hold: 4, 8, 12. Returns true if the rule held.
pub fn run_steps(trouble: bool, record: &Record) -> bool {
    const STREAMS: usize = 24;
    let ms = Duration::from_millis;
    let step = if trouble { 4 } else { 1 };
    let events = Events {
        first: step,
        step,
        count: 8,
        prefill: ms(200),
        is_head_first: true,
        pause: ms(40),
    };
    let (_engines, host, _store) = start(events, 3, record);
    let all = read_streams(host.clients, "/drafts/2f", STREAMS, record);
    let expected = events.ids();
    let cut = all.iter().filter(|seen| seen.status == 200 && !seen.is_complete).count();
    let whole = all.iter().filter(|seen| seen.is_complete && seen.ids == expected).count();
    let line = format!(
        "{} streams, {whole} whole, {cut} channels closed before the end of the answer",
        all.len()
    );
    record.line(&line);
    println!("{line}");
    cut <= 3
}
