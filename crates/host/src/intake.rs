//! Validates a client request and turns it into a call, or refuses it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use camphorloft_dispatch::prelude::ResidencyRefusal;
use camphorloft_dispatch::start_return::{retry_delay, start_wait};
use camphorloft_serving::prelude::*;
use camphorloft_types::prelude::*;
use http::{HeaderValue, Request, Response, StatusCode, header, request};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use rand::Rng;
use slog::info;
use tokio::time::{sleep_until, timeout_at};

use crate::boundary::{DecodedHead, Registry, Wire};
use crate::call::Call;
use crate::context::{Host, Stage};
use crate::lifecycle::wait_for_accept_end;
use crate::local_response::local_response;
use crate::memory_budget::BudgetShare;
use crate::response_body::ResponseBody;
use crate::response_end::DRAINING_RETRY_AFTER;
use crate::{generation_call, plain_call};

/// Interval at which a request that waits for the start of the host checks whether it has ended.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Retry delay sent when requests have used up their part of the memory limit.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Memory of a request besides its head and body, in bytes: the buffers of the connections to its client and its
/// endpoint, and its state.
const REQUEST_BYTES: usize = 32 << 10;
/// Number of times that a head is held: as it was received, parsed, and as it is sent.
const HEAD_COPIES: usize = 3;

/// Reason that a request was refused, and the response to send.
struct Refusal {
    status: StatusCode,
    reason: &'static str,
    retry_after: Option<Duration>,
    /// Whether the connection of the client closes after the response.
    closes_connection: bool,
    /// Route and allowed regions, if the reason is where the request may be processed.
    restriction: Option<(RouteName, Residency)>,
}

impl Refusal {
    fn new(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None, closes_connection: false, restriction: None }
    }

    fn unavailable(reason: &'static str, retry_after: Duration) -> Self {
        let retry_after = Some(retry_after);
        Self { retry_after, ..Self::new(StatusCode::SERVICE_UNAVAILABLE, reason) }
    }

    /// Closes the connection: its buffers use memory too, and another host may have some.
    fn no_memory() -> Self {
        let refusal = Self::unavailable("requests_fill_memory", MEMORY_RETRY_AFTER);
        Self { closes_connection: true, ..refusal }
    }

    fn out_of_region(refusal: ResidencyRefusal, route: &Route, residency: Residency) -> Self {
        Self {
            retry_after: refusal.retry_after(),
            restriction: Some((route.name.clone(), residency)),
            ..Self::new(StatusCode::SERVICE_UNAVAILABLE, refusal.as_str())
        }
    }
}

