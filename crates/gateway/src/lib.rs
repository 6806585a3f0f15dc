//! Between callers and back ends: HTTP in, HTTP out.
//!
//! - [`control`]: the narrow interface to the decision core.
//! - [`request`]: checks the body of a generation request.
//! - [`event_id`]: sealed event identifiers from which any host can resume a stream.
//! - [`transcript`]: the delivered part of a generation.
//! - [`relay`]: carries one generation from engines to its caller, across attempts.
//! - [`sink`]: writes tokens in the shape that the caller asked for.
//! - [`generations`]: serves generation requests.
//! - [`service_calls`]: serves calls to plain services.
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
