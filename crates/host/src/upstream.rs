//! HTTP client connections to endpoints.
//!
//! Client requests each use a new connection. A pooled connection may have been dropped silently
//! by the endpoint, or may still deliver the late response to an earlier request. Losing a request
//! that must not be retried costs far more than a new connection.

use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use camphorloft_types::prelude::HostName;
use http::{Request, Response, header, response};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

use crate::boundary::FullBody;
use crate::head_limit::HeadLimit;
use crate::limited_stream::LimitedStream;
use crate::memory_budget::BudgetShare;
use crate::pace::Pace;
use crate::task::OwnedTask;

/// Idle time before the first TCP keepalive probe, and interval between probes. The operating
/// system supports only whole seconds.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Number of unacknowledged keepalive probes after which a connection is closed, if its user timeout, if
/// any, has passed since the last data or acknowledgement.
const KEEPALIVE_RETRIES: u32 = 2;
/// Time after which unacknowledged sent data closes a connection to an endpoint or a host.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum size of a response head, in bytes, and of what is read ahead of a body. Each connection may use
/// some multiple of it.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of bytes received before a response head is complete: interim responses, the head itself
/// and what is read ahead of the body.
const MAX_BYTES_BEFORE_BODY: usize = 8 * MAX_HEAD_BYTES;
/// Statuses of a final response.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Size of the socket receive buffer and of the read buffer for paced responses, in bytes each:
/// about 25 ms on the slowest link currently in use, 10 Mbit/s.
const PACED_BUFFER_BYTES: u32 = 32 << 10;
/// Time without received data after which the connection of a large response counts as stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(800);

quick_error! {
    /// Error returned when a request to an endpoint fails.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ExchangeError {
        /// The connection failed, or no part of the request was sent.
        NotSent(detail: String) {
            display("the request was not sent: {}", detail)
        }
        /// The request was sent, at least in part, and no complete response arrived.
        Unanswered(detail: String) {
            display("the request was sent, but no complete response arrived: {}", detail)
        }
        /// The request was sent, and what arrived is no response of the protocol.
        Invalid(detail: String) {
            display("the request was sent, but what arrived is no response: {}", detail)
        }
    }
}

/// An open HTTP client connection.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<FullBody>,
    head_limit: HeadLimit,
    /// The host that forwards the connection, if it is not a direct one.
    via: Option<HostName>,
    task: OwnedTask<()>,
}

/// A response whose head has been received.
#[derive(Debug)]
pub struct Exchange {
    /// Response head.
    pub head: response::Parts,
    /// Response body.
    pub body: Incoming,
    /// When the last part of the response was received.
    read_at: Instant,
    /// Longest time since the head without a further part.
    longest_silence: Duration,
    /// Drives the connection and closes it when dropped.
    _task: OwnedTask<()>,
}

/// Sets the socket options that detect an unresponsive peer which reads all that it is sent at once, and
/// disables Nagle's algorithm.
pub fn set_liveness_options(stream: &TcpStream) -> io::Result<()> {
    set_keepalive_options(stream)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Sets the socket options that detect an unresponsive peer that may read slowly, and disables Nagle's
/// algorithm. The user timeout of the system would also close the connection of a peer that is alive, but
/// keeps its receive window closed for so long. What is sent to such a peer needs another limit.
pub fn set_keepalive_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)
}

/// Connects to an endpoint.
///
/// # Errors
///
/// Returns [`ExchangeError::NotSent`] if the connection was refused or timed out.
pub async fn connect(
    addr: SocketAddr,
    connect_timeout: Duration,
) -> Result<HttpConnection, ExchangeError> {
    start_http(connect_stream(addr, connect_timeout).await?).await
}

/// Opens a connection to an endpoint for any protocol.
///
/// # Errors
///
/// Returns [`ExchangeError::NotSent`] if the connection was refused or timed out.
pub async fn connect_stream(
    addr: SocketAddr,
    connect_timeout: Duration,
) -> Result<TcpStream, ExchangeError> {
    open_stream(socket_for(addr), addr, connect_timeout).await
}

