//! A model replica: prefills prompts one after another, writes events, copies the memory of runs to other
//! replicas and goes on from copies, as the users' pages describe it.

use std::collections::{HashMap, HashSet};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json;
use crate::record::Record;

/// Slots, memory in tokens, tokens per event, bytes per token and megabits per second of the sheet.
const SLOTS: usize = 24;
const MEMORY_TOKENS: u64 = 34_304;
const STRIDE: u64 = 4;
const TOKEN_BYTES: f64 = 35_136.0;
const LINK_MBPS: f64 = 5_100.0;
/// Prompt tokens that are read in a millisecond.
const PREFILL_PER_MS: u64 = 14;
/// Duration of a step, which makes one token of each running request.
const STEP: Duration = Duration::from_millis(7);
/// The same, more for each running request.
const STEP_PER_SLOT: Duration = Duration::from_micros(120);
/// Fixed time of a copy.
const COPY_SETUP: Duration = Duration::from_micros(310);

struct Run {
    prompt: u64,
    events: u64,
    total: u64,
    stopped: bool,
    copying: bool,
}

impl Run {
    fn tokens(&self) -> u64 {
        self.prompt + self.events * STRIDE
    }
}

/// Memory of a run that was copied, by the address of its source and the handle.
#[derive(Clone)]
struct Copied {
    call: String,
    tokens: u64,
}

#[derive(Default)]
struct State {
    runs: HashMap<String, Run>,
    copies: HashMap<String, Copied>,
    /// Tokens of a run that were copied to another replica.
    copied_to: HashMap<(String, SocketAddr), u64>,
    used_handles: HashSet<String>,
    next_handle: u64,
    prefill_free_at: Option<Instant>,
    link_free_at: Option<Instant>,
    leaves_at: Option<Instant>,
    open: Vec<TcpStream>,
}

impl State {
    fn used(&self) -> u64 {
        let runs = self.runs.values().map(Run::tokens).sum::<u64>();
        runs + self.copies.values().map(|copy| copy.tokens).sum::<u64>()
    }
}

/// What all replicas of a test share.
#[derive(Default)]
pub struct Fleet {
    engines: Mutex<HashMap<SocketAddr, Arc<Engine>>>,
    /// Number of events of each request, which only the model knows.
    pub lengths: Mutex<HashMap<String, u64>>,
}

pub struct Engine {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: String,
    born_ms: u64,
    state: Mutex<State>,
    gone: AtomicBool,
    /// Number of calls for the last copy of a run that it turns away.
    sheds: AtomicUsize,
    fleet: Arc<Fleet>,
    record: Arc<Record>,
}

