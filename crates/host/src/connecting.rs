//! Connects to endpoints, over the host's own links or through another host.

use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_serving::prelude::Residency;
use camphorloft_types::prelude::*;
use slog::info;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use crate::boundary::{Registry, Wire};
use crate::context::{Host, State};
use crate::crash_check::endpoint_name;
use crate::list_confirmation::MAX_CONFIRMATION_TIME;
use crate::tunnel::{self, TunnelError};
use crate::upstream::{Exchange, ExchangeError, HttpConnection, connect_stream, start_http};

/// Margin added to the connect timeout for a listener under load.
const CONNECT_TIMEOUT_MARGIN: Duration = Duration::from_millis(150);
/// Connect timeout as a multiple of the endpoint's average connect time.
const CONNECT_TIMEOUT_FACTOR: u32 = 4;
/// Shortest time in which an endpoint that ended is back.
const MIN_RESTART_TIME: Duration = Duration::from_millis(500);
/// Time in which an endpoint that has started is listed, which writes to the registry about once a second.
const LISTING_TIME: Duration = Duration::from_millis(1500);
/// Time within which an endpoint or a link that is probed has to respond.
const MAX_PROBE_TIME: Duration = Duration::from_secs(1);

/// Returns the time within which a reachable endpoint accepts a connection.
pub fn connect_timeout(endpoint: &Endpoint) -> Duration {
    endpoint.connect_time() * CONNECT_TIMEOUT_FACTOR + CONNECT_TIMEOUT_MARGIN
}

/// Returns true if an endpoint accepts a connection, and records the result.
pub async fn probe_endpoint<W, R>(cx: &Rc<Host<W, R>>, ix: EndpointIx) -> bool
where
    W: Wire,
    R: Registry,
{
    // A probe carries no request, so that it may take any path.
    connect_to(cx, ix, &Residency::UNRESTRICTED, MAX_PROBE_TIME).await.is_ok()
}

/// Returns true if a response ended because its endpoint did. The operating system closes the connections of a
/// process that ends, which looks like the end of a response without a length. An endpoint that
/// accepts no connection has ended. If nothing was received for a while, or this process `was_paused`, it may
/// also have started again meanwhile, which its entry in the list shows.
pub async fn is_cut_short<W, R>(
    cx: &Rc<Host<W, R>>,
    ix: EndpointIx,
    exchange: &Exchange,
    was_paused: bool,
) -> bool
where
    W: Wire,
    R: Registry,
{
    if exchange.has_explicit_end() {
        return false;
    }
    let is_doubtful = was_paused || exchange.longest_silence() >= MIN_RESTART_TIME;
    !probe_endpoint(cx, ix).await
        || is_doubtful && !is_same_process(cx, ix, exchange.read_at()).await
}

/// Returns true if the endpoint list confirms that the process of an endpoint ran at `at`. One that started
/// before and is not listed yet is listed after its first heartbeat.
async fn is_same_process<W, R>(cx: &Rc<Host<W, R>>, ix: EndpointIx, at: Instant) -> bool
where
    W: Wire,
    R: Registry,
{
    let listed_by = at + LISTING_TIME;
    let until = listed_by + MAX_CONFIRMATION_TIME;
    let is_confirmed = cx.confirm_list(listed_by, until, || !was_replaced(cx, ix)).await;
    if was_replaced(cx, ix) {
        info!(cx.log, "endpoint was replaced"; "endpoint" => endpoint_name(cx, ix));
        return false;
    }
    if !is_confirmed {
        info!(cx.log, "end of a response not confirmed"; "endpoint" => endpoint_name(cx, ix));
    }
    is_confirmed
}

/// Returns true if another process is listed under the name or the address of an endpoint.
fn was_replaced<W, R>(cx: &Host<W, R>, ix: EndpointIx) -> bool {
    let state = cx.state.borrow();
    let Some(endpoint) = state.fleet.get(ix) else { return true };
    let mut others = state.fleet.iter().filter(|(_, e)| e.is_listed());
    others.any(|(_, e)| {
        let is_at_its_place =
            e.entry.addr == endpoint.entry.addr || e.entry.name == endpoint.entry.name;
        is_at_its_place && e.digest != endpoint.digest
    })
}

