//! A sound replica of the plain service.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::config::PLAIN;
use crate::http::{read_message, respond};
use crate::json::{Json, number, object, text};
use crate::record::Record;
use crate::store::Store;

/// Time between two entries in the store.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Requests that it processes at once.
const SLOTS: u64 = 6;
/// Work of a request: the mean of the small deployments.
const WORK: Duration = Duration::from_millis(60);

/// A replica.
pub struct Replica {
    id: String,
    addr: SocketAddr,
    born: u64,
    sequence: AtomicU64,
    /// Requests in progress.
    running: Mutex<u64>,
    run_ended: Condvar,
    store: Arc<Store>,
    record: Record,
}

impl Replica {
    /// Starts a replica, which registers itself.
    pub fn start(id: &str, store: &Arc<Store>, record: &Record) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time of day");
        let replica = Arc::new(Self {
            id: id.to_owned(),
            addr: listener.local_addr().expect("an address"),
            born: born.as_millis() as u64,
            sequence: AtomicU64::new(0),
            running: Mutex::default(),
            run_ended: Condvar::new(),
            store: store.clone(),
            record: record.clone(),
        });
        let serving = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = serving.clone();
                thread::spawn(move || replica.serve(stream));
            }
        });
        replica.ping();
        thread::spawn(move || {
            loop {
                sleep(HEARTBEAT);
                replica.ping();
            }
        });
    }

    fn ping(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        self.store.put("servers", &self.id, &self.entry(sequence).to_string());
    }

    fn entry(&self, sequence: u64) -> Json {
        object(&[
            ("service", text(PLAIN)),
            ("address", text(&self.addr.to_string())),
            ("zone", text("khomas-a")),
            ("version", text("v1")),
            ("slots", number(SLOTS)),
            ("state", text("ready")),
            ("cold-left-ms", number(0)),
            ("sequence", number(sequence)),
            ("born", number(self.born)),
        ])
    }

    /// Runs a request once there is a slot.
    fn run(&self, attempt: &str) {
        let is_full = |running: &mut u64| *running >= SLOTS;
        let running = self.running.lock().expect("no panic");
        *self.run_ended.wait_while(running, is_full).expect("no panic") += 1;
        self.record.line(&format!("{attempt} runs at {}", self.id));
        sleep(WORK);
        *self.running.lock().expect("no panic") -= 1;
        self.run_ended.notify_one();
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(read) = stream.try_clone() else { return };
        let mut rx = BufReader::new(read);
        while let Ok(req) = read_message(&mut rx) {
            let expected = req.head.get("expect-replica").unwrap_or(&self.id).to_owned();
            let attempt = req.head.get("attempt-id").unwrap_or_default().to_owned();
            let mut headers = vec![("Replica-Id", self.id.clone())];
            let sent = if expected != self.id {
                respond(&mut stream, "421 Misdirected Request", &headers, b"")
            } else if req.head.word(1).starts_with("/health") {
                respond(&mut stream, "200 OK", &headers, b"")
            } else if attempt.is_empty() {
                headers.push(("Not-Executed", "1".to_owned()));
                respond(&mut stream, "400 Bad Request", &headers, b"")
            } else {
                self.run(&attempt);
                headers.push(("Attempt-Id", attempt.clone()));
                headers.push(("Replica-Seal", format!("seal-{attempt}")));
                let body = format!("{} did {attempt}", self.id);
                respond(&mut stream, "200 OK", &headers, body.as_bytes())
            };
            if sent.is_err() {
                return;
            }
        }
    }
}
