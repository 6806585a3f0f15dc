//! Serves calls to plain services.
//!
//! An idempotent call is tried on each replica. Every other call runs at most once: its claim is
//! durable before it is dispatched, it is dispatched to one replica only, and a repetition by the
//! caller is answered from the claim.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use camphorloft_config::object::Service;
use camphorloft_http::client::{Deadlines, is_not_sent, single_use_agent};
use camphorloft_http::header::{header, response_header};
use camphorloft_http::problem::Problem;
use camphorloft_platform::claim::{
    ClaimDecision, ClaimKey, ClaimRecord, ClaimState, MAX_STORED_RESPONSE_BYTES, StoredResponse,
};
use camphorloft_platform::claim_batch::ClaimRequest;
use camphorloft_platform::claims::ClaimClient;
use camphorloft_types::prelude::*;
use tiny_http::{Request, Response};
use ureq::http::Method;
use ureq::{Agent, Body, http};

use crate::control::{Control, Invariant};
use crate::generations::Caller;

/// Time between the request for a claim and the last instant at which its call may be dispatched.
const DISPATCH_WINDOW: Duration = Duration::from_secs(4);
/// Time after which a caller may ask again about a call in progress.
const IN_PROGRESS_RETRY: Duration = Duration::from_secs(1);
/// Time after which a caller may try a refused call again.
const REFUSED_RETRY: Duration = Duration::from_secs(2);
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
const CONNECT: Duration = Duration::from_secs(1);
const RESPONSE: Duration = Duration::from_secs(5);

/// A call as the caller sent it.
pub struct ServiceCall {
    /// Name of the service.
    pub service: ServiceName,
    /// HTTP method.
    pub method: String,
    /// Path within the service, with its query.
    pub path: String,
    /// Media type of the body.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
    /// The caller's idempotency key.
    pub key: Option<String>,
}

/// What the serving of calls needs.
pub struct ServiceContext<'a, C>
where
    C: Control,
{
    /// The decision core.
    pub control: &'a Arc<C>,
    /// Client of the claim service.
    pub claims: &'a ClaimClient,
    /// Agent that opens a connection per call.
    pub agent: &'a Agent,
    /// This host.
    pub host: &'a HostName,
    /// When this process started, in milliseconds since the epoch.
    pub started_ms: u64,
    /// A value that is unique among all claims.
    pub nonce: String,
}

/// Builds the agent for calls to services.
pub fn service_agent() -> Agent {
    single_use_agent(Deadlines { connect: CONNECT, response: RESPONSE, progress: RESPONSE })
}

/// How one dispatch ended.
enum Dispatched {
    /// The service answered.
    Answered(StoredResponse),
    /// No byte left this host.
    NotSent(String),
    /// The answer was lost.
    Lost(String),
}

