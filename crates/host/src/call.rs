//! An accepted request.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use camphorloft_dispatch::prelude::*;
use camphorloft_serving::prelude::*;
use camphorloft_types::prelude::*;
use http::request;

use crate::boundary::{EnginePriority, GenerationParams};
use crate::event_id::EventId;
use crate::last_event::LastEvent;
use crate::memory_budget::BudgetShare;

/// An accepted request: routed, with its complete body.
#[derive(Debug)]
pub struct Call {
    /// Identifier that the client gave to this attempt.
    pub id: CallId,
    /// Request head, as received.
    pub head: request::Parts,
    /// Complete request body.
    pub body: Bytes,
    /// Configuration version used to route it.
    pub serving: Rc<ServingSet>,
    /// Route.
    pub route: RouteIx,
    /// Service, chosen at random among the weighted targets of the route.
    pub service: ServiceIx,
    /// Organisation of the client.
    pub organisation: Option<OrganisationIx>,
    /// Generation parameters from the request headers.
    pub generation: GenerationParams,
    /// ID of the last event that the client received in an earlier attempt.
    pub last_event_id: Option<EventId>,
    /// Attempt of the client in which the stream that it takes up again began.
    pub resumes: Option<CallId>,
    /// Memory of its head and its buffers, besides that of its body.
    pub memory: BudgetShare,
    /// What it may have in common with other requests: its content, and the shared parts of its prompt.
    pub features: Rc<[RequestFeature]>,
    /// Whether it is sent although it has features that crash endpoints, to find out whether they do.
    pub is_probe: Cell<bool>,
    /// When its head was received.
    pub arrived_at: Instant,
    /// Deadline for the end of the response.
    pub deadline: Instant,
}

impl Call {
    /// Returns the route.
    pub fn route(&self) -> &Route {
        &self.serving.routes[self.route]
    }

    /// Returns the service.
    pub fn service(&self) -> &Service {
        &self.serving.services[self.service]
    }

    /// Returns the last event that the client received in an earlier attempt.
    pub fn last_event(&self) -> LastEvent {
        self.last_event_id.into()
    }

    /// Returns the name of the client's organisation.
    pub fn organisation_name(&self) -> Option<&OrganisationName> {
        self.organisation.map(|ix| &self.serving.organisations[ix].name)
    }

    /// Returns its priority; 0 is the highest.
    pub fn priority(&self) -> u8 {
        let organisation = self.organisation.map(|ix| &self.serving.organisations[ix]);
        organisation.and_then(|organisation| organisation.priority).unwrap_or(self.route().priority)
    }

    /// Returns the feature of its whole content.
    pub fn content(&self) -> RequestFeature {
        self.features[0]
    }

    /// Returns the shared parts of its prompt, for the log.
    pub fn parts_text(&self) -> String {
        let parts: Vec<String> = self.features[1..].iter().map(ToString::to_string).collect();
        parts.join(",")
    }

    /// Returns the expected number of output tokens. The client's estimate is right at the median
    /// but often far off, so it is raised by a factor that accounts for the long tail.
    pub fn expected_tokens(&self) -> u32 {
        const DEFAULT_TOKENS: u32 = 600;
        const TAIL_FACTOR: f64 = 1.25;
        let estimate =
            self.generation.output_estimate.map_or(DEFAULT_TOKENS, |estimate| estimate.0);
        let expected = (f64::from(estimate) * TAIL_FACTOR) as u32;
        match self.generation.max_output.0 {
            0 => expected,
            max => expected.min(max),
        }
    }

    /// Returns the preemption priority of a generation that has not been interrupted.
    pub fn engine_priority(&self) -> EnginePriority {
        match self.route().retry_mode {
            RetryMode::Stream { resumable: true } => EnginePriority::Resumable,
            _ => EnginePriority::NotResumable,
        }
    }
}
