//! What camphorloft keeps in the platform's tables and objects, and how it gets there safely.
//!
//! - [`wire`]: the platform's protocol as JSON.
//! - [`api`]: the narrow interface that the rest of the system uses.
//! - [`http`]: that interface over HTTP.
//! - [`budget`]: one limiter for all calls of a host, by class.
//! - [`publication`]: proposes and fetches versions of the object set.
//! - [`claim`]: the record that lets a call with an effect run at most once.
//! - [`claim_batch`]: decides claims in shared transactions.
//! - [`claims`]: the claim service of a host, on its own thread.
//! - [`lease`]: a lease with fencing numbers, safe under pauses, without a shared clock.

pub mod api;
pub mod budget;
pub mod claim;
pub mod claim_batch;
pub mod claims;
pub mod http;
pub mod lease;
pub mod publication;
pub mod wire;
