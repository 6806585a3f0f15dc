//! Error responses as problem+json (RFC 9457), each with the outcome of the request.

use std::io::Cursor;
use std::time::Duration;

use camphorloft_types::prelude::Outcome;
use tiny_http::{Request, Response};

use crate::header::response_header;

/// An error response.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// Stable code, for example `overloaded`.
    pub code: &'static str,
    /// What happened and what the client can do.
    pub detail: String,
    /// Whether an endpoint may have run the request.
    pub outcome: Outcome,
    /// Time after which the client may retry, in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
}

impl Problem {
    /// Builds the error response to a request that no endpoint ran.
    pub fn not_run<Detail>(status: u16, code: &'static str, detail: Detail) -> Self
    where
        Detail: Into<String>,
    {
        Self { status, code, detail: detail.into(), outcome: Outcome::NotRun, retry_after: None }
    }

    /// Builds the error response to a request that an endpoint may have run.
    pub fn unknown<Detail>(status: u16, code: &'static str, detail: Detail) -> Self
    where
        Detail: Into<String>,
    {
        Self { status, code, detail: detail.into(), outcome: Outcome::Unknown, retry_after: None }
    }

    /// Sets the time after which the client may retry, rounded up to whole seconds, at least 1.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay.as_secs_f64().ceil().max(1.0) as u64);
        self
    }

    /// Returns the problem as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Responds to the request. Errors of the connection are left to the server library.
    pub fn respond(&self, req: Request) {
        let mut response: Response<Cursor<Vec<u8>>> = Response::from_string(self.to_json())
            .with_status_code(self.status)
            .with_header(response_header("content-type", "application/problem+json"))
            .with_header(response_header("camphorloft-outcome", self.outcome.as_str()));
        if let Some(seconds) = self.retry_after {
            response.add_header(response_header("retry-after", &seconds.to_string()));
        }
        let _ = req.respond(response);
    }
}
