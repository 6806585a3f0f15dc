//! Serves generation requests.

use std::sync::Arc;
use std::time::Instant;

use camphorloft_engine::client::EngineClient;
use camphorloft_engine::completion::CompletionBody;
use camphorloft_http::header::header;
use camphorloft_http::problem::Problem;
use camphorloft_types::prelude::*;
use tiny_http::Request;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::control::{Control, Fingerprint, Placement, PlacementRequest, ServingSet};
use crate::event_id::{EventId, EventIdError, EventIdKey};
use crate::relay::{Relay, RunningAttempt};
use crate::request::GenerationRequest;
use crate::sink::Sink;
use crate::transcript::Transcript;

/// An authenticated client.
#[derive(Clone)]
pub struct AuthenticatedClient {
    /// Configuration against which the client was authenticated.
    pub serving: Arc<ServingSet>,
    /// Organisation of the client.
    pub organisation: OrganisationIx,
}

impl AuthenticatedClient {
    /// Returns the name of the organisation.
    pub fn organisation_name(&self) -> &OrganisationName {
        &self.serving.set.organisations[self.organisation].name
    }
}

/// Dependencies for serving generations.
pub struct GenerationContext<'a, C>
where
    C: Control,
{
    /// The decision core.
    pub control: &'a Arc<C>,
    /// HTTP client for the engines.
    pub engines: &'a EngineClient,
    /// Secrets shared by all hosts. The first one signs event identifiers; all of them verify.
    pub secrets: &'a [Vec<u8>],
    /// Identifier for a new generation.
    pub new_id: GenerationId,
}

/// Serves one request and returns its outcome.
pub fn serve_generation<C>(
    cx: &GenerationContext<'_, C>,
    req: Request,
    client: &AuthenticatedClient,
    request: GenerationRequest,
) -> Outcome
where
    C: Control,
{
    let Some(route) = client.serving.set.route_for(&request.route, client.organisation) else {
        let detail = format!("/model: no route {:?} for this organisation", request.route);
        Problem::not_run(404, "unknown_route", detail).respond(req);
        return Outcome::NotRun;
    };
    let keys: Vec<EventIdKey> = cx
        .secrets
        .iter()
        .map(|secret| EventIdKey::derive(secret, client.organisation_name()))
        .collect();
    let Some(event_id_key) = keys.first().cloned() else {
        Problem::not_run(500, "no_secret", "the host has no secret").respond(req);
        return Outcome::NotRun;
    };
    let last_event = match header(&req, "last-event-id").map(|text| verify_event_id(&keys, text)) {
        None => None,
        Some(Ok(id)) => Some(id),
        Some(Err(err)) => {
            Problem::not_run(400, "bad_last_event_id", err.to_string()).respond(req);
            return Outcome::NotRun;
        }
    };
    let transcript = match starting_transcript(&request, last_event.as_ref()) {
        Ok(transcript) => transcript,
        Err(problem) => {
            problem.respond(req);
            return problem.outcome;
        }
    };
    let id = last_event.as_ref().map_or(cx.new_id, |event| event.generation);
    let relay = Relay {
        control: cx.control,
        engines: cx.engines,
        event_id_key,
        request: placement_request(client, route, &request, id, last_event.as_ref()),
        body: engine_body(client, route, &request),
        transcript,
        sink: Sink::new(req, request.api, request.stream, id),
        may_have_run: last_event.is_some(),
    };
    match last_event {
        None => relay.run(None),
        Some(event) => resume(cx, client, relay, &event),
    }
}

/// Verifies an event identifier that was signed with any of the accepted secrets.
fn verify_event_id(keys: &[EventIdKey], text: &str) -> Result<EventId, EventIdError> {
    let mut last = EventIdError::Malformed;
    for key in keys {
        match key.verify(text) {
            Ok(id) => return Ok(id),
            Err(err) => last = err,
        }
    }
    Err(last)
}

