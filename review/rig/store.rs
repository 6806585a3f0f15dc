//! Stand-in for the platform's store: rows, transactions and the feed of changes.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::base::{base64, note};
use crate::json::{self, Json};

/// Largest number of rows in an answer.
const MAX_ROWS: usize = 500;
/// Largest size of the rows in an answer.
const MAX_BYTES: usize = 1_000_000;

/// A received request.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

/// Reads a request with a body of known length. Returns `None` at the end of the connection.
pub fn read_request(stream: &mut TcpStream) -> Option<Request> {
    let mut buf = Vec::new();
    let mut part = [0; 4096];
    let end = loop {
        if let Some(end) = buf.windows(4).position(|end| end == b"\r\n\r\n") {
            break end + 4;
        }
        let count = stream.read(&mut part).ok().filter(|count| *count > 0)?;
        buf.extend_from_slice(&part[..count]);
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let mut lines = head.lines();
    let mut first = lines.next()?.split(' ');
    let (method, path) = (first.next()?.to_owned(), first.next()?.to_owned());
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let mut request = Request { method, path, headers, body: buf[end..].to_vec() };
    let length = request.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while request.body.len() < length {
        let count = stream.read(&mut part).ok().filter(|count| *count > 0)?;
        request.body.extend_from_slice(&part[..count]);
    }
    Some(request)
}

/// A row: its value, `None` if it was removed, and the version of its last change.
type Rows = BTreeMap<(String, String), (Option<String>, u64)>;

#[derive(Clone, Default)]
struct State {
    rows: Rows,
    version: u64,
    era: u64,
}

/// An older copy of the rows.
pub struct Copy(State);

pub struct Store {
    pub addr: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let state = Mutex::new(State { version: 100, ..State::default() });
        let store = Arc::new(Self { addr, state, changed: Condvar::new() });
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(base64(value.as_bytes())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    pub fn copy(&self) -> Copy {
        Copy(self.state.lock().unwrap().clone())
    }

    /// Comes back from an older copy: versions are given out again, and the era rises by one.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.state.lock().unwrap();
        let era = state.era + 1;
        *state = State { era, ..copy.0 };
        note(&format!("store: back from an older copy, Store-Era {era}"));
        drop(state);
        self.changed.notify_all();
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.to_owned(), key.to_owned()), (value, version));
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Some(request) = read_request(&mut stream) {
            let (status, body) = self.respond(&request);
            let era = self.state.lock().unwrap().era;
            let response = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Request) -> (u16, String) {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let param = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next();
            percent_decoded(found.unwrap_or_default())
        };
        match path {
            "/-/rows-get" => {
                let (table, from, to) = (param("table-name"), param("from"), param("to"));
                let state = self.state.lock().unwrap();
                let found = state.rows.iter().filter(|((t, key), (value, _))| {
                    *t == table && *key >= from && (to.is_empty() || *key < to) && value.is_some()
                });
                // An answer holds at most 500 rows or 1 MB.
                let (mut records, mut bytes, mut has_more) = (Vec::new(), 0, false);
                for (key, row) in found {
                    let text = record(key, row);
                    bytes += text.len();
                    if records.len() == MAX_ROWS || !records.is_empty() && bytes > MAX_BYTES {
                        has_more = true;
                        break;
                    }
                    records.push(text);
                }
                let body = format!(
                    r#"{{"records":[{}],"has-more":{has_more},"row-version":{},"server-time-ms":1}}"#,
                    records.join(","),
                    state.version
                );
                (200, body)
            }
            "/-/rows-feed" => {
                let number = |name: &str| param(name).parse::<u64>().unwrap_or(0);
                self.feed(&param("table-name"), number("after-rev"), number("wait-ms"))
            }
            "/-/rows-tx" => self.transact(&json::parse(&request.body)),
            _ => (404, "{}".to_owned()),
        }
    }

    fn feed(&self, table: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            if after > state.version {
                return (410, "{}".to_owned());
            }
            let mut found: Vec<_> = state
                .rows
                .iter()
                .filter(|((t, _), (_, version))| t == table && *version > after)
                .collect();
            found.sort_by_key(|(_, (_, version))| *version);
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let records: Vec<String> =
                    found.iter().map(|(key, row)| record(key, row)).collect();
                let body = format!(
                    r#"{{"records":[{}],"row-version":{},"server-time-ms":1}}"#,
                    records.join(","),
                    state.version
                );
                return (200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, call: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        for expected in call.get("expected-rev").list() {
            let key = row_key(expected);
            let known = state.rows.get(&key).filter(|(value, _)| value.is_some());
            if known.map_or(0, |(_, version)| *version) != expected.get("row-version").number() {
                return (412, r#"{"records":[]}"#.to_owned());
            }
        }
        state.version += 1;
        let version = state.version;
        for row in call.get("writes").list() {
            let value = Some(row.get("value").text().to_owned());
            state.rows.insert(row_key(row), (value, version));
        }
        for row in call.get("remove").list() {
            state.rows.insert(row_key(row), (None, version));
        }
        drop(state);
        self.changed.notify_all();
        (200, format!(r#"{{"row-version":{version},"server-time-ms":1}}"#))
    }
}

fn percent_decoded(text: &str) -> String {
    let (bytes, mut out, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
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

fn row_key(row: &Json) -> (String, String) {
    (row.get("table-name").text().to_owned(), row.get("key").text().to_owned())
}

fn record((table, key): &(String, String), (value, version): &(Option<String>, u64)) -> String {
    match value {
        Some(value) => format!(
            r#"{{"table-name":"{table}","part":"","key":"{key}","value":"{value}","row-version":{version}}}"#
        ),
        None => format!(
            r#"{{"table-name":"{table}","part":"","key":"{key}","value":null,"row-version":{version},"deleted":true}}"#
        ),
    }
}
