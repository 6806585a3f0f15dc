//! Replicas leave and another one of another service joins while a stream is on a replica that leaves late. The
//! stream must not go on at the other service.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Asked, Seen, ask};
use crate::engine::{Engine, Fleet};
use crate::host::Host;
use crate::http::Connection;
use crate::record::Record;
use crate::store::Store;
use crate::{Outcome, config, list};

const REQUESTS: usize = 6;
/// Calls that the first replica turns away, of two for each stream: a share below 0.45.
const SHED: usize = 4;
/// The longest output of the sheet: 17 s.
const EVENTS: u64 = 549;
/// Times since the start of the host. It frees what has left for ten seconds every five seconds.
const REQUESTS_AT: Duration = Duration::from_millis(7_600);
const OLD_DRAINS_AT: Duration = Duration::from_millis(8_700);
const OTHER_DRAINS_AT: Duration = Duration::from_millis(9_400);
const PLAIN_JOINS_AT: Duration = Duration::from_millis(20_800);
const OLD_LEAVES_AT: Duration = Duration::from_millis(21_800);
/// `drain-ms` and a little longer.
const OTHER_LEAVES_AFTER: Duration = Duration::from_millis(4_000);

pub fn run(folder: &Path, trouble: bool) -> io::Result<Outcome> {
    let record = Arc::new(Record::create(&folder.join("record.txt"))?);
    let (store, fleet) = (Store::start(), Arc::new(Fleet::default()));
    store.put("op", "config", Some(&config(6_000)));
    let old = Engine::start("i-old", "khomas-a", &fleet, &record);
    list(&store, &old);
    // The others are in other regions, so that no stream is moved to them.
    for number in 0..6 {
        let zone = if number % 2 == 0 { "erongo-a" } else { "oshana-a" };
        list(&store, &Engine::start(&format!("i-far-{number}"), zone, &fleet, &record));
    }
    let runs = Arc::new(Mutex::new(Vec::new()));
    let first = start_plain("p-1", &runs, &record)?;
    store.put("servers", "p-1", Some(&plain_entry(first)));
    let host = Host::start(store.addr, Path::new("target/review-2/reused-index.log"))?;
    if !host.wait_until_ready(Duration::from_secs(15)) {
        return Ok(Outcome::CouldNotRun("the host is not ready".to_owned()));
    }
    let at = |time: Duration| {
        thread::sleep((host.started_at + time).saturating_duration_since(Instant::now()));
    };
    at(REQUESTS_AT);
    let requests: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let id = format!("call-{number}");
            fleet.lengths.lock().expect("not poisoned").insert(id.clone(), EVENTS);
            let (front, record) = (host.front, record.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(120) * number as u32);
                let asked = Asked {
                    id,
                    path: "/rationale/x",
                    tokens: "1000,2200".to_owned(),
                    hint: Some(1_800),
                    body: 2_600,
                    limit: Duration::from_secs(39),
                    patience: Duration::from_millis(7_200),
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
    thread::sleep(Duration::from_millis(300));
    let other = Engine::start("i-other", "khomas-a", &fleet, &record);
    if trouble {
        at(OLD_DRAINS_AT - Duration::from_millis(200));
        list(&store, &other);
        at(OLD_DRAINS_AT);
        old.shed_last_copies(SHED);
        old.drain(OLD_LEAVES_AT - OLD_DRAINS_AT);
        store.put("servers", &old.id, Some(&old.entry(99)));
        record.line(&format!("i-old reports that it leaves, with {} runs", old.running()));
        at(OTHER_DRAINS_AT);
        other.drain(OTHER_LEAVES_AFTER);
        store.put("servers", &other.id, Some(&other.entry(99)));
        record.line(&format!("i-other reports that it leaves, with {} runs", other.running()));
        thread::sleep(OTHER_LEAVES_AFTER);
        store.put("servers", &other.id, None);
    }
    at(PLAIN_JOINS_AT);
    let second = start_plain("p-2", &runs, &record)?;
    store.put("servers", "p-2", Some(&plain_entry(second)));
    record.line("p-2 of bot-core joins");
    let seen: Vec<Seen> =
        requests.into_iter().map(|request| request.join().expect("no panic")).collect();
    if seen.iter().filter(|seen| seen.status == Some(200)).count() == 0 {
        return Ok(Outcome::CouldNotRun("no stream was served".to_owned()));
    }
    let runs = runs.lock().expect("not poisoned");
    let astray = runs.iter().filter(|path| !path.starts_with("/merge/")).count();
    record.line(&format!("bot-core ran {astray} requests of routes to camphor-fleet"));
    Ok(if astray > 0 { Outcome::Broken } else { Outcome::Held })
}

fn plain_entry(addr: SocketAddr) -> String {
    format!(
        r#"{{"service":"bot-core","address":"{addr}","zone":"khomas-a","version":"v1","slots":6,"state":"ready","cold-left-ms":0,"sequence":1,"born":1780000000000}}"#
    )
}

/// Starts a replica of a plain service, which runs all requests that expect it, and records their paths.
fn start_plain(
    id: &'static str,
    runs: &Arc<Mutex<Vec<String>>>,
    record: &Arc<Record>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    let (runs, record) = (runs.clone(), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (runs, record) = (runs.clone(), record.clone());
            thread::spawn(move || serve_plain(stream, id, &runs, &record));
        }
    });
    Ok(addr)
}

fn serve_plain(
    stream: TcpStream,
    id: &str,
    runs: &Mutex<Vec<String>>,
    record: &Record,
) -> io::Result<()> {
    let mut connection = Connection::new(stream);
    loop {
        let request = connection.request()?;
        let path = request.word(1).to_owned();
        if path == "/health" {
            connection.respond("200 OK", &format!("Replica-Id: {id}\r\n"), "")?;
            continue;
        }
        if request.header("expect-replica").is_some_and(|expected| expected != id) {
            connection.respond("421 Misdirected Request", &format!("Replica-Id: {id}\r\n"), "")?;
            continue;
        }
        let call = request.header("attempt-id").unwrap_or_default();
        record.line(&format!("{call}: {id} of bot-core runs {path}"));
        runs.lock().expect("not poisoned").push(path);
        thread::sleep(Duration::from_millis(60));
        let headers =
            format!("Attempt-Id: {call}\r\nReplica-Seal: {id}.{call}\r\nReplica-Load: 1,0,6\r\n");
        connection.respond("200 OK", &headers, "done")?;
        connection.stream.flush()?;
    }
}
