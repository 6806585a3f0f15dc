//! Requesters.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::config::{AUTHORITY, KEY};
use crate::http::{Channel, describe};
use crate::record::Record;

/// Answer to a request, as its requester saw it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub sent_at: Instant,
    pub status: Option<u16>,
}

/// Returns the bytes of a request.
pub fn request(method: &str, path: &str, attempt: &str, deadline_ms: u64, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {AUTHORITY}\r\nAttempt-Id: {attempt}\r\n\
         Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {KEY}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the bytes of a request for a stream, with further headers.
pub fn stream_request(
    path: &str,
    attempt: &str,
    deadline_ms: u64,
    headers: &str,
    body: &str,
) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {AUTHORITY}\r\nAttempt-Id: {attempt}\r\nModel: m\r\n\
         Token-Usage: 1000,400\r\nDeadline-Ms: {deadline_ms}\r\nAuthorization: Token {KEY}\r\n\
         {headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request on a channel of its own, and waits for its answer.
pub fn send(
    to: SocketAddr,
    method: &str,
    path: &str,
    attempt: &str,
    deadline_ms: u64,
    record: &Record,
) -> Answer {
    let sent_at = Instant::now();
    let until = sent_at + Duration::from_millis(deadline_ms);
    let exchange = || {
        let mut channel = Channel::open(to)?;
        let body = if method == "POST" { "a merge" } else { "" };
        channel.send(request(method, path, attempt, deadline_ms, body).as_bytes())?;
        channel.receive(until)
    };
    let (status, text) = match exchange() {
        Ok(response) => {
            let status = response.head.status();
            (Some(status), format!("{status} {}", String::from_utf8_lossy(&response.body).trim()))
        }
        Err(err) => (None, describe(&err).to_owned()),
    };
    record.line(&format!("{attempt} sent at {:.3} s: {text}", record.seconds(sent_at)));
    Answer { sent_at, status }
}
