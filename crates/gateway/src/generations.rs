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
use crate::event_id::{EventId, EventIdError, SealKey};
use crate::relay::{Relay, Running};
use crate::request::GenerationRequest;
use crate::sink::Sink;
use crate::transcript::Transcript;

/// An authenticated caller.
#[derive(Clone)]
pub struct Caller {
    /// Set under which the caller was authenticated.
    pub serving: Arc<ServingSet>,
    /// Organisation of the caller.
    pub organisation: OrganisationIx,
}

impl Caller {
    /// Returns the name of the organisation.
    pub fn name(&self) -> &OrganisationName {
        &self.serving.set.organisations[self.organisation].name
    }
}

/// What the serving of generations needs.
pub struct GenerationContext<'a, C>
where
    C: Control,
{
    /// The decision core.
    pub control: &'a Arc<C>,
    /// Client of the engines.
    pub engines: &'a EngineClient,
    /// Secrets that all hosts share: the first one seals, all of them are accepted.
    pub secrets: &'a [Vec<u8>],
    /// Identity for a new generation.
    pub new_id: GenerationId,
}

/// Serves one request. Returns how it ended.
pub fn serve_generation<C>(
    cx: &GenerationContext<'_, C>,
    req: Request,
    caller: &Caller,
    request: GenerationRequest,
) -> Outcome
where
    C: Control,
{
    let Some(route) = caller.serving.set.route_for(&request.route, caller.organisation) else {
        let detail = format!("/model: no route {:?} for this organisation", request.route);
        Problem::not_run(404, "unknown_route", detail).respond(req);
        return Outcome::NotRun;
    };
    let seals: Vec<SealKey> =
        cx.secrets.iter().map(|secret| SealKey::derive(secret, caller.name())).collect();
    let Some(seal) = seals.first().cloned() else {
        Problem::not_run(500, "no_secret", "the host has no secret").respond(req);
        return Outcome::NotRun;
    };
    let last_event = match header(&req, "last-event-id").map(|text| unseal(&seals, text)) {
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
        seal,
        request: placement_request(caller, route, &request, id, last_event.as_ref()),
        body: engine_body(caller, route, &request),
        transcript,
        sink: Sink::new(req, request.shape, request.stream, id),
        may_have_run: last_event.is_some(),
    };
    match last_event {
        None => relay.run(None),
        Some(event) => resume(cx, caller, relay, &event),
    }
}

/// Opens an event identifier that was sealed with any accepted secret.
fn unseal(seals: &[SealKey], text: &str) -> Result<EventId, EventIdError> {
    let mut last = EventIdError::Malformed;
    for seal in seals {
        match seal.unseal(text) {
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

/// Joins the running attempt if its engine still has it; continues it elsewhere if not.
fn resume<C>(
    cx: &GenerationContext<'_, C>,
    caller: &Caller,
    mut relay: Relay<'_, C>,
    event: &EventId,
) -> Outcome
where
    C: Control,
{
    let set = &caller.serving.set;
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
            Some(Running {
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
    caller: &Caller,
    route: RouteIx,
    request: &GenerationRequest,
    generation: GenerationId,
    last_event: Option<&EventId>,
) -> PlacementRequest {
    let limit = caller.serving.set.routes[route].max_output_tokens;
    let max_tokens = request.max_tokens.map_or(limit, |wanted| wanted.min(limit));
    let delivered = last_event.map_or(0, |event| event.offset + 1);
    PlacementRequest {
        serving: caller.serving.clone(),
        generation,
        attempt: last_event.map_or(Attempt(0), |event| event.attempt),
        organisation: caller.organisation,
        route,
        prompt_tokens: request.prompt_tokens(),
        delivered: TokenCount(delivered),
        max_tokens,
        prefix: request.prefix(),
        fingerprint: fingerprint(caller, request),
        avoid: None,
    }
}

/// Digests what an engine would run, without anything that a caller may vary between two tries.
fn fingerprint(caller: &Caller, request: &GenerationRequest) -> Fingerprint {
    let organisation = xxh3_64_with_seed(caller.name().as_str().as_bytes(), 0);
    let route = xxh3_64_with_seed(request.route.as_bytes(), organisation);
    Fingerprint(xxh3_64_with_seed(request.prompt.as_bytes(), route))
}

fn engine_body(caller: &Caller, route: RouteIx, request: &GenerationRequest) -> CompletionBody {
    let route = &caller.serving.set.routes[route];
    let model = match &route.adapter {
        Some(adapter) => adapter.to_string(),
        None => route.model.to_string(),
    };
    let limit = route.max_output_tokens;
    CompletionBody {
        prompt: request.prompt.clone(),
        model,
        stream: true,
        max_tokens: Some(request.max_tokens.map_or(limit, |wanted| wanted.min(limit)).0),
        priority: 0,
        continue_from: None,
        other: request.other.clone(),
    }
}
