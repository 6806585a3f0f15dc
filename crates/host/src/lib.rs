//! An entry host: accepts requests of clients, places them on endpoints and relays the responses.
//!
//! A host is one process with one thread. It stores no durable state; durable state is kept in the
//! registry of the deployment. An adapter provides the wire format through the traits of
//! [`boundary`].
//!
//! - [`boundary`]: traits that an adapter implements.
//! - [`settings`]: validated settings of a host.
//! - [`context`]: shared state of the host.
//! - [`listener`]: accepts client connections.
//! - [`client_connections`]: open client connections, of which idle ones make room for others.
//! - [`cold_endpoints`]: keeps to the rate of requests that cold endpoints tolerate.
//! - [`connection`]: timeouts of a client connection.
//! - [`intake`]: validates a client request and turns it into a call, or refuses it.
//! - [`call`]: an accepted request.
//! - [`local_response`]: responses that the host generates itself.
//! - [`response_body`]: bodies of responses to clients.
//! - [`response_end`]: latest end of a response.
//! - [`upstream`]: HTTP client connections to endpoints.
//! - [`head_limit`]: limit of what is received before the head of a response is complete.
//! - [`limited_stream`]: a stream to an endpoint with that limit.
//! - [`tunnel`]: connections to endpoints through other hosts.
//! - [`tunnel_bytes`]: bytes of an endpoint that another host forwards, with a mark at their end.
//! - [`frame_stream`]: connections between hosts that carry authenticated frames.
//! - [`memory_budget`]: memory that bodies of one kind use together.
//! - [`pace`]: pacing of large reads.
//! - [`connecting`]: connects to endpoints, over own links or through another host.
//! - [`residency`]: the regions in which a request may be processed.
//! - [`sending`]: sends a request to an endpoint and records the run and its result.
//! - [`crash_check`]: finds out whether an endpoint crashed, and which requests may have caused it.
//! - [`plain_call`]: serves a call to a plain service.
//! - [`generation_call`]: places a generation on an engine and starts the relay of its event stream.
//! - [`queued_request`]: requests that wait for an endpoint in the order of their priority.
//! - [`queue_states`]: tells other hosts what waits here for engines.
//! - [`stream_buffer`]: events of a stream that its client has not taken yet.
//! - [`stream_relay`]: relays the events of a generation to its client.
//! - [`stream_forwarding`]: forwards the events of a relayed generation.
//! - [`stream_migration`]: migrates a relayed generation when its engine is draining.
//! - [`stream_continuation`]: which software version may continue a stream.
//! - [`transfer`]: copies the KV cache of a running generation to another engine.
//! - [`event_id`]: identifier of an event of a stream.
//! - [`last_event`]: the last event of a stream that its client has received.
//! - [`event_order`]: which events of a stream are sent to the client, and whether some are missing.
//! - [`event_splitter`]: splits a byte stream into server-sent events.
//! - [`event_steps`]: the steps by which the identifiers of a stream's events increase.
//! - [`gap_window`]: measures the mean time between the events of a stream.
//! - [`invalid_inputs`]: logs rows and messages that are left out.
//! - [`stall_monitor`]: recognises times in which this process did not run.
//! - [`speed_observation`]: observes how fast engines are.
//! - [`serving_watch`]: keeps the configuration version in force up to date.
//! - [`endpoint_watch`]: keeps the endpoint list up to date.
//! - [`evacuations`]: records which zones are evacuated and keeps requests from their endpoints.
//! - [`endpoint_directives`]: records what endpoints state about themselves.
//! - [`list_confirmation`]: waits for a confirmation of the endpoint list.
//! - [`start_reads`]: when a starting host reads the registry by itself.
//! - [`registry_outage`]: detection of registry outages.
//! - [`report_poll`]: polls engines for load reports.
//! - [`subset_table`]: the endpoints that this host sends work to.
//! - [`peers`]: state of the other hosts.
//! - [`peer_link`]: joins the membership of hosts and exchanges datagrams.
//! - [`peer_secret`]: keeps the secret shared by all hosts the same as in the registry.
//! - [`peer_updates`]: sends updates to other hosts.
//! - [`peer_convert`]: conversions to and from peer messages.
//! - [`config_exchange`]: transfers the version in force between hosts.
//! - [`probes`]: HTTP listeners for readiness and metrics.
//! - [`lifecycle`]: startup, signal handling and shutdown.
//! - [`metrics`]: Prometheus metrics.
//! - [`task`]: tasks that are cancelled with their owner.

pub mod boundary;
pub mod call;
pub mod client_connections;
pub mod cold_endpoints;
pub mod config_exchange;
pub mod connecting;
pub mod connection;
pub mod context;
pub mod crash_check;
pub mod endpoint_directives;
pub mod endpoint_watch;
pub mod evacuations;
pub mod event_id;
pub mod event_order;
pub mod event_splitter;
pub mod event_steps;
pub mod frame_stream;
pub mod gap_window;
pub mod generation_call;
pub mod head_limit;
pub mod intake;
pub mod invalid_inputs;
pub mod last_event;
pub mod lifecycle;
pub mod limited_stream;
pub mod list_confirmation;
pub mod listener;
pub mod local_response;
pub mod memory_budget;
pub mod metrics;
pub mod pace;
pub mod peer_convert;
pub mod peer_link;
pub mod peer_secret;
pub mod peer_updates;
pub mod peers;
pub mod plain_call;
pub mod probes;
pub mod queue_states;
pub mod queued_request;
pub mod registry_outage;
pub mod report_poll;
pub mod residency;
pub mod response_body;
pub mod response_end;
pub mod sending;
pub mod serving_watch;
pub mod settings;
pub mod speed_observation;
pub mod stall_monitor;
pub mod start_reads;
pub mod stream_buffer;
pub mod stream_continuation;
pub mod stream_forwarding;
pub mod stream_migration;
pub mod stream_relay;
pub mod subset_table;
pub mod task;
pub mod transfer;
pub mod tunnel;
pub mod tunnel_bytes;
pub mod upstream;
