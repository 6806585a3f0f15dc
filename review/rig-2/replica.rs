//! A model replica as a process of its own, so that it can be killed: `rig replica PORT ID`. Its answers have no
//! length and end with their channels.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::Connection;
use crate::record::Record;

/// Time between two events: four steps of seven milliseconds, and some more for other requests.
const EVENT_INTERVAL: Duration = Duration::from_millis(30);

/// A replica's process.
pub struct Replica {
    pub addr: SocketAddr,
    child: Child,
    born_ms: u64,
}

impl Replica {
    /// Starts a replica on an address, and writes to the record what it prints.
    pub fn start(id: &str, addr: SocketAddr, record: &Arc<Record>) -> io::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["replica", &addr.port().to_string(), id])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let (output, record) = (child.stdout.take(), record.clone());
        thread::spawn(move || {
            for line in BufReader::new(output.expect("a pipe")).lines().map_while(Result::ok) {
                record.line(&line);
            }
        });
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
        Ok(Self { addr, child, born_ms: now.as_millis() as u64 })
    }

    /// Returns the entry in the store.
    pub fn entry(&self, sequence: u64) -> String {
        format!(
            r#"{{"service":"camphor-fleet","address":"{}","zone":"khomas-a","version":"v1","slots":24,"state":"ready","cold-left-ms":0,"stage":"unified","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence},"born":{}}}"#,
            self.addr, self.born_ms
        )
    }

    /// Crashes.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs a replica until it is killed.
pub fn run(port: &str, id: &str) -> io::Result<()> {
    let port: u16 = port.parse().map_err(io::Error::other)?;
    let listener = TcpListener::bind(("127.0.0.1", port))?;
    // The input ends with the process that started this one.
    thread::spawn(|| {
        let _ = io::copy(&mut io::stdin(), &mut io::sink());
        std::process::exit(0);
    });
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        thread::spawn(move || serve(stream, &id));
    }
    Ok(())
}

fn serve(stream: TcpStream, id: &str) -> io::Result<()> {
    let mut connection = Connection::new(stream);
    loop {
        let request = connection.request()?;
        let load = "Replica-Load: 1,0,24\r\n";
        match request.word(1) {
            "/health" => {
                connection.respond("200 OK", &format!("{load}Replica-Id: {id}\r\n"), "")?;
                continue;
            }
            "/-/report" => {
                let body = r#"{"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":1,"kv-used":4000,"kv-total":34304,"handles":0,"next":0,"state":"ready","active-runs":[]}"#;
                let headers = format!("{load}Content-Type: application/json\r\n");
                connection.respond("200 OK", &headers, body)?;
                continue;
            }
            _ => {}
        }
        let call = request.header("attempt-id").unwrap_or_default().to_owned();
        if request.header("expect-replica").is_some_and(|expected| expected != id) {
            return connection.respond(
                "421 Misdirected Request",
                &format!("Replica-Id: {id}\r\n"),
                "",
            );
        }
        // The tests name the number of events, which only the model knows, in the query.
        let events = request.word(1).split_once('=').and_then(|(_, count)| count.parse().ok());
        let after = request.header("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
        thread::sleep(Duration::from_millis(100));
        println!("{call}: {id} runs it, after event {after}");
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {call}\r\nReplica-Seal: {id}.{call}\r\n{load}Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
        );
        connection.stream.write_all(head.as_bytes())?;
        for event in after + 1..=events.unwrap_or(1) {
            connection
                .stream
                .write_all(format!("id: {event}\ndata: {call}-{event}\n\n").as_bytes())?;
            thread::sleep(EVENT_INTERVAL);
        }
        println!("{call}: its run at {id} ends: complete");
        return Ok(());
    }
}
