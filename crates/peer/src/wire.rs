//! Messages between hosts, as protocol buffers.

use std::time::Duration;

/// Membership record of a host.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireMember {
    /// Name.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Address for messages between hosts.
    #[prost(string, tag = "2")]
    pub addr: String,
    /// HTTP address for clients and operators.
    #[prost(string, tag = "3")]
    pub http_addr: String,
    /// Region.
    #[prost(string, tag = "4")]
    pub region: String,
    /// Availability zone.
    #[prost(string, tag = "5")]
    pub zone: String,
    /// Incarnation.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// 0 alive, 1 suspect, 2 dead, 3 left.
    #[prost(uint32, tag = "7")]
    pub state: u32,
    /// Start time of the host's process, in milliseconds since the epoch.
    #[prost(uint64, tag = "9")]
    pub started_ms: u64,
    /// The host whose own probe failed; empty unless the state is suspect.
    #[prost(string, tag = "8")]
    pub accuser: String,
}

/// Request or reply in a membership message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum WireKind {
    /// A probe, with its identifier.
    #[prost(fixed64, tag = "10")]
    Ping(u64),
    /// The answer to a ping, with the identifier of the probe.
    #[prost(fixed64, tag = "11")]
    Ack(u64),
    /// A request to probe a third host.
    #[prost(message, tag = "12")]
    PingRequest(WirePingRequest),
    /// A request for all members, with the digest of the sender's view.
    #[prost(fixed64, tag = "13")]
    SyncRequest(u64),
}

/// A request to probe a third host.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WirePingRequest {
    /// Identifier of the probe.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Address of the third host.
    #[prost(string, tag = "2")]
    pub target: String,
}

/// Number of crashes attributed to a request.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireCrashCount {
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Number of attributed crashes.
    #[prost(uint32, tag = "2")]
    pub crashes: u32,
}

/// Crash of an endpoint that interrupted requests with a feature.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireFeatureCrash {
    /// Digest of the feature.
    #[prost(fixed64, tag = "1")]
    pub feature: u64,
    /// Digest of the endpoint.
    #[prost(fixed64, tag = "2")]
    pub endpoint: u64,
    /// Time since the crash when this message was sent, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// Statement that a request with a feature finished, so that the feature does not crash endpoints.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireFinishedFeature {
    /// Digest of the feature.
    #[prost(fixed64, tag = "1")]
    pub feature: u64,
    /// Time since the request finished when this message was sent, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// Statement that the endpoints of a service crash when they have to refuse many requests.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireBrittleness {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Refusals a second, to all hosts together, that an endpoint survives.
    #[prost(uint32, tag = "2")]
    pub max_refusals: u32,
    /// Age of the statement when this message was sent, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// Statement that a brittle endpoint refused a request for lack of room.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireFullEndpoint {
    /// Digest of the endpoint.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
}

/// Statement that an endpoint wants no request for some time from the host that receives this.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireHoldOff {
    /// Digest of the endpoint.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// The time, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub for_ms: u32,
}

/// Announcement of a new version of the object set.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireAnnouncement {
    /// Version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The published delta as JSON; empty when it is too large for a datagram.
    #[prost(bytes = "vec", tag = "2")]
    pub delta: Vec<u8>,
}

/// A placement, sent to the hosts that share the endpoint.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WirePlacement {
    /// Digest of the endpoint's name.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// KV cache that the generation occupies at the start, in tokens.
    #[prost(uint32, tag = "2")]
    pub kv: u32,
    /// Number of those tokens that the engine still has to prefill.
    #[prost(uint32, tag = "3")]
    pub unread: u32,
    /// Expected output, in tokens; absent if the sender does not queue by priority.
    #[prost(uint32, optional, tag = "40")]
    pub expected: Option<u32>,
}

/// A planned migration of a generation.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireMigration {
    /// Digest of the engine that runs the generation.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// Digest of the destination engine.
    #[prost(fixed64, tag = "2")]
    pub to: u64,
    /// KV cache that is copied, in tokens.
    #[prost(uint32, tag = "3")]
    pub kv: u32,
    /// Duration of the migration, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub takes_ms: u32,
    /// Time until the migration starts, in microseconds.
    #[prost(uint32, tag = "5")]
    pub begins_us: u32,
    /// Identifier of the migration.
    #[prost(fixed64, tag = "6")]
    pub key: u64,
}

