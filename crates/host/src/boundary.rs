//! Traits that an adapter implements: the wire format of a deployment and its registry.
//!
//! The host uses a [`Wire`] for every header, status and body that is specific to the deployment,
//! and a [`Registry`] for everything that is stored outside the process. Neither contains policy.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use camphorloft_dispatch::prelude::*;
pub use camphorloft_dispatch::revision::{RegistryEra, Revision};
use camphorloft_serving::prelude::RawServing;
use camphorloft_types::prelude::*;
use http::{HeaderMap, Request, StatusCode, request, response};
use quick_error::quick_error;

use crate::event_id::EventId;

/// Decoded head of a client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedHead {
    /// Identifier that the client chose for the call.
    pub call: CallId,
    /// API key, if present.
    pub key: Option<String>,
    /// Time for which the client waits for the response, if given.
    pub timeout: Option<Duration>,
    /// Parameters of the requested generation, if given.
    pub generation: Option<GenerationParams>,
    /// Parts of the prompt that other requests may have too, in order.
    pub shared_parts: Vec<RequestFeature>,
    /// ID of the last event that the client received in an earlier attempt.
    pub last_event_id: Option<EventId>,
    /// Attempt of the client in which the stream that it takes up again began.
    pub resumes: Option<CallId>,
}

/// Parameters of a generation, as the client states them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GenerationParams {
    /// Number of tokens in the prompt.
    pub prompt: TokenCount,
    /// Largest number of tokens to generate.
    pub max_output: TokenCount,
    /// The client's estimate of the number of tokens generated; often far off.
    pub output_estimate: Option<TokenCount>,
}

quick_error! {
    /// Reason that the head of a client's request was rejected.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RequestHeadError {
        /// A required header is missing.
        Missing(name: &'static str) {
            display("the header {} is missing", name)
        }
        /// A header cannot be parsed.
        Malformed(name: &'static str) {
            display("the header {} is malformed", name)
        }
    }
}

quick_error! {
    /// Error of a load report that does not have the documented form.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidReport {
        /// A field is missing, of another type or out of range.
        Malformed(detail: String) {
            display("{}", detail)
        }
    }
}

/// Where to resume a generation that started on another engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resume {
    /// Last event that was sent to the client. If there is none, the generation is resumed from its first event.
    pub after: Option<EventId>,
    /// Number of events that were sent to the client in this call.
    pub events: u64,
    /// Copy of its KV cache, if one exists.
    pub copy: Option<CopySource>,
}

/// Location of a copied KV cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopySource {
    /// Address of the engine that issued the handle.
    pub addr: SocketAddr,
    /// Handle of the copy on that engine.
    pub handle: CopyHandle,
}

/// Handle of a copy of a generation's KV cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyHandle(pub String);

impl fmt::Display for CopyHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Data that is sent to an endpoint in addition to the client's request.
#[derive(Clone, Debug)]
pub struct OutboundContext<'a> {
    /// Endpoint that the request is addressed to.
    pub endpoint: &'a EndpointName,
    /// Organisation of the client.
    pub organisation: Option<&'a OrganisationName>,
    /// Time remaining until the deadline.
    pub remaining: Duration,
    /// Preemption priority of a generation on the engine.
    pub priority: Option<EnginePriority>,
    /// Where to resume a generation that started elsewhere.
    pub resume: Option<Resume>,
}

/// Preemption priority of a generation on an engine. Engines preempt greater variants first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EnginePriority {
    /// It was interrupted before and has been resumed.
    Resumed,
    /// Its stream cannot be resumed, so preemption would break it.
    NotResumable,
    /// It is short and can be resumed, so preemption costs little.
    Resumable,
    /// Its first event is late already, so that a pause costs the client little.
    Late,
}

/// Meaning of an endpoint's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The endpoint ran the request, and this is the result.
    Success,
    /// The endpoint ran the request or may have run it, and failed.
    Failed,
    /// The endpoint did not run the request and will not run it.
    NotRun {
        /// True when the address now belongs to another endpoint.
        wrong_endpoint: bool,
    },
    /// The response belongs to another request or is not authentic.
    Mismatched,
}

/// Result of a request to copy a KV cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyReply {
    /// The copy is complete up to `events`.
    Copied {
        /// Handle of the copy.
        handle: CopyHandle,
        /// Events generated so far.
        events: u64,
    },
    /// The generation is not running there: it has ended or has not generated its first token.
    NoSuchRun,
    /// Another copy of it is in progress.
    Busy,
    /// The destination is full or unreachable. After the final copy the source still holds the
    /// KV cache under the handle.
    Refused {
        /// Handle of the KV cache on the source.
        handle: Option<CopyHandle>,
    },
    /// The response could not be interpreted.
    Unrecognised(StatusCode),
}

/// Body of a request to an endpoint, complete in memory.
pub type FullBody = http_body_util::Full<Bytes>;

