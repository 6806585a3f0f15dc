//! Reads and writes HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Head and body of a request or a response.
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, position: usize) -> &str {
        self.first_line.split(' ').nth(position).unwrap_or_default()
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, ahead: Vec::new() }
    }

    /// Reads more bytes. Returns false at the end.
    fn fill(&mut self) -> io::Result<bool> {
        let mut buf = [0; 16 * 1024];
        let length = self.stream.read(&mut buf)?;
        self.ahead.extend_from_slice(&buf[..length]);
        Ok(length > 0)
    }

    /// Reads up to and including a line feed.
    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.ahead.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.ahead.drain(..length).collect())
    }

    /// Reads a head.
    pub fn head(&mut self) -> io::Result<Message> {
        let first_line = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else { break };
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        Ok(Message { first_line, headers, body: Vec::new() })
    }

    /// Reads a request with a body that states its length.
    pub fn request(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        let length = message.header("content-length").and_then(|length| length.parse().ok());
        message.body = self.exactly(length.unwrap_or(0))?;
        Ok(message)
    }

    /// Reads a chunk. Returns `None` at the last one.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?;
        let length = usize::from_str_radix(line.split(';').next().unwrap_or_default(), 16);
        let length = length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let bytes = self.exactly(length)?;
        self.line()?;
        Ok((length > 0).then_some(bytes))
    }

    /// Reads a body of a known length.
    pub fn body(&mut self, length: usize) -> io::Result<Vec<u8>> {
        self.exactly(length)
    }

    /// Writes a response with a body that states its length.
    pub fn respond(&mut self, status: &str, headers: &str, body: &str) -> io::Result<()> {
        let length = body.len();
        let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        self.stream.write_all(text.as_bytes())
    }

    /// Writes a part of a chunked body.
    pub fn write_chunk(&mut self, text: &str) -> io::Result<()> {
        let length = text.len();
        self.stream.write_all(format!("{length:x}\r\n{text}\r\n").as_bytes())
    }
}
