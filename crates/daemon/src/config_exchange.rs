//! Fetches the object set from other hosts over TCP, for when the platform is unavailable.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use camphorloft_config::RawSet;
use camphorloft_peer::packed::PackedSet;
use camphorloft_peer::seal::FrameKeys;
use camphorloft_peer::stream::{read_frame, write_frame};
use camphorloft_peer::wire::{WireConfigReply, WireConfigRequest};
use camphorloft_platform::publication::VersionedSet;
use camphorloft_types::prelude::ConfigVersion;

use crate::config_state::ConfigState;

/// Timeout for connecting and for each read and write of an exchange.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Sleep after a failed accept, before the next check of the stop flag.
const ACCEPT_POLL: Duration = Duration::from_millis(100);

/// Serves requests of other hosts until `stop` is set.
///
/// # Errors
///
/// Returns the error of the listener.
pub fn serve_config(
    listener: &TcpListener,
    keys: &FrameKeys,
    config: &ConfigState,
    stop: &Arc<AtomicBool>,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    while !stop.load(Ordering::Relaxed) {
        match listener.accept() {
            // A slow peer, or one that fails authentication, gets no reply.
            Ok((stream, _)) => drop(handle_request(stream, keys, config)),
            Err(_) => thread::sleep(ACCEPT_POLL),
        }
    }
    Ok(())
}

fn handle_request(mut stream: TcpStream, keys: &FrameKeys, config: &ConfigState) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    let request: WireConfigRequest = read_frame(&mut stream, keys)?;
    let known = config.raw();
    let newer = known.version.0 > request.known;
    let packed_set = match newer {
        true => PackedSet::pack(known.set.to_value().to_string().as_bytes())?.bytes().to_vec(),
        false => Vec::new(),
    };
    write_frame(
        &mut stream,
        keys,
        &WireConfigReply { version: known.version.0, packed_set, ..WireConfigReply::default() },
    )
}

/// Fetches the set of another host if it is newer than `known`.
///
/// # Errors
///
/// Returns the error of the connection, and `InvalidData` for a set that does not parse.
pub fn fetch_from_peer(
    peer: SocketAddr,
    keys: &FrameKeys,
    known: ConfigVersion,
) -> io::Result<Option<VersionedSet>> {
    let mut stream = TcpStream::connect_timeout(&peer, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    write_frame(
        &mut stream,
        keys,
        &WireConfigRequest { known: known.0, ..WireConfigRequest::default() },
    )?;
    let reply: WireConfigReply = read_frame(&mut stream, keys)?;
    if reply.version <= known.0 {
        return Ok(None);
    }
    let unpacked = PackedSet::from(reply.packed_set).unpack()?;
    let text = String::from_utf8_lossy(&unpacked);
    let set = RawSet::parse(&text)
        .map_err(|findings| io::Error::new(io::ErrorKind::InvalidData, findings))?;
    Ok(Some(VersionedSet { version: ConfigVersion(reply.version), set }))
}
