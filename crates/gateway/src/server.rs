//! Routes paths and authenticates organisations.

use std::sync::Arc;
use std::time::Duration;

use camphorloft_config::org_key::KeyHash;
use camphorloft_engine::client::{EngineClient, EngineDeadlines};
use camphorloft_http::body::{BodyError, read_body};
use camphorloft_http::header::{bearer_token, header, response_header};
use camphorloft_http::problem::Problem;
use camphorloft_http::serve::Handler;
use camphorloft_platform::claims::ClaimClient;
use camphorloft_types::prelude::*;
use rand::Rng;
use tiny_http::{Method, Request, Response};
use ureq::Agent;

use crate::control::Control;
use crate::generations::{AuthenticatedClient, GenerationContext, serve_generation};
use crate::request::{ApiKind, GenerationRequest};
use crate::service_calls::{
    ServiceCall, ServiceContext, idempotency_key, serve_call, service_agent,
};

/// Time after which a client may retry a host that is not ready.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

/// Settings of a gateway.
pub struct GatewaySettings {
    /// Name of this host.
    pub host: HostName,
    /// When this process started, in milliseconds since the epoch.
    pub started_ms: u64,
    /// Secrets shared by all hosts. The first one signs event identifiers; all of them verify.
    pub secrets: Vec<Vec<u8>>,
    /// Key that authenticates operators.
    pub operator_key: String,
    /// Maximum size of a request body.
    pub max_body: ByteSize,
    /// Timeouts of the calls to engines.
    pub deadlines: EngineDeadlines,
}

/// HTTP request handler of a host.
pub struct Gateway<C>
where
    C: Control,
{
    control: Arc<C>,
    settings: GatewaySettings,
    engines: EngineClient,
    claims: ClaimClient,
    agent: Agent,
}

