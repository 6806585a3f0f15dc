//! An entry host: accepts requests of clients, places them on endpoints and relays the responses.
//!
//! A host is one process with one thread. It stores no durable state; durable state is kept in the
//! registry of the deployment. An adapter provides the wire format through the traits of
//! [`boundary`].
//!
//! - [`boundary`]: traits that an adapter implements.
//! - [`settings`]: validated settings of a host.
//! - [`context`]: shared state of the host.
//! - [`listener`]: accepts connections of callers.
//! - [`connection`]: one connection of a caller, with its time limits.
//! - [`intake`]: from a caller's head and body to a call, or a refusal.
//! - [`call`]: a request that was taken.
//! - [`local_response`]: responses that the host generates itself.
//! - [`response_body`]: bodies of responses to clients.
//! - [`upstream`]: one exchange with an endpoint.
//! - [`pace`]: how fast a large answer is read.
//! - [`sending`]: sends one request to one endpoint and records it.
//! - [`plain_call`]: serves a call of a plain service.
//! - [`generation_call`]: serves a generation up to the head of its answer.
//! - [`stream_relay`]: relays the events of a generation to its client.
//! - [`stream_migration`]: migrates a relayed generation to another engine.
//! - [`transfer`]: copies a running generation to another engine.
//! - [`event_splitter`]: cuts a byte stream into events.
//! - [`serving_watch`]: keeps the configuration version in force up to date.
//! - [`endpoint_watch`]: keeps the endpoint list up to date.
//! - [`registry_outage`]: detection of registry outages.
//! - [`report_poll`]: polls engines for load reports.
//! - [`peers`]: state of the other hosts.
//! - [`peer_link`]: joins the membership of hosts and exchanges datagrams.
//! - [`peer_convert`]: conversions to and from peer messages.
//! - [`config_exchange`]: transfers the version in force between hosts.
//! - [`probes`]: HTTP listeners for readiness and metrics.
//! - [`lifecycle`]: startup, signal handling and shutdown.
//! - [`metrics`]: Prometheus metrics.
//! - [`task`]: tasks that are cancelled with their owner.

pub mod boundary;
pub mod call;
pub mod config_exchange;
pub mod connection;
pub mod context;
pub mod endpoint_watch;
pub mod event_splitter;
pub mod generation_call;
pub mod intake;
pub mod lifecycle;
pub mod listener;
pub mod local_response;
pub mod metrics;
pub mod pace;
pub mod peer_convert;
pub mod peer_link;
pub mod peers;
pub mod plain_call;
pub mod probes;
pub mod registry_outage;
pub mod report_poll;
pub mod response_body;
pub mod sending;
pub mod serving_watch;
pub mod settings;
pub mod stream_migration;
pub mod stream_relay;
pub mod task;
pub mod transfer;
pub mod upstream;
