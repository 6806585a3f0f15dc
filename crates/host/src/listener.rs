//! Accepts client connections.

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
use crate::upstream::set_keepalive_options;

/// Maximum number of connections waiting to be accepted. When the queue is full, a client repeats
/// its connection attempt only after a second.
const BACKLOG: u32 = 1024;
/// Delay before accepting again after an error, such as a lack of file descriptors, or while the
/// maximum number of connections is open.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time in which an idle connection closes.
const CLOSE_DELAY: Duration = Duration::from_millis(1);
/// Minimum buffer size for a request head that the HTTP library accepts, in bytes.
const MIN_HEAD_BUFFER: u64 = 8192;

/// Listens on an address.
///
/// # Errors
///
/// Returns the error of the operating system, for example if the address is in use.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Accepts connections and passes each to `serve`, at most `max_connections` at a time. While so many are open,
/// `make_room` is to close one, and returns false if it cannot.
pub async fn accept_loop<W, R, Serve, Served, MakeRoom>(
    cx: Rc<Host<W, R>>,
    listener: TcpListener,
    max_connections: usize,
    serve: Serve,
    make_room: MakeRoom,
) where
    W: Wire,
    R: Registry,
    Serve: Fn(TcpStream) -> Served,
    Served: Future<Output = ()> + 'static,
    MakeRoom: Fn() -> bool,
{
    let open = Rc::new(());
    loop {
        if Rc::strong_count(&open) > max_connections {
            sleep(if make_room() { CLOSE_DELAY } else { ACCEPT_RETRY_DELAY }).await;
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
                warn!(cx.log, "accept failed"; "error" => %err);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one client connection until it closes.
pub async fn serve_client<W, R>(cx: Rc<Host<W, R>>, stream: TcpStream)
where
    W: Wire,
    R: Registry,
{
    if let Err(err) = set_keepalive_options(&stream) {
        debug!(cx.log, "connection setup failed"; "error" => %err);
        return;
    }
    let phase = Rc::new(Phase::new());
    let _open = cx.client_connections.add(phase.clone());
    let limits = cx.serving().map_or_else(ClientLimits::default, |serving| serving.limits);
    let service = service_fn(|req: Request<Incoming>| {
        let (cx, phase) = (cx.clone(), phase.clone());
        async move {
            phase.head_arrived(req.version());
            let mut response = intake::serve(cx.clone(), req).await;
            response.body_mut().attach(phase);
            if cx.stage() != Stage::Serving {
                response
                    .headers_mut()
                    .insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
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
    let mut accept_ended = false;
    loop {
        let check_after = phase.time_left(&limits).unwrap_or(limits.idle_timeout);
        tokio::select! {
            // The connection comes first, so that it reads what has arrived before a timeout closes it.
            // Both are due at once after a pause of the process.
            biased;
            ended = connection.as_mut() => {
                if let Err(err) = ended {
                    debug!(cx.log, "connection failed"; "error" => %err);
                }
                return;
            }
            () = sleep(check_after) => {
                if phase.time_left(&limits).is_some_and(|left| left.is_zero()) {
                    if !phase.is_idle() {
                        return;
                    }
                    connection.as_mut().graceful_shutdown();
                }
            }
            () = phase.close_requested() => {
                if phase.is_closing() {
                    connection.as_mut().graceful_shutdown();
                }
            }
            () = crate::lifecycle::wait_for_accept_end(&cx, &mut stages), if !accept_ended => {
                accept_ended = true;
            }
        }
        // A head that is partly received is awaited: closing the connection now would cut off its request.
        // The response to it says that the connection closes.
        if accept_ended && !phase.is_reading_head() {
            connection.as_mut().graceful_shutdown();
            // No further timeouts apply; only wait for the end of the connection.
            if let Err(err) = connection.as_mut().await {
                debug!(cx.log, "connection failed"; "error" => %err);
            }
            return;
        }
    }
}
