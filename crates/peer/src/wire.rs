//! The frames as protocol buffers.

/// A member.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireMember {
    /// Name.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Address for messages between hosts.
    #[prost(string, tag = "2")]
    pub addr: String,
    /// Address for callers and operators.
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
    /// When its process started, in milliseconds since the epoch.
    #[prost(uint64, tag = "9")]
    pub started_ms: u64,
    /// The host whose own probe failed; empty unless suspect.
    #[prost(string, tag = "8")]
    pub accuser: String,
}

/// Question or answer of a membership message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum WireKind {
    /// A ping with its identity.
    #[prost(fixed64, tag = "10")]
    Ping(u64),
    /// The answer to a ping.
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
    /// Identity of the probe.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Address of the third host.
    #[prost(string, tag = "2")]
    pub target: String,
}

/// Blame of a request that crashed endpoints.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireCrashCount {
    /// Digest of the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Crashes.
    #[prost(uint32, tag = "2")]
    pub crashes: u32,
}

/// A new version of the object set.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireAnnouncement {
    /// Version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Published delta as JSON; empty when it is too large for a datagram.
    #[prost(bytes = "vec", tag = "2")]
    pub delta: Vec<u8>,
}

/// A placement, told to the hosts that share the endpoint.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WirePlacement {
    /// Digest of the endpoint's name.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// Memory that the generation holds at the start, in tokens.
    #[prost(uint32, tag = "2")]
    pub kv: u32,
    /// Tokens of it that the engine has to read.
    #[prost(uint32, tag = "3")]
    pub unread: u32,
}

/// A planned move of a generation.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireMigration {
    /// Digest of the engine that runs the generation.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// Digest of the destination.
    #[prost(fixed64, tag = "2")]
    pub to: u64,
    /// Memory that is moved, in tokens.
    #[prost(uint32, tag = "3")]
    pub kv: u32,
    /// Time that it takes, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub takes_ms: u32,
    /// Time until it begins, in microseconds.
    #[prost(uint32, tag = "5")]
    pub begins_us: u32,
    /// Identity of the move.
    #[prost(fixed64, tag = "6")]
    pub key: u64,
}

/// An engine's report, told by the host that asked for it.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireReport {
    /// Digest of the endpoint.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// Age of the report when it was sent on, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
    /// Memory that cannot be freed, in tokens.
    #[prost(uint32, tag = "3")]
    pub used_tokens: u32,
    /// Sequences that run.
    #[prost(uint32, tag = "5")]
    pub running: u32,
    /// Sequences that wait.
    #[prost(uint32, tag = "6")]
    pub waiting: u32,
    /// Prompt tokens of the first one that waits.
    #[prost(uint32, tag = "7")]
    pub next_tokens: u32,
    /// True when it leaves.
    #[prost(bool, tag = "9")]
    pub leaving: bool,
    /// Time until it leaves, as of when the report was made, in milliseconds.
    #[prost(uint32, optional, tag = "10")]
    pub leaves_ms: Option<u32>,
}

/// An entry of the endpoint list.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireEndpoint {
    /// When its process started, in milliseconds since the epoch.
    #[prost(uint64, tag = "1")]
    pub born: u64,
    /// Address that takes requests.
    #[prost(string, tag = "2")]
    pub addr: String,
    /// Service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Availability zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Requests that it works on at a time.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// True when it leaves soon.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// Time for which it is still slow, in milliseconds.
    #[prost(uint32, tag = "7")]
    pub cold_left_ms: u32,
}

/// A change of the endpoint list.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireEndpointChange {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The entry; absent when it is no longer listed.
    #[prost(message, optional, tag = "2")]
    pub entry: Option<WireEndpoint>,
}

/// What a host that reads the registry knows of it.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireRegistryState {
    /// Digest of the endpoint list.
    #[prost(fixed64, tag = "1")]
    pub list_digest: u64,
    /// Time since the list was last known to be complete, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub list_age_ms: u32,
    /// Time since the version in force was last known to be the newest, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub version_age_ms: u32,
}

/// A datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireDatagram {
    /// Sender, alive.
    #[prost(message, optional, tag = "1")]
    pub sender: Option<WireMember>,
    /// Ascending per incarnation of the sender.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// When the sender's process started, in milliseconds since the epoch.
    #[prost(uint64, tag = "3")]
    pub started_ms: u64,
    /// Version of the object set that the sender has.
    #[prost(uint64, tag = "4")]
    pub config_version: u64,
    /// Statements about members.
    #[prost(message, repeated, tag = "5")]
    pub updates: Vec<WireMember>,
    /// Blame to spread.
    #[prost(message, repeated, tag = "6")]
    pub blames: Vec<WireCrashCount>,
    /// A new version.
    #[prost(message, optional, tag = "7")]
    pub announcement: Option<WireAnnouncement>,
    /// Placements of the sender.
    #[prost(message, repeated, tag = "8")]
    pub placements: Vec<WirePlacement>,
    /// Reports of engines.
    #[prost(message, repeated, tag = "14")]
    pub reports: Vec<WireReport>,
    /// Changes of the endpoint list.
    #[prost(message, repeated, tag = "15")]
    pub endpoint_changes: Vec<WireEndpointChange>,
    /// What the sender knows of the registry, if it reads it for others.
    #[prost(message, optional, tag = "16")]
    pub registry: Option<WireRegistryState>,
    /// Moves that the sender plans.
    #[prost(message, repeated, tag = "17")]
    pub moves: Vec<WireMigration>,
    /// Question or answer.
    #[prost(oneof = "WireKind", tags = "10, 11, 12, 13")]
    pub kind: Option<WireKind>,
}

/// A request for the object set, over TCP.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireConfigRequest {
    /// Version that the asking host has.
    #[prost(uint64, tag = "1")]
    pub known: u64,
}

/// The answer to a [`WireConfigRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireConfigReply {
    /// Version of the answering host; 0 when it has none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The whole set, compressed; empty when the asking host has this version or a newer one. Field
    /// 2 held it uncompressed.
    #[prost(bytes = "vec", tag = "3")]
    pub packed_set: Vec<u8>,
}