/// Serves one call. Returns how it ended.
pub fn serve_call<C>(
    cx: &ServiceContext<'_, C>,
    req: Request,
    caller: &Caller,
    call: &ServiceCall,
) -> Outcome
where
    C: Control,
{
    let found = caller.serving.set.service_for(call.service.as_str(), caller.organisation);
    let Some(service) = found else {
        let detail = format!("no service {} for this organisation", call.service);
        return refuse(req, &Problem::not_run(404, "unknown_service", detail));
    };
    let path = call.path.split('?').next().unwrap_or_default();
    if service.is_idempotent(&call.method, path) {
        return serve_idempotent(cx, req, service, call);
    }
    match call.key.as_deref() {
        Some(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => {
            serve_once(cx, req, caller, service, call, key)
        }
        _ => {
            let detail = "the call may not be repeated, so it needs an Idempotency-Key header \
                          of 1 to 256 bytes";
            refuse(req, &Problem::not_run(400, "missing_idempotency_key", detail))
        }
    }
}

fn refuse(req: Request, problem: &Problem) -> Outcome {
    problem.respond(req);
    problem.outcome
}

fn serve_idempotent<C>(
    cx: &ServiceContext<'_, C>,
    req: Request,
    service: &Service,
    call: &ServiceCall,
) -> Outcome
where
    C: Control,
{
    let mut last = "the service has no replica".to_owned();
    let mut sent = false;
    for addr in &service.endpoints {
        match dispatch(cx.agent, *addr, call) {
            Dispatched::Answered(answer) if answer.status < 500 => {
                return respond(req, &answer, false);
            }
            Dispatched::Answered(answer) => {
                sent = true;
                last = format!("{addr} answered with status {}", answer.status);
            }
            Dispatched::NotSent(detail) => last = detail,
            Dispatched::Lost(detail) => {
                sent = true;
                last = detail;
            }
        }
    }
    let problem = if sent {
        Problem::unknown(502, "service_failed", last)
    } else {
        Problem::not_run(503, "service_unreachable", last)
    };
    refuse(req, &problem.retry_after(REFUSED_RETRY))
}

fn serve_once<C>(
    cx: &ServiceContext<'_, C>,
    req: Request,
    caller: &Caller,
    service: &Service,
    call: &ServiceCall,
    key: &str,
) -> Outcome
where
    C: Control,
{
    let asked_at = Instant::now();
    let key = ClaimKey::new(caller.name(), &call.service, key);
    let record = ClaimRecord {
        nonce: cx.nonce.clone(),
        host: cx.host.clone(),
        started_ms: cx.started_ms,
        fingerprint: fingerprint(call),
        state: ClaimState::Claimed,
    };
    let request = ClaimRequest { key: key.clone(), record: record.clone() };
    match cx.claims.claim(request) {
        ClaimDecision::Granted => dispatch_claimed(cx, req, service, call, asked_at, key, record),
        ClaimDecision::Existing(existing) => answer_existing(cx, req, &existing, &record),
        ClaimDecision::Unconfirmed => {
            let detail = "the claim of the call could not be confirmed by the platform";
            let problem = Problem::not_run(503, "claim_unconfirmed", detail);
            refuse(req, &problem.retry_after(REFUSED_RETRY))
        }
    }
}

/// Dispatches a claimed call once and records how it ended.
fn dispatch_claimed<C>(
    cx: &ServiceContext<'_, C>,
    req: Request,
    service: &Service,
    call: &ServiceCall,
    asked_at: Instant,
    key: ClaimKey,
    record: ClaimRecord,
) -> Outcome
where
    C: Control,
{
    let mut last = "the service has no replica".to_owned();
    let mut dispatches = 0;
    for addr in &service.endpoints {
        // A pause may lie between the claim and this point. A late dispatch would still be the
        // only one, but its caller may have given up.
        if asked_at.elapsed() > DISPATCH_WINDOW {
            last = "the host was paused between the claim and the call".to_owned();
            break;
        }
        dispatches += 1;
        match dispatch(cx.agent, *addr, call) {
            Dispatched::NotSent(detail) => {
                dispatches -= 1;
                last = detail;
            }
            Dispatched::Answered(answer) if is_ambiguous(answer.status) => {
                let detail = format!("{addr} answered with status {}", answer.status);
                return answer_lost(cx, req, key, record, detail);
            }
            Dispatched::Answered(answer) => {
                let state = ClaimState::Done(kept(&answer));
                cx.claims.record(key, ClaimRecord { state, ..record });
                return respond(req, &answer, false);
            }
            Dispatched::Lost(detail) => return answer_lost(cx, req, key, record, detail),
        }
    }
    if dispatches > 0 {
        cx.control.violated(Invariant::NotRunWasNotRun, "a dispatched call was to be released");
    }
    cx.claims.record(key, ClaimRecord { state: ClaimState::Released, ..record });
    let problem = Problem::not_run(503, "service_unreachable", last);
    refuse(req, &problem.retry_after(REFUSED_RETRY))
}

/// Returns the answer as it is kept with its claim, without a large body.
fn kept(answer: &StoredResponse) -> StoredResponse {
    let body = answer.body.clone().filter(|body| body.len() <= MAX_STORED_RESPONSE_BYTES);
    StoredResponse { body, ..answer.clone() }
}

/// A gateway status does not tell whether the service ran the call.
fn is_ambiguous(status: u16) -> bool {
    matches!(status, 502..=504)
}

fn answer_lost<C>(
    cx: &ServiceContext<'_, C>,
    req: Request,
    key: ClaimKey,
    record: ClaimRecord,
    detail: String,
) -> Outcome
where
    C: Control,
{
    cx.claims.record(key, ClaimRecord { state: ClaimState::Lost, ..record });
    refuse(req, &Problem::unknown(504, "answer_lost", detail))
}

/// Answers a repetition from the claim that stands.
fn answer_existing<C>(
    cx: &ServiceContext<'_, C>,
    req: Request,
    existing: &ClaimRecord,
    wanted: &ClaimRecord,
) -> Outcome
where
    C: Control,
{
    if existing.fingerprint != wanted.fingerprint {
        let detail = "the Idempotency-Key was used for another call";
        return refuse(req, &Problem::not_run(422, "key_reused", detail));
    }
    match &existing.state {
        ClaimState::Done(answer) => respond(req, answer, true),
        ClaimState::Claimed if cx.control.is_process_alive(&existing.host, existing.started_ms) => {
            let detail = format!("host {} runs the call or has run it", existing.host);
            let problem = Problem::unknown(409, "in_progress", detail);
            refuse(req, &problem.retry_after(IN_PROGRESS_RETRY))
        }
        ClaimState::Claimed => {
            let detail = format!("host {} failed while it held the call", existing.host);
            refuse(req, &Problem::unknown(409, "outcome_unknown", detail))
        }
        ClaimState::Lost => {
            let detail = "the call was dispatched and its answer was lost";
            refuse(req, &Problem::unknown(409, "outcome_unknown", detail))
        }
        ClaimState::Released => {
            let detail = "the first try was released before it was dispatched";
            let problem = Problem::not_run(503, "claim_released", detail);
            refuse(req, &problem.retry_after(IN_PROGRESS_RETRY))
        }
    }
}

fn fingerprint(call: &ServiceCall) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [call.method.as_bytes(), call.path.as_bytes(), &call.body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().to_string()
}

/// Sends the call once.
fn dispatch(agent: &Agent, addr: SocketAddr, call: &ServiceCall) -> Dispatched {
    let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
        return Dispatched::NotSent(format!("{:?} is not an HTTP method", call.method));
    };
    let request = http::Request::builder()
        .method(method)
        .uri(format!("http://{addr}{}", call.path))
        .header("content-type", &call.content_type)
        .header("idempotency-key", call.key.as_deref().unwrap_or_default())
        .header("connection", "close")
        .body(call.body.as_slice());
    let request = match request {
        Ok(request) => request,
        Err(err) => return Dispatched::NotSent(err.to_string()),
    };
    match agent.run(request) {
        Ok(response) => read_answer(response),
        Err(err) if is_not_sent(&err) => Dispatched::NotSent(format!("{addr}: {err}")),
        Err(err) => Dispatched::Lost(format!("{addr}: {err}")),
    }
}

