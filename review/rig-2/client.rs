//! A requester of streams.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::Connection;

/// A request, and for how long its requester waits.
#[derive(Clone, Debug)]
pub struct Asked {
    pub id: String,
    pub path: &'static str,
    pub tokens: String,
    /// `Length-Hint`.
    pub hint: Option<u32>,
    /// Size of the body, in bytes.
    pub body: usize,
    /// `Deadline-Ms`.
    pub limit: Duration,
    /// Gap after which the requester abandons the stream.
    pub patience: Duration,
}

/// What the requester has seen.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    /// When the last byte of the request was sent.
    pub sent_at: Instant,
    /// Status, if a head arrived.
    pub status: Option<u16>,
    /// Numbers of the events that arrived, in order.
    pub events: Vec<u64>,
    /// Whether the response arrived to its end.
    pub is_complete: bool,
    /// Whether the requester left.
    pub has_left: bool,
    /// How it ended.
    pub how: String,
    /// When it ended.
    pub ended_at: Instant,
}

/// Sends a request on a new channel and reads the response.
pub fn ask(front: SocketAddr, asked: &Asked) -> Seen {
    match open(front) {
        Ok(mut channel) => ask_on(&mut channel, asked),
        Err(err) => finish(Seen::new(asked), Err(err)),
    }
}

/// Opens a channel.
pub fn open(front: SocketAddr) -> io::Result<Connection> {
    Ok(Connection::new(TcpStream::connect_timeout(&front, Duration::from_secs(1))?))
}

/// Sends a request on a channel that may have been used before, and reads the response.
pub fn ask_on(channel: &mut Connection, asked: &Asked) -> Seen {
    let mut seen = Seen::new(asked);
    let result = read_response(channel, asked, &mut seen);
    finish(seen, result)
}

impl Seen {
    fn new(asked: &Asked) -> Self {
        Self {
            id: asked.id.clone(),
            sent_at: Instant::now(),
            status: None,
            events: Vec::new(),
            is_complete: false,
            has_left: false,
            how: String::new(),
            ended_at: Instant::now(),
        }
    }
}

fn finish(mut seen: Seen, result: io::Result<()>) -> Seen {
    seen.ended_at = Instant::now();
    seen.is_complete = result.is_ok();
    seen.how = match result {
        Ok(()) => "complete".to_owned(),
        Err(err) if matches!(err.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
            seen.has_left = true;
            "the requester leaves".to_owned()
        }
        Err(err) => format!("the channel ends: {err}"),
    };
    seen
}

fn read_response(connection: &mut Connection, asked: &Asked, seen: &mut Seen) -> io::Result<()> {
    let body = "x".repeat(asked.body);
    let hint = asked.hint.map_or(String::new(), |hint| format!("Length-Hint: {hint}\r\n"));
    let request = format!(
        "POST {} HTTP/1.1\r\nHost: calls.example\r\nAttempt-Id: {}\r\nModel: m\r\nToken-Usage: {}\r\nPrompt-Prefix: 5c1e07a2:48,{:x}:1200\r\nDeadline-Ms: {}\r\n{hint}Authorization: Token key-1\r\nContent-Length: {}\r\n\r\n{body}",
        asked.path,
        asked.id,
        asked.tokens,
        seen.id
            .bytes()
            .fold(7_u64, |hash, byte| hash.wrapping_mul(31).wrapping_add(u64::from(byte))),
        asked.limit.as_millis(),
        body.len()
    );
    connection.stream.write_all(request.as_bytes())?;
    seen.sent_at = Instant::now();
    let gives_up_at = seen.sent_at + asked.limit;
    let wait = |connection: &Connection| {
        let left = gives_up_at.saturating_duration_since(Instant::now());
        let left = left.min(asked.patience).max(Duration::from_millis(1));
        connection.stream.set_read_timeout(Some(left))
    };
    wait(connection)?;
    let head = connection.head()?;
    seen.status = head.word(1).parse().ok();
    if let Some(length) = head.header("content-length").and_then(|length| length.parse().ok()) {
        connection.body(length)?;
        return Ok(());
    }
    loop {
        wait(connection)?;
        let Some(chunk) = connection.chunk()? else { return Ok(()) };
        let text = String::from_utf8_lossy(&chunk).into_owned();
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        seen.events.extend(ids.filter_map(|id| id.parse::<u64>().ok()));
    }
}
