//! What an adapter supplies: the wire of a deployment and its registry.
//!
//! The relay asks a [`Wire`] for every header, status and body that is not plain HTTP, and a
//! [`Registry`] for everything that is stored outside the process. Neither decides anything.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use camphorloft_dispatch::prelude::*;
use camphorloft_serving::prelude::RawServing;
use camphorloft_types::prelude::*;
use http::{HeaderMap, Request, StatusCode, request, response};
use quick_error::quick_error;

/// What a caller's head says, decoded.
#[derive(Clone, Debug, PartialEq)]
pub struct Intake {
    /// Identity that the caller gave.
    pub call: CallId,
    /// Key that it presented.
    pub key: Option<String>,
    /// Time that it waits, if it says.
    pub patience: Option<Duration>,
    /// What it says of the generation that it asks for.
    pub generation: Option<GenerationHead>,
    /// Last event that it has of an earlier attempt.
    pub last_event: Option<u64>,
}

/// What a caller says of the generation that it asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GenerationHead {
    /// Tokens of the prompt.
    pub prompt: TokenCount,
    /// Largest number of tokens to generate.
    pub max_output: TokenCount,
    /// The caller's estimate of the output; often far off.
    pub hint: Option<TokenCount>,
}

quick_error! {
    /// Reason that a caller's head was refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum IntakeError {
        /// A header that must be there is missing.
        Missing(name: &'static str) {
            display("the header {} is missing", name)
        }
        /// A header does not parse.
        Malformed(name: &'static str) {
            display("the header {} is malformed", name)
        }
    }
}

/// How a generation goes on that has begun at another engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resume {
    /// Last event that the caller was sent.
    pub after: u64,
    /// Where its memory is, if it was copied.
    pub copy: Option<CopySource>,
}

/// Memory of a generation that was copied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopySource {
    /// Engine that names the copy.
    pub addr: SocketAddr,
    /// Name of the copy there.
    pub handle: CopyHandle,
}

/// Name of the copy of a generation's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyHandle(pub String);

impl fmt::Display for CopyHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What an endpoint is told beside the caller's own request.
#[derive(Clone, Debug)]
pub struct SendOrder<'a> {
    /// Endpoint that is meant.
    pub endpoint: &'a EndpointName,
    /// Organisation of the caller.
    pub organisation: Option<&'a OrganisationName>,
    /// Time that is left.
    pub left: Duration,
    /// Rank of a generation at the engine.
    pub rank: Option<EngineRank>,
    /// How a generation goes on, if it has begun elsewhere.
    pub resume: Option<Resume>,
}

/// Rank of a generation at an engine. One of a later rank is interrupted before one of an earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EngineRank {
    /// It was interrupted before.
    Continued,
    /// An interruption would break its stream.
    Long,
    /// It is short: an interruption costs it little.
    Short,
}

/// What an endpoint's answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// It ran the request and this is the answer.
    Success,
    /// It ran the request, or may have, and failed.
    Failed,
    /// It did not run the request and will not.
    NotRun {
        /// True when another endpoint now has the address.
        wrong_endpoint: bool,
    },
    /// The answer belongs to another request or is not authentic.
    Foreign,
}

/// Result of a copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyReply {
    /// The copy is complete up to `events`.
    Copied {
        /// Name of the copy.
        handle: CopyHandle,
        /// Events generated so far.
        events: u64,
    },
    /// The generation does not run there: it has ended or has not made its first token.
    NoSuchRun,
    /// Another copy of it is under way.
    Busy,
    /// There is no room, or the destination cannot be reached. After the last copy the source
    /// still holds the memory under the handle.
    Refused {
        /// Name of the memory at the source.
        handle: Option<CopyHandle>,
    },
    /// The answer is not understood.
    Unclear(StatusCode),
}

/// Body of a request to an endpoint, whole.
pub type WholeBody = http_body_util::Full<Bytes>;

