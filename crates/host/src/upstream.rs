//! One exchange with an endpoint, on a connection of its own.
//!
//! Connections are not kept: a kept one may have been dropped silently by the endpoint, or carry
//! the late answer of an earlier request, and a request that may not be repeated is worth far more
//! than the connection.

use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, Response, response};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout};

use crate::boundary::FullBody;
use crate::pace::Pace;
use crate::task::OwnedTask;

/// Silence after which the other side is asked whether it is there. Whole seconds are the finest
/// that the operating system offers.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Unanswered questions after which a connection is given up.
const KEEPALIVE_RETRIES: u32 = 2;
/// Time after which sent bytes that are not confirmed break a connection.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes of an answer read at a pace that wait in the system and in the process each: about 25 ms of
/// the slowest link of today, 10 Mbit/s.
const PACED_BUFFER_BYTES: u32 = 32 << 10;
/// Time in which some part of a large answer arrives, or the connection has gone silent.
const PROGRESS_WITHIN: Duration = Duration::from_millis(800);

quick_error! {
    /// Reason that an exchange failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ExchangeError {
        /// No connection was made, or none of the request was sent.
        NotSent(detail: String) {
            display("the request was not sent: {}", detail)
        }
        /// The request was sent, at least in part, and no answer arrived.
        Unanswered(detail: String) {
            display("the request was sent and not answered: {}", detail)
        }
    }
}

/// A connection that no request was sent on yet.
#[derive(Debug)]
pub struct Connected {
    sender: SendRequest<FullBody>,
    task: OwnedTask<()>,
}

/// An answer whose head arrived.
#[derive(Debug)]
pub struct Exchange {
    /// Head.
    pub head: response::Parts,
    /// Body.
    pub body: Incoming,
    /// Drives the connection, and closes it when dropped.
    _task: OwnedTask<()>,
}

/// Sets the options by which a silent connection is noticed.
pub fn set_liveness_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Connects to an endpoint within a time.
///
/// # Errors
///
/// Returns [`ExchangeError::NotSent`] when the connection was refused or took too long.
pub async fn connect(addr: SocketAddr, within: Duration) -> Result<Connected, ExchangeError> {
    let stream = open(socket_for(addr), addr, within).await?;
    begin(stream, &Builder::new()).await
}

/// Connects for answers that are read at a pace: little of an answer is on the way at a time.
///
/// # Errors
///
/// Returns [`ExchangeError::NotSent`] when the connection was refused or took too long.
pub async fn connect_paced(addr: SocketAddr, within: Duration) -> Result<Connected, ExchangeError> {
    let socket = socket_for(addr).and_then(|socket| {
        socket.set_recv_buffer_size(PACED_BUFFER_BYTES)?;
        Ok(socket)
    });
    let stream = open(socket, addr, within).await?;
    begin(stream, Builder::new().read_buf_exact_size(Some(PACED_BUFFER_BYTES as usize))).await
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

async fn open(
    socket: io::Result<TcpSocket>,
    addr: SocketAddr,
    within: Duration,
) -> Result<TcpStream, ExchangeError> {
    let connecting = socket.map_err(not_sent)?.connect(addr);
    let stream = timeout(within, connecting)
        .await
        .map_err(|_| not_sent("connecting took too long"))?
        .map_err(not_sent)?;
    set_liveness_options(&stream).map_err(not_sent)?;
    Ok(stream)
}

async fn begin(stream: TcpStream, options: &Builder) -> Result<Connected, ExchangeError> {
    let (sender, connection) = options.handshake(TokioIo::new(stream)).await.map_err(not_sent)?;
    let task = OwnedTask::spawn(async move {
        // The exchange reports what went wrong.
        let _ = connection.await;
    });
    Ok(Connected { sender, task })
}

impl Connected {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError`], which tells whether the request may have been run.
    pub async fn send(mut self, req: Request<FullBody>) -> Result<Exchange, ExchangeError> {
        let (head, body) = self.try_send(req).await?.into_parts();
        Ok(Exchange { head, body, _task: self.task })
    }

    /// Sends a request and reads the whole answer of up to `max` bytes. The connection can be used
    /// again when the answer is whole.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError`] when no answer arrived, or a broken or too large one.
    pub async fn ask(
        &mut self,
        req: Request<FullBody>,
        max: usize,
    ) -> Result<(response::Parts, Bytes), ExchangeError> {
        let answer = self.try_send(req).await?;
        let (head, mut body) = answer.into_parts();
        let body = read_to_end(&mut body, max).await?;
        Ok((head, body))
    }

    /// Does the same for an answer that may be large: its head is waited for within a time, and its
    /// body is read at a pace.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError`] when no answer arrived, or a broken or too large one, or when the
    /// connection went silent.
    pub async fn ask_paced(
        &mut self,
        req: Request<FullBody>,
        max: usize,
        head_within: Duration,
        pace: Option<&Pace>,
    ) -> Result<(response::Parts, Bytes), ExchangeError> {
        let silent = |_| ExchangeError::Unanswered("the connection went silent".to_owned());
        let answer = timeout(head_within, self.try_send(req)).await.map_err(silent)??;
        let (head, mut body) = answer.into_parts();
        let began = Instant::now();
        let mut buf = BytesMut::new();
        while let Some(frame) = timeout(PROGRESS_WITHIN, body.frame()).await.map_err(silent)? {
            append(&mut buf, frame, max)?;
            let pause = pace.map_or(Duration::ZERO, |p| p.pause(buf.len() as u64, began.elapsed()));
            if !pause.is_zero() {
                sleep(pause).await;
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
        self.sender.try_send_request(req).await.map_err(|mut err| {
            let detail = err.error().to_string();
            match err.take_message() {
                Some(_) => ExchangeError::NotSent(detail),
                None => ExchangeError::Unanswered(detail),
            }
        })
    }
}

/// Reads the rest of a body, of up to `max` bytes.
async fn read_to_end(body: &mut Incoming, max: usize) -> Result<Bytes, ExchangeError> {
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        append(&mut buf, frame, max)?;
    }
    Ok(buf.freeze())
}

/// Adds a frame to a body of up to `max` bytes.
fn append(
    buf: &mut BytesMut,
    frame: hyper::Result<Frame<Bytes>>,
    max: usize,
) -> Result<(), ExchangeError> {
    let frame = frame.map_err(|err| ExchangeError::Unanswered(err.to_string()))?;
    if let Ok(data) = frame.into_data() {
        buf.extend_from_slice(&data);
    }
    match buf.len() <= max {
        true => Ok(()),
        false => Err(ExchangeError::Unanswered("the answer is too large".to_owned())),
    }
}

impl Exchange {
    /// Reads the rest of the body, of up to `max` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::Unanswered`] when the body breaks off or is too large.
    pub async fn read_to_end(&mut self, max: usize) -> Result<Bytes, ExchangeError> {
        read_to_end(&mut self.body, max).await
    }
}