/// Serves one client request.
pub async fn serve<W, R>(cx: Rc<Host<W, R>>, req: Request<Incoming>) -> Response<ResponseBody>
where
    W: Wire,
    R: Registry,
{
    let arrived_at = Instant::now();
    let (head, body) = req.into_parts();
    let decoded = match cx.wire.decode_request_head(&head) {
        Ok(decoded) => decoded,
        Err(err) => {
            info!(cx.log, "malformed request head"; "error" => %err, "path" => head.uri.path());
            let outcome = Outcome::NotRun;
            return local_response(StatusCode::BAD_REQUEST, outcome, "malformed_head", None);
        }
    };
    let id = decoded.call.clone();
    let call = match admit(&cx, arrived_at, head, body, decoded).await {
        Ok(call) => Rc::new(call),
        Err(refusal) => {
            cx.metrics.refusals.with_label_values(&[refusal.reason]).inc();
            let restriction = refusal.restriction.as_ref();
            info!(cx.log, "request refused"; "call" => %id, "reason" => refusal.reason,
                "status" => refusal.status.as_u16(),
                "route" => restriction.map(|(route, _)| route.to_string()),
                "regions" => restriction.and_then(|(_, residency)| residency.log_text()),
                "version" => cx.serving().map(|serving| serving.version.to_string()),
                "took_ms" => arrived_at.elapsed().as_millis() as u64);
            let Refusal { status, reason, retry_after, closes_connection, .. } = refusal;
            let mut response = local_response(status, Outcome::NotRun, reason, retry_after);
            if closes_connection {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            return response;
        }
    };
    let deadline = call.deadline;
    let mut response = match call.route().retry_mode.is_stream() {
        true => generation_call::serve(cx.clone(), call).await,
        false => plain_call::serve(cx.clone(), call).await,
    };
    response.body_mut().set_deadline(deadline);
    response
}

/// Authenticates and routes a request and reads its body.
async fn admit<W, R>(
    cx: &Rc<Host<W, R>>,
    arrived_at: Instant,
    head: request::Parts,
    body: Incoming,
    decoded: DecodedHead,
) -> Result<Call, Refusal>
where
    W: Wire,
    R: Registry,
{
    if cx.serving().is_none() {
        wait_until_started(cx, decoded.timeout).await;
    }
    let serving = cx.serving().ok_or_else(|| {
        let draw = cx.state.borrow_mut().rng.random::<f64>();
        let time_left = decoded.timeout.map(|limit| limit.saturating_sub(arrived_at.elapsed()));
        let retry_after = retry_delay(cx.started_at.elapsed(), time_left, draw);
        Refusal::unavailable("no_version_known", retry_after)
    })?;
    if head.headers.contains_key(header::TRANSFER_ENCODING)
        && head.headers.contains_key(header::CONTENT_LENGTH)
    {
        return Err(Refusal::new(StatusCode::BAD_REQUEST, "ambiguous_length"));
    }
    let authority = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let authority = authority.unwrap_or_default();
    let resolved = serving.resolve(authority, head.uri.path(), decoded.key.as_deref());
    let (route, organisation) = resolved.map_err(|err| match err {
        RouteError::NoRoute => Refusal::new(StatusCode::NOT_FOUND, "no_route"),
        RouteError::NoKey => Refusal::new(StatusCode::UNAUTHORIZED, "no_key"),
    })?;
    let timeout = serving.routes[route].timeout;
    let time_limit = decoded.timeout.unwrap_or(timeout).min(timeout);
    let deadline = arrived_at + time_limit;
    check_draining(cx, &serving.routes[route], deadline)?;
    let draw = cx.state.borrow_mut().rng.random::<f64>();
    let service = serving.routes[route].choose_target(draw);
    let residency = serving.residency(route, organisation);
    if let Err(refusal) = cx.check_residency(&serving.services[service].name, &residency) {
        return Err(Refusal::out_of_region(refusal, &serving.routes[route], residency));
    }
    let (mut memory, mut body_memory) = (cx.request_memory.share(), cx.request_memory.share());
    let stated = body.size_hint().lower();
    if stated > serving.limits.max_body.0 {
        return Err(Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"));
    }
    let mut stages = cx.stages();
    // Bodies that were all read in part would leave memory for none of them.
    if !memory.grow(memory_of(&head)) || !body_memory.grow(stated as usize) {
        // What is left of the body is read into the memory of the head.
        drop((head, decoded, memory));
        tokio::select! {
            () = discard(body, &serving.limits, deadline) => {}
            () = wait_for_accept_end(cx, &mut stages) => {}
        }
        return Err(Refusal::no_memory());
    }
    let body = tokio::select! {
        biased;
        body = read_body(&serving.limits, body, deadline, body_memory) => body?,
        // The rest of the body may arrive only after the end of the process.
        () = wait_for_accept_end(cx, &mut stages) => {
            return Err(Refusal::unavailable("draining", DRAINING_RETRY_AFTER));
        }
    };
    let name = organisation.map(|ix| &serving.organisations[ix].name);
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let organisation_name = name.map_or("", OrganisationName::as_str);
    let content = [head.method.as_str(), path, organisation_name].map(str::as_bytes);
    let content = RequestFeature::of_content(content.into_iter().chain([&body[..]]));
    let call = Call {
        id: decoded.call,
        features: std::iter::once(content).chain(decoded.shared_parts).collect(),
        service,
        head,
        body,
        memory,
        serving,
        route,
        organisation,
        generation: decoded.generation.unwrap_or_default(),
        last_event_id: decoded.last_event_id,
        resumes: decoded.resumes,
        is_probe: Cell::new(false),
        arrived_at,
        deadline,
    };
    if cx.crashes_endpoints(&call) {
        return Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "crashes_endpoints"));
    }
    Ok(call)
}

