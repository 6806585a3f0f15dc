//! Accepts connections of callers.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use camphorloft_serving::prelude::ClientLimits;
use http::{HeaderValue, Request, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use slog::{debug, warn};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::boundary::{Registry, Wire};
use crate::connection::{Phase, WatchedStream};
use crate::context::{Host, Stage};
use crate::intake;
use crate::upstream::set_liveness_options;

/// Connections that may wait to be accepted; a full queue costs a caller a second.
const BACKLOG: u32 = 1024;
/// Time to wait after the operating system refused a connection, as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Smallest buffer for a head that the HTTP library accepts, in bytes.
const MIN_HEAD_BUFFER: u64 = 8192;

/// Listens on an address.
///
/// # Errors
///
/// Returns the error of the operating system, as when the address is in use.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Accepts connections and passes each to `serve`, at most `most` at a time.
pub async fn accept_all<W, R, Serve, Served>(
    cx: Rc<Host<W, R>>,
    listener: TcpListener,
    most: usize,
    serve: Serve,
) where
    W: Wire,
    R: Registry,
    Serve: Fn(TcpStream) -> Served,
    Served: Future<Output = ()> + 'static,
{
    let open = Rc::new(());
    loop {
        if Rc::strong_count(&open) > most {
            sleep(ACCEPT_PAUSE).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let (serving, open) = (serve(stream), open.clone());
                spawn_local(async move {
                    serving.await;
                    drop(open);
                });
            }
            Err(err) => {
                warn!(cx.log, "connection not accepted"; "error" => %err);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection of a caller until it closes.
pub async fn serve_caller<W, R>(cx: Rc<Host<W, R>>, stream: TcpStream)
where
    W: Wire,
    R: Registry,
{
    if let Err(err) = set_liveness_options(&stream) {
        debug!(cx.log, "connection closed at once"; "error" => %err);
        return;
    }
    let phase = Rc::new(Phase::new());
    let limits = cx.serving().map_or_else(ClientLimits::default, |serving| serving.limits);
    let service = service_fn(|req: Request<Incoming>| {
        let (cx, phase) = (cx.clone(), phase.clone());
        async move {
            phase.head_arrived();
            let mut answer = intake::serve(cx.clone(), req).await;
            answer.body_mut().tie(phase);
            if cx.stage() != Stage::Serving {
                answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let io = TokioIo::new(WatchedStream::new(stream, phase.clone()));
    let head_buffer = limits.max_head.0.max(MIN_HEAD_BUFFER) as usize;
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(head_buffer)
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    let mut stages = cx.stages();
    loop {
        let check = phase.time_left(&limits).unwrap_or(limits.idle_timeout);
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(err) = ended {
                    debug!(cx.log, "connection broke off"; "error" => %err);
                }
                return;
            }
            () = sleep(check) => {
                if phase.time_left(&limits).is_some_and(|left| left.is_zero()) {
                    if !phase.is_idle() {
                        return;
                    }
                    connection.as_mut().graceful_shutdown();
                }
            }
            () = crate::lifecycle::wait_for_accept_end(&mut stages) => {
                connection.as_mut().graceful_shutdown();
                // From here on only the end of the connection is of interest.
                if let Err(err) = connection.as_mut().await {
                    debug!(cx.log, "connection broke off"; "error" => %err);
                }
                return;
            }
        }
    }
}