fn read_answer(mut response: http::Response<Body>) -> Dispatched {
    let status = response.status().as_u16();
    let content_type = response.headers().get("content-type");
    let content_type =
        content_type.and_then(|v| v.to_str().ok()).unwrap_or("text/plain").to_owned();
    match response.body_mut().read_to_string() {
        Ok(body) => Dispatched::Answered(StoredResponse { status, content_type, body: Some(body) }),
        Err(err) => Dispatched::Lost(err.to_string()),
    }
}

fn respond(req: Request, answer: &StoredResponse, replayed: bool) -> Outcome {
    let body = match &answer.body {
        Some(body) => body.clone(),
        None => format!(
            "the call was answered with status {}; its body of more than {MAX_STORED_RESPONSE_BYTES} \
             bytes was not kept",
            answer.status
        ),
    };
    let mut response = Response::from_string(body)
        .with_status_code(answer.status)
        .with_header(response_header("content-type", &answer.content_type))
        .with_header(response_header("camphorloft-outcome", Outcome::Completed.as_str()));
    if replayed {
        response.add_header(response_header("camphorloft-replayed", "true"));
    }
    match req.respond(response) {
        Ok(()) => Outcome::Completed,
        Err(_) => Outcome::Unknown,
    }
}

/// Returns the idempotency key of a request.
pub fn idempotency_key(req: &Request) -> Option<String> {
    header(req, "idempotency-key").map(str::to_owned)
}