/// An engine's report, sent by the host that polled the engine.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireReport {
    /// Digest of the endpoint.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// Age of the report when this message was sent, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
    /// KV cache that cannot be freed, in tokens.
    #[prost(uint32, tag = "3")]
    pub used_tokens: u32,
    /// Number of running sequences.
    #[prost(uint32, tag = "5")]
    pub running: u32,
    /// Number of waiting sequences.
    #[prost(uint32, tag = "6")]
    pub waiting: u32,
    /// Prompt tokens of the first waiting sequence.
    #[prost(uint32, tag = "7")]
    pub next_tokens: u32,
    /// True when the engine is draining.
    #[prost(bool, tag = "9")]
    pub leaving: bool,
    /// Time from the report until the engine shuts down, in milliseconds.
    #[prost(uint32, optional, tag = "10")]
    pub leaves_ms: Option<u32>,
    /// What the engine usually states as the duration of work, in percent, as far as the sender knows.
    #[prost(uint32, optional, tag = "40")]
    pub stated_percent: Option<u32>,
    /// Number of periods in which it was stated.
    #[prost(uint32, tag = "41")]
    pub stated_periods: u32,
    /// Duration of work that the sender or another host usually observes, in percent.
    #[prost(uint32, optional, tag = "42")]
    pub observed_percent: Option<u32>,
    /// Number of periods in which it was observed.
    #[prost(uint32, tag = "43")]
    pub observed_periods: u32,
    /// Time since any endpoint of the service last stated its duration of work, when this message was
    /// sent, in milliseconds.
    #[prost(uint32, optional, tag = "44")]
    pub stated_age_ms: Option<u32>,
    /// Latest duration of work that the engine stated, in percent.
    #[prost(uint32, optional, tag = "45")]
    pub pace_percent: Option<u32>,
    /// Age of that when this message was sent, in milliseconds.
    #[prost(uint32, tag = "46")]
    pub pace_age_ms: u32,
}

/// An entry of the endpoint list.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireEndpoint {
    /// Start time of the endpoint's process, in milliseconds since the epoch.
    #[prost(uint64, tag = "1")]
    pub born: u64,
    /// Address that accepts requests.
    #[prost(string, tag = "2")]
    pub addr: String,
    /// Service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Availability zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Maximum number of concurrent requests.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// True when the endpoint is draining.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// Remaining duration of the warm-up, in milliseconds.
    #[prost(uint32, tag = "7")]
    pub cold_left_ms: u32,
    /// Version of its software; empty when it states none.
    #[prost(string, tag = "8")]
    pub software: String,
}

/// A change of the endpoint list.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireEndpointChange {
    /// Name of the endpoint.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The new entry; absent when the endpoint was removed.
    #[prost(message, optional, tag = "2")]
    pub entry: Option<WireEndpoint>,
}

impl WireEndpointChange {
    /// Takes the time that the change was held off the remaining time for which its endpoint is cold.
    ///
    /// ```
    /// use camphorloft_peer::wire::{WireEndpoint, WireEndpointChange};
    /// use std::time::Duration;
    /// let entry = Some(WireEndpoint { cold_left_ms: 700, ..WireEndpoint::default() });
    /// let mut change = WireEndpointChange { name: "i-1".to_owned(), entry };
    /// change.add_age(Duration::from_millis(200));
    /// assert_eq!(change.entry.unwrap().cold_left_ms, 500);
    /// ```
    pub fn add_age(&mut self, held: Duration) {
        if let Some(entry) = &mut self.entry {
            let held_ms = u32::try_from(held.as_millis()).unwrap_or(u32::MAX);
            entry.cold_left_ms = entry.cold_left_ms.saturating_sub(held_ms);
        }
    }
}

