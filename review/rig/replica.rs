//! Stand-in for a replica, and links between a machine and a replica.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::base::{note, reset_on_drop, sleep_ms};
use crate::json;
use crate::store::{Request, Store, read_request};

/// What a case asks of a replica.
#[derive(Clone)]
pub struct Behaviour {
    /// Events of a stream.
    pub events: u64,
    /// Bytes of the text of an event.
    pub payload: usize,
    /// Time between two events.
    pub event_ms: u64,
    /// Whether the answers to streams have no length and end with their channel.
    pub unframed: bool,
    /// Time that a plain request takes.
    pub work_ms: u64,
    /// Time that the last copy of a run takes, which waits for other moves on the links.
    pub last_copy_ms: u64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            events: 200,
            event_ms: 100,
            unframed: false,
            work_ms: 60,
            last_copy_ms: 5,
            payload: 11,
        }
    }
}

/// A running request.
struct Run {
    /// Events made so far.
    made: AtomicU64,
    /// Tokens of its prompt.
    tokens: u64,
    stopped: AtomicBool,
}

/// A request that ran.
pub struct Ran {
    pub id: String,
    pub at: Instant,
    pub done: bool,
}

pub struct Replica {
    pub name: String,
    pub addr: SocketAddr,
    service: String,
    zone: String,
    slots: u32,
    is_engine: bool,
    born: u64,
    behaviour: Behaviour,
    store: Arc<Store>,
    draining: AtomicBool,
    /// Whether it says in its answers that it leaves.
    pub leaving: AtomicBool,
    registered: AtomicBool,
    exited: AtomicBool,
    sequence: AtomicU64,
    runs: Mutex<HashMap<String, Arc<Run>>>,
    ran: Mutex<Vec<Ran>>,
    connections: Mutex<Vec<TcpStream>>,
    leaves_at: Mutex<Option<Instant>>,
}

