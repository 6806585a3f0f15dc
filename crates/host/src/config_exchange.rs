//! Transfers the version in force and the endpoint list between hosts, for hosts that start and for
//! those that the registry refuses to serve.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_peer::packed::PackedSet;
use camphorloft_peer::wire::{WireConfigReply, WireConfigRequest, WireEndpointList};
use prost::Message;
use slog::{debug, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::boundary::{Registry, Wire};
use crate::context::{Host, State};
use crate::endpoint_watch;
use crate::frame_stream::FrameStream;
use crate::peer_convert::{change_to_wire, evacuations_from_wire, evacuations_to_wire};
use crate::tunnel;

/// Timeout of an exchange; a version is at most 1 MB.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of an exchange with the endpoint list, which the hosts of a zone may fetch from the same
/// host at once: tens of times 100 KB.
const LIST_EXCHANGE_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves requests of other hosts, for the version in force or for a connection to an endpoint.
pub async fn serve<W, R>(cx: Rc<Host<W, R>>, listener: TcpListener)
where
    W: Wire,
    R: Registry,
{
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let Some(keys) = cx.frame_keys() else { continue };
                let cx = cx.clone();
                spawn_local(async move {
                    if let Err(err) = serve_request(&cx, FrameStream::new(stream, keys)).await {
                        debug!(cx.log, "request of a host not served"; "from" => %from,
                            "error" => %err);
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

async fn serve_request<W, R>(cx: &Rc<Host<W, R>>, mut frames: FrameStream) -> io::Result<()>
where
    W: Wire,
    R: Registry,
{
    let request = timeout(EXCHANGE_TIMEOUT, frames.read::<WireConfigRequest>()).await??;
    match request.tunnel {
        Some(tunnel) => tunnel::serve(cx.clone(), frames, tunnel).await,
        None => timeout(LIST_EXCHANGE_TIMEOUT, send_version(cx, frames, request)).await?,
    }
}

async fn send_version<W, R>(
    cx: &Rc<Host<W, R>>,
    mut frames: FrameStream,
    request: WireConfigRequest,
) -> io::Result<()> {
    let version = cx.serving().map_or(0, |serving| serving.version.0);
    let packed = cx.state.borrow().serving_packed.clone();
    let packed_set = if version > request.known { packed.bytes().to_vec() } else { Vec::new() };
    let packed_endpoints = match request.wants_endpoints {
        true => cx.packed_endpoint_list()?.bytes().to_vec(),
        false => Vec::new(),
    };
    info!(cx.log, "version sent"; "version" => version, "known" => request.known,
        "bytes" => packed_set.len(), "endpoints_bytes" => packed_endpoints.len());
    let evacuations = cx.state.borrow().fleet.evacuations().latest().map(evacuations_to_wire);
    frames.write(&WireConfigReply { version, packed_set, packed_endpoints, evacuations }).await
}

impl<W, R> Host<W, R> {
    /// Returns the compressed endpoint list, which is empty unless this host knows it to be complete.
    fn packed_endpoint_list(&self) -> io::Result<PackedSet> {
        if !self.is_list_confirmed() {
            return Ok(PackedSet::default());
        }
        let mut guard = self.state.borrow_mut();
        let State { fleet, packed_list, .. } = &mut *guard;
        let digest = fleet.list_digest();
        let now = Instant::now();
        // What is left of warm-ups is not part of the digest.
        let has_cold = fleet.iter().any(|(_, endpoint)| endpoint.warm_at > now);
        if let Some((known, packed)) = packed_list
            && *known == digest
            && !has_cold
        {
            return Ok(packed.clone());
        }
        let listed = fleet.iter().filter(|(_, endpoint)| endpoint.is_listed());
        let endpoints = listed.map(|(_, e)| change_to_wire(&e.entry.name, Some(&e.entry_now(now))));
        let list = WireEndpointList { endpoints: endpoints.collect() };
        let packed = PackedSet::pack(&list.encode_to_vec())?;
        *packed_list = (!has_cold).then(|| (digest, packed.clone()));
        Ok(packed)
    }
}

/// Fetches the version in force of another host and applies it if it is newer. Fetches the endpoint
/// list too if `wants_endpoints` is true.
pub async fn fetch<W, R>(cx: Rc<Host<W, R>>, from: SocketAddr, wants_endpoints: bool)
where
    W: Wire,
    R: Registry,
{
    let Some(keys) = cx.frame_keys() else { return };
    let known = cx.serving().map_or(0, |serving| serving.version.0);
    let exchange = async {
        let stream = TcpStream::connect(from).await?;
        let mut frames = FrameStream::new(stream, keys);
        frames.write(&WireConfigRequest { known, wants_endpoints, tunnel: None }).await?;
        frames.read::<WireConfigReply>().await
    };
    let limit = if wants_endpoints { LIST_EXCHANGE_TIMEOUT } else { EXCHANGE_TIMEOUT };
    let reply = match timeout(limit, exchange).await {
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
    // Evacuations apply before the first request is served under the version.
    if let Some(evacuations) = &reply.evacuations {
        cx.apply_evacuations(&evacuations_from_wire(evacuations), "host", Instant::now());
    }
    apply_version(&cx, PackedSet::from(reply.packed_set));
    apply_endpoints(&cx, PackedSet::from(reply.packed_endpoints));
}

fn apply_version<W, R>(cx: &Rc<Host<W, R>>, packed: PackedSet)
where
    R: Registry,
{
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

fn apply_endpoints<W, R>(cx: &Rc<Host<W, R>>, packed: PackedSet)
where
    W: Wire,
    R: Registry,
{
    if packed.is_empty() {
        return;
    }
    let list = packed
        .unpack()
        .and_then(|list| WireEndpointList::decode(list.as_slice()).map_err(io::Error::other));
    match list {
        Ok(list) => {
            let changes = list.endpoints.iter().filter_map(|wire| cx.endpoint_change(wire));
            endpoint_watch::apply_changes(cx, changes, Instant::now(), "host");
            cx.has_full_list.set(true);
        }
        Err(err) => {
            warn!(cx.log, "endpoint list could not be decoded"; "source" => "host", "error" => %err)
        }
    }
}
