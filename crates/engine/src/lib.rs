//! Message types of the engine protocol and an HTTP client for it.
//!
//! - [`load_report`]: the responses to `GET /load` and `GET /cache_events`.
//! - [`command`]: commands to load or unload a model.
//! - [`completion`]: the body of a completion request and the chunks of its response.
//! - [`client`]: starts, resumes and cancels generations, reads load reports and sends commands.

pub mod client;
pub mod command;
pub mod completion;
pub mod load_report;
