//! Tests that accepted sockets inherit the options of the listener that detect unresponsive peers.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use camphorloft_http::listener::bind_listener;
use socket2::SockRef;

#[test]
fn accepted_sockets_inherit_keepalive_and_timeouts() {
    let listener = bind_listener("127.0.0.1:0".parse().unwrap()).unwrap();
    let _client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (accepted, _) = listener.accept().unwrap();
    let socket = SockRef::from(&accepted);
    assert!(socket.keepalive().unwrap());
    assert!(socket.tcp_nodelay().unwrap());
    assert_eq!(socket.tcp_user_timeout().unwrap(), Some(Duration::from_secs(10)));
    assert_eq!(accepted.write_timeout().unwrap(), Some(Duration::from_secs(20)));
}

#[test]
fn a_write_to_a_peer_that_stops_reading_times_out() {
    let listener = bind_listener("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (mut accepted, _) = listener.accept().unwrap();
    // The same option with a shorter timeout, so that the test is quick.
    accepted.set_write_timeout(Some(Duration::from_millis(200))).unwrap();
    let block = [0_u8; 65_536];
    let mut written = 0_usize;
    let error = loop {
        match accepted.write(&block) {
            Ok(count) => written += count,
            Err(err) => break err,
        }
        assert!(written < 1 << 30, "a write to a peer that does not read did not time out");
    };
    assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock);
    let mut byte = [0];
    client.read_exact(&mut byte).unwrap();
}
