//! Decides where a generation runs, when it may start, what happens as memory fills in the middle
//! of decoding, and who waits. Does no I/O and reads no clock.
//!
//! - [`hazard`]: online distribution of output lengths from finished and running generations.
//! - [`lengths`]: length estimates per organisation and route, with fallback to coarser ones.
//! - [`forecast`]: memory of an engine at a few horizons, and the probability of overflow.
//! - [`per_token_forecast`]: how memory develops that other hosts hold.
//! - [`endpoint_view`]: what is known of one endpoint.
//! - [`sequence`]: a generation that was placed.
//! - [`prefix_table`]: which endpoints recently cached a prompt prefix.
//! - [`fair_queue`]: generations that wait, by priority, organisation and length.
//! - [`model_placement`]: which models engines should load.
//! - [`poison`]: requests that crash endpoints.
//! - [`retry_budget`]: retries as a share of requests.
//! - [`policy_settings`]: the constants of the policy, checked.
//! - [`decision`]: what is decided, with the inputs that decided it.
//! - [`decider`]: the context that owns all of it.
//! - [`placing`]: chooses the endpoint of one generation.
//! - [`reporting`]: takes what engines and other hosts report.
//! - [`ticking`]: acts on the passage of time.
//! - [`scoring`]: compares endpoints for one generation.
//! - [`rebalance`]: moves generations away from engines whose memory runs out.

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
