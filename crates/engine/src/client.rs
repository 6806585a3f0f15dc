//! HTTP client of the engine protocol.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use camphorloft_http::client::{Deadlines, is_not_sent, pooled_agent, unpooled_agent};
use camphorloft_http::event_reader::{EventReader, event_data};
use camphorloft_types::prelude::{Attempt, GenerationId};
use quick_error::quick_error;
use ureq::http::Response;
use ureq::{Agent, Body, BodyReader};

use crate::command::ModelCommand;
use crate::completion::{Chunk, CompletionBody, DONE};
use crate::load_report::{CacheEvents, LoadReport};

/// Response header of an engine that did not run the request.
const NOT_RUN_HEADER: &str = "x-not-run";

quick_error! {
    /// Error of a call to an engine.
    #[derive(Debug)]
    pub enum EngineError {
        /// The connection failed before any byte of the request was sent.
        Connect(detail: String) {
            display("the connection could not be made: {}", detail)
        }
        /// The engine rejected the request without running it.
        Refused(status: u16) {
            display("the engine refused the request with status {}", status)
        }
        /// The engine does not know the generation.
        UnknownGeneration {
            display("the engine does not know the generation")
        }
        /// The engine responded with an error status.
        Status(status: u16) {
            display("the engine answered with status {}", status)
        }
        /// The connection failed when the request may have been sent already.
        Io(err: io::Error) {
            from()
            display("the connection failed: {}", err)
        }
        /// The response does not conform to the protocol.
        Protocol(detail: String) {
            display("the answer does not follow the protocol: {}", detail)
        }
    }
}

impl EngineError {
    /// Returns true when the engine is known not to have run the request.
    pub fn is_not_run(&self) -> bool {
        matches!(self, EngineError::Connect(_) | EngineError::Refused(_))
    }

    /// Returns true when the connection timed out. The call may succeed over a new connection.
    pub fn is_timeout(&self) -> bool {
        matches!(self, EngineError::Io(err) if err.kind() == io::ErrorKind::TimedOut)
    }
}

/// Timeouts of the calls to engines.
#[derive(Clone, Copy, Debug)]
pub struct EngineDeadlines {
    /// Timeout for connecting.
    pub connect: Duration,
    /// Timeout for receiving the response head.
    pub response: Duration,
    /// Time without data after which a stream is read over a new connection.
    pub progress: Duration,
}

impl Default for EngineDeadlines {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            response: Duration::from_secs(3),
            progress: Duration::from_millis(750),
        }
    }
}

/// HTTP client for any number of engines.
#[derive(Clone)]
pub struct EngineClient {
    streams: Agent,
    control: Agent,
}

/// Streamed response of an engine.
pub struct TokenStream {
    events: EventReader<BodyReader<'static>>,
}

impl EngineClient {
    /// Builds a client.
    pub fn new(deadlines: EngineDeadlines) -> Self {
        let EngineDeadlines { connect, response, progress } = deadlines;
        let deadlines = Deadlines { connect, response, progress };
        Self { streams: unpooled_agent(deadlines), control: pooled_agent(deadlines) }
    }

    /// Starts an attempt of a generation.
    ///
    /// # Errors
    ///
    /// Returns an error whose [`EngineError::is_not_run`] is true when the engine did not run the
    /// request.
    pub fn start(
        &self,
        addr: SocketAddr,
        id: GenerationId,
        attempt: Attempt,
        body: &CompletionBody,
    ) -> Result<TokenStream, EngineError> {
        let response = self
            .streams
            .post(format!("http://{addr}/v1/completions"))
            .header("x-generation", id.to_string())
            .header("x-attempt", attempt.to_string())
            .header("connection", "close")
            .send_json(body)
            .map_err(from_ureq)?;
        TokenStream::from_response(response)
    }

