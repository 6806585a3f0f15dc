//! A sound engine: streams of events, with slots and a short queue. It may be told to crash.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::config::ENGINES;
use crate::http::{read_message, respond};
use crate::json::{Json, number, object, text};
use crate::record::Record;
use crate::store::Store;

/// Time between two entries in the store.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Requests that it processes at once.
const SLOTS: usize = 24;

/// How the events of an engine are numbered and paced.
#[derive(Clone, Copy, Debug)]
pub struct Events {
    /// ID of the first event.
    pub first: u64,
    /// Difference between the IDs of two events.
    pub step: u64,
    pub count: u64,
    /// Time in which the prompt is read, before the first event.
    pub prefill: Duration,
    /// Whether the head of the answer is sent before the prompt is read. Otherwise prompts are read one after
    /// the other, and the head is sent with the first event.
    pub is_head_first: bool,
    pub pause: Duration,
}

impl Events {
    /// Returns the IDs of a complete stream.
    pub fn ids(&self) -> Vec<u64> {
        (0..self.count).map(|at| self.first + at * self.step).collect()
    }
}

/// Returns the text of an event.
pub fn event_text(id: u64) -> String {
    format!("id: {id}\ndata: part {id}\n\n")
}

/// An engine.
pub struct Engine {
    pub id: String,
    pub addr: SocketAddr,
    born: u64,
    sequence: AtomicU64,
    has_ended: AtomicBool,
    events: Events,
    /// Attempts in progress, with the time at which each was read.
    pub running: Mutex<Vec<(String, Instant)>>,
    /// Held while a prompt is read.
    prompt: Mutex<()>,
    channels: Mutex<Vec<TcpStream>>,
    store: Arc<Store>,
    record: Record,
}

impl Engine {
    /// Starts an engine, which registers itself.
    pub fn start(id: &str, events: Events, store: &Arc<Store>, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time of day");
        let engine = Arc::new(Self {
            id: id.to_owned(),
            addr: listener.local_addr().expect("an address"),
            born: born.as_millis() as u64,
            sequence: AtomicU64::new(0),
            has_ended: AtomicBool::new(false),
            events,
            running: Mutex::default(),
            prompt: Mutex::default(),
            channels: Mutex::default(),
            store: store.clone(),
            record: record.clone(),
        });
        let serving = engine.clone();
        thread::spawn(move || serving.accept(&listener));
        engine.ping();
        let pinging = engine.clone();
        thread::spawn(move || {
            loop {
                sleep(HEARTBEAT);
                pinging.ping();
            }
        });
        engine
    }

    fn ping(&self) {
        if self.has_ended.load(Ordering::SeqCst) {
            return;
        }
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = object(&[
            ("service", text(ENGINES)),
            ("address", text(&self.addr.to_string())),
            ("zone", text("khomas-a")),
            ("version", text("v1")),
            ("slots", number(SLOTS as u64)),
            ("state", text("ready")),
            ("cold-left-ms", number(0)),
            ("sequence", number(sequence)),
            ("born", number(self.born)),
        ]);
        self.store.put("servers", &self.id, &entry.to_string());
    }

    /// Crashes: no channel stays open, none is accepted, and the store hears nothing more.
    pub fn crash(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which closes its socket.
        let _ = TcpStream::connect(self.addr);
        for channel in self.channels.lock().expect("no panic").drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("{} crashes", self.id));
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            if let Ok(channel) = stream.try_clone() {
                self.channels.lock().expect("no panic").push(channel);
            }
            let engine = self.clone();
            let serve = move || {
                // The host may close its channel at any time.
                let _ = engine.serve(stream);
            };
            thread::Builder::new().stack_size(128 << 10).spawn(serve).expect("a thread");
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut rx = BufReader::new(stream.try_clone()?);
        loop {
            let req = read_message(&mut rx)?;
            let path = req.head.word(1).to_owned();
            if path.starts_with("/-/report") {
                let report = self.report().to_string();
                let json = ("Content-Type", "application/json".to_owned());
                respond(&mut stream, "200 OK", &[json], report.as_bytes())?;
                continue;
            }
            if path.starts_with("/-/") {
                respond(&mut stream, "404 Not Found", &[], b"")?;
                continue;
            }
            if req.head.get("expect-replica").is_some_and(|expected| expected != self.id) {
                let id = ("Replica-Id", self.id.clone());
                respond(&mut stream, "421 Misdirected Request", &[id], b"")?;
                continue;
            }
            if path.starts_with("/health") {
                let id = ("Replica-Id", self.id.clone());
                respond(&mut stream, "200 OK", &[id], b"")?;
                continue;
            }
            let attempt = req.head.get("attempt-id").unwrap_or_default().to_owned();
            let last = req.head.get("last-event-id").and_then(|id| id.parse::<u64>().ok());
            {
                let mut running = self.running.lock().expect("no panic");
                if running.len() >= SLOTS {
                    drop(running);
                    let refusal = ("Not-Executed", "1".to_owned());
                    respond(&mut stream, "503 Service Unavailable", &[refusal], b"")?;
                    continue;
                }
                running.push((attempt.clone(), Instant::now()));
            }
            let after = last.map(|id| format!(" after event {id}")).unwrap_or_default();
            self.record.line(&format!("{attempt} runs at {}{after}", self.id));
            let sent = self.stream(&mut stream, &attempt, last);
            self.running.lock().expect("no panic").retain(|(known, _)| *known != attempt);
            sent?;
        }
    }

    fn report(&self) -> Json {
        let running = self.running.lock().expect("no panic").len() as u64;
        let model = object(&[
            ("name", text("m")),
            ("version", number(1)),
            ("adapters", Json::List(Vec::new())),
        ]);
        object(&[
            ("stage", text("unified")),
            ("models", Json::List(vec![model])),
            ("busy", Json::Bool(false)),
            ("sequence", number(0)),
            ("waiting", number(0)),
            ("running", number(running)),
            ("kv-used", number(running * 1200)),
            ("kv-total", number(34_304)),
            ("handles", number(0)),
            ("born", number(self.born)),
        ])
    }

    /// Sends the events after the last one that the requester has.
    fn stream(&self, tx: &mut TcpStream, attempt: &str, last: Option<u64>) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {attempt}\r\n\
             Replica-Seal: seal-{attempt}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if self.events.is_head_first {
            tx.write_all(head.as_bytes())?;
            sleep(self.events.prefill);
        } else {
            let prompt = self.prompt.lock().expect("no panic");
            sleep(self.events.prefill);
            drop(prompt);
            tx.write_all(head.as_bytes())?;
        }
        for id in self.events.ids() {
            if last.is_some_and(|last| id <= last) {
                continue;
            }
            let event = event_text(id);
            tx.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            sleep(self.events.pause);
        }
        tx.write_all(b"0\r\n\r\n")
    }
}
