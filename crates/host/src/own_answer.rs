//! Answers of the host itself.

use std::time::Duration;

use bytes::Bytes;
use camphorloft_types::prelude::Outcome;
use http::{HeaderValue, Response, StatusCode, header};

use crate::answer_body::AnswerBody;

/// Builds an answer of the host itself. `retry_after` tells a caller whose request has not run
/// when to come back.
///
/// ```
/// use camphorloft_host::own_answer::own_answer;
/// use camphorloft_types::prelude::Outcome;
/// use http::StatusCode;
/// use std::time::Duration;
/// let wait = Some(Duration::from_millis(1500));
/// let answer = own_answer(StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun, "no_room", wait);
/// assert_eq!(answer.headers()["retry-after"], "1.500");
/// ```
pub fn own_answer(
    status: StatusCode,
    outcome: Outcome,
    reason: &str,
    retry_after: Option<Duration>,
) -> Response<AnswerBody> {
    let body = format!("{{\"outcome\":\"{outcome}\",\"reason\":\"{reason}\"}}\n");
    let mut answer = Response::new(AnswerBody::whole(Bytes::from(body)));
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(wait) = retry_after {
        let seconds = format!("{:.3}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    answer
}
