//! The platform's store: rows, a change feed and transactions, without faults.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};
use std::{io, thread};

use crate::http::{Connection, Message};
use crate::json::{self, Json};

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    /// Value in base64, or none if the row was removed, and the version of the last write.
    rows: BTreeMap<Key, (Option<String>, u64)>,
    version: u64,
}

pub struct Store {
    pub addr: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    started_at: Instant,
}

impl Store {
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

    /// Writes a row, or removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let mut rows = self.rows.lock().expect("not poisoned");
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert(key, (value.map(|value| json::base64(value.as_bytes())), version));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut connection = Connection::new(stream);
        loop {
            let request = connection.request()?;
            let (status, body) = self.respond(&request);
            connection.respond(
                status,
                "Content-Type: application/json\r\nStore-Era: 1\r\n",
                &body,
            )?;
        }
    }

    fn respond(&self, request: &Message) -> (&'static str, String) {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, decode(value)))
            .collect();
        let value = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/-/rows-get" => {
                self.get(&value("table-name"), &value("part"), &value("from"), &value("to"))
            }
            "/-/rows-feed" => {
                let number = |name: &str| value(name).parse::<u64>().unwrap_or(0);
                self.feed(&value("table-name"), number("after-rev"), number("wait-ms"))
            }
            "/-/rows-tx" => self.transact(&json::parse(&request.body)),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn body(&self, records: &[String], version: u64) -> String {
        let time = self.started_at.elapsed().as_millis();
        let records = records.join(",");
        format!(
            r#"{{"records":[{records}],"has-more":false,"row-version":{version},"server-time-ms":{time}}}"#
        )
    }

    fn get(&self, table: &str, part: &str, from: &str, to: &str) -> (&'static str, String) {
        let rows = self.rows.lock().expect("not poisoned");
        let wanted = rows.rows.iter().filter(|((of, in_part, key), _)| {
            let key = key.as_str();
            of == table && in_part == part && key >= from && (to.is_empty() || key < to)
        });
        let records: Vec<String> =
            wanted.filter_map(|(key, row)| record(key, row, false)).collect();
        ("200 OK", self.body(&records, rows.version))
    }

    fn feed(&self, table: &str, after: u64, wait_ms: u64) -> (&'static str, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut rows = self.rows.lock().expect("not poisoned");
        if after > rows.version {
            return ("410 Gone", "{}".to_owned());
        }
        loop {
            let mut changed: Vec<_> =
                rows.rows.iter().filter(|((of, ..), row)| of == table && row.1 > after).collect();
            changed.sort_by_key(|(_, row)| row.1);
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let records: Vec<String> =
                    changed.into_iter().filter_map(|(key, row)| record(key, row, true)).collect();
                return ("200 OK", self.body(&records, rows.version));
            }
            rows = self.changed.wait_timeout(rows, left).expect("not poisoned").0;
        }
    }

    fn transact(&self, call: &Json) -> (&'static str, String) {
        let key = |row: &Json| {
            let text = |name: &str| row.get(name).text().to_owned();
            (text("table-name"), text("part"), text("key"))
        };
        let mut rows = self.rows.lock().expect("not poisoned");
        for expected in call.get("expected-rev").list() {
            let known = rows.rows.get(&key(expected)).filter(|row| row.0.is_some());
            if known.map_or(0, |row| row.1) != expected.get("row-version").number() as u64 {
                let body = self.body(&[], rows.version);
                return ("412 Precondition Failed", body);
            }
        }
        rows.version += 1;
        let version = rows.version;
        for row in call.get("writes").list() {
            rows.rows.insert(key(row), (Some(row.get("value").text().to_owned()), version));
        }
        for row in call.get("remove").list() {
            rows.rows.insert(key(row), (None, version));
        }
        self.changed.notify_all();
        ("200 OK", format!(r#"{{"row-version":{version},"server-time-ms":0}}"#))
    }
}

fn record(
    (table, part, key): &Key,
    (value, version): &(Option<String>, u64),
    feed: bool,
) -> Option<String> {
    let names =
        format!(r#""table-name":"{table}","part":"{part}","key":"{key}","row-version":{version}"#);
    match value {
        Some(value) => Some(format!(r#"{{{names},"value":"{value}"}}"#)),
        None => feed.then(|| format!(r#"{{{names},"deleted":true}}"#)),
    }
}

fn decode(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let [first, tail @ ..] = rest {
        let escaped = match (first, tail) {
            (b'%', [high, low, ..]) => {
                let digits = [*high, *low];
                std::str::from_utf8(&digits).ok().and_then(|hex| u8::from_str_radix(hex, 16).ok())
            }
            _ => None,
        };
        bytes.push(escaped.unwrap_or(*first));
        rest = if escaped.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
