//! HTTP client of the platform.

use std::net::SocketAddr;
use std::time::Duration;

use camphorloft_http::client::{Deadlines, is_not_sent, pooled_agent};
use serde::de::DeserializeOwned;
use ureq::http::Response;
use ureq::{Agent, Body};

use crate::api::{PlatformApi, PlatformError, Table, TransactOutcome};
use crate::wire::{HostEntry, Row, Write};

/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// HTTP client of the platform.
#[derive(Clone)]
pub struct HttpPlatform {
    agent: Agent,
    base: String,
}

impl HttpPlatform {
    /// Creates a client of the platform at an address.
    pub fn new(addr: SocketAddr) -> Self {
        let deadlines = Deadlines {
            connect: CONNECT_TIMEOUT,
            response: RESPONSE_TIMEOUT,
            progress: RESPONSE_TIMEOUT,
        };
        Self { agent: pooled_agent(deadlines), base: format!("http://{addr}") }
    }

    fn get(&self, path: &str) -> Result<Response<Body>, PlatformError> {
        let response = self.agent.get(format!("{}{path}", self.base)).call().map_err(from_ureq)?;
        check_available(response)
    }
}

/// Maps an error status to a [`PlatformError`].
fn check_available(response: Response<Body>) -> Result<Response<Body>, PlatformError> {
    match response.status().as_u16() {
        200 | 404 | 409 => Ok(response),
        503 => Err(PlatformError::Unavailable("status 503".to_owned())),
        status => Err(PlatformError::Ambiguous(format!("status {status}"))),
    }
}

fn from_ureq(err: ureq::Error) -> PlatformError {
    if is_not_sent(&err) {
        return PlatformError::Unavailable(err.to_string());
    }
    PlatformError::Ambiguous(err.to_string())
}

fn json<Payload>(mut response: Response<Body>) -> Result<Payload, PlatformError>
where
    Payload: DeserializeOwned,
{
    response.body_mut().read_json().map_err(from_ureq)
}

impl PlatformApi for HttpPlatform {
    fn read(&self, table: Table, key: &str) -> Result<Option<Row>, PlatformError> {
        let response = self.get(&format!("/tables/{table}/rows/{key}"))?;
        if response.status() == 404 { Ok(None) } else { json(response).map(Some) }
    }

    fn scan(
        &self,
        table: Table,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<(String, Row)>, PlatformError> {
        let path = format!("/tables/{table}/scan?prefix={prefix}&after={after}&limit={limit}");
        json(self.get(&path)?)
    }

    fn transact(&self, table: Table, writes: &[Write]) -> Result<TransactOutcome, PlatformError> {
        let url = format!("{}/tables/{table}/transact", self.base);
        let response = self.agent.post(url).send_json(writes).map_err(from_ureq)?;
        let response = check_available(response)?;
        match response.status().as_u16() {
            200 => Ok(TransactOutcome::Applied),
            409 => json(response).map(TransactOutcome::Conflicts),
            status => Err(PlatformError::Ambiguous(format!("status {status}"))),
        }
    }

    fn put_object(&self, name: &str, bytes: &[u8]) -> Result<(), PlatformError> {
        let url = format!("{}/objects/{name}", self.base);
        let response = self.agent.put(url).send(bytes).map_err(from_ureq)?;
        check_available(response).map(|_| ())
    }

    fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let mut response = self.get(&format!("/objects/{name}"))?;
        if response.status() == 404 {
            return Ok(None);
        }
        response.body_mut().read_to_vec().map(Some).map_err(from_ureq)
    }

    fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        json(self.get("/hosts")?)
    }
}
