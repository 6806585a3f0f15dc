//! What an endpoint states about itself in the head of a response.

use std::time::Duration;

use camphorloft_types::prelude::RequestRate;

/// One statement of an endpoint about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Directive<Value> {
    /// The response does not contain it.
    #[default]
    Absent,
    /// Its value.
    Stated(Value),
    /// The value is not valid and is ignored.
    Malformed,
}

/// What an endpoint states about itself in the head of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Directives {
    /// Rate of requests that it accepts from all hosts together, for as long as its responses state
    /// it.
    pub request_limit: Directive<RequestRate>,
    /// Time for which it stays cold.
    pub cold: Directive<Duration>,
    /// Whether it leaves: it accepts no new work and shuts down soon.
    pub leaving: Directive<bool>,
    /// Refusals a second, to all hosts together, beyond which it crashes.
    pub brittle: Directive<u32>,
    /// Time for which it wants no further request from the host that it refused.
    pub hold_off: Directive<Duration>,
}
