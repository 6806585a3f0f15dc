//! Decides which endpoint takes a request, when a request waits or is refused, what may be sent
//! again, and where running generations go when their engine leaves. Does no I/O and reads no
//! clock.
//!
//! - [`distance`]: how far an endpoint is from this host.
//! - [`entry`]: what the endpoint list says of one endpoint.
//! - [`health`]: how often an endpoint fails, learned from its answers.
//! - [`load`]: how busy an endpoint is, from reports and from what this host sent.
//! - [`run`]: a request that this host sent to an endpoint.
//! - [`duty`]: which host does what for the others.
//! - [`endpoint`]: all that is known of one endpoint.
//! - [`fleet`]: the table of endpoints.
//! - [`choice`]: an endpoint that was chosen, with the inputs that decided it.
//! - [`moves`]: when generations are copied from engine to engine.
//! - [`plain`]: chooses an endpoint for a call of a plain service.
//! - [`generation`]: chooses an engine for a generation.
//! - [`admission`]: places a generation, lets it wait or refuses it.
//! - [`retry_quota`]: bounds what is sent again, with the other hosts in mind.
//! - [`pool`]: the engines of one service.
//! - [`reclaim`]: moves running generations off an engine that leaves.

pub mod admission;
pub mod assignment;
pub mod choice;
pub mod distance;
pub mod endpoint;
pub mod entry;
pub mod fleet;
pub mod generation;
pub mod health;
pub mod load;
pub mod migration;
pub mod plain;
pub mod pool;
pub mod prelude;
pub mod reclaim;
pub mod retry_quota;
pub mod run;
