//! Small stand-ins for the outside systems: engines, the platform and a plain service.
//!
//! - [`engine_model`]: continuous batching with a KV memory budget, in virtual time.
//! - [`text_model`]: deterministic text whose chain of digests reveals a splice.
//! - [`engine`]: the engine model behind HTTP.
//! - [`engine_http`]: requests and events of the engine's protocol.
//! - [`engine_paced`]: streams of a fixed pace.
//! - [`engine_state`]: state of the engine stand-in.
//! - [`platform`]: a transactional table, an object store and a lagging host list.
//! - [`platform_fake`]: the platform without a network, with scripted failures.
//! - [`platform_http`]: the platform's protocol over HTTP.
//! - [`service`]: a plain service that counts its effects by key.
//!
//! Each stand-in also runs as its own binary.

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