impl Replica {
    pub fn start(
        store: &Arc<Store>,
        name: &str,
        service: &str,
        zone: &str,
        is_engine: bool,
        behaviour: Behaviour,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let replica = Arc::new(Self {
            name: name.to_owned(),
            addr: listener.local_addr().expect("an address"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots: if is_engine { 24 } else { 6 },
            is_engine,
            born: now.map_or(1, |now| now.as_millis() as u64),
            behaviour,
            store: store.clone(),
            draining: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            registered: AtomicBool::new(true),
            exited: AtomicBool::new(false),
            sequence: AtomicU64::new(1),
            runs: Mutex::default(),
            ran: Mutex::default(),
            connections: Mutex::default(),
            leaves_at: Mutex::default(),
        });
        replica.register();
        let serving = replica.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = serving.clone();
                if replica.exited.load(Ordering::SeqCst) {
                    reset_on_drop(&stream);
                    continue;
                }
                if let Ok(copy) = stream.try_clone() {
                    replica.connections.lock().unwrap().push(copy);
                }
                std::thread::spawn(move || replica.serve(stream));
            }
        });
        let beating = replica.clone();
        std::thread::spawn(move || {
            loop {
                sleep_ms(1200);
                if beating.registered.load(Ordering::SeqCst) {
                    beating.register();
                }
            }
        });
        replica
    }

    /// Writes its entry.
    fn register(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"{state}","cold-left-ms":0,"stage":"unified","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence},"born":{}}}"#,
            self.service, self.addr, self.zone, self.slots, self.born
        );
        self.store.put("servers", &self.name, &entry);
    }

    /// Reports that it drains, and leaves after a time.
    pub fn drain(&self, leaves_in: Duration) {
        *self.leaves_at.lock().unwrap() = Some(Instant::now() + leaves_in);
        self.draining.store(true, Ordering::SeqCst);
        self.register();
        note(&format!("{}: reports draining", self.name));
    }

    /// Leaves without having reported that it drains: its entry is removed, and it serves on. It says in
    /// its answers that it leaves.
    pub fn leave_silently(&self) {
        self.registered.store(false, Ordering::SeqCst);
        self.leaving.store(true, Ordering::SeqCst);
        self.store.remove("servers", &self.name);
        note(&format!("{}: its entry is removed, its answers say Server-Leaving", self.name));
    }

    /// Ends: channels are reset, and new ones refused.
    pub fn exit(&self) {
        self.exited.store(true, Ordering::SeqCst);
        self.registered.store(false, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            reset_on_drop(&stream);
            let _ = stream.shutdown(Shutdown::Both);
        }
        note(&format!("{}: exits", self.name));
    }

    /// Returns the requests that ran, with the time at which each arrived and whether it was answered.
    pub fn ran(&self) -> Vec<(String, Instant, bool)> {
        self.ran.lock().unwrap().iter().map(|ran| (ran.id.clone(), ran.at, ran.done)).collect()
    }

    /// Returns the number of streams that run.
    pub fn running(&self) -> usize {
        self.runs.lock().unwrap().len()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Some(request) = read_request(&mut stream) {
            if self.exited.load(Ordering::SeqCst) {
                return;
            }
            if !self.respond(&mut stream, &request) {
                break;
            }
        }
        // The channel ends with the answer; a copy of its handle is kept for the end of the process.
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Answers a request. Returns false if the channel ends with the answer.
    fn respond(&self, stream: &mut TcpStream, request: &Request) -> bool {
        match request.path.as_str() {
            "/health" => {
                let head = format!("Replica-Id: {}\r\n", self.name);
                self.write_answer(stream, 200, &head, "")
            }
            "/-/report" => self.write_answer(stream, 200, "", &self.report()),
            "/-/kv-move" => self.move_run(stream, request),
            path if path.starts_with("/-/kv-handle/") => {
                note(&format!("{}: {} {path}", self.name, request.method));
                self.write_answer(stream, 200, "", "{}")
            }
            _ => self.run(stream, request),
        }
    }

    fn write_answer(&self, stream: &mut TcpStream, status: u16, head: &str, body: &str) -> bool {
        let leaving = match self.leaving.load(Ordering::SeqCst) {
            true => "Server-Leaving: 1\r\n",
            false => "",
        };
        let answer = format!(
            "HTTP/1.1 {status} X\r\n{head}{leaving}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(answer.as_bytes()).is_ok()
    }

    fn report(&self) -> String {
        let (running, used) = {
            let runs = self.runs.lock().unwrap();
            let tokens = |run: &Arc<Run>| run.tokens + 4 * run.made.load(Ordering::SeqCst);
            (runs.len(), runs.values().map(tokens).sum::<u64>())
        };
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let leaves = self.leaves_at.lock().unwrap().map_or(String::new(), |at| {
            let left = at.saturating_duration_since(Instant::now()).as_millis();
            format!(r#","leaves_ms":{left}"#)
        });
        format!(
            r#"{{"stage":"unified","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":2,"waiting":0,"running":{running},"kv-used":{used},"kv-total":34304,"handles":0,"state":"{state}"{leaves}}}"#
        )
    }

    /// Copies the memory of a run. With `last`, the run stops first and its stream is closed without its
    /// end; the answer is returned when the copy is complete.
    fn move_run(&self, stream: &mut TcpStream, request: &Request) -> bool {
        let call = json::parse(&request.body);
        let (id, last) = (call.get("id").text().to_owned(), call.get("last").is_true());
        let run = self.runs.lock().unwrap().get(&id).cloned();
        let Some(run) = run else {
            return self.write_answer(stream, 404, "", "{}");
        };
        if last {
            run.stopped.store(true, Ordering::SeqCst);
            note(&format!("{}: stops {id} for its last copy", self.name));
            sleep_ms(self.behaviour.last_copy_ms);
        } else {
            sleep_ms(30);
        }
        let made = run.made.load(Ordering::SeqCst);
        note(&format!("{}: copy of {id} complete at event {made}, last {last}", self.name));
        let body = format!(r#"{{"handle":"h-{id}","created":{made}}}"#);
        self.write_answer(stream, 200, "", &body)
    }

    fn run(&self, stream: &mut TcpStream, request: &Request) -> bool {
        if request.header("expect-replica").is_some_and(|name| name != self.name) {
            let head = format!("Replica-Id: {}\r\n", self.name);
            return self.write_answer(stream, 421, &head, "");
        }
        let id = request.header("attempt-id").unwrap_or_default().to_owned();
        let from = request.header("kv-from").unwrap_or("-").to_owned();
        let last: u64 =
            request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        note(&format!("{}: runs {id} after event {last}, memory from {from}", self.name));
        self.ran.lock().unwrap().push(Ran { id: id.clone(), at: Instant::now(), done: false });
        let seal = format!("Attempt-Id: {id}\r\nReplica-Seal: seal-{id}\r\n");
        if !self.is_engine {
            sleep_ms(self.behaviour.work_ms);
            let body = format!("{} ran {id}", self.name);
            let done =
                !self.exited.load(Ordering::SeqCst) && self.write_answer(stream, 200, &seal, &body);
            self.finish(&id, done);
            return done;
        }
        let tokens =
            request.header("token-usage").and_then(|text| text.split(',').next()?.parse().ok());
        let tokens = tokens.unwrap_or(0);
        let stopped = AtomicBool::new(false);
        let run = Arc::new(Run { made: AtomicU64::new(last), tokens, stopped });
        self.runs.lock().unwrap().insert(id.clone(), run.clone());
        let done = self.write_events(stream, &seal, &run);
        let made = run.made.load(Ordering::SeqCst);
        if !run.stopped.load(Ordering::SeqCst) {
            self.runs.lock().unwrap().remove(&id);
        }
        self.finish(&id, done);
        note(&format!("{}: {id} ends after event {made}, complete {done}", self.name));
        false
    }

    fn finish(&self, id: &str, done: bool) {
        let mut ran = self.ran.lock().unwrap();
        if let Some(ran) = ran.iter_mut().rev().find(|ran| ran.id == id) {
            ran.done = done;
        }
    }

    fn write_events(&self, stream: &mut TcpStream, seal: &str, run: &Run) -> bool {
        let framing = match self.behaviour.unframed {
            true => "Connection: close\r\n",
            false => "Transfer-Encoding: chunked\r\n",
        };
        let head =
            format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{seal}{framing}\r\n");
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        while run.made.load(Ordering::SeqCst) < self.behaviour.events {
            sleep_ms(self.behaviour.event_ms);
            if run.stopped.load(Ordering::SeqCst) || is_closed(stream) {
                return false;
            }
            let next = run.made.load(Ordering::SeqCst) + 1;
            let event = format!("id: {next}\ndata: {}\n\n", "w".repeat(self.behaviour.payload));
            let part = match self.behaviour.unframed {
                true => event,
                false => format!("{:x}\r\n{event}\r\n", event.len()),
            };
            if stream.write_all(part.as_bytes()).is_err() {
                return false;
            }
            run.made.fetch_add(1, Ordering::SeqCst);
        }
        if !self.behaviour.unframed {
            let _ = stream.write_all(b"0\r\n\r\n");
        }
        true
    }
}

/// Returns true if the other side has closed the channel: the replica then drops the request.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let result = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match result {
        Ok(count) => count == 0,
        Err(err) => err.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// The link between one machine and a replica, which can be cut.
pub struct Link {
    cut: AtomicBool,
    open: Mutex<Vec<(TcpStream, TcpStream)>>,
}

impl Link {
    /// Forwards connections to `gateway` at the replica's port.
    pub fn start(gateway: Ipv4Addr, target: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind((gateway, target.port())).expect("the address is free");
        let link = Arc::new(Self { cut: AtomicBool::new(false), open: Mutex::default() });
        let serving = link.clone();
        std::thread::spawn(move || {
            let _ = listener.set_nonblocking(true);
            while !serving.cut.load(Ordering::SeqCst) {
                let Ok((client, _)) = listener.accept() else {
                    sleep_ms(1);
                    continue;
                };
                let _ = client.set_nonblocking(false);
                let Ok(server) = TcpStream::connect(target) else { continue };
                for (from, to) in [(&client, &server), (&server, &client)] {
                    if let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) {
                        let _ = to.set_nodelay(true);
                        std::thread::spawn(move || forward(from, to));
                    }
                }
                serving.open.lock().unwrap().push((client, server));
            }
        });
        link
    }

    /// Cuts the link: its connections are reset, and new ones refused.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
        for (client, server) in self.open.lock().unwrap().drain(..) {
            for stream in [client, server] {
                reset_on_drop(&stream);
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream) {
    let mut part = [0; 16384];
    while let Ok(count) = from.read(&mut part) {
        if count == 0 || to.write_all(&part[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

/// Returns a config with a route of each kind. `engines` and `plain` are the services.
pub fn config(version: u64, engines: &str, plain: &str) -> String {
    let limits = r#"{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}"#;
    let route = |name: &str,
                 prefix: &str,
                 kind: &str,
                 timeout: u64,
                 goal: u64,
                 service: &str,
                 more: &str| {
        format!(
            r#"{{"name":"{name}","host":"ficu95.example","prefix":"{prefix}","kind":"{kind}","timeout-ms":{timeout},"latency-goal-ms":{goal},"priority":1,"service":"{service}","public":false{more}}}"#
        )
    };
    let streaming = r#","max-attempts":1,"sticky":true,"resumable":false,"gap-target-ms":180"#;
    let resumable = r#","max-attempts":2,"sticky":true,"resumable":true,"gap-target-ms":180"#;
    let routes = [
        route("r-long", "/lohu930/", "streaming", 39000, 1800, engines, streaming),
        route("r-short", "/pufi791/", "streaming", 6000, 1500, engines, resumable),
        route("r-merge", "/pule252/", "non_idempotent", 2000, 400, plain, r#","max-attempts":2"#),
        route("r-read", "/puxa403/", "idempotent", 2000, 400, plain, r#","max-attempts":2"#),
    ];
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"{engines}","health-path":"/health","max-conns":272,"protocol":"h1","tls":false,"engine":{{"slots":24,"kv-capacity-tokens":34304,"kv-token-bytes":35136,"link-mbps":5100.0,"migrations":true,"backups":true,"stride":4,"most":12,"pin-ms":4000.0,"hold-time-ms":2000.0,"handle-s":5.0,"models":[{{"name":"m"}}]}}}},{{"name":"{plain}","health-path":"/health","max-conns":100,"protocol":"h1","tls":false}}],"limits":{limits},"tenants":[{{"name":"huka270","api-keys":["xd9dnn2ctnfzs989anu6"],"priority":1}}]}}"#,
        routes.join(",")
    )
}
