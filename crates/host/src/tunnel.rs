//! Connections to endpoints through other hosts.
//!
//! A host that is cut off from the endpoints asks another one to connect to an endpoint, and uses that
//! connection as its own. The other host forwards bytes in both directions and closes each end as the
//! other one was closed: decisions, deadlines and retries remain with the host that serves the client, so
//! that a request is sent exactly as often as over a direct connection. [`crate::tunnel_bytes`] marks the
//! end of the endpoint's bytes.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_membership::Member;
use camphorloft_peer::seal::FrameKeys;
use camphorloft_peer::wire::{
    WireConfigRequest, WireTunnelReply, WireTunnelRequest, WireTunnelResult,
};
use camphorloft_serving::prelude::Residency;
use camphorloft_types::prelude::*;
use quick_error::quick_error;
use rand::Rng;
use slog::{debug, info};
use socket2::SockRef;
use tokio::io::{AsyncWriteExt, copy, join};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::boundary::{Registry, Wire};
use crate::connecting::{connect_timeout, open_directly, try_own_links};
use crate::context::{Host, Stage, State};
use crate::frame_stream::FrameStream;
use crate::tunnel_bytes::{forward_marked, forwarded_bytes};
use crate::upstream::{HttpConnection, set_keepalive_options, set_liveness_options, start_http};

/// Maximum number of hosts that are asked for one connection.
const MAX_HOSTS_ASKED: usize = 3;
/// Number of hosts that find an endpoint unreachable after which no further one is asked. If no further one
/// can help, one host is enough.
const MIN_WITNESSES: usize = 2;
/// Time for which a host that did not help is not asked again.
const EXCLUSION_PERIOD: Duration = Duration::from_secs(1);
/// Time for the messages of two hosts, in addition to the time to connect to the endpoint: two round trips
/// between regions, and a margin.
const MESSAGE_TIME: Duration = Duration::from_millis(150);
/// Maximum time to connect to an endpoint for another host.
const MAX_CONNECT_TIME: Duration = Duration::from_millis(350);
/// Maximum number of connections that one host forwards.
const MAX_TUNNELS: usize = 512;
/// Time after which unacknowledged data closes a forwarded connection to a host, which stops reading while
/// its client does. Clients wait less long for a response.
const HOST_USER_TIMEOUT: Duration = Duration::from_secs(60);

quick_error! {
    /// Reason that an endpoint was not reached through another host.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum TunnelError {
        /// No other host can help.
        NoHost {
            display("no other host reaches the endpoints")
        }
        /// The zone of the endpoint is evacuated, as another host knows.
        Evacuated {
            display("the zone of the endpoint is evacuated")
        }
        /// Other hosts do not reach the endpoint either.
        Unreachable {
            display("other hosts do not reach the endpoint either")
        }
    }
}

/// Hosts that did not help, and when they may be asked again.
#[derive(Clone, Debug, Default)]
pub struct ExcludedHosts(BTreeMap<HostName, (AvailabilityZone, Instant)>);

impl ExcludedHosts {
    fn exclude(&mut self, host: &Member, now: Instant) {
        self.0.retain(|_, (_, until)| *until > now);
        self.0.insert(host.host.clone(), (host.zone.clone(), now + EXCLUSION_PERIOD));
    }

    fn contains(&self, host: &HostName, now: Instant) -> bool {
        self.0.get(host).is_some_and(|(_, until)| *until > now)
    }

    /// Returns true if a host of the zone is excluded: links are often lost by the whole zone.
    fn affects_zone(&self, zone: &AvailabilityZone, now: Instant) -> bool {
        self.0.values().any(|(of, until)| of == zone && *until > now)
    }
}