impl<C> Gateway<C>
where
    C: Control,
{
    /// Builds a gateway.
    pub fn new(control: Arc<C>, settings: GatewaySettings, claims: ClaimClient) -> Self {
        let engines = EngineClient::new(settings.deadlines);
        let agent = service_agent();
        Self { control, settings, engines, claims, agent }
    }

    fn authenticate(&self, req: &Request) -> Result<AuthenticatedClient, Problem> {
        if !self.control.is_accepting() {
            let problem = Problem::not_run(503, "shutting_down", "the host is shutting down");
            return Err(problem.retry_after(NOT_READY_RETRY));
        }
        let Some(serving) = self.control.serving() else {
            let detail = "the host does not know a version of the configuration yet";
            let problem = Problem::not_run(503, "no_configuration", detail);
            return Err(problem.retry_after(NOT_READY_RETRY));
        };
        let unauthorized = || {
            let detail = "the Authorization header does not hold the key of an organisation";
            Problem::not_run(401, "unauthorized", detail)
        };
        let key = bearer_token(req).ok_or_else(unauthorized)?;
        let organisation = serving.set.organisation_by_key(key).ok_or_else(unauthorized)?;
        Ok(AuthenticatedClient { serving, organisation })
    }

    fn read_body(&self, req: &mut Request) -> Result<Vec<u8>, Problem> {
        read_body(req, self.settings.max_body).map_err(|err| {
            let (status, code) = match &err {
                BodyError::TooLarge(_) => (413, "body_too_large"),
                BodyError::Io(_) | BodyError::Truncated => (400, "body_unreadable"),
            };
            Problem::not_run(status, code, err.to_string())
        })
    }

    fn generation(&self, mut req: Request, api: ApiKind) {
        let checked = self.authenticate(&req).and_then(|client| {
            let body = self.read_body(&mut req)?;
            Ok((client, GenerationRequest::parse(api, &body)?))
        });
        let (client, request) = match checked {
            Ok(checked) => checked,
            Err(problem) => return problem.respond(req),
        };
        let cx = GenerationContext {
            control: &self.control,
            engines: &self.engines,
            secrets: &self.settings.secrets,
            new_id: GenerationId(rand::rng().random()),
        };
        let outcome = serve_generation(&cx, req, &client, request);
        self.control.end_request(client.organisation, outcome);
    }

    fn service(&self, mut req: Request, name: &str, path: &str) {
        let checked = self.authenticate(&req).and_then(|client| {
            let call = self.service_call(&mut req, name, path)?;
            Ok((client, call))
        });
        let (client, call) = match checked {
            Ok(checked) => checked,
            Err(problem) => return problem.respond(req),
        };
        let nonce: u128 = rand::rng().random();
        let cx = ServiceContext {
            control: &self.control,
            claims: &self.claims,
            agent: &self.agent,
            host: &self.settings.host,
            started_ms: self.settings.started_ms,
            nonce: format!("{nonce:032x}"),
        };
        let outcome = serve_call(&cx, req, &client, &call);
        self.control.end_request(client.organisation, outcome);
    }

    fn service_call(
        &self,
        req: &mut Request,
        name: &str,
        path: &str,
    ) -> Result<ServiceCall, Problem> {
        let service = name.parse().map_err(|err: NameError| {
            Problem::not_run(404, "unknown_service", format!("{name:?}: {err}"))
        })?;
        let body = self.read_body(req)?;
        Ok(ServiceCall {
            service,
            method: req.method().to_string(),
            path: format!("/{path}"),
            content_type: header(req, "content-type").unwrap_or("application/json").to_owned(),
            body,
            key: idempotency_key(req),
        })
    }

    fn ready(&self, req: Request) {
        let ready = self.control.is_ready() && self.control.serving().is_some();
        let (status, text) = if ready { (200, "ready") } else { (503, "not ready") };
        respond(req, status, "text/plain", text);
    }

    fn operator(&self, req: Request, path: &str) {
        let presented = bearer_token(&req).unwrap_or_default();
        let expected = KeyHash::of(&self.settings.operator_key);
        if !KeyHash::of(presented).matches(&expected) {
            let detail = "the Authorization header does not hold the operator key";
            return Problem::not_run(401, "unauthorized", detail).respond(req);
        }
        if path == "drain" && *req.method() == Method::Post {
            self.control.drain();
            return respond(req, 202, "application/json", "{\"draining\":true}");
        }
        match self.control.view(path) {
            Some(json) => respond(req, 200, "application/json", &json),
            None => {
                let detail = format!("no view {path:?}; there are status, members and endpoints");
                Problem::not_run(404, "unknown_view", detail).respond(req);
            }
        }
    }

    fn dispatch(&self, req: Request) {
        let url = req.url().to_owned();
        let method = req.method().clone();
        let path = url.split('?').next().unwrap_or_default();
        match (&method, path) {
            (Method::Post, "/v1/chat/completions") => self.generation(req, ApiKind::Chat),
            (Method::Post, "/v1/completions") => self.generation(req, ApiKind::Completion),
            (Method::Get, "/healthz") => respond(req, 200, "text/plain", "ok"),
            (Method::Get, "/readyz") => self.ready(req),
            (Method::Get, "/metrics") => {
                let text = self.control.metrics();
                respond(req, 200, "text/plain; version=0.0.4", &text);
            }
            _ => self.dispatch_prefix(req, &url),
        }
    }

    fn dispatch_prefix(&self, req: Request, url: &str) {
        if let Some(rest) = url.strip_prefix("/services/") {
            let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
            return self.service(req, name, path);
        }
        if let Some(path) = url.strip_prefix("/operator/") {
            return self.operator(req, path);
        }
        let detail = format!("no path {url:?} for method {}", req.method());
        Problem::not_run(404, "unknown_path", detail).respond(req);
    }
}

fn respond(req: Request, status: u16, content_type: &str, text: &str) {
    let response = Response::from_string(text)
        .with_status_code(status)
        .with_header(response_header("content-type", content_type));
    // The response cannot be delivered when the connection has failed.
    let _ = req.respond(response);
}

impl<C> Handler for Gateway<C>
where
    C: Control,
{
    fn handle(&self, req: Request) {
        self.dispatch(req);
    }
}
