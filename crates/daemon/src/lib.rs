//! One host of the system: every part wired together.
//!
//! - [`settings`]: the JSON settings of a host, checked.
//! - [`metrics`]: counters and gauges.
//! - [`config_state`]: the version in force, which never decreases.
//! - [`control_plane`]: what hosts agree on by gossip.
//! - [`config_exchange`]: fetches the object set from other hosts.
//! - [`model_keeper`]: gives orders to load models, under a lease.
//! - [`config_fetcher`]: fetches versions of the object set and the host list.
//! - [`peer_link`]: the threads of the control plane.
//! - [`registry`]: dense indices that stay the same across versions.
//! - [`core`]: the decision core, a `stakker` actor.
//! - [`core_config`]: the core's part that follows the configuration.
//! - [`core_views`]: what operators read of the core.
//! - [`core_thread`]: the thread that runs the actor.
//! - [`core_client`]: the gateway's way to the core.
//! - [`endpoint_share`]: which endpoints a host places on.
//! - [`load_poller`]: reads the load reports of the engines.
//! - [`host`]: starts and stops a host.
//! - [`process`]: runs a host as a process.
//! - [`embedded`]: a host with its own stand-ins, for trying it out.

pub mod config_exchange;
pub mod config_fetcher;
pub mod config_state;
pub mod control_plane;
pub mod core;
pub mod core_client;
pub mod core_config;
pub mod core_thread;
pub mod core_views;
pub mod embedded;
pub mod endpoint_share;
pub mod host;
pub mod load_poller;
pub mod metrics;
pub mod model_keeper;
pub mod peer_link;
pub mod process;
pub mod registry;
pub mod settings;
