//! A replica leaves and its host is stopped, both as planned. Streams that the replica has finished must not
//! be cut off.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Asked, Seen, ask};
use crate::engine::{Engine, Fleet};
use crate::host::{Host, TERM};
use crate::record::Record;
use crate::store::Store;
use crate::{Outcome, config, list};

const REQUESTS: usize = 16;
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(145);
/// Events of each stream: two seconds.
const EVENTS: u64 = 60;
/// Time from the first request to the SIGTERM of the host.
const TERM_AFTER: Duration = Duration::from_millis(2350);
/// Time from the SIGTERM to the report of the replica that it leaves.
const DRAIN_AFTER_TERM: Duration = Duration::from_millis(200);
/// Time from that report to the exit of the replica.
const LEAVES_AFTER: Duration = Duration::from_millis(8500);
/// `grace-s`.
const GRACE: Duration = Duration::from_secs(8);
/// The longest of two seconds, four times the latency goal and eight times the sheet's pause.
const PATIENCE: Duration = Duration::from_millis(7200);

pub fn run(folder: &Path, trouble: bool) -> std::io::Result<Outcome> {
    let record = Arc::new(Record::create(&folder.join("record.txt"))?);
    let (store, fleet) = (Store::start(), Arc::new(Fleet::default()));
    store.put("op", "config", Some(&config(6_000)));
    let leaving = Engine::start("i-old", "khomas-a", &fleet, &record);
    list(&store, &leaving);
    let mut host = Host::start(store.addr, Path::new("target/review-2/left-engine.log"))?;
    if !host.wait_until_ready(Duration::from_secs(15)) {
        return Ok(Outcome::CouldNotRun("the host is not ready".to_owned()));
    }
    thread::sleep(Duration::from_millis(1500));
    let began_at = Instant::now();
    let requests: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let id = format!("call-{number}");
            fleet.lengths.lock().expect("not poisoned").insert(id.clone(), EVENTS);
            let (front, record) = (host.front, record.clone());
            thread::spawn(move || {
                thread::sleep(INTERVAL * number as u32);
                let asked = Asked {
                    id,
                    path: "/rationale/x",
                    tokens: "1500,1000".to_owned(),
                    hint: None,
                    body: 2_600,
                    limit: Duration::from_secs(39),
                    patience: PATIENCE,
                };
                record.line(&format!("{}: sent", asked.id));
                let seen = ask(front, &asked);
                record.line(&format!(
                    "{}: status {:?}, {} events, {}",
                    seen.id,
                    seen.status,
                    seen.events.len(),
                    seen.how
                ));
                seen
            })
        })
        .collect();
    // The replacements start first.
    thread::sleep(Duration::from_millis(2100));
    for id in ["i-new-1", "i-new-2"] {
        list(&store, &Engine::start(id, "khomas-a", &fleet, &record));
        record.line(&format!("{id} joins"));
    }
    thread::sleep((began_at + TERM_AFTER).saturating_duration_since(Instant::now()));
    let terminated_at = Instant::now();
    if trouble {
        if std::env::var("ONLY").as_deref() != Ok("drain") {
            host.signal(TERM);
            record.line("SIGTERM to the host");
        }
        thread::sleep(DRAIN_AFTER_TERM);
        if std::env::var("ONLY").as_deref() != Ok("term") {
            leaving.drain(LEAVES_AFTER);
            store.put("servers", &leaving.id, Some(&leaving.entry(99)));
            record.line(&format!("i-old reports that it leaves, with {} runs", leaving.running()));
        }
    }
    let seen: Vec<Seen> =
        requests.into_iter().map(|request| request.join().expect("no panic")).collect();
    record.line(&format!("the host has ended: {}", host.has_ended()));
    if seen.iter().filter(|seen| seen.status == Some(200)).count() < REQUESTS / 2 {
        return Ok(Outcome::CouldNotRun("too few requests were served".to_owned()));
    }
    let lost = seen.iter().filter(|seen| is_lost(seen, &record, terminated_at)).count();
    record.line(&format!("{lost} requests were lost"));
    Ok(if lost > 0 { Outcome::Broken } else { Outcome::Held })
}

/// Returns true if the channel of a request that was passed on ended without a complete answer, although its
/// replica had finished it before the last sixth of the grace period.
fn is_lost(seen: &Seen, record: &Record, terminated_at: Instant) -> bool {
    let ended = !seen.is_complete && !seen.has_left;
    let finished = record
        .ends(&seen.id)
        .iter()
        .any(|end| end.how == "complete" && end.at < terminated_at + GRACE * 5 / 6);
    ended && finished && seen.ended_at < terminated_at + GRACE + Duration::from_secs(1)
}