/// Wire format of a deployment. Translates only; contains no policy.
pub trait Wire: 'static {
    /// Decodes the head of a client's request.
    ///
    /// # Errors
    ///
    /// Returns [`RequestHeadError`] when a required header is missing or a header is malformed.
    fn decode_request_head(&self, head: &request::Parts) -> Result<DecodedHead, RequestHeadError>;

    /// Returns the headers for an endpoint: the client's forwarded headers and the host's own.
    fn outbound_headers(&self, head: &request::Parts, context: &OutboundContext<'_>) -> HeaderMap;

    /// Classifies an endpoint's response by its head.
    fn response_kind(&self, head: &response::Parts, call: &CallId) -> ResponseKind;

    /// Returns what an endpoint states about itself in the headers of its response.
    fn directives(&self, head: &response::Parts) -> Directives;

    /// Returns the load that an endpoint reports in the headers of its response.
    fn load_hint(&self, head: &response::Parts) -> Option<LoadHint>;

    /// Returns the headers of an endpoint's response that are forwarded to the client.
    fn client_headers(&self, head: &response::Parts) -> HeaderMap;

    /// Returns true when a status guarantees to the client that its request has not run.
    fn guarantees_not_run(&self, status: StatusCode) -> bool;

    /// Builds a request for a path at which an endpoint states how it is. Its response carries the load.
    fn health_request(&self, endpoint: &EndpointEntry, path: &str) -> Request<FullBody>;

    /// Builds the request for an engine's load report.
    fn report_request(&self, endpoint: &EndpointEntry) -> Request<FullBody>;

    /// Decodes an engine's load report.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidReport`] when a field is missing, of another type or out of range.
    fn decode_report(&self, body: &[u8]) -> Result<LoadReport, InvalidReport>;

    /// Builds the request to copy the KV cache of a running generation to another engine. `last`
    /// marks the final copy before the handover.
    fn copy_request(
        &self,
        from: &EndpointEntry,
        call: &CallId,
        to: SocketAddr,
        last: bool,
    ) -> Request<FullBody>;

    /// Decodes the response to a copy request.
    fn decode_copy_response(&self, status: StatusCode, body: &[u8]) -> CopyReply;

    /// Builds the request to free a copy.
    fn release_request(&self, from: &EndpointEntry, handle: &CopyHandle) -> Request<FullBody>;
}

quick_error! {
    /// Reason that a call to the registry failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RegistryError {
        /// The registry refused the call without effect.
        Refused(detail: String) {
            display("the registry refused the call: {}", detail)
        }
        /// The registry was unreachable or did not respond. A write may have taken effect.
        NoResponse(detail: String) {
            display("the registry did not respond: {}", detail)
        }
        /// The registry no longer has the requested changes; the full state must be read again.
        HistoryLost {
            display("the registry no longer has the requested changes")
        }
        /// The registry was restored from an older copy; the full state must be read again, and what
        /// others wrote since the copy is written again shortly.
        Restored {
            display("the registry was restored from an older copy")
        }
        /// A condition of a write did not hold.
        Conflict {
            display("a row was changed concurrently")
        }
        /// The response could not be decoded.
        Malformed(detail: String) {
            display("the registry's response is malformed: {}", detail)
        }
    }
}

/// Items as of one revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing<Item> {
    /// Revision of the items.
    pub revision: Revision,
    /// Items.
    pub items: Vec<Item>,
}

/// Part of the state that the operator writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorChange {
    /// A configuration version, encoded.
    Version(Bytes),
    /// The evacuation of a zone started or ended.
    Evacuation(EvacuationChange),
}

/// Change of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointChange {
    /// The entry was added or updated.
    Listed(EndpointEntry),
    /// The entry was removed or is no longer a valid endpoint.
    Removed(EndpointName),
}

/// Announcement of a host in the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostRecord {
    /// Name.
    pub host: HostName,
    /// Address for peer messages.
    pub addr: SocketAddr,
    /// Start time of its process, in milliseconds since the epoch.
    pub started_ms: u64,
}

/// Storage outside the process.
pub trait Registry: 'static {
    /// Reads the configuration version in force and all evacuations. `paced` limits the read rate so that most of the
    /// link stays free for client traffic. Any host can pass the encoded form to
    /// [`Registry::decode_serving`].
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError`] when the call fails.
    fn read_serving(
        &self,
        paced: bool,
    ) -> impl Future<Output = Result<Listing<OperatorChange>, RegistryError>>;

    /// Waits up to `wait` for configuration versions published and evacuations changed after `after`.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError`] when the call fails or times out.
    fn await_serving(
        &self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Listing<OperatorChange>, RegistryError>>;

    /// Decodes a configuration version.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError::Malformed`] when it cannot be decoded.
    fn decode_serving(&self, encoded: &[u8]) -> Result<RawServing, RegistryError>;

    /// Reads the endpoint list, at the rate at which the host's own link stays free for client traffic
    /// if `paced` is true.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError`] when the call fails.
    fn read_endpoints(
        &self,
        paced: bool,
    ) -> impl Future<Output = Result<Listing<EndpointEntry>, RegistryError>>;

    /// Waits up to `wait` for changes of the endpoint list after `after`.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError`] when the call fails or times out.
    fn await_endpoints(
        &self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Listing<EndpointChange>, RegistryError>>;

    /// Returns the latest era that a response of the registry stated.
    fn era(&self) -> RegistryEra;

    /// Returns the secret shared by all hosts, and stores `proposal` as the secret if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError`] when the call fails.
    fn shared_secret(
        &self,
        proposal: &[u8],
    ) -> impl Future<Output = Result<Vec<u8>, RegistryError>>;

    /// Stores the announcement of a host.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError`] when the call fails.
    fn announce(&self, record: &HostRecord) -> impl Future<Output = Result<(), RegistryError>>;

    /// Reads the announced hosts; some may no longer exist.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError`] when the call fails.
    fn announced_hosts(&self) -> impl Future<Output = Result<Vec<HostRecord>, RegistryError>>;
}