    /// Reads the stream of an attempt again, from token `from` onwards.
    ///
    /// # Errors
    ///
    /// Returns [`EngineError::UnknownGeneration`] when the engine no longer has the
    /// generation.
    pub fn resume(
        &self,
        addr: SocketAddr,
        id: GenerationId,
        attempt: Attempt,
        from: u32,
    ) -> Result<TokenStream, EngineError> {
        let response = self
            .streams
            .get(format!("http://{addr}/v1/generations/{id}/{attempt}?from={from}"))
            .header("connection", "close")
            .call()
            .map_err(from_ureq)?;
        TokenStream::from_response(response)
    }

    /// Cancels an attempt.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection.
    pub fn cancel(
        &self,
        addr: SocketAddr,
        id: GenerationId,
        attempt: Attempt,
    ) -> Result<(), EngineError> {
        let url = format!("http://{addr}/v1/generations/{id}/{attempt}");
        self.control.delete(url).call().map_err(from_ureq)?;
        Ok(())
    }

    /// Reads the load report.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection, of the status or of parsing the report.
    pub fn load(&self, addr: SocketAddr) -> Result<LoadReport, EngineError> {
        self.get_json(&format!("http://{addr}/load"))
    }

    /// Reads the cache events after position `after`.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection, of the status or of parsing the response.
    pub fn cache_events(&self, addr: SocketAddr, after: usize) -> Result<CacheEvents, EngineError> {
        self.get_json(&format!("http://{addr}/cache_events?after={after}"))
    }

    /// Sends a command to load or unload a model.
    ///
    /// # Errors
    ///
    /// Returns `Status(412)` when the engine rejects an outdated fencing token.
    pub fn send_command(
        &self,
        addr: SocketAddr,
        command: &ModelCommand,
    ) -> Result<(), EngineError> {
        let url = format!("http://{addr}/orders");
        let response = self.control.post(url).send_json(command).map_err(from_ureq)?;
        match response.status().as_u16() {
            200 => Ok(()),
            status => Err(EngineError::Status(status)),
        }
    }

    fn get_json<T>(&self, url: &str) -> Result<T, EngineError>
    where
        T: serde::de::DeserializeOwned,
    {
        let mut response = self.control.get(url).call().map_err(from_ureq)?;
        if response.status() != 200 {
            return Err(EngineError::Status(response.status().as_u16()));
        }
        response.body_mut().read_json().map_err(from_ureq)
    }
}

impl TokenStream {
    fn from_response(response: Response<Body>) -> Result<Self, EngineError> {
        let not_run = response.headers().contains_key(NOT_RUN_HEADER);
        match response.status().as_u16() {
            200 => Ok(Self { events: EventReader::new(response.into_body().into_reader()) }),
            404 => Err(EngineError::UnknownGeneration),
            status if not_run || (400..500).contains(&status) => Err(EngineError::Refused(status)),
            status => Err(EngineError::Status(status)),
        }
    }

    /// Returns true when a complete event is already buffered.
    pub fn has_buffered(&self) -> bool {
        self.events.has_buffered()
    }

    /// Returns the chunk of the next token, or `None` after the last one.
    ///
    /// # Errors
    ///
    /// Returns `UnexpectedEof` when the stream ends before its final event ([`DONE`]).
    pub fn next_chunk(&mut self) -> Result<Option<Chunk>, EngineError> {
        match self.events.next_event()? {
            Some(event) => parse_event(&event),
            None => Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
        }
    }
}

fn parse_event(event: &str) -> Result<Option<Chunk>, EngineError> {
    let data = event_data(event).unwrap_or_default();
    if data == DONE {
        return Ok(None);
    }
    let chunk = serde_json::from_str(data);
    chunk.map(Some).map_err(|err| EngineError::Protocol(err.to_string()))
}

/// Converts an error of the HTTP client. [`EngineError::Connect`] means that no byte was sent.
fn from_ureq(err: ureq::Error) -> EngineError {
    if is_not_sent(&err) {
        return EngineError::Connect(err.to_string());
    }
    match err {
        ureq::Error::Timeout(_) => EngineError::Io(io::ErrorKind::TimedOut.into()),
        ureq::Error::Io(err) => EngineError::Io(err),
        other => EngineError::Protocol(other.to_string()),
    }
}