/// The wire of a deployment. Translates and decides nothing.
pub trait Wire: 'static {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns [`IntakeError`] when a header that must be there is missing or malformed.
    fn intake(&self, head: &request::Parts) -> Result<Intake, IntakeError>;

    /// Returns the headers for an endpoint: the caller's that are passed on, and the host's own.
    fn outbound_headers(&self, head: &request::Parts, order: &SendOrder<'_>) -> HeaderMap;

    /// Reads the head of an endpoint's answer.
    fn answer_kind(&self, head: &response::Parts, call: &CallId) -> AnswerKind;

    /// Returns the load that an endpoint added to its answer.
    fn load_hint(&self, head: &response::Parts) -> Option<LoadHint>;

    /// Returns the headers of an endpoint's answer that are passed on to the caller.
    fn caller_headers(&self, head: &response::Parts) -> HeaderMap;

    /// Returns true when a status promises the caller that its request has not run.
    fn promises_not_run(&self, status: StatusCode) -> bool;

    /// Builds the request for an engine's report.
    fn report_request(&self, endpoint: &EndpointEntry) -> Request<WholeBody>;

    /// Reads an engine's report. `None` when it is not understood.
    fn read_report(&self, status: StatusCode, body: &[u8]) -> Option<LoadReport>;

    /// Builds the request to copy a running generation to another engine.
    fn copy_request(
        &self,
        from: &EndpointEntry,
        call: &CallId,
        to: SocketAddr,
        last: bool,
    ) -> Request<WholeBody>;

    /// Reads the answer to a copy.
    fn read_copy(&self, status: StatusCode, body: &[u8]) -> CopyReply;

    /// Builds the request to free a copy.
    fn release_request(&self, from: &EndpointEntry, handle: &CopyHandle) -> Request<WholeBody>;
}

quick_error! {
    /// Reason that the registry gave no answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RegistryError {
        /// It refused the call and did nothing.
        Refused(detail: String) {
            display("the registry refused the call: {}", detail)
        }
        /// It could not be reached or did not answer. A write may have taken effect.
        Unanswered(detail: String) {
            display("the registry did not answer: {}", detail)
        }
        /// It no longer has the changes that were asked for; everything must be read again.
        HistoryLost {
            display("the registry dropped the history")
        }
        /// A condition of a write did not hold.
        Conflict {
            display("a row changed meanwhile")
        }
        /// Its answer is not understood.
        Malformed(detail: String) {
            display("the registry's answer is malformed: {}", detail)
        }
    }
}

/// Position in the registry's order of changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Items as of one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing<Item> {
    /// Moment.
    pub revision: Revision,
    /// Items.
    pub items: Vec<Item>,
}

/// A change of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointChange {
    /// The entry was written.
    Listed(EndpointEntry),
    /// The entry was removed, or now holds something that names no endpoint.
    Delisted(EndpointName),
}

/// A host as it announced itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostRecord {
    /// Name.
    pub host: HostName,
    /// Address for messages between hosts.
    pub addr: SocketAddr,
    /// When its process started, in milliseconds since the epoch.
    pub started_ms: u64,
}

/// Everything that is stored outside the process.
pub trait Registry: 'static {
    /// Reads the version in force, at a pace that leaves most of the link to callers if `paced`. The
    /// encoded form can be passed to [`Registry::decode_serving`] on another host.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError`] when no answer arrived.
    fn read_serving(
        &self,
        paced: bool,
    ) -> impl Future<Output = Result<Listing<Bytes>, RegistryError>>;

    /// Waits up to `wait` for versions published after `after`.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError`] when no answer arrived in time.
    fn await_serving(
        &self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Listing<Bytes>, RegistryError>>;

    /// Decodes a version.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError::Malformed`] when it is not understood.
    fn decode_serving(&self, encoded: &[u8]) -> Result<RawServing, RegistryError>;

    /// Reads the endpoint list.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError`] when no answer arrived.
    fn read_endpoints(&self)
    -> impl Future<Output = Result<Listing<EndpointEntry>, RegistryError>>;

    /// Waits up to `wait` for changes of the endpoint list after `after`.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError`] when no answer arrived in time.
    fn await_endpoints(
        &self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Listing<EndpointChange>, RegistryError>>;

    /// Returns the secret that hosts share, stored as `proposal` when there is none yet.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError`] when no answer arrived.
    fn shared_secret(
        &self,
        proposal: &[u8],
    ) -> impl Future<Output = Result<Vec<u8>, RegistryError>>;

    /// Announces a host to the others.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError`] when no answer arrived.
    fn announce(&self, record: &HostRecord) -> impl Future<Output = Result<(), RegistryError>>;

    /// Reads the hosts that announced themselves; some may be gone.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError`] when no answer arrived.
    fn announced(&self) -> impl Future<Output = Result<Vec<HostRecord>, RegistryError>>;
}