/// Starts HTTP on a connection.
///
/// # Errors
///
/// Returns [`ExchangeError::NotSent`] if the connection was closed.
pub async fn start_http<Io>(stream: Io) -> Result<HttpConnection, ExchangeError>
where
    Io: AsyncRead + AsyncWrite + Unpin + 'static,
{
    start_http_with(stream, Builder::new().max_buf_size(MAX_HEAD_BYTES)).await
}

/// Connects for paced reads. Small buffers limit how much of a response is in flight.
///
/// # Errors
///
/// Returns [`ExchangeError::NotSent`] if the connection was refused or timed out.
pub async fn connect_paced(
    addr: SocketAddr,
    connect_timeout: Duration,
) -> Result<HttpConnection, ExchangeError> {
    let socket = socket_for(addr).and_then(|socket| {
        socket.set_recv_buffer_size(PACED_BUFFER_BYTES)?;
        Ok(socket)
    });
    let stream = open_stream(socket, addr, connect_timeout).await?;
    start_http_with(stream, Builder::new().read_buf_exact_size(Some(PACED_BUFFER_BYTES as usize)))
        .await
}

fn not_sent<Cause>(cause: Cause) -> ExchangeError
where
    Cause: Display,
{
    ExchangeError::NotSent(cause.to_string())
}

fn socket_for(addr: SocketAddr) -> io::Result<TcpSocket> {
    if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }
}

async fn open_stream(
    socket: io::Result<TcpSocket>,
    addr: SocketAddr,
    connect_timeout: Duration,
) -> Result<TcpStream, ExchangeError> {
    let connecting = socket.map_err(not_sent)?.connect(addr);
    let stream = timeout(connect_timeout, connecting)
        .await
        .map_err(|_| not_sent("connect timed out"))?
        .map_err(not_sent)?;
    set_liveness_options(&stream).map_err(not_sent)?;
    Ok(stream)
}

async fn start_http_with<Io>(stream: Io, options: &Builder) -> Result<HttpConnection, ExchangeError>
where
    Io: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let head_limit = HeadLimit::new(MAX_BYTES_BEFORE_BODY);
    let io = TokioIo::new(LimitedStream::new(stream, head_limit.clone()));
    let (sender, connection) = options.handshake(io).await.map_err(not_sent)?;
    let task = OwnedTask::spawn(async move {
        // The request or the body read reports the error.
        let _ = connection.await;
    });
    Ok(HttpConnection { sender, head_limit, via: None, task })
}

impl HttpConnection {
    /// Records that a host forwards the connection.
    pub fn through(self, host: HostName) -> Self {
        Self { via: Some(host), ..self }
    }

    /// Returns the host that forwards the connection, if it is not a direct one.
    pub fn via(&self) -> Option<&HostName> {
        self.via.as_ref()
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError`], which says whether the endpoint may have run the request.
    pub async fn send(mut self, req: Request<FullBody>) -> Result<Exchange, ExchangeError> {
        let (head, body) = self.try_send(req).await?.into_parts();
        let (read_at, longest_silence) = (Instant::now(), Duration::ZERO);
        Ok(Exchange { head, body, read_at, longest_silence, _task: self.task })
    }

    /// Sends a request and reads the complete response body, of up to `max_bytes`. The connection is used up:
    /// what arrives on it later may be a second copy of the response.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError`] if no complete response arrived, or if it is too large.
    pub async fn fetch(
        mut self,
        req: Request<FullBody>,
        max_bytes: usize,
    ) -> Result<(response::Parts, Bytes), ExchangeError> {
        let response = self.try_send(req).await?;
        let (head, mut body) = response.into_parts();
        let body = read_to_end(&mut body, max_bytes).await?;
        Ok((head, body))
    }

    /// Like [`Self::fetch`], for a response that may be large. The head must arrive within
    /// `head_timeout`, and the body is read at `pace`.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError`] if no complete response arrived, if it is too large, or if the
    /// connection stalled.
    pub async fn fetch_paced(
        mut self,
        req: Request<FullBody>,
        max_bytes: usize,
        head_timeout: Duration,
        pace: Option<&Pace>,
    ) -> Result<(response::Parts, Bytes), ExchangeError> {
        let stalled = |_| ExchangeError::Unanswered("the connection stalled".to_owned());
        let response = timeout(head_timeout, self.try_send(req)).await.map_err(stalled)??;
        let (head, mut body) = response.into_parts();
        let started_at = Instant::now();
        let mut buf = BytesMut::new();
        while let Some(frame) = timeout(STALL_TIMEOUT, body.frame()).await.map_err(stalled)? {
            append(&mut buf, frame, max_bytes)?;
            let delay =
                pace.map_or(Duration::ZERO, |p| p.delay(buf.len() as u64, started_at.elapsed()));
            if !delay.is_zero() {
                sleep(delay).await;
            }
        }
        Ok((head, buf.freeze()))
    }