/// The evacuated zones, complete.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireEvacuations {
    /// Era of the revision at which they were read.
    #[prost(uint64, tag = "1")]
    pub era: u64,
    /// Number of that revision.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Evacuated zones.
    #[prost(string, repeated, tag = "3")]
    pub zones: Vec<String>,
}

/// State of the registry, as known to a host that reads it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireRegistryState {
    /// Digest of the endpoint list.
    #[prost(fixed64, tag = "1")]
    pub list_digest: u64,
    /// Staleness of the list: time since it was last known to be complete, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub list_age_ms: u32,
    /// Staleness of the version in force: time since it was last known to be the newest, in
    /// milliseconds.
    #[prost(uint32, tag = "3")]
    pub version_age_ms: u32,
    /// Name of the reader.
    #[prost(string, tag = "4")]
    pub reader: String,
    /// Evacuated zones; absent if the reader does not know them.
    #[prost(message, optional, tag = "5")]
    pub evacuations: Option<WireEvacuations>,
    /// Time since the reader asked for what it last learnt of the list, in milliseconds. The list is at
    /// least as new as that. Absent from earlier releases.
    #[prost(uint32, optional, tag = "6")]
    pub list_asked_age_ms: Option<u32>,
}

/// The limit of requests that an endpoint stated.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireRequestLimit {
    /// Digest of the endpoint.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// Requests per second from all hosts together; absent when it stated no limit any more.
    #[prost(double, optional, tag = "2")]
    pub per_second: Option<f64>,
    /// Age of the statement when this message was sent, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// The most urgent generations that wait at a host for engines of a service.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireQueueState {
    /// Digest of the host's name.
    #[prost(fixed32, tag = "1")]
    pub host: u32,
    /// Digest of the service.
    #[prost(fixed32, tag = "2")]
    pub service: u32,
    /// Their priority; 0 is the highest.
    #[prost(uint32, tag = "3")]
    pub priority: u32,
    /// Memory that they need, in tokens.
    #[prost(uint32, tag = "4")]
    pub tokens: u32,
}

/// The software version that began a stream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireStreamOrigin {
    /// Digest of the client's attempt in which it began.
    #[prost(fixed64, tag = "1")]
    pub stream: u64,
    /// Software version.
    #[prost(string, tag = "2")]
    pub software: String,
}

/// A datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireDatagram {
    /// Membership record of the sender.
    #[prost(message, optional, tag = "1")]
    pub sender: Option<WireMember>,
    /// Sequence number, ascending within one process of the sender.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Start time of the sender's process, in milliseconds since the epoch.
    #[prost(uint64, tag = "3")]
    pub started_ms: u64,
    /// Version of the object set that the sender has.
    #[prost(uint64, tag = "4")]
    pub config_version: u64,
    /// Membership updates.
    #[prost(message, repeated, tag = "5")]
    pub updates: Vec<WireMember>,
    /// Crash counts of requests.
    #[prost(message, repeated, tag = "6")]
    pub blames: Vec<WireCrashCount>,
    /// Announcement of a new version of the object set.
    #[prost(message, optional, tag = "7")]
    pub announcement: Option<WireAnnouncement>,
    /// Placements that the sender made.
    #[prost(message, repeated, tag = "8")]
    pub placements: Vec<WirePlacement>,
    /// Reports of engines.
    #[prost(message, repeated, tag = "14")]
    pub reports: Vec<WireReport>,
    /// Changes of the endpoint list.
    #[prost(message, repeated, tag = "15")]
    pub endpoint_changes: Vec<WireEndpointChange>,
    /// States of the registry, by reader.
    #[prost(message, repeated, tag = "16")]
    pub registry: Vec<WireRegistryState>,
    /// Migrations that the sender plans.
    #[prost(message, repeated, tag = "17")]
    pub moves: Vec<WireMigration>,
    /// Hosts that the receiver forwards the updates to: 0 none, 1 its zone, 2 its region, 3 all.
    #[prost(uint32, tag = "18")]
    pub forward: u32,
    /// True in the acknowledgement of a datagram that was to be forwarded.
    #[prost(bool, tag = "19")]
    pub forward_ack: bool,
    /// Limits of requests that endpoints stated.
    #[prost(message, repeated, tag = "20")]
    pub request_limits: Vec<WireRequestLimit>,
    /// Software versions that began streams.
    #[prost(message, repeated, tag = "21")]
    pub stream_origins: Vec<WireStreamOrigin>,
    /// Crashes of endpoints, with the features of the requests that they interrupted.
    #[prost(message, repeated, tag = "22")]
    pub crashes: Vec<WireFeatureCrash>,
    /// Features of requests that finished.
    #[prost(message, repeated, tag = "23")]
    pub finished: Vec<WireFinishedFeature>,
    /// Services whose endpoints are brittle.
    #[prost(message, repeated, tag = "24")]
    pub brittleness: Vec<WireBrittleness>,
    /// Brittle endpoints that refused a request.
    #[prost(message, repeated, tag = "25")]
    pub full: Vec<WireFullEndpoint>,
    /// Endpoints that want no requests from the receiver, which forwarded one.
    #[prost(message, repeated, tag = "26")]
    pub hold_offs: Vec<WireHoldOff>,
    /// What waits for engines at hosts.
    #[prost(message, repeated, tag = "40")]
    pub queues: Vec<WireQueueState>,
    /// Request or reply of the membership protocol.
    #[prost(oneof = "WireKind", tags = "10, 11, 12, 13")]
    pub kind: Option<WireKind>,
}