/// Connects to an endpoint through another host in a region that `residency` allows, within `left`.
///
/// # Errors
///
/// Returns [`TunnelError`] if no host that was asked connects to the endpoint.
pub async fn open<W, R>(
    cx: &Rc<Host<W, R>>,
    ix: EndpointIx,
    residency: &Residency,
    left: Duration,
) -> Result<HttpConnection, TunnelError> {
    let keys = cx.frame_keys().ok_or(TunnelError::NoHost)?;
    let deadline = Instant::now() + left.min(MAX_CONNECT_TIME * 4);
    let (mut asked, mut witnesses) = (Vec::new(), 0);
    while asked.len() < MAX_HOSTS_ASKED && Instant::now() < deadline {
        let Some((via, endpoint)) = choose_host(cx, ix, residency, &asked) else { break };
        asked.push(via.host.clone());
        let allowed = MAX_CONNECT_TIME.min(deadline.saturating_duration_since(Instant::now()));
        let request = WireTunnelRequest {
            endpoint,
            timeout_ms: u32::try_from(allowed.as_millis()).unwrap_or(u32::MAX),
            marks_end: true,
        };
        let result = timeout(allowed + MESSAGE_TIME, ask(via.addr, keys.clone(), request)).await;
        let detail = match result {
            Ok(Ok((WireTunnelResult::Connected, marks_end, stream))) => {
                let (rx, tx) = stream.into_split();
                let stream = join(forwarded_bytes(rx, marks_end), tx);
                match start_http(stream).await {
                    Ok(connection) => return Ok(connection.through(via.host)),
                    Err(err) => err.to_string(),
                }
            }
            Ok(Ok((WireTunnelResult::Unreachable, ..))) => {
                witnesses += 1;
                if witnesses >= MIN_WITNESSES {
                    return Err(TunnelError::Unreachable);
                }
                continue;
            }
            Ok(Ok((WireTunnelResult::Evacuated, ..))) => return Err(TunnelError::Evacuated),
            Ok(Ok((result, ..))) => format!("{result:?}"),
            Ok(Err(err)) => err.to_string(),
            Err(_) => "no response in time".to_owned(),
        };
        info!(cx.log, "host does not connect for this one"; "via" => %via.host, "error" => detail);
        cx.state.borrow_mut().excluded_hosts.exclude(&via, Instant::now());
    }
    Err(if witnesses > 0 { TunnelError::Unreachable } else { TunnelError::NoHost })
}

/// Selects the host to ask next, and returns it with the digest of the endpoint: a host of the endpoint's
/// region if there is one, of a zone in which no host has failed to help. The request passes through it, so
/// that it has to be in an allowed region.
fn choose_host<W, R>(
    cx: &Host<W, R>,
    ix: EndpointIx,
    residency: &Residency,
    asked: &[HostName],
) -> Option<(Member, u64)> {
    let now = Instant::now();
    let mut guard = cx.state.borrow_mut();
    let State { fleet, peers, excluded_hosts, rng, .. } = &mut *guard;
    let endpoint = fleet.get(ix)?;
    let region = fleet.locality().regions.get(&endpoint.entry.zone);
    let hosts = peers.live().filter(|member| {
        residency.allows(&member.region)
            && !asked.contains(&member.host)
            && !excluded_hosts.contains(&member.host, now)
    });
    let host = hosts.min_by_key(|member| {
        let is_near = Some(&member.region) == region;
        (excluded_hosts.affects_zone(&member.zone, now), !is_near, rng.random::<u32>())
    })?;
    Some((host.clone(), endpoint.digest))
}

/// Asks a host for a connection. Returns its result, whether it marks the end of the endpoint's bytes, and
/// the connection.
async fn ask(
    addr: SocketAddr,
    keys: FrameKeys,
    request: WireTunnelRequest,
) -> io::Result<(WireTunnelResult, bool, TcpStream)> {
    let stream = TcpStream::connect(addr).await?;
    set_liveness_options(&stream)?;
    let mut frames = FrameStream::new(stream, keys);
    frames.write(&WireConfigRequest { tunnel: Some(request), ..Default::default() }).await?;
    let reply: WireTunnelReply = frames.read().await?;
    Ok((reply.result(), reply.marks_end, frames.into_stream()?))
}

