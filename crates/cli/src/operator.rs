//! Calls the operator interface of a host.

use std::net::SocketAddr;
use std::time::Duration;

use camphorloft_http::client::{Deadlines, pooled_agent};
use serde_json::Value;
use ureq::Agent;

use crate::exit::CommandError;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// A client of the operator interface.
pub struct OperatorClient {
    agent: Agent,
    key: String,
}

impl OperatorClient {
    /// Builds a client that authenticates with a key.
    pub fn new(key: &str) -> Self {
        let deadlines = Deadlines {
            connect: CONNECT_TIMEOUT,
            response: RESPONSE_TIMEOUT,
            progress: RESPONSE_TIMEOUT,
        };
        Self { agent: pooled_agent(deadlines), key: key.to_owned() }
    }

    /// Reads a view.
    pub fn view(&self, host: SocketAddr, name: &str) -> Result<Value, CommandError> {
        let call = self.agent.get(format!("http://{host}/operator/{name}"));
        let response = call.header("authorization", format!("Bearer {}", self.key)).call();
        let mut response = response.map_err(|err| unreachable_host(host, &err))?;
        let text = response.body_mut().read_to_string().unwrap_or_default();
        if response.status() != 200 {
            return Err(CommandError::Failed(format!("host {host}: {text}")));
        }
        serde_json::from_str(&text).map_err(|err| CommandError::Failed(format!("{host}: {err}")))
    }

    /// Starts a graceful shutdown.
    pub fn drain(&self, host: SocketAddr) -> Result<(), CommandError> {
        let call = self.agent.post(format!("http://{host}/operator/drain"));
        let response = call.header("authorization", format!("Bearer {}", self.key)).send_empty();
        let response = response.map_err(|err| unreachable_host(host, &err))?;
        match response.status().as_u16() {
            202 => Ok(()),
            status => Err(CommandError::Failed(format!("host {host} answered with {status}"))),
        }
    }
}

fn unreachable_host(host: SocketAddr, err: &ureq::Error) -> CommandError {
    CommandError::Failed(format!("host {host}: {err}; give the address of a running host"))
}
