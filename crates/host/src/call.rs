//! A request that was taken.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use camphorloft_dispatch::prelude::*;
use camphorloft_serving::prelude::*;
use camphorloft_types::prelude::*;
use http::request;
use xxhash_rust::xxh3::Xxh3;

use crate::boundary::{EnginePriority, GenerationParams};

/// Returns a digest of what was asked for: the same in each attempt of a caller, on every host and
/// under every version.
///
/// ```
/// use camphorloft_host::call::fingerprint;
/// let coop = "coop".parse().unwrap();
/// let first = fingerprint("POST", "/drafts/1", Some(&coop), b"prompt");
/// assert_eq!(first, fingerprint("POST", "/drafts/1", Some(&coop), b"prompt"));
/// assert_ne!(first, fingerprint("POST", "/drafts/1", None, b"prompt"));
/// ```
pub fn fingerprint(
    method: &str,
    path: &str,
    organisation: Option<&OrganisationName>,
    body: &[u8],
) -> u64 {
    let mut digest = Xxh3::new();
    let organisation = organisation.map_or("", OrganisationName::as_str);
    for part in [method.as_bytes(), path.as_bytes(), organisation.as_bytes(), body] {
        digest.update(&(part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    digest.digest()
}

/// A request that was taken: routed, with its whole body.
#[derive(Debug)]
pub struct Call {
    /// Identity that the caller gave to this attempt.
    pub id: CallId,
    /// Head as it arrived.
    pub head: request::Parts,
    /// Body, whole.
    pub body: Bytes,
    /// Version under which it was routed.
    pub serving: Rc<ServingSet>,
    /// Route.
    pub route: RouteIx,
    /// Service that was drawn for it.
    pub service: ServiceIx,
    /// Organisation of the caller.
    pub organisation: Option<OrganisationIx>,
    /// What the caller says of the generation that it asks for.
    pub generation: GenerationParams,
    /// Last event that the caller has of an earlier attempt.
    pub last_event: Option<u64>,
    /// Digest of what was asked for, the same in each attempt of a caller.
    pub fingerprint: u64,
    /// When its head arrived.
    pub arrived_at: Instant,
    /// When its final answer is due.
    pub due_at: Instant,
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

    /// Returns the name of the caller's organisation.
    pub fn organisation_name(&self) -> Option<&OrganisationName> {
        self.organisation.map(|ix| &self.serving.organisations[ix].name)
    }

    /// Returns the time that is left.
    pub fn left(&self, now: Instant) -> Duration {
        self.due_at.saturating_duration_since(now)
    }

    /// Returns the tokens that a generation is expected to make. The hint is right at the median
    /// and often far off, so a long tail is added to it.
    pub fn expected_tokens(&self) -> u32 {
        const WITHOUT_HINT: u32 = 600;
        const TAIL: f64 = 1.25;
        let hint = self.generation.output_estimate.map_or(WITHOUT_HINT, |hint| hint.0);
        let expected = (f64::from(hint) * TAIL) as u32;
        match self.generation.max_output.0 {
            0 => expected,
            max => expected.min(max),
        }
    }

    /// Returns the rank of the generation at an engine when it has not been interrupted.
    pub fn engine_rank(&self) -> EnginePriority {
        match self.route().retry_mode {
            RetryMode::Stream { resumable: true } => EnginePriority::Resumable,
            _ => EnginePriority::NotResumable,
        }
    }
}