/// Connects to an endpoint within `left` and records the result. A host that is cut off from the
/// endpoints connects through another one, in a region that `residency` allows.
///
/// # Errors
///
/// Returns [`ExchangeError::NotSent`] if the connection failed.
pub async fn connect_to<W, R>(
    cx: &Rc<Host<W, R>>,
    ix: EndpointIx,
    residency: &Residency,
    left: Duration,
) -> Result<HttpConnection, ExchangeError>
where
    W: Wire,
    R: Registry,
{
    let deadline = Instant::now() + left;
    if cx.state.borrow().reachability.is_cut_off() {
        try_own_links(cx, ix);
    } else {
        match open_directly(cx, ix, left).await {
            Ok(stream) => return start_http(stream).await,
            Err(err) if cx.state.borrow().reachability.is_cut_off() => drop(err),
            Err(err) => {
                record_unreachable(cx, ix);
                return Err(err);
            }
        }
    }
    let left = deadline.saturating_duration_since(Instant::now());
    match tunnel::open(cx, ix, residency, left).await {
        Ok(connection) => {
            if let Some(endpoint) = cx.state.borrow_mut().fleet.get_mut(ix) {
                endpoint.reached_at = Some(Instant::now());
            }
            Ok(connection)
        }
        Err(TunnelError::Unreachable) => {
            let now = Instant::now();
            if let Some(endpoint) = cx.state.borrow_mut().fleet.get_mut(ix) {
                endpoint.health.record_unreachable(now);
            }
            cx.attribute_crash(ix, now);
            Err(ExchangeError::NotSent(TunnelError::Unreachable.to_string()))
        }
        Err(err @ TunnelError::Evacuated) => Err(ExchangeError::NotSent(err.to_string())),
        Err(TunnelError::NoHost) => {
            let left = deadline.saturating_duration_since(Instant::now());
            let stream = open_directly(cx, ix, left).await;
            start_http(stream.inspect_err(|_| record_unreachable(cx, ix))?).await
        }
    }
}

fn record_unreachable<W, R>(cx: &Rc<Host<W, R>>, ix: EndpointIx) {
    let now = Instant::now();
    if let Some(endpoint) = cx.state.borrow_mut().fleet.get_mut(ix) {
        endpoint.health.record_unreachable(now);
    }
    cx.confirm_crash(ix, now);
}

/// Connects to an endpoint over this host's own links and records whether they work.
///
/// # Errors
///
/// Returns [`ExchangeError::NotSent`] if the connection failed.
pub async fn open_directly<W, R>(
    cx: &Rc<Host<W, R>>,
    ix: EndpointIx,
    left: Duration,
) -> Result<TcpStream, ExchangeError> {
    let (addr, digest, connect_timeout) = {
        let state = cx.state.borrow();
        let Some(endpoint) = state.fleet.get(ix) else {
            return Err(ExchangeError::NotSent("the endpoint was removed".to_owned()));
        };
        let addr = cx.settings.endpoint_addr(endpoint.entry.addr);
        (addr, endpoint.digest, connect_timeout(endpoint).min(left))
    };
    let begun_at = Instant::now();
    let stream = connect_stream(addr, connect_timeout).await;
    let now = Instant::now();
    match &stream {
        Ok(_) => {
            if let Some(endpoint) = cx.state.borrow_mut().fleet.get_mut(ix) {
                endpoint.record_connect_time(now - begun_at);
                endpoint.reached_at = Some(now);
            }
            record_own_links_work(cx, digest, now);
        }
        Err(_) => record_own_links_failed(cx, ix, begun_at, now),
    }
    stream
}

/// Tries the links of a cut-off host again, if that is due.
pub fn try_own_links<W, R>(cx: &Rc<Host<W, R>>, ix: EndpointIx)
where
    W: Wire,
    R: Registry,
{
    if cx.state.borrow_mut().reachability.begin_probe(Instant::now()) {
        let cx = cx.clone();
        spawn_local(async move {
            // The result is recorded.
            let _ = open_directly(&cx, ix, MAX_PROBE_TIME).await;
        });
    }
}

fn record_own_links_work<W, R>(cx: &Rc<Host<W, R>>, endpoint: u64, now: Instant) {
    let cut_off_for = cx.state.borrow_mut().reachability.record_reached(endpoint, now);
    if let Some(duration) = cut_off_for {
        info!(cx.log, "endpoints reached again"; "after_ms" => duration.as_millis() as u64);
    }
}

fn record_own_links_failed<W, R>(
    cx: &Rc<Host<W, R>>,
    ix: EndpointIx,
    begun_at: Instant,
    now: Instant,
) {
    let mut guard = cx.state.borrow_mut();
    let State { fleet, reachability, .. } = &mut *guard;
    let Some(digest) = fleet.get(ix).map(|endpoint| endpoint.digest) else { return };
    reachability.retain_down(|digest| fleet.find_digest(digest).is_some());
    let is_up = |endpoint: &Endpoint| endpoint.is_ready() && !reachability.is_down(endpoint.digest);
    let ready = fleet.iter().filter(|(_, endpoint)| is_up(endpoint)).count();
    if !reachability.record_failed(digest, ready, begun_at, now) {
        return;
    }
    let failed: Vec<EndpointIx> =
        reachability.failed().iter().filter_map(|digest| fleet.find_digest(*digest)).collect();
    for ix in &failed {
        if let Some(endpoint) = fleet.get_mut(*ix) {
            endpoint.health.clear_unreachable();
        }
    }
    info!(cx.log, "cut off from endpoints"; "failed" => failed.len(), "endpoints_ready" => ready);
}