    async fn try_send(
        &mut self,
        req: Request<FullBody>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let ready = self.sender.ready().await;
        ready.map_err(|err| ExchangeError::NotSent(err.to_string()))?;
        let response = self.sender.try_send_request(req).await.map_err(|mut err| {
            let detail = err.error().to_string();
            match err.take_message() {
                Some(_) => ExchangeError::NotSent(detail),
                None if err.error().is_parse() || self.head_limit.is_reached() => {
                    ExchangeError::Invalid(detail)
                }
                None => ExchangeError::Unanswered(detail),
            }
        })?;
        self.head_limit.head_arrived();
        // The HTTP library accepts any status of three digits, and one that switches protocols.
        match FINAL_STATUSES.contains(&response.status().as_u16()) {
            true => Ok(response),
            false => Err(ExchangeError::Invalid(format!("status {}", response.status().as_u16()))),
        }
    }
}

/// Reads the rest of a body, of up to `max_bytes`.
async fn read_to_end(body: &mut Incoming, max_bytes: usize) -> Result<Bytes, ExchangeError> {
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        append(&mut buf, frame, max_bytes)?;
    }
    Ok(buf.freeze())
}

/// Appends a frame to a body of up to `max_bytes`.
fn append(
    buf: &mut BytesMut,
    frame: hyper::Result<Frame<Bytes>>,
    max_bytes: usize,
) -> Result<(), ExchangeError> {
    let frame = frame.map_err(|err| ExchangeError::Unanswered(err.to_string()))?;
    if let Ok(data) = frame.into_data() {
        buf.extend_from_slice(&data);
    }
    match buf.len() <= max_bytes {
        true => Ok(()),
        false => Err(ExchangeError::Invalid("the response is too large".to_owned())),
    }
}

impl Exchange {
    /// Returns true if the response states where its body ends. The body of any other ends with the
    /// connection.
    pub fn has_explicit_end(&self) -> bool {
        let headers = &self.head.headers;
        headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// Reads the next part of the body, and records for how long none was received.
    pub async fn next_frame(&mut self) -> Option<hyper::Result<Frame<Bytes>>> {
        let frame = self.body.frame().await;
        let now = Instant::now();
        self.longest_silence = self.longest_silence.max(now - self.read_at);
        self.read_at = now;
        frame
    }

    /// Returns when the last part of the response was received.
    pub fn read_at(&self) -> Instant {
        self.read_at
    }

    /// Returns the longest time after the head in which nothing was received.
    pub fn longest_silence(&self) -> Duration {
        self.longest_silence
    }

    /// Reads the rest of the body, of up to `max_bytes`.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::Unanswered`] if the body is incomplete, and [`ExchangeError::Invalid`] if it is
    /// too large.
    pub async fn read_to_end(&mut self, max_bytes: usize) -> Result<Bytes, ExchangeError> {
        read_to_end(&mut self.body, max_bytes).await
    }

    /// Reads the rest of the body, of up to `max_bytes`, into the memory of a share, which the returned bytes
    /// keep.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::Unanswered`] if the body is incomplete or the memory does not suffice, and
    /// [`ExchangeError::Invalid`] if it is too large.
    pub async fn read_within(
        &mut self,
        max_bytes: usize,
        mut memory: BudgetShare,
    ) -> Result<Bytes, ExchangeError> {
        let mut buf = BytesMut::new();
        while let Some(frame) = self.next_frame().await {
            let length = frame.as_ref().ok().and_then(Frame::data_ref).map_or(0, Bytes::len);
            if !memory.grow(length) {
                return Err(ExchangeError::Unanswered("responses fill the memory".to_owned()));
            }
            append(&mut buf, frame, max_bytes)?;
        }
        Ok(memory.hold(buf.freeze()))
    }
}
