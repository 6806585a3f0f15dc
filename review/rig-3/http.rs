//! HTTP/1.1 as the stand-ins need it: heads, bodies with a length or in chunks.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Head of a request or response: its first line and its headers.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the first value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, at: usize) -> &str {
        self.line.split(' ').nth(at).unwrap_or_default()
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A message with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub head: Head,
    pub body: Vec<u8>,
}

fn invalid(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

fn read_line<R: BufRead>(rx: &mut R) -> io::Result<String> {
    let mut line = Vec::new();
    if rx.read_until(b'\n', &mut line)? == 0 || line.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    while line.last().is_some_and(|byte| b"\r\n".contains(byte)) {
        line.pop();
    }
    String::from_utf8(line).map_err(|_| invalid("not text"))
}

/// Reads a head.
pub fn read_head<R: BufRead>(rx: &mut R) -> io::Result<Head> {
    let line = read_line(rx)?;
    let mut headers = Vec::new();
    loop {
        let header = read_line(rx)?;
        if header.is_empty() {
            return Ok(Head { line, headers });
        }
        let (name, value) = header.split_once(':').ok_or_else(|| invalid("not a header"))?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads the next part of a body in chunks; an empty one is the end.
pub fn read_chunk<R: BufRead>(rx: &mut R) -> io::Result<Vec<u8>> {
    let size = read_line(rx)?;
    let size = usize::from_str_radix(size.split(';').next().unwrap_or_default().trim(), 16);
    let size = size.map_err(|_| invalid("not a chunk"))?;
    let mut chunk = vec![0; size];
    rx.read_exact(&mut chunk)?;
    while !read_line(rx)?.is_empty() {}
    Ok(chunk)
}

/// Reads the body that belongs to a head. One without a length or chunks is empty.
pub fn read_body<R: BufRead>(rx: &mut R, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        loop {
            let chunk = read_chunk(rx)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend_from_slice(&chunk);
        }
    }
    let length = head.get("content-length").map_or(Ok(0), str::parse);
    body.resize(length.map_err(|_| invalid("not a length"))?, 0);
    rx.read_exact(&mut body)?;
    Ok(body)
}

/// Reads a message.
pub fn read_message<R: BufRead>(rx: &mut R) -> io::Result<Message> {
    let head = read_head(rx)?;
    let body = read_body(rx, &head)?;
    Ok(Message { head, body })
}

/// Writes a response with a length.
pub fn respond(
    tx: &mut TcpStream,
    status: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    tx.write_all(&out)
}

/// A channel of a requester, kept open for further requests.
pub struct Channel {
    rx: BufReader<TcpStream>,
}

impl Channel {
    /// Opens a channel within a second, as requesters do.
    pub fn open(to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self { rx: BufReader::new(stream) })
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.rx.get_mut().write_all(bytes)
    }

    /// Reads a response for as long as `until`.
    pub fn receive(&mut self, until: Instant) -> io::Result<Message> {
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        self.rx.get_ref().set_read_timeout(Some(left))?;
        read_message(&mut self.rx)
    }

    /// Returns the reader, for a response that is read in parts.
    pub fn reader(&mut self) -> &mut BufReader<TcpStream> {
        &mut self.rx
    }
}

/// Returns the kind of an error as a short text for the record.
pub fn describe(err: &io::Error) -> &'static str {
    match err.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => "no answer in time",
        io::ErrorKind::UnexpectedEof => "channel closed",
        io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe => "channel reset",
        io::ErrorKind::ConnectionRefused => "no connection",
        _ => "failed",
    }
}