/// A request for the object set, over TCP.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireConfigRequest {
    /// Version that the requesting host has.
    #[prost(uint64, tag = "1")]
    pub known: u64,
    /// True if the endpoint list is requested too.
    #[prost(bool, tag = "2")]
    pub wants_endpoints: bool,
    /// Set if a connection to an endpoint is requested instead.
    #[prost(message, optional, tag = "3")]
    pub tunnel: Option<WireTunnelRequest>,
}

/// A request to connect to an endpoint and forward the connection, in a [`WireConfigRequest`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireTunnelRequest {
    /// Digest of the endpoint.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// Time within which the endpoint has to accept the connection, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub timeout_ms: u32,
    /// Whether the end of the endpoint's bytes shall be marked. Older hosts do not ask for it.
    #[prost(bool, tag = "3")]
    pub marks_end: bool,
}

/// Result of a request for a connection to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum WireTunnelResult {
    /// The reply of a host that does not know such requests.
    Unsupported = 0,
    /// All that follows is forwarded to and from the endpoint.
    Connected = 1,
    /// The endpoint does not accept a connection.
    Unreachable = 2,
    /// The replying host does not reach the endpoints either.
    CutOff = 3,
    /// The replying host does not know the endpoint.
    UnknownEndpoint = 4,
    /// The replying host is draining or busy, or the endpoint wants no requests from it.
    Refused = 5,
    /// The zone of the endpoint is evacuated.
    Evacuated = 7,
}

/// Reply to a [`WireTunnelRequest`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireTunnelReply {
    /// Result. The tag is none of [`WireConfigReply`], which older hosts send.
    #[prost(enumeration = "WireTunnelResult", tag = "15")]
    pub result: i32,
    /// Whether the end of the endpoint's bytes is marked. Older hosts do not mark it.
    #[prost(bool, tag = "16")]
    pub marks_end: bool,
}

/// Reply to a [`WireConfigRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireConfigReply {
    /// Version of the replying host; 0 when it has none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The whole set, compressed; empty when the requesting host has this version or a newer one.
    /// Tag 2 held the uncompressed set.
    #[prost(bytes = "vec", tag = "3")]
    pub packed_set: Vec<u8>,
    /// The endpoint list as a compressed [`WireEndpointList`]; empty when it was not requested or the
    /// replying host does not know it to be complete.
    #[prost(bytes = "vec", tag = "4")]
    pub packed_endpoints: Vec<u8>,
    /// Evacuated zones; absent if the replying host does not know them.
    #[prost(message, optional, tag = "5")]
    pub evacuations: Option<WireEvacuations>,
}

/// An endpoint list.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireEndpointList {
    /// All listed endpoints.
    #[prost(message, repeated, tag = "1")]
    pub endpoints: Vec<WireEndpointChange>,
}