/// Returns the memory that a request uses besides its body, in bytes.
fn memory_of(head: &request::Parts) -> usize {
    let headers = head.headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    let path = head.uri.path_and_query().map_or(0, |path| path.as_str().len());
    REQUEST_BYTES + HEAD_COPIES * (path + headers.sum::<usize>())
}

/// Waits until a host that has just started knows the configuration and the endpoints, for as long as a
/// request may wait for that. Only some requests wait at a time, which bounds their memory.
async fn wait_until_started<W, R>(cx: &Rc<Host<W, R>>, time_limit: Option<Duration>) {
    let Ok(_permit) = cx.start_waits.try_acquire() else { return };
    let wait_until = Instant::now() + start_wait(time_limit);
    let mut stages = cx.stages();
    let mut fleet_changes = cx.subscribe_fleet();
    while !cx.is_ready() && cx.stage() == Stage::Serving && Instant::now() < wait_until {
        tokio::select! {
            _ = fleet_changes.changed() => {}
            _ = stages.changed() => {}
            () = sleep_until((Instant::now() + START_CHECK_INTERVAL).min(wait_until).into()) => {}
        }
    }
}

/// Refuses requests that a draining host may not be able to finish.
fn check_draining<W, R>(
    cx: &Rc<Host<W, R>>,
    route: &Route,
    deadline: Instant,
) -> Result<(), Refusal> {
    let Stage::Draining { since } = cx.stage() else { return Ok(()) };
    if cx.is_too_late(route, deadline) || since.elapsed() > cx.accept_period() {
        return Err(Refusal::unavailable("draining", DRAINING_RETRY_AFTER));
    }
    Ok(())
}

/// Reads the body of a request into the memory of a share, which the returned bytes keep. The share already has the
/// length of the body, if that is stated from its begin.
async fn read_body(
    limits: &ClientLimits,
    mut body: Incoming,
    deadline: Instant,
    mut memory: BudgetShare,
) -> Result<Bytes, Refusal> {
    let too_large = || Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large");
    let mut reserved = body.size_hint().lower() as usize;
    let mut buf = BytesMut::with_capacity(reserved);
    loop {
        let frame = timeout_at(deadline.into(), body.frame()).await;
        let frame = match frame {
            Err(_) => return Err(Refusal::unavailable("body_too_slow", Duration::ZERO)),
            Ok(None) => return Ok(memory.hold(buf.freeze())),
            Ok(Some(Err(_))) => return Err(Refusal::new(StatusCode::BAD_REQUEST, "broken_body")),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else { continue };
        if (buf.len() + data.len()) as u64 > limits.max_body.0 {
            return Err(too_large());
        }
        buf.extend_from_slice(&data);
        if buf.len() > reserved {
            if !memory.grow(buf.len() - reserved) {
                drop((buf, memory));
                discard(body, limits, deadline).await;
                return Err(Refusal::no_memory());
            }
            reserved = buf.len();
        }
    }
}

/// Reads the rest of a body without keeping it. A client that still sends it when its connection closes would not
/// receive the response.
async fn discard(mut body: Incoming, limits: &ClientLimits, deadline: Instant) {
    let mut left = limits.max_body.0;
    while let Ok(Some(Ok(frame))) = timeout_at(deadline.into(), body.frame()).await {
        let length = frame.data_ref().map_or(0, Bytes::len) as u64;
        if length > left {
            return;
        }
        left -= length;
    }
}
