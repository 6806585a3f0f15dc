//! A client of the engines' protocol.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use camphorloft_http::client::{Deadlines, is_not_sent, pooled_agent, single_use_agent};
use camphorloft_http::event_reader::{EventReader, event_data};
use camphorloft_types::prelude::{Attempt, GenerationId};
use quick_error::quick_error;
use ureq::http::Response;
use ureq::{Agent, Body, BodyReader};

use crate::completion::{Chunk, CompletionBody, DONE};
use crate::load_report::{CacheEvents, LoadReport};
use crate::order::Order;

/// Header by which an engine states that it did not run the request.
const NOT_RUN_HEADER: &str = "x-not-run";

quick_error! {
    /// Reason that a call to an engine failed.
    #[derive(Debug)]
    pub enum EngineError {
        /// No byte of the request left this host.
        Connect(detail: String) {
            display("the connection could not be made: {}", detail)
        }
        /// The engine stated that it did not run the request.
        Refused(status: u16) {
            display("the engine refused the request with status {}", status)
        }
        /// The engine does not know the generation.
        Missing {
            display("the engine does not know the generation")
        }
        /// The engine answered with an error.
        Status(status: u16) {
            display("the engine answered with status {}", status)
        }
        /// The connection failed after the request was sent.
        Io(err: io::Error) {
            from()
            display("the connection failed: {}", err)
        }
        /// The answer does not follow the protocol.
        Protocol(detail: String) {
            display("the answer does not follow the protocol: {}", detail)
        }
    }
}

impl EngineError {
    /// Returns true when the engine certainly did not run the request.
    pub fn is_not_run(&self) -> bool {
        matches!(self, EngineError::Connect(_) | EngineError::Refused(_))
    }

    /// Returns true when the connection went silent but may be replaced by a new one.
    pub fn is_timeout(&self) -> bool {
        matches!(self, EngineError::Io(err) if err.kind() == io::ErrorKind::TimedOut)
    }
}

/// Deadlines of the calls to engines.
#[derive(Clone, Copy, Debug)]
pub struct EngineDeadlines {
    /// Time to connect.
    pub connect: Duration,
    /// Time until the response head.
    pub response: Duration,
    /// Silence after which a stream is read over a new connection.
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

/// A client of any number of engines.
#[derive(Clone)]
pub struct EngineClient {
    streams: Agent,
    control: Agent,
}

/// The answer of an engine as it arrives.
pub struct TokenStream {
    events: EventReader<BodyReader<'static>>,
}

impl EngineClient {
    /// Builds a client.
    pub fn new(deadlines: EngineDeadlines) -> Self {
        let EngineDeadlines { connect, response, progress } = deadlines;
        let deadlines = Deadlines { connect, response, progress };
        Self { streams: single_use_agent(deadlines), control: pooled_agent(deadlines) }
    }

    /// Starts an attempt of a generation.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the engine may have run the request.
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

    /// Reads an attempt again from token `from` of its own stream.
    ///
    /// # Errors
    ///
    /// Returns [`EngineError::Missing`] when the engine lost the generation.
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
    /// Returns the error of the connection or of the report's text.
    pub fn load(&self, addr: SocketAddr) -> Result<LoadReport, EngineError> {
        self.get_json(&format!("http://{addr}/load"))
    }

    /// Reads the announcements of cached prefixes after a position.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection or of the answer's text.
    pub fn cache_events(&self, addr: SocketAddr, after: usize) -> Result<CacheEvents, EngineError> {
        self.get_json(&format!("http://{addr}/cache_events?after={after}"))
    }

    /// Gives an order.
    ///
    /// # Errors
    ///
    /// Returns `Status(412)` when the engine refuses an old fencing number.
    pub fn order(&self, addr: SocketAddr, order: &Order) -> Result<(), EngineError> {
        let url = format!("http://{addr}/orders");
        let response = self.control.post(url).send_json(order).map_err(from_ureq)?;
        match response.status().as_u16() {
            200 => Ok(()),
            status => Err(EngineError::Status(status)),
        }
    }

    fn get_json<Answer>(&self, url: &str) -> Result<Answer, EngineError>
    where
        Answer: serde::de::DeserializeOwned,
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
            404 => Err(EngineError::Missing),
            status if not_run || (400..500).contains(&status) => Err(EngineError::Refused(status)),
            status => Err(EngineError::Status(status)),
        }
    }

    /// Returns true when a whole event was read already.
    pub fn has_buffered(&self) -> bool {
        self.events.has_buffered()
    }

    /// Returns the next token, or `None` after the last one.
    ///
    /// # Errors
    ///
    /// Returns `UnexpectedEof` when the stream ends before its end mark.
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

/// Sorts a client error by whether a byte of the request may have left this host.
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
