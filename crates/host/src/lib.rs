//! One entry host: takes requests of callers, places them on endpoints and relays the answers.
//!
//! A host is one process on one thread. It keeps nothing that must last; what must last lives in
//! the registry of the deployment. What is spoken on the wire comes from an adapter through the
//! traits of [`boundary`].
//!
//! - [`boundary`]: what an adapter supplies.
//! - [`settings`]: what a host is told at its start.
//! - [`context`]: the state of the host and its shared parts.
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
//! - [`serving_watch`]: follows the version in force.
//! - [`endpoint_watch`]: follows the endpoint list.
//! - [`absence`]: when the registry was away.
//! - [`report_poll`]: asks engines for their load.
//! - [`peers`]: what a host knows of the others.
//! - [`peer_link`]: joins the other hosts and carries datagrams between them.
//! - [`peer_news`]: what hosts tell each other, to and from the wire.
//! - [`config_exchange`]: hands the version in force from host to host.
//! - [`probes`]: readiness and metrics over HTTP.
//! - [`lifecycle`]: start, signals and the end of the process.
//! - [`metrics`]: counters and histograms.
//! - [`task`]: tasks that end with their owner.

pub mod absence;
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
pub mod peer_link;
pub mod peer_news;
pub mod peers;
pub mod plain_call;
pub mod probes;
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
