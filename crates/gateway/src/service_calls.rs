//! Serves calls to services that are not engines.
//!
//! An idempotent call is tried on each replica until one responds without a server error. Every
//! other call runs at most once: its claim is durable before it is dispatched, it is dispatched to
//! one replica only, and a retry by the client is answered from the claim.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use camphorloft_config::object::Service;
use camphorloft_http::client::{Deadlines, is_not_sent, unpooled_agent};
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
use crate::generations::AuthenticatedClient;

/// Time after the request for a claim within which its call may be dispatched.
const DISPATCH_WINDOW: Duration = Duration::from_secs(4);
/// Time after which a client may retry a call that is in progress.
const IN_PROGRESS_RETRY: Duration = Duration::from_secs(1);
/// Time after which a client may retry a call that was rejected.
const REJECTED_RETRY: Duration = Duration::from_secs(2);
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// A call received from a client.
pub struct ServiceCall {
    /// Name of the service.
    pub service: ServiceName,
    /// HTTP method.
    pub method: String,
    /// Path within the service, with its query.
    pub path: String,
    /// Media type of the body.
    pub content_type: String,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Idempotency key chosen by the client.
    pub key: Option<String>,
}

/// Dependencies for serving calls.
pub struct ServiceContext<'a, C>
where
    C: Control,
{
    /// The decision core.
    pub control: &'a Arc<C>,
    /// Client of the claim service.
    pub claims: &'a ClaimClient,
    /// HTTP client that opens a connection per call.
    pub agent: &'a Agent,
    /// Name of this host.
    pub host: &'a HostName,
    /// When this process started, in milliseconds since the epoch.
    pub started_ms: u64,
    /// Value that is unique among all claims.
    pub nonce: String,
}

/// Builds the HTTP client for calls to services.
pub fn service_agent() -> Agent {
    unpooled_agent(Deadlines {
        connect: CONNECT_TIMEOUT,
        response: RESPONSE_TIMEOUT,
        progress: RESPONSE_TIMEOUT,
    })
}

/// Result of one dispatch.
enum DispatchResult {
    /// The service responded.
    Response(StoredResponse),
    /// No byte of the call was sent.
    NotSent(String),
    /// The call may have been sent, but no complete response was received.
    Lost(String),
}

