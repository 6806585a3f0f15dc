//! Another writer has written an entry that lacks fields, which names no replica to use. At its address listens a
//! server that is no replica.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::{Answer, send};
use crate::config::{PLAIN, config};
use crate::host::{Host, SMALL};
use crate::http::{read_message, respond};
use crate::json::{number, object, text};
use crate::record::Record;
use crate::replica::Replica;
use crate::store::Store;

/// Requesters that send one request after the other.
const REQUESTERS: u64 = 12;
const CONTACT: Duration = Duration::from_millis(4000);
/// Time for which requests are counted once the host is in touch.
const COUNTED: Duration = Duration::from_millis(8000);
/// Rule: more than 5 and one in 500 of all requests.
const ALLOWED: usize = 5;
const ALLOWED_PART: usize = 500;

/// Starts a web server that knows none of the paths. Counts the requests that reach it.
fn start_stray_server(record: &Record) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let requests = Arc::new(AtomicU64::new(0));
    let (count, record) = (requests.clone(), record.clone());
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (count, record) = (count.clone(), record.clone());
            thread::spawn(move || {
                let Ok(read) = stream.try_clone() else { return };
                let mut rx = BufReader::new(read);
                while let Ok(req) = read_message(&mut rx) {
                    count.fetch_add(1, Ordering::SeqCst);
                    let attempt = req.head.get("attempt-id").unwrap_or("no attempt").to_owned();
                    let tenant = req.head.get("tenant").unwrap_or("none").to_owned();
                    let body = String::from_utf8_lossy(&req.body).into_owned();
                    record.line(&format!(
                        "{attempt} reaches the server that is no replica: tenant {tenant}, body {body:?}"
                    ));
                    if respond(&mut stream, "404 Not Found", &[], b"no such page").is_err() {
                        return;
                    }
                }
            });
        }
    });
    (addr, requests)
}

/// Runs the case. Returns true if the rule held.
pub fn run(trouble: bool, record: &Record) -> bool {
    let store = Store::start();
    store.put("op", "config", &config());
    for id in ["i-1", "i-2", "i-3"] {
        Replica::start(id, &store, record);
    }
    let (stray, reached) = start_stray_server(record);
    if trouble {
        let entry = object(&[
            ("service", text(PLAIN)),
            ("address", text(&stray.to_string())),
            ("zone", text("khomas-a")),
            ("slots", number(6)),
            ("state", text("ready")),
        ]);
        store.put("servers", "x-1", &entry.to_string());
        record.line(&format!("another writer writes servers/x-1: {entry}"));
    }
    let host = Host::start(1, store.addr, SMALL, &[]);
    record.line("the host is ready");
    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let count = Arc::new(AtomicU64::new(0));
    let requesters: Vec<_> = (0..REQUESTERS)
        .map(|_| {
            let (stop, answers, count) = (stop.clone(), answers.clone(), count.clone());
            let (to, record) = (host.clients, record.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let attempt = format!("a{}", count.fetch_add(1, Ordering::SeqCst));
                    let answer = send(to, "POST", "/merges/2f", &attempt, 2000, &record);
                    answers.lock().expect("no panic").push(answer);
                    sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    sleep(CONTACT);
    let counted_from = Instant::now();
    record.line("from here on requests count");
    sleep(COUNTED);
    stop.store(true, Ordering::SeqCst);
    for requester in requesters {
        requester.join().expect("no panic");
    }
    let answers = answers.lock().expect("no panic");
    let answers: Vec<&Answer> =
        answers.iter().filter(|answer| answer.sent_at >= counted_from).collect();
    let with = |status| answers.iter().filter(|answer| answer.status == Some(status)).count();
    let denied = with(404);
    let line = format!(
        "{} requests, {} served, {denied} ended with 404; {} reached a server that is no replica",
        answers.len(),
        with(200),
        reached.load(Ordering::SeqCst)
    );
    record.line(&line);
    println!("{line}");
    denied <= ALLOWED + answers.len() / ALLOWED_PART
}
