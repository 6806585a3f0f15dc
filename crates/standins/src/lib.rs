//! Small stand-ins for the external systems: engines, the platform and an HTTP service.
//!
//! - [`engine_model`]: simulates continuous batching with a KV memory budget, in virtual time.
//! - [`text_model`]: deterministic text with chained digests, which detect wrong tokens.
//! - [`engine`]: serves the engine model over HTTP.
//! - [`engine_http`]: hints and faults, which the stand-in adds to the engine protocol.
//! - [`engine_paced`]: streams with a fixed interval between tokens.
//! - [`engine_state`]: state of the engine stand-in.
//! - [`platform`]: transactional tables, an object store and a delayed host list.
//! - [`platform_fake`]: an in-process platform with scripted failures.
//! - [`platform_http`]: serves the platform over HTTP.
//! - [`service`]: an HTTP service that counts its effects by idempotency key.
//!
//! The engine, the platform and the service each also have a binary.

pub mod engine;
pub mod engine_http;
pub mod engine_model;
pub mod engine_paced;
pub mod engine_state;
pub mod platform;
pub mod platform_fake;
pub mod platform_http;
pub mod service;
pub mod text_model;