/// Serves one call and returns its outcome.
pub fn serve_call<C>(
    cx: &ServiceContext<'_, C>,
    req: Request,
    client: &AuthenticatedClient,
    call: &ServiceCall,
) -> Outcome
where
    C: Control,
{
    let service = client.serving.set.service_for(call.service.as_str(), client.organisation);
    let Some(service) = service else {
        let detail = format!("no service {} for this organisation", call.service);
        return reject(req, &Problem::not_run(404, "unknown_service", detail));
    };
    let path = call.path.split('?').next().unwrap_or_default();
    if service.is_idempotent(&call.method, path) {
        return serve_idempotent(cx, req, service, call);
    }
    match call.key.as_deref() {
        Some(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => {
            serve_at_most_once(cx, req, client, service, call, key)
        }
        _ => {
            let detail = "the call may not be repeated, so it needs an Idempotency-Key header \
                          of 1 to 256 bytes";
            reject(req, &Problem::not_run(400, "missing_idempotency_key", detail))
        }
    }
}

fn reject(req: Request, problem: &Problem) -> Outcome {
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
    let mut last_failure = "the service has no replica".to_owned();
    let mut sent = false;
    for addr in &service.endpoints {
        match dispatch(cx.agent, *addr, call) {
            DispatchResult::Response(response) if response.status < 500 => {
                return respond(req, &response, false);
            }
            DispatchResult::Response(response) => {
                sent = true;
                last_failure = format!("{addr} answered with status {}", response.status);
            }
            DispatchResult::NotSent(detail) => last_failure = detail,
            DispatchResult::Lost(detail) => {
                sent = true;
                last_failure = detail;
            }
        }
    }
    let problem = if sent {
        Problem::unknown(502, "service_failed", last_failure)
    } else {
        Problem::not_run(503, "service_unreachable", last_failure)
    };
    reject(req, &problem.retry_after(REJECTED_RETRY))
}

fn serve_at_most_once<C>(
    cx: &ServiceContext<'_, C>,
    req: Request,
    client: &AuthenticatedClient,
    service: &Service,
    call: &ServiceCall,
    key: &str,
) -> Outcome
where
    C: Control,
{
    let claim_requested_at = Instant::now();
    let key = ClaimKey::new(client.organisation_name(), &call.service, key);
    let record = ClaimRecord {
        nonce: cx.nonce.clone(),
        host: cx.host.clone(),
        started_ms: cx.started_ms,
        fingerprint: fingerprint(call),
        state: ClaimState::Claimed,
    };
    let request = ClaimRequest { key: key.clone(), record: record.clone() };
    match cx.claims.claim(request) {
        ClaimDecision::Granted => {
            dispatch_claimed(cx, req, service, call, claim_requested_at, key, record)
        }
        ClaimDecision::Existing(existing) => respond_from_claim(cx, req, &existing, &record),
        ClaimDecision::Unconfirmed => {
            let detail = "the claim of the call could not be confirmed by the platform";
            let problem = Problem::not_run(503, "claim_unconfirmed", detail);
            reject(req, &problem.retry_after(REJECTED_RETRY))
        }
    }
}

/// Dispatches a claimed call at most once and records the result in the claim.
fn dispatch_claimed<C>(
    cx: &ServiceContext<'_, C>,
    req: Request,
    service: &Service,
    call: &ServiceCall,
    claim_requested_at: Instant,
    key: ClaimKey,
    record: ClaimRecord,
) -> Outcome
where
    C: Control,
{
    let mut last_failure = "the service has no replica".to_owned();
    let mut dispatches = 0;
    for addr in &service.endpoints {
        // The process may have been paused since the claim. A late dispatch would still be the
        // only one, but the client may have stopped waiting.
        if claim_requested_at.elapsed() > DISPATCH_WINDOW {
            last_failure = "the host was paused between the claim and the call".to_owned();
            break;
        }
        dispatches += 1;
        match dispatch(cx.agent, *addr, call) {
            DispatchResult::NotSent(detail) => {
                dispatches -= 1;
                last_failure = detail;
            }
            DispatchResult::Response(response) if is_ambiguous(response.status) => {
                let detail = format!("{addr} answered with status {}", response.status);
                return handle_lost(cx, req, key, record, detail);
            }
            DispatchResult::Response(response) => {
                let state = ClaimState::Done(without_large_body(&response));
                cx.claims.record(key, ClaimRecord { state, ..record });
                return respond(req, &response, false);
            }
            DispatchResult::Lost(detail) => return handle_lost(cx, req, key, record, detail),
        }
    }
    if dispatches > 0 {
        cx.control.report_violation(
            Invariant::NotRunNeverSent,
            "the claim of a dispatched call was about to be released",
        );
    }
    cx.claims.record(key, ClaimRecord { state: ClaimState::Released, ..record });
    let problem = Problem::not_run(503, "service_unreachable", last_failure);
    reject(req, &problem.retry_after(REJECTED_RETRY))
}

/// Returns the response to store with the claim. A body larger than [`MAX_STORED_RESPONSE_BYTES`] is
/// left out.
fn without_large_body(response: &StoredResponse) -> StoredResponse {
    let body = response.body.clone().filter(|body| body.len() <= MAX_STORED_RESPONSE_BYTES);
    StoredResponse { body, ..response.clone() }
}

/// Returns true for a gateway error status, which leaves open whether the service ran the call.
fn is_ambiguous(status: u16) -> bool {
    matches!(status, 502..=504)
}

fn handle_lost<C>(
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
    reject(req, &Problem::unknown(504, "answer_lost", detail))
}

/// Responds to a retry from the existing claim.
fn respond_from_claim<C>(
    cx: &ServiceContext<'_, C>,
    req: Request,
    existing: &ClaimRecord,
    requested: &ClaimRecord,
) -> Outcome
where
    C: Control,
{
    if existing.fingerprint != requested.fingerprint {
        let detail = "the Idempotency-Key was used for another call";
        return reject(req, &Problem::not_run(422, "key_reused", detail));
    }
    match &existing.state {
        ClaimState::Done(stored) => respond(req, stored, true),
        ClaimState::Claimed if cx.control.is_process_alive(&existing.host, existing.started_ms) => {
            let detail = format!("host {} runs the call or has run it", existing.host);
            let problem = Problem::unknown(409, "in_progress", detail);
            reject(req, &problem.retry_after(IN_PROGRESS_RETRY))
        }
        ClaimState::Claimed => {
            let detail = format!("host {} failed while it held the call", existing.host);
            reject(req, &Problem::unknown(409, "outcome_unknown", detail))
        }
        ClaimState::Lost => {
            let detail = "the call was dispatched and its answer was lost";
            reject(req, &Problem::unknown(409, "outcome_unknown", detail))
        }
        ClaimState::Released => {
            let detail = "the first try was released before it was dispatched";
            let problem = Problem::not_run(503, "claim_released", detail);
            reject(req, &problem.retry_after(IN_PROGRESS_RETRY))
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

/// Sends the call to one replica, without retries.
fn dispatch(agent: &Agent, addr: SocketAddr, call: &ServiceCall) -> DispatchResult {
    let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
        return DispatchResult::NotSent(format!("{:?} is not an HTTP method", call.method));
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
        Err(err) => return DispatchResult::NotSent(err.to_string()),
    };
    match agent.run(request) {
        Ok(response) => read_response(response),
        Err(err) if is_not_sent(&err) => DispatchResult::NotSent(format!("{addr}: {err}")),
        Err(err) => DispatchResult::Lost(format!("{addr}: {err}")),
    }
}

fn read_response(mut response: http::Response<Body>) -> DispatchResult {
    let status = response.status().as_u16();
    let content_type = response.headers().get("content-type");
    let content_type =
        content_type.and_then(|v| v.to_str().ok()).unwrap_or("text/plain").to_owned();
    match response.body_mut().read_to_string() {
        Ok(body) => {
            DispatchResult::Response(StoredResponse { status, content_type, body: Some(body) })
        }
        Err(err) => DispatchResult::Lost(err.to_string()),
    }
}

fn respond(req: Request, stored: &StoredResponse, replayed: bool) -> Outcome {
    let body = match &stored.body {
        Some(body) => body.clone(),
        None => format!(
            "the call was answered with status {}; its body of more than {MAX_STORED_RESPONSE_BYTES} \
             bytes was not kept",
            stored.status
        ),
    };
    let mut response = Response::from_string(body)
        .with_status_code(stored.status)
        .with_header(response_header("content-type", &stored.content_type))
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
