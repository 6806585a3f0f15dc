//! Storage of camphorloft in the platform's tables and objects, and the protocols that keep it
//! consistent.
//!
//! - [`wire`]: JSON messages of the platform's protocol.
//! - [`api`]: interface to the platform.
//! - [`http`]: implementation of the interface over HTTP.
//! - [`budget`]: rate limiter for all platform calls of a host, with priority classes.
//! - [`publication`]: publishing and fetching versions of the object set.
//! - [`claim`]: claim records, which ensure at-most-once execution of calls with side effects.
//! - [`claim_batch`]: batches of claims that share transactions.
//! - [`claims`]: claim service of a host, on its own thread.
//! - [`lease`]: lease with fencing tokens, safe under process pauses and without a shared clock.

pub mod api;
pub mod budget;
pub mod claim;
pub mod claim_batch;
pub mod claims;
pub mod http;
pub mod lease;
pub mod publication;
pub mod wire;
