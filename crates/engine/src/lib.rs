//! The protocol of the engines and a client for it.
//!
//! - [`load_report`]: the answer to `GET /load`.
//! - [`order`]: orders to load or unload a model.
//! - [`completion`]: the body of a completion request and the chunks of its answer.
//! - [`client`]: starts, resumes and cancels generations, reads loads and gives orders.

pub mod client;
pub mod completion;
pub mod load_report;
pub mod order;
