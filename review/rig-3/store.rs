//! The platform's store: rows in tables with a single counter of versions, a feed of changes, transactions.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_message, respond};
use crate::json::{Json, number, object, text};

type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<RowKey, (Vec<u8>, u64)>,
    /// Versions at which rows were removed.
    removed: BTreeMap<RowKey, u64>,
    version: u64,
}

impl Rows {
    fn write(&mut self, key: RowKey, value: Vec<u8>) {
        self.removed.remove(&key);
        self.rows.insert(key, (value, self.version));
    }

    fn remove(&mut self, key: RowKey) {
        if self.rows.remove(&key).is_some() {
            self.removed.insert(key, self.version);
        }
    }
}

/// The store.
pub struct Store {
    pub addr: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    started_at: Instant,
}

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Self {
            addr: listener.local_addr().expect("an address"),
            rows: Mutex::default(),
            changed: Condvar::new(),
            started_at: Instant::now(),
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row with an empty `part`, as the operator, a replica or another writer.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().expect("no panic");
        rows.version += 1;
        rows.write(row_key(table, "", key), value.as_bytes().to_vec());
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(read) = stream.try_clone() else { return };
        let mut rx = BufReader::new(read);
        while let Ok(req) = read_message(&mut rx) {
            let target = req.head.word(1).to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let query = parse_query(query);
            let (status, reply) = match (req.head.word(0), path) {
                ("GET", "/-/rows-get") => ("200 OK", self.read(&query)),
                ("GET", "/-/rows-feed") => ("200 OK", self.feed(&query)),
                ("POST", "/-/rows-tx") => {
                    let body = String::from_utf8_lossy(&req.body).into_owned();
                    self.transact(&Json::parse(&body).unwrap_or(Json::Null))
                }
                _ => ("404 Not Found", Json::Null),
            };
            if respond_json(&mut stream, status, &reply).is_err() {
                return;
            }
        }
    }

    fn reply(&self, rows: &Rows, records: Vec<Json>) -> Json {
        let time_ms = self.started_at.elapsed().as_millis() as u64;
        object(&[
            ("records", Json::List(records)),
            ("has-more", Json::Bool(false)),
            ("row-version", number(rows.version)),
            ("server-time-ms", number(time_ms)),
        ])
    }

    fn read(&self, query: &BTreeMap<String, String>) -> Json {
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, from, to) =
            (field("table-name"), field("part"), field("from"), field("to"));
        let rows = self.rows.lock().expect("no panic");
        let matching = rows.rows.iter().filter(|((of, within, key), _)| {
            *of == table && *within == part && *key >= from && (to.is_empty() || *key < to)
        });
        let records = matching.map(|(key, (value, version))| record(key, Some(value), *version));
        let records = records.collect();
        self.reply(&rows, records)
    }

    fn feed(&self, query: &BTreeMap<String, String>) -> Json {
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        let table = field("table-name");
        let after: u64 = field("after-rev").parse().unwrap_or(0);
        let wait = Duration::from_millis(field("wait-ms").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut rows = self.rows.lock().expect("no panic");
        loop {
            let written = rows.rows.iter().map(|(key, (value, at))| (*at, key, Some(value)));
            let removed = rows.removed.iter().map(|(key, at)| (*at, key, None));
            let changes = written.chain(removed);
            let mut changes: Vec<_> =
                changes.filter(|(at, key, _)| *at > after && key.0 == table).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                changes.sort_by_key(|(at, ..)| *at);
                let records = changes.iter().map(|(at, key, value)| record(key, *value, *at));
                let records = records.collect();
                return self.reply(&rows, records);
            }
            rows = self.changed.wait_timeout(rows, left).expect("no panic").0;
        }
    }

    fn transact(&self, body: &Json) -> (&'static str, Json) {
        let list = |name: &str| body.get(name).map_or(&[][..], Json::list).to_vec();
        let mut rows = self.rows.lock().expect("no panic");
        let version_of = |rows: &Rows, row: &Json| {
            rows.rows.get(&key_of(row)).map_or(0, |(_, version)| *version)
        };
        let expected = list("expected-rev");
        let holds = expected.iter().all(|row| {
            let version = row.get("row-version").and_then(Json::number).unwrap_or(0.0) as u64;
            version_of(&rows, row) == version
        });
        if !holds {
            let known = expected.iter().filter_map(|row| {
                let key = key_of(row);
                rows.rows.get(&key).map(|(value, version)| record(&key, Some(value), *version))
            });
            let known = known.collect();
            return ("412 Precondition Failed", self.reply(&rows, known));
        }
        rows.version += 1;
        for row in list("writes") {
            let value = row.get("value").and_then(Json::text).unwrap_or_default();
            rows.write(key_of(&row), from_base64(value));
        }
        for row in list("remove") {
            rows.remove(key_of(&row));
        }
        self.changed.notify_all();
        ("200 OK", self.reply(&rows, Vec::new()))
    }
}

fn respond_json(tx: &mut TcpStream, status: &str, body: &Json) -> io::Result<()> {
    let json = ("Content-Type", "application/json".to_owned());
    respond(tx, status, &[json], body.to_string().as_bytes())
}

fn row_key(table: &str, part: &str, key: &str) -> RowKey {
    (table.to_owned(), part.to_owned(), key.to_owned())
}

fn key_of(row: &Json) -> RowKey {
    let field = |name: &str| row.get(name).and_then(Json::text).unwrap_or_default();
    row_key(field("table-name"), field("part"), field("key"))
}

fn record((table, part, key): &RowKey, value: Option<&Vec<u8>>, version: u64) -> Json {
    let mut members = vec![
        ("table-name", text(table)),
        ("part", text(part)),
        ("key", text(key)),
        ("row-version", number(version)),
    ];
    members.push(match value {
        Some(value) => ("value", text(&to_base64(value))),
        None => ("deleted", Json::Bool(true)),
    });
    object(&members)
}

fn parse_query(query: &str) -> BTreeMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), decode(value))).collect()
}

/// Decodes percent escapes.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        let escaped = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], escaped) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - part.len()));
        for digit in 0..4 {
            let value = word >> (18 - 6 * digit) & 63;
            out.push(if digit <= part.len() { DIGITS[value as usize] as char } else { '=' });
        }
    }
    out
}

fn from_base64(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text
        .bytes()
        .filter_map(|byte| DIGITS.iter().position(|digit| *digit == byte))
        .map(|value| value as u32)
        .collect();
    let mut out = Vec::new();
    for part in digits.chunks(4) {
        let word = part.iter().fold(0, |word, digit| word << 6 | digit);
        let word = word << (6 * (4 - part.len()));
        out.extend((0..part.len().saturating_sub(1)).map(|at| (word >> (16 - 8 * at)) as u8));
    }
    out
}
