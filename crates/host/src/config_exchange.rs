//! Hands the version in force from host to host, for hosts that the registry turns away.

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

/// Time for an exchange; a version is at most a megabyte.
const EXCHANGE_WITHIN: Duration = Duration::from_millis(1500);
/// Time to wait after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A connection between hosts that carries sealed frames.
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

/// Answers the hosts that ask for the version in force.
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
                    let answered = timeout(EXCHANGE_WITHIN, answer(&cx, stream, keys)).await;
                    if let Ok(Err(err)) = answered {
                        debug!(cx.log, "version not handed on"; "to" => %from, "error" => %err);
                    }
                });
            }
            Err(err) => {
                warn!(cx.log, "connection of a host not accepted"; "error" => %err);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn answer<W, R>(cx: &Rc<Host<W, R>>, stream: TcpStream, keys: FrameKeys) -> io::Result<()> {
    let mut frames = FrameStream::new(stream, keys);
    let request: WireConfigRequest = frames.read().await?;
    let version = cx.serving().map_or(0, |serving| serving.version.0);
    let packed = cx.state.borrow().serving_packed.clone();
    let packed_set = if version > request.known { packed.bytes().to_vec() } else { Vec::new() };
    info!(cx.log, "version handed on"; "version" => version, "known" => request.known,
        "bytes" => packed_set.len());
    frames.write(&WireConfigReply { version, packed_set }).await
}

/// Asks a host for the version in force.
pub async fn fetch<W, R>(cx: Rc<Host<W, R>>, from: SocketAddr, keys: FrameKeys)
where
    W: Wire,
    R: Registry,
{
    let known = cx.serving().map_or(0, |serving| serving.version.0);
    let asked = async {
        let stream = TcpStream::connect(from).await?;
        let mut frames = FrameStream::new(stream, keys);
        frames.write(&WireConfigRequest { known }).await?;
        frames.read::<WireConfigReply>().await
    };
    let result = match timeout(EXCHANGE_WITHIN, asked).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(err)) => {
            info!(cx.log, "version not fetched"; "from" => %from, "error" => %err);
            return;
        }
        Err(_) => {
            info!(cx.log, "version not fetched"; "from" => %from, "error" => "no answer in time");
            return;
        }
    };
    let packed = PackedSet::from(result.packed_set);
    if packed.is_empty() {
        return;
    }
    match packed.unpack() {
        Ok(encoded) => {
            cx.take_encoded_serving(&encoded, Some(packed), "host");
        }
        Err(err) => warn!(cx.log, "version not understood"; "source" => "host", "error" => %err),
    }
}
