//! A replica crashes and is back while the host stands still. Answers without a length that the crash cut off
//! must not look complete.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Asked, Seen, ask};
use crate::host::{CONT, Host, STOP};
use crate::record::Record;
use crate::replica::Replica;
use crate::store::Store;
use crate::{Outcome, config};

/// One of six crashes: a share of 0.17 at most.
const REPLICAS: usize = 6;
const REQUESTS: usize = 24;
const EVENTS: usize = 120;
/// Time from the first request to the freeze of the host, and the duration of the freeze.
const FREEZES_AFTER: Duration = Duration::from_millis(1_700);
const FREEZE: Duration = Duration::from_millis(4_000);
/// Time from the beginning of the freeze to the crash, and until the replica is back.
const CRASHES_AFTER: Duration = Duration::from_millis(300);
const DOWN: Duration = Duration::from_millis(3_000);

type Slot = Arc<Mutex<Option<Replica>>>;

/// Ends the processes of the replicas when dropped.
#[derive(Default)]
struct Replicas(Vec<Slot>);

impl Drop for Replicas {
    fn drop(&mut self) {
        for slot in &self.0 {
            // Dropping a replica kills its process.
            slot.lock().expect("not poisoned").take();
        }
    }
}

pub fn run(folder: &Path, trouble: bool) -> std::io::Result<Outcome> {
    let only = std::env::var("ONLY").unwrap_or_default();
    let record = Arc::new(Record::create(&folder.join("record.txt"))?);
    let store = Store::start();
    store.put("op", "config", Some(&config(6_000)));
    let mut replicas = Replicas::default();
    for number in 0..REPLICAS {
        let id = format!("i-{number}");
        let replica = Replica::start(&id, free_addr(), &record)?;
        let slot: Slot = Arc::new(Mutex::new(Some(replica)));
        beat(&store, &id, &slot);
        replicas.0.push(slot);
    }
    let host = Host::start(store.addr, Path::new("target/review-2/crash-unseen.log"))?;
    if !host.wait_until_ready(Duration::from_secs(15)) {
        return Ok(Outcome::CouldNotRun("the host is not ready".to_owned()));
    }
    thread::sleep(Duration::from_millis(1500));
    let requests: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (front, record) = (host.front, record.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(60) * number as u32);
                let asked = Asked {
                    id: format!("call-{number}"),
                    path: "/rationale/x?events=120",
                    tokens: "1500,600".to_owned(),
                    hint: None,
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
    thread::sleep(FREEZES_AFTER);
    let wakes_at = Instant::now() + FREEZE;
    if trouble && only != "crash" {
        host.signal(STOP);
        record.line("the host stands still");
    }
    if trouble && only != "freeze" {
        thread::sleep(CRASHES_AFTER);
        let mut slot = replicas.0[0].lock().expect("not poisoned");
        let addr = slot.as_ref().expect("a process").addr;
        // Dropping it kills the process.
        *slot = None;
        drop(slot);
        record.line("i-0 crashes");
        thread::sleep(DOWN);
        *replicas.0[0].lock().expect("not poisoned") = Some(Replica::start("i-0", addr, &record)?);
        record.line("i-0 is back");
    }
    thread::sleep(wakes_at.saturating_duration_since(Instant::now()));
    host.signal(CONT);
    record.line("the host goes on");
    let seen: Vec<Seen> =
        requests.into_iter().map(|request| request.join().expect("no panic")).collect();
    if seen.iter().filter(|seen| seen.is_complete && seen.events.len() == EVENTS).count()
        < REQUESTS / 2
    {
        return Ok(Outcome::CouldNotRun("too few streams were served".to_owned()));
    }
    let short = seen
        .iter()
        .filter(|seen| seen.is_complete && seen.status == Some(200) && seen.events.len() < EVENTS);
    let short = short.count();
    record.line(&format!("{short} streams look complete and are not"));
    Ok(if short > 0 { Outcome::Broken } else { Outcome::Held })
}

fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// Writes the entry of a replica now and at each heartbeat, while its process runs.
fn beat(store: &Arc<Store>, id: &str, slot: &Slot) {
    let (store, id, slot) = (store.clone(), id.to_owned(), slot.clone());
    let write = move |sequence: u64| {
        let entry =
            slot.lock().expect("not poisoned").as_ref().map(|replica| replica.entry(sequence));
        if let Some(entry) = entry {
            store.put("servers", &id, Some(&entry));
        }
    };
    write(1);
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(1200));
            write(sequence);
        }
    });
}
