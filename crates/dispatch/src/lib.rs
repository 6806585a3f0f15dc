//! Decides which endpoint receives a request, when a request waits or is refused, which requests
//! may be retried, and where running generations migrate when their engine drains. Performs no I/O
//! and does not read the clock.
//!
//! - [`distance`]: network distance of an endpoint from this host.
//! - [`entry`]: an endpoint as listed in the registry.
//! - [`directives`]: what an endpoint states about itself in a response.
//! - [`request_window`]: number of requests that a host has in progress at a brittle endpoint.
//! - [`request_limit`]: rate of requests that an endpoint accepts.
//! - [`crash_suspects`]: recognises requests that crash the endpoints that run them.
//! - [`health`]: failure rate of an endpoint, estimated from its responses.
//! - [`load`]: load of an endpoint, estimated from reports and from the requests this host sent.
//! - [`speed`]: speed of an endpoint, estimated from what it states and from what hosts observe.
//! - [`slowness_samples`]: recent samples of how slow an endpoint is.
//! - [`peer_slowness`]: speed of an endpoint as known to another host.
//! - [`service_speed`]: what the endpoints of one service have in common in speed.
//! - [`expected_gaps`]: expected pauses between the events of the streams of an engine.
//! - [`uneven_speed`]: cost of uneven speed of the engines of a service.
//! - [`run`]: a request that this host sent to an endpoint.
//! - [`stall_clock`]: recognises streams that their engines do not continue.
//! - [`subset`]: selects the endpoints that a host sends work to.
//! - [`assignment`]: selects the host that performs a task for the others.
//! - [`endpoint`]: state of one endpoint.
//! - [`fleet_change`]: change of an endpoint's state as known to this host.
//! - [`fleet`]: the table of endpoints.
//! - [`revision`]: position in the registry's change history.
//! - [`evacuation`]: zones that receive no requests because the operator evacuates them.
//! - [`tick_monitor`]: recognises times in which the process did not run, by its own ticks.
//! - [`pause`]: whether the process was paused.
//! - [`brittleness`]: services whose endpoints crash when they have to refuse many requests.
//! - [`candidates`]: restricts the endpoints that a request may be sent to.
//! - [`residency`]: refuses requests that no endpoint in their allowed regions can serve.
//! - [`stream_origins`]: software versions that began streams.
//! - [`choice`]: a selected endpoint, with the inputs to the decision.
//! - [`migration`]: schedules migrations of generations between engines.
//! - [`plain`]: selects an endpoint for a call of a plain service.
//! - [`generation`]: selects an engine for a generation.
//! - [`admission`]: starts, delays or refuses a generation.
//! - [`admission_queue`]: the generations of one service that wait at a host for an engine.
//! - [`admission_terms`]: conditions on which a queued generation is admitted.
//! - `waiting_ahead`: what waits before a generation in the queue.
//! - [`queued_work`]: a generation that waits, with what determines its place in the queue.
//! - [`peer_queues`]: what other hosts state about the generations that wait there.
//! - [`organisation_usage`]: how much of the admitted work each organisation had recently.
//! - [`completions`]: how fast the engines of a service free memory.
//! - [`return_schedule`]: when refused clients are told to come back.
//! - [`start_return`]: when clients are told to come back to a host without a configuration.
//! - [`retry_quota`]: limits retries across all hosts.
//! - [`pool`]: the engines of one service.
//! - [`reachability`]: whether this host reaches the endpoints over its own links.
//! - [`reclaim`]: migrates running generations off a draining engine.

pub mod admission;
pub mod admission_queue;
pub mod admission_terms;
pub mod assignment;
pub mod brittleness;
pub mod candidates;
pub mod choice;
pub mod completions;
pub mod crash_suspects;
pub mod directives;
pub mod distance;
pub mod endpoint;
pub mod entry;
pub mod evacuation;
pub mod expected_gaps;
pub mod fleet;
pub mod fleet_change;
pub mod generation;
pub mod health;
pub mod load;
pub mod migration;
pub mod organisation_usage;
pub mod pause;
pub mod peer_queues;
pub mod peer_slowness;
pub mod plain;
pub mod pool;
pub mod prelude;
pub mod queued_work;
pub mod reachability;
pub mod reclaim;
pub mod request_limit;
pub mod request_window;
pub mod residency;
pub mod retry_quota;
pub mod return_schedule;
pub mod revision;
pub mod run;
pub mod service_speed;
pub mod slowness_samples;
pub mod speed;
pub mod stall_clock;
pub mod start_return;
pub mod stream_origins;
pub mod subset;
pub mod tick_monitor;
pub mod uneven_speed;
mod waiting_ahead;