impl Engine {
    pub fn start(id: &str, zone: &str, fleet: &Arc<Fleet>, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let engine = Arc::new(Self {
            id: id.to_owned(),
            addr: listener.local_addr().expect("an address"),
            zone: zone.to_owned(),
            born_ms: now.expect("a time after 1970").as_millis() as u64,
            state: Mutex::default(),
            gone: AtomicBool::new(false),
            sheds: AtomicUsize::new(0),
            fleet: fleet.clone(),
            record: record.clone(),
        });
        fleet.engines.lock().expect("not poisoned").insert(engine.addr, engine.clone());
        let serving = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.gone.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(open) = stream.try_clone() {
                    serving.state.lock().expect("not poisoned").open.push(open);
                }
                let engine = serving.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    /// Turns away the next calls for the last copy of a run.
    pub fn shed_last_copies(&self, count: usize) {
        self.sheds.store(count, Ordering::SeqCst);
    }

    /// Returns the entry in the store.
    pub fn entry(&self, sequence: u64) -> String {
        let state = if self.leaves_in().is_some() { "draining" } else { "ready" };
        format!(
            r#"{{"service":"camphor-fleet","address":"{}","zone":"{}","version":"v1","slots":{SLOTS},"state":"{state}","cold-left-ms":0,"stage":"unified","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence},"born":{}}}"#,
            self.addr, self.zone, self.born_ms
        )
    }

    /// Begins to leave: the replica exits after `time`.
    pub fn drain(self: &Arc<Self>, time: Duration) {
        self.state.lock().expect("not poisoned").leaves_at = Some(Instant::now() + time);
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(time);
            engine.gone.store(true, Ordering::SeqCst);
            let state = engine.state.lock().expect("not poisoned");
            state.open.iter().for_each(|open| drop(open.shutdown(Shutdown::Both)));
            engine.record.line(&format!("replica {} has left", engine.id));
            // Ends the listener.
            drop(TcpStream::connect(engine.addr));
        });
    }

    fn leaves_in(&self) -> Option<Duration> {
        let at = self.state.lock().expect("not poisoned").leaves_at;
        at.map(|at| at.saturating_duration_since(Instant::now()))
    }

    /// Returns true if its process has ended.
    pub fn has_left(&self) -> bool {
        self.gone.load(Ordering::SeqCst)
    }

    /// Number of requests that run.
    pub fn running(&self) -> usize {
        self.state.lock().expect("not poisoned").runs.len()
    }

    fn own_headers(&self) -> String {
        let running = self.running();
        let leaving = if self.leaves_in().is_some() { "Server-Leaving: 1\r\n" } else { "" };
        format!("{leaving}Replica-Load: {running},0,{SLOTS}\r\n")
    }

    fn serve(self: Arc<Self>, stream: TcpStream) -> io::Result<()> {
        let mut connection = Connection::new(stream);
        loop {
            let request = connection.request()?;
            let path = request.word(1).to_owned();
            let own = self.own_headers();
            match path.as_str() {
                "/health" => {
                    let headers = format!("{own}Replica-Id: {}\r\n", self.id);
                    connection.respond("200 OK", &headers, "")?;
                }
                "/-/report" => {
                    let headers = format!("{own}Content-Type: application/json\r\n");
                    connection.respond("200 OK", &headers, &self.report())?;
                }
                "/-/kv-move" => {
                    let call = json::parse(&request.body);
                    let sheds = || {
                        self.sheds
                            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1))
                    };
                    if call.get("last").is_true() && sheds().is_ok() {
                        let text = call.get("id").text();
                        self.record.line(&format!("{text}: {} sheds the last move", self.id));
                        let headers = format!("{own}Not-Executed: 1\r\n");
                        connection.respond("503 Service Unavailable", &headers, "")?;
                        continue;
                    }
                    let (status, body) = self.copy(&call);
                    let headers = format!("{own}Content-Type: application/json\r\n");
                    connection.respond(status, &headers, &body)?;
                }
                path if path.starts_with("/-/kv-handle/") => {
                    let handle = format!("{}/{}", self.addr, &path["/-/kv-handle/".len()..]);
                    for engine in self.fleet.engines.lock().expect("not poisoned").values() {
                        engine.state.lock().expect("not poisoned").copies.remove(&handle);
                    }
                    connection.respond("200 OK", &own, "")?;
                }
                _ => return self.stream(connection, &request),
            }
        }
    }

    fn report(&self) -> String {
        let leaves = self.leaves_in();
        let state = self.state.lock().expect("not poisoned");
        let runs: Vec<String> = state
            .runs
            .iter()
            .map(|(call, run)| format!(r#"["{call}",{},{},5]"#, run.tokens(), run.events))
            .collect();
        let (word, leaves_ms) = match leaves {
            Some(left) => ("draining", format!(r#","leaves_ms":{}"#, left.as_millis())),
            None => ("ready", String::new()),
        };
        format!(
            r#"{{"stage":"unified","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":0,"waiting":0,"running":{},"kv-used":{},"kv-total":{MEMORY_TOKENS},"handles":{},"next":0,"state":"{word}"{leaves_ms},"active-runs":[{}]}}"#,
            runs.len(),
            state.used(),
            state.copies.len(),
            runs.join(",")
        )
    }

    /// Copies the memory of a run to another replica, behind other copies on both links. The last copy stops
    /// the run first.
    fn copy(&self, call: &json::Json) -> (&'static str, String) {
        let id = call.get("id").text().to_owned();
        let Ok(to) = call.get("to").text().parse::<SocketAddr>() else {
            return ("400 Bad Request", String::new());
        };
        let target = self.fleet.engines.lock().expect("not poisoned").get(&to).cloned();
        let (tokens, events, handle) = {
            let mut guard = self.state.lock().expect("not poisoned");
            let state = &mut *guard;
            let Some(run) = state.runs.get_mut(&id) else {
                return ("404 Not Found", String::new());
            };
            if run.copying {
                return ("409 Conflict", String::new());
            }
            run.copying = true;
            run.stopped |= call.get("last").is_true();
            state.next_handle += 1;
            (run.tokens(), run.events, format!("h{}", state.next_handle))
        };
        let Some(target) = target.filter(|target| !target.gone.load(Ordering::SeqCst)) else {
            self.end_copy(&id);
            return (
                "503 Service Unavailable",
                format!(r#"{{"handle":"{handle}","created":{events}}}"#),
            );
        };
        let known = {
            let state = self.state.lock().expect("not poisoned");
            state.copied_to.get(&(id.clone(), to)).copied().unwrap_or(0)
        };
        let new = tokens.saturating_sub(known);
        let factor = if self.zone == target.zone { 1.0 } else { 2.0 };
        let seconds = new as f64 * TOKEN_BYTES * 8.0 / (LINK_MBPS * 1e6) * factor;
        let (mut own, mut other) = match self.addr < to {
            true => {
                let own = self.state.lock().expect("not poisoned");
                (own, target.state.lock().expect("not poisoned"))
            }
            false => {
                let other = target.state.lock().expect("not poisoned");
                (self.state.lock().expect("not poisoned"), other)
            }
        };
        let busy = other.runs.len() + other.copies.len();
        if known == 0 && (busy >= SLOTS || other.used() + tokens > MEMORY_TOKENS) {
            drop((own, other));
            self.end_copy(&id);
            let body = format!(r#"{{"handle":"{handle}","created":{events}}}"#);
            return ("503 Service Unavailable", body);
        }
        let now = Instant::now();
        let begins_at =
            now.max(own.link_free_at.unwrap_or(now)).max(other.link_free_at.unwrap_or(now));
        let ends_at = begins_at + COPY_SETUP + Duration::from_secs_f64(seconds);
        (own.link_free_at, other.link_free_at) = (Some(ends_at), Some(ends_at));
        own.copied_to.insert((id.clone(), to), tokens);
        let copied = Copied { call: id.clone(), tokens };
        let key = format!("{}/{handle}", self.addr);
        other.copies.retain(|_, known| known.call != id);
        other.copies.insert(key.clone(), copied.clone());
        drop((own, other));
        thread::sleep(ends_at.saturating_duration_since(Instant::now()));
        self.end_copy(&id);
        ("200 OK", format!(r#"{{"handle":"{handle}","created":{events}}}"#))
    }

    fn end_copy(&self, id: &str) {
        if let Some(run) = self.state.lock().expect("not poisoned").runs.get_mut(id) {
            run.copying = false;
        }
    }

    /// Answers a stream.
    fn stream(&self, mut connection: Connection, request: &Message) -> io::Result<()> {
        let id = request.header("attempt-id").unwrap_or_default().to_owned();
        let own = self.own_headers();
        self.record.arrived(&id, &self.id);
        if request.header("expect-replica").is_some_and(|expected| expected != self.id) {
            return connection.respond(
                "421 Misdirected Request",
                &format!("{own}Replica-Id: {}\r\n", self.id),
                "",
            );
        }
        let after: u64 =
            request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let usage = request.header("token-usage").unwrap_or_default();
        let prompt: u64 = usage.split(',').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        let refused = format!("{own}Not-Executed: 1\r\n");
        let total = self.fleet.lengths.lock().expect("not poisoned").get(&id).copied().unwrap_or(1);
        let first_at = {
            let mut state = self.state.lock().expect("not poisoned");
            let mut unread = prompt + after * STRIDE;
            if let Some(from) = request.header("kv-from") {
                let copy = state.copies.remove(from).filter(|copy| copy.call == id);
                let Some(copy) = copy.filter(|_| state.used_handles.insert(from.to_owned())) else {
                    drop(state);
                    self.record.line(&format!("{id}: {} has no copy {from}", self.id));
                    return connection.respond("503 Service Unavailable", &refused, "");
                };
                unread = unread.saturating_sub(copy.tokens);
            } else if state.runs.len() >= SLOTS || state.used() + prompt > MEMORY_TOKENS {
                drop(state);
                return connection.respond("503 Service Unavailable", &refused, "");
            }
            let now = Instant::now();
            let first_at = now.max(state.prefill_free_at.unwrap_or(now))
                + Duration::from_millis(unread / PREFILL_PER_MS);
            state.prefill_free_at = Some(first_at);
            let run = Run { prompt, events: after, total, stopped: false, copying: false };
            state.runs.insert(id.clone(), run);
            first_at
        };
        thread::sleep(first_at.saturating_duration_since(Instant::now()));
        self.record.line(&format!("{id}: {} runs it, after event {after}", self.id));
        let ended = self.write_events(&mut connection, &id, &own);
        self.state.lock().expect("not poisoned").runs.remove(&id);
        let how = match &ended {
            Ok(how) => (*how).to_owned(),
            Err(err) => format!("left by its caller: {err}"),
        };
        self.record.ended(&id, &self.id, &how);
        drop(connection.stream.shutdown(Shutdown::Both));
        Ok(())
    }

    fn write_events(
        &self,
        connection: &mut Connection,
        id: &str,
        own: &str,
    ) -> io::Result<&'static str> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nReplica-Seal: {}.{id}\r\n{own}Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        connection.stream.write_all(head.as_bytes())?;
        loop {
            let (event, stopped, others) = {
                let mut state = self.state.lock().expect("not poisoned");
                let others = state.runs.len() as u32;
                let Some(run) = state.runs.get_mut(id) else { return Ok("lost") };
                if !run.stopped && run.events < run.total {
                    run.events += 1;
                    (Some(run.events), false, others)
                } else {
                    (None, run.stopped, others)
                }
            };
            match event {
                Some(event) => {
                    connection.write_chunk(&format!("id: {event}\ndata: {}-{event}\n\n", id))?;
                    thread::sleep((STEP + STEP_PER_SLOT * others) * STRIDE as u32);
                }
                // A stopped run is closed without its end.
                None if stopped => return Ok("stopped by a move"),
                None => {
                    connection.stream.write_all(b"0\r\n\r\n")?;
                    return Ok("complete");
                }
            }
            if self.gone.load(Ordering::SeqCst) {
                return Ok("cut off by the exit of its replica");
            }
        }
    }
}
