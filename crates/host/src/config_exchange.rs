//! Transfers the version in force between hosts, for hosts that the registry refuses to serve.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use camphorloft_peer::packed::PackedSet;
use camphorloft_peer::seal::FrameKeys;
use camphorloft_peer::stream::codec;
use camphorloft_peer::wire::{WireConfigReply, WireConfigRequest};
use prost::Message;
use slog::{debug, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::boundary::{Registry, Wire};
use crate::context::Host;

/// Timeout of an exchange; a version is at most 1 MB.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Connection between hosts that carries authenticated frames.
struct FrameStream {
    framed: Framed<TcpStream, LengthDelimitedCodec>,
    keys: FrameKeys,
}

impl FrameStream {
    fn new(stream: TcpStream, keys: FrameKeys) -> Self {
        Self { framed: Framed::new(stream, codec()), keys }
    }

    async fn write<M>(&mut self, message: &M) -> io::Result<()>
    where
        M: Message,
    {
        let sealed = self.keys.seal(&message.encode_to_vec());
        futures_util::SinkExt::send(&mut self.framed, Bytes::from(sealed)).await
    }

    async fn read<M>(&mut self) -> io::Result<M>
    where
        M: Message + Default,
    {
        let frame = futures_util::StreamExt::next(&mut self.framed).await;
        let frame = frame.ok_or(io::ErrorKind::UnexpectedEof)??;
        let payload = self.keys.open(&frame).map_err(io::Error::other)?;
        M::decode(payload).map_err(io::Error::other)
    }
}

/// Serves requests of other hosts for the version in force.
pub async fn serve<W, R>(cx: Rc<Host<W, R>>, listener: TcpListener, keys: FrameKeys)
where
    W: Wire,
    R: Registry,
{
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let (cx, keys) = (cx.clone(), keys.clone());
                spawn_local(async move {
                    let served = timeout(EXCHANGE_TIMEOUT, serve_request(&cx, stream, keys)).await;
                    if let Ok(Err(err)) = served {
                        debug!(cx.log, "version could not be sent"; "to" => %from, "error" => %err);
                    }
                });
            }
            Err(err) => {
                warn!(cx.log, "peer connection could not be accepted"; "error" => %err);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_request<W, R>(
    cx: &Rc<Host<W, R>>,
    stream: TcpStream,
    keys: FrameKeys,
) -> io::Result<()> {
    let mut frames = FrameStream::new(stream, keys);
    let request: WireConfigRequest = frames.read().await?;
    let version = cx.serving().map_or(0, |serving| serving.version.0);
    let packed = cx.state.borrow().serving_packed.clone();
    let packed_set = if version > request.known { packed.bytes().to_vec() } else { Vec::new() };
    info!(cx.log, "version sent"; "version" => version, "known" => request.known,
        "bytes" => packed_set.len());
    frames.write(&WireConfigReply { version, packed_set }).await
}

/// Fetches the version in force of another host and applies it if it is newer.
pub async fn fetch<W, R>(cx: Rc<Host<W, R>>, from: SocketAddr, keys: FrameKeys)
where
    W: Wire,
    R: Registry,
{
    let known = cx.serving().map_or(0, |serving| serving.version.0);
    let exchange = async {
        let stream = TcpStream::connect(from).await?;
        let mut frames = FrameStream::new(stream, keys);
        frames.write(&WireConfigRequest { known }).await?;
        frames.read::<WireConfigReply>().await
    };
    let reply = match timeout(EXCHANGE_TIMEOUT, exchange).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(err)) => {
            info!(cx.log, "version could not be fetched"; "from" => %from, "error" => %err);
            return;
        }
        Err(_) => {
            info!(cx.log, "version could not be fetched"; "from" => %from, "error" => "no response in time");
            return;
        }
    };
    let packed = PackedSet::from(reply.packed_set);
    if packed.is_empty() {
        return;
    }
    match packed.unpack() {
        Ok(encoded) => {
            if cx.apply_encoded_serving(&encoded, Some(packed), "host") {
                cx.announce_version(false);
            }
        }
        Err(err) => {
            warn!(cx.log, "version could not be decoded"; "source" => "host", "error" => %err)
        }
    }
}
