//! HTTP gateway between clients and endpoints.
//!
//! - [`control`]: the interface to the decision core.
//! - [`request`]: checks the body of a generation request.
//! - [`event_id`]: signed event identifiers from which any host can resume a stream.
//! - [`transcript`]: records the delivered part of a generation.
//! - [`relay`]: relays one generation from engines to its client, across attempts.
//! - [`sink`]: writes tokens in the response format that the client requested.
//! - [`generations`]: serves generation requests.
//! - [`service_calls`]: serves calls to services that are not engines.
//! - [`server`]: routes paths and authenticates organisations.

pub mod control;
pub mod event_id;
pub mod generations;
pub mod relay;
pub mod request;
pub mod server;
pub mod service_calls;
pub mod sink;
pub mod transcript;
