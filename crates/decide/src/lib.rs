//! Schedules generations onto endpoints: placement, admission, migration before memory runs out,
//! and queueing. Does no I/O and reads no clock.
//!
//! - [`hazard`]: online estimate of the distribution of output lengths.
//! - [`lengths`]: length estimates per organisation and route, with fallback to coarser classes.
//! - [`forecast`]: memory of an engine at fixed horizons, and the probability of overflow.
//! - [`per_token_forecast`]: forecast of the memory held by sequences of other hosts.
//! - [`endpoint_view`]: state of one endpoint.
//! - [`sequence`]: scheduling requests and placed generations.
//! - [`prefix_table`]: which endpoints recently cached a prompt prefix.
//! - [`fair_queue`]: weighted fair queue of generations.
//! - [`model_placement`]: which models engines should load.
//! - [`poison`]: attribution of endpoint crashes to requests.
//! - [`retry_budget`]: limits retries to a share of the requests.
//! - [`policy_settings`]: parameters of the scheduling policy.
//! - [`decision`]: scheduling decisions, with the inputs that led to them.
//! - [`decider`]: the scheduler state and the operations on single generations.
//! - [`placing`]: chooses the endpoint of a generation.
//! - [`reporting`]: applies load reports of engines and placements of other hosts.
//! - [`ticking`]: the periodic tick.
//! - [`scoring`]: scores endpoints for one generation.
//! - [`rebalance`]: migrates generations away from engines that are about to run out of memory.

pub mod decider;
pub mod decision;
pub mod endpoint_view;
pub mod fair_queue;
pub mod forecast;
pub mod hazard;
pub mod lengths;
pub mod model_placement;
pub mod per_token_forecast;
pub mod placing;
pub mod poison;
pub mod policy_settings;
pub mod prefix_table;
pub mod rebalance;
pub mod reporting;
pub mod retry_budget;
pub mod scoring;
pub mod sequence;
pub mod ticking;
