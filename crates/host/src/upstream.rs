//! One exchange with an endpoint, on a connection of its own.
//!
//! Connections are not kept: a kept one may have been dropped silently by the endpoint, or carry
//! the late answer of an earlier request, and a request that may not be repeated is worth far more
//! than the connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, Response, response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::boundary::WholeBody;
use crate::task::OwnedTask;

/// Silence after which the other side is asked whether it is there. Whole seconds are the finest
/// that the operating system offers.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Unanswered questions after which a connection is given up.
const KEEPALIVE_RETRIES: u32 = 2;
/// Time after which sent bytes that are not confirmed break a connection.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

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
    sender: SendRequest<WholeBody>,
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
pub fn set_liveness_options(stream: &TcpStream) -> std::io::Result<()> {
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
    let not_sent = |detail: String| ExchangeError::NotSent(detail);
    let stream = timeout(within, TcpStream::connect(addr))
        .await
        .map_err(|_| not_sent("connecting took too long".to_owned()))?
        .map_err(|err| not_sent(err.to_string()))?;
    set_liveness_options(&stream).map_err(|err| not_sent(err.to_string()))?;
    let (sender, connection) =
        handshake(TokioIo::new(stream)).await.map_err(|err| not_sent(err.to_string()))?;
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
    pub async fn send(mut self, req: Request<WholeBody>) -> Result<Exchange, ExchangeError> {
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
        req: Request<WholeBody>,
        max: usize,
    ) -> Result<(response::Parts, Bytes), ExchangeError> {
        let answer = self.try_send(req).await?;
        let (head, mut body) = answer.into_parts();
        let body = read_to_end(&mut body, max).await?;
        Ok((head, body))
    }

    async fn try_send(
        &mut self,
        req: Request<WholeBody>,
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
        let frame = frame.map_err(|err| ExchangeError::Unanswered(err.to_string()))?;
        if let Ok(data) = frame.into_data() {
            buf.extend_from_slice(&data);
        }
        if buf.len() > max {
            return Err(ExchangeError::Unanswered("the answer is too large".to_owned()));
        }
    }
    Ok(buf.freeze())
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
