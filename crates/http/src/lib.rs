//! HTTP helpers over `tiny_http` and `ureq`, shared by the gateway and the stand-ins.
//!
//! - [`listener`]: binds a server whose accepted sockets have TCP keepalive and timeouts.
//! - [`body`]: reads a request body up to a limit.
//! - [`header`]: looks up request headers.
//! - [`problem`]: error responses as problem+json (RFC 9457).
//! - [`event_stream`]: writes server-sent events, flushed one write at a time.
//! - [`event_reader`]: splits a response body into server-sent events.
//! - [`client`]: builds HTTP clients with connect, response and read timeouts.
//! - [`serve`]: runs one thread with a small stack per request in flight.

pub mod body;
pub mod client;
pub mod event_reader;
pub mod event_stream;
pub mod header;
pub mod listener;
pub mod problem;
pub mod serve;