fn starting_transcript(
    request: &GenerationRequest,
    last_event: Option<&EventId>,
) -> Result<Transcript, Problem> {
    let Some(event) = last_event else { return Ok(Transcript::new()) };
    let delivered = request.delivered.as_deref();
    Transcript::resumed(delivered, event.offset + 1, event.text_digest).ok_or_else(|| {
        let detail = "/camphorloft/delivered is not the text delivered up to Last-Event-ID";
        Problem::not_run(400, "wrong_delivered_text", detail)
    })
}

/// Resumes the stream of the running attempt if its engine still has it. Otherwise continues the
/// generation with a new attempt, which needs the delivered text.
fn resume<C>(
    cx: &GenerationContext<'_, C>,
    client: &AuthenticatedClient,
    mut relay: Relay<'_, C>,
    event: &EventId,
) -> Outcome
where
    C: Control,
{
    let set = &client.serving.set;
    let endpoint = set.endpoint_by_name(&event.endpoint).map(|ix| &set.endpoints[ix]);
    let addr = endpoint.map(|endpoint| endpoint.object.address);
    let from = event.offset + 1;
    let stream = addr.map(|addr| {
        let stream = cx.engines.resume(addr, event.generation, event.attempt, from);
        stream.map(|stream| (addr, stream))
    });
    let running = match stream {
        Some(Ok((addr, stream))) => {
            let endpoint = event.endpoint.clone();
            Some(RunningAttempt {
                placement: Placement { endpoint, addr, priority: 0, decided_at: Instant::now() },
                stream,
            })
        }
        _ if relay.transcript.text().is_some() => {
            relay.request.attempt = event.attempt.next();
            None
        }
        _ => {
            let detail = "the engine no longer has the generation; send the received text in \
                          camphorloft.delivered to continue it";
            let problem = Problem::unknown(410, "generation_lost", detail);
            relay.sink.fail(&problem);
            return problem.outcome;
        }
    };
    relay.run(running)
}

fn placement_request(
    client: &AuthenticatedClient,
    route: RouteIx,
    request: &GenerationRequest,
    generation: GenerationId,
    last_event: Option<&EventId>,
) -> PlacementRequest {
    let limit = client.serving.set.routes[route].max_output_tokens;
    let max_tokens = request.max_tokens.map_or(limit, |requested| requested.min(limit));
    let delivered = last_event.map_or(0, |event| event.offset + 1);
    PlacementRequest {
        serving: client.serving.clone(),
        generation,
        attempt: last_event.map_or(Attempt(0), |event| event.attempt),
        organisation: client.organisation,
        route,
        prompt_tokens: request.prompt_tokens(),
        delivered: TokenCount(delivered),
        max_tokens,
        prefix: request.prefix(),
        fingerprint: fingerprint(client, request),
        avoid: None,
    }
}

/// Returns the digest of what an engine would run. It leaves out the parameters that a client may
/// vary between retries.
fn fingerprint(client: &AuthenticatedClient, request: &GenerationRequest) -> Fingerprint {
    let organisation = xxh3_64_with_seed(client.organisation_name().as_str().as_bytes(), 0);
    let route = xxh3_64_with_seed(request.route.as_bytes(), organisation);
    Fingerprint(xxh3_64_with_seed(request.prompt.as_bytes(), route))
}

fn engine_body(
    client: &AuthenticatedClient,
    route: RouteIx,
    request: &GenerationRequest,
) -> CompletionBody {
    let route = &client.serving.set.routes[route];
    let model = match &route.adapter {
        Some(adapter) => adapter.to_string(),
        None => route.model.to_string(),
    };
    let limit = route.max_output_tokens;
    CompletionBody {
        prompt: request.prompt.clone(),
        model,
        stream: true,
        max_tokens: Some(request.max_tokens.map_or(limit, |requested| requested.min(limit)).0),
        priority: 0,
        continue_from: None,
        other: request.other.clone(),
    }
}
