//! Binds HTTP servers.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, TcpKeepalive, Type};
use tiny_http::Server;

/// Idle time before the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
/// Time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Unanswered probes before the connection is closed.
const KEEPALIVE_PROBES: u32 = 3;
/// Time that sent data may stay unacknowledged before the connection is closed.
const USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of a write to a peer that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// Length of the queue of connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// Binds a TCP listener. On Linux the accepted sockets inherit all of its options.
///
/// # Errors
///
/// Returns the error of the operating system, for example when the address is in use.
pub fn bind_listener(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_write_timeout(Some(WRITE_TIMEOUT))?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Binds an HTTP server and returns it with its bound address.
///
/// # Errors
///
/// Returns the error of the operating system or of the server library.
///
/// ```
/// let (_server, addr) = camphorloft_http::listener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
/// assert_ne!(addr.port(), 0);
/// ```
pub fn bind(addr: SocketAddr) -> io::Result<(Server, SocketAddr)> {
    let listener = bind_listener(addr)?;
    let bound = listener.local_addr()?;
    let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
    Ok((server, bound))
}
