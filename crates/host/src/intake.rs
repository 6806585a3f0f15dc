//! From a caller's head and body to a call, or a refusal.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use camphorloft_serving::prelude::*;
use camphorloft_types::prelude::*;
use http::{Request, Response, StatusCode, header, request};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use rand::Rng;
use slog::info;
use tokio::time::timeout_at;

use crate::answer_body::AnswerBody;
use crate::boundary::{DecodedHead, Registry, Wire};
use crate::call::{Call, fingerprint};
use crate::context::{Host, Stage};
use crate::own_answer::own_answer;
use crate::{generation_call, plain_call};

/// Time after which a caller should come back to a host that knows no version yet.
const UNCONFIGURED_RETRY: Duration = Duration::from_millis(500);
/// Time after which a caller should come back that asked a host that is about to end: the
/// balancer sends it to another one.
const DRAINING_RETRY: Duration = Duration::from_millis(20);
/// Time after which a caller should come back when bodies fill the host's memory.
const MEMORY_RETRY: Duration = Duration::from_millis(500);
/// Time after the signal for which a draining host takes requests on open connections.
const DRAINING_INTAKE: Duration = Duration::from_millis(2500);
/// Part of the process's memory that bodies may take.
const BODY_MEMORY_PART: f64 = 0.3;

/// A refusal before a request became a call.
struct Refusal {
    status: StatusCode,
    reason: &'static str,
    retry_after: Option<Duration>,
}

impl Refusal {
    fn new(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None }
    }

    fn later(reason: &'static str, wait: Duration) -> Self {
        Self { status: StatusCode::SERVICE_UNAVAILABLE, reason, retry_after: Some(wait) }
    }
}

/// Bytes of a body that are counted until this is dropped.
struct HeldBytes<'a> {
    total: &'a Cell<u64>,
    held: u64,
}

impl Drop for HeldBytes<'_> {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.held);
    }
}

/// Serves one request of a caller.
pub async fn serve<W, R>(cx: Rc<Host<W, R>>, req: Request<Incoming>) -> Response<AnswerBody>
where
    W: Wire,
    R: Registry,
{
    let arrived_at = Instant::now();
    let (head, body) = req.into_parts();
    let intake = match cx.wire.decode_request_head(&head) {
        Ok(intake) => intake,
        Err(err) => {
            info!(cx.log, "request malformed"; "error" => %err, "path" => head.uri.path());
            let outcome = Outcome::NotRun;
            return own_answer(StatusCode::BAD_REQUEST, outcome, "malformed_head", None);
        }
    };
    let id = intake.call.clone();
    let mut held = HeldBytes { total: &cx.buffered_bytes, held: 0 };
    let call = match take(&cx, arrived_at, head, body, intake, &mut held).await {
        Ok(call) => Rc::new(call),
        Err(refusal) => {
            cx.metrics.refusals.with_label_values(&[refusal.reason]).inc();
            info!(cx.log, "request refused"; "call" => %id, "reason" => refusal.reason,
                "status" => refusal.status.as_u16(),
                "version" => cx.serving().map(|serving| serving.version.to_string()),
                "took_ms" => arrived_at.elapsed().as_millis() as u64);
            let Refusal { status, reason, retry_after } = refusal;
            return own_answer(status, Outcome::NotRun, reason, retry_after);
        }
    };
    if call.route().retry_mode.is_stream() {
        generation_call::serve(cx.clone(), call).await
    } else {
        plain_call::serve(cx.clone(), call).await
    }
}

/// Routes a request and reads its body.
async fn take<W, R>(
    cx: &Rc<Host<W, R>>,
    arrived_at: Instant,
    head: request::Parts,
    body: Incoming,
    intake: DecodedHead,
    held: &mut HeldBytes<'_>,
) -> Result<Call, Refusal>
where
    W: Wire,
    R: Registry,
{
    let serving =
        cx.serving().ok_or_else(|| Refusal::later("no_version_known", UNCONFIGURED_RETRY))?;
    if head.headers.contains_key(header::TRANSFER_ENCODING)
        && head.headers.contains_key(header::CONTENT_LENGTH)
    {
        return Err(Refusal::new(StatusCode::BAD_REQUEST, "ambiguous_length"));
    }
    let authority = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let authority = authority.unwrap_or_default();
    let admitted = serving.resolve(authority, head.uri.path(), intake.key.as_deref());
    let (route, organisation) = admitted.map_err(|unrouted| match unrouted {
        RouteError::NoRoute => Refusal::new(StatusCode::NOT_FOUND, "no_route"),
        RouteError::NoKey => Refusal::new(StatusCode::UNAUTHORIZED, "no_key"),
    })?;
    let timeout = serving.routes[route].timeout;
    let patience = intake.timeout.unwrap_or(timeout).min(timeout);
    let due_at = arrived_at + patience;
    check_stage(cx, &serving.routes[route])?;
    let body = read_body(cx, &serving.limits, body, due_at, held).await?;
    let draw = cx.state.borrow_mut().rng.random::<f64>();
    let name = organisation.map(|ix| &serving.organisations[ix].name);
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let call = Call {
        id: intake.call,
        fingerprint: fingerprint(head.method.as_str(), path, name, &body),
        service: serving.routes[route].choose_target(draw),
        head,
        body,
        serving,
        route,
        organisation,
        generation: intake.generation.unwrap_or_default(),
        last_event: intake.last_event,
        arrived_at,
        due_at,
    };
    let now = Instant::now();
    if cx.state.borrow().poison.is_refused(call.fingerprint, now) {
        return Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "crashes_endpoints"));
    }
    Ok(call)
}

/// Refuses what a draining host cannot finish.
fn check_stage<W, R>(cx: &Rc<Host<W, R>>, route: &Route) -> Result<(), Refusal> {
    let Stage::Draining { since } = cx.stage() else { return Ok(()) };
    let left = cx.grace.get().saturating_sub(since.elapsed());
    let long = route.retry_mode.is_stream() && route.timeout > left;
    if long || since.elapsed() > DRAINING_INTAKE {
        return Err(Refusal::later("draining", DRAINING_RETRY));
    }
    Ok(())
}

async fn read_body<W, R>(
    cx: &Rc<Host<W, R>>,
    limits: &ClientLimits,
    mut body: Incoming,
    due_at: Instant,
    held: &mut HeldBytes<'_>,
) -> Result<Bytes, Refusal> {
    let too_large = || Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large");
    if body.size_hint().lower() > limits.max_body.0 {
        return Err(too_large());
    }
    let memory = (cx.settings.memory.0 as f64 * BODY_MEMORY_PART) as u64;
    let mut buf = BytesMut::new();
    loop {
        let frame = timeout_at(due_at.into(), body.frame()).await;
        let frame = match frame {
            Err(_) => return Err(Refusal::later("body_too_slow", Duration::ZERO)),
            Ok(None) => return Ok(buf.freeze()),
            Ok(Some(Err(_))) => return Err(Refusal::new(StatusCode::BAD_REQUEST, "broken_body")),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else { continue };
        if (buf.len() + data.len()) as u64 > limits.max_body.0 {
            return Err(too_large());
        }
        held.held += data.len() as u64;
        held.total.set(held.total.get() + data.len() as u64);
        if held.total.get() > memory {
            return Err(Refusal::later("bodies_fill_memory", MEMORY_RETRY));
        }
        buf.extend_from_slice(&data);
    }
}
