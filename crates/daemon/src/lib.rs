//! One host of the system, assembled from its components.
//!
//! - [`settings`]: the validated JSON settings of a host.
//! - [`metrics`]: counters and gauges.
//! - [`config_state`]: the version in force, which never decreases.
//! - [`control_plane`]: state that hosts exchange by gossip.
//! - [`config_exchange`]: fetches the object set from other hosts.
//! - [`model_controller`]: sends commands to load models, under a lease.
//! - [`config_fetcher`]: fetches versions of the object set and the host list.
//! - [`peer_link`]: the threads of the control plane.
//! - [`registry`]: dense indices that are stable across versions.
//! - [`core`]: the decision core, a `stakker` actor.
//! - [`core_config`]: applies configuration changes to the core.
//! - [`core_views`]: views of the core for operators.
//! - [`core_thread`]: the thread that runs the actor.
//! - [`core_client`]: the gateway's interface to the core.
//! - [`endpoint_subset`]: the endpoints on which a host places generations.
//! - [`load_poller`]: reads the load reports of the engines.
//! - [`host`]: starts and stops a host.
//! - [`process`]: runs a host as a process.
//! - [`embedded`]: a host with stand-in engines, platform and service, for demonstrations.

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
pub mod endpoint_subset;
pub mod host;
pub mod load_poller;
pub mod metrics;
pub mod model_controller;
pub mod peer_link;
pub mod process;
pub mod registry;
pub mod settings;