/// Connects to an endpoint for another host and forwards the connection until it ends.
pub async fn serve<W, R>(
    cx: Rc<Host<W, R>>,
    mut frames: FrameStream,
    request: WireTunnelRequest,
) -> io::Result<()>
where
    W: Wire,
    R: Registry,
{
    let (result, endpoint) = match connect_for(&cx, request).await {
        Ok(endpoint) => (WireTunnelResult::Connected, Some(endpoint)),
        Err(result) => (result, None),
    };
    let marks_end = request.marks_end;
    frames.write(&WireTunnelReply { result: result.into(), marks_end }).await?;
    let host = frames.into_stream()?;
    let Some(endpoint) = endpoint else { return Ok(()) };
    set_keepalive_options(&host)?;
    SockRef::from(&host).set_tcp_user_timeout(Some(HOST_USER_TIMEOUT))?;
    let _open = OpenTunnel::new(&cx);
    forward(host, endpoint, marks_end).await
}

async fn connect_for<W, R>(
    cx: &Rc<Host<W, R>>,
    request: WireTunnelRequest,
) -> Result<TcpStream, WireTunnelResult>
where
    W: Wire,
    R: Registry,
{
    let ix = {
        let state = cx.state.borrow();
        let now = Instant::now();
        let ix = state.fleet.find_digest(request.endpoint);
        let endpoint = ix.and_then(|ix| state.fleet.get(ix));
        let is_held_off = endpoint.is_some_and(|endpoint| endpoint.is_held_off(now));
        let is_busy = cx.open_tunnels.get() >= MAX_TUNNELS;
        if matches!(cx.stage(), Stage::Draining { .. }) || is_busy || is_held_off {
            return Err(WireTunnelResult::Refused);
        }
        if endpoint.is_some_and(|endpoint| endpoint.is_evacuated) {
            return Err(WireTunnelResult::Evacuated);
        }
        ix.ok_or(WireTunnelResult::UnknownEndpoint)?
    };
    if cx.state.borrow().reachability.is_cut_off() {
        try_own_links(cx, ix);
        return Err(WireTunnelResult::CutOff);
    }
    let allowed = {
        let state = cx.state.borrow();
        let endpoint = state.fleet.get(ix).ok_or(WireTunnelResult::UnknownEndpoint)?;
        connect_timeout(endpoint).min(Duration::from_millis(u64::from(request.timeout_ms)))
    };
    match open_directly(cx, ix, allowed).await {
        Ok(stream) => Ok(stream),
        Err(err) => {
            debug!(cx.log, "endpoint not reached for another host"; "error" => %err);
            let is_cut_off = cx.state.borrow().reachability.is_cut_off();
            Err(if is_cut_off { WireTunnelResult::CutOff } else { WireTunnelResult::Unreachable })
        }
    }
}

/// Counts an open tunnel until dropped.
struct OpenTunnel<W, R>(Rc<Host<W, R>>);

impl<W, R> OpenTunnel<W, R> {
    fn new(cx: &Rc<Host<W, R>>) -> Self {
        cx.open_tunnels.set(cx.open_tunnels.get() + 1);
        Self(cx.clone())
    }
}

impl<W, R> Drop for OpenTunnel<W, R> {
    fn drop(&mut self) {
        self.0.open_tunnels.set(self.0.open_tunnels.get() - 1);
    }
}

/// Forwards a connection until one end closes. A host that closes its end has abandoned the request, so
/// that the endpoint's end is closed too. The host's end is reset unless the endpoint's bytes ended, also
/// when this process ends: an older host takes the end of the connection for the end of the response.
async fn forward(mut host: TcpStream, mut endpoint: TcpStream, marks_end: bool) -> io::Result<()> {
    SockRef::from(&host).set_linger(Some(Duration::ZERO))?;
    let (mut host_rx, mut host_tx) = host.split();
    let (mut endpoint_rx, mut endpoint_tx) = endpoint.split();
    let mut requests = pin!(copy(&mut host_rx, &mut endpoint_tx));
    let responses = async {
        match marks_end {
            true => forward_marked(&mut endpoint_rx, &mut host_tx).await?,
            false => drop(copy(&mut endpoint_rx, &mut host_tx).await?),
        }
        host_tx.shutdown().await
    };
    tokio::select! {
        result = &mut requests => return result.map(drop),
        result = responses => result?,
    }
    // The host closes its end when it has read the rest.
    requests.await.map(drop)
}
