//! Reads request bodies.

use std::io::{self, Read};

use camphorloft_types::prelude::ByteSize;
use quick_error::quick_error;
use tiny_http::Request;

quick_error! {
    /// Reason that a request body was rejected.
    #[derive(Debug)]
    pub enum BodyError {
        /// The body exceeds the limit.
        TooLarge(limit: ByteSize) {
            display("the body has more than {} bytes", limit)
        }
        /// Reading from the connection failed.
        Io(err: io::Error) {
            from()
            display("the body could not be read: {}", err)
        }
        /// The body ended before its `Content-Length`.
        Truncated {
            display("the body ended before its announced length")
        }
    }
}

/// Reads the whole body, up to `limit` bytes.
///
/// # Errors
///
/// Returns [`BodyError::TooLarge`] past the limit, [`BodyError::Truncated`] when
/// the body is shorter than its `Content-Length`, and [`BodyError::Io`] when the connection fails.
pub fn read_body(req: &mut Request, limit: ByteSize) -> Result<Vec<u8>, BodyError> {
    let declared_len = req.body_length();
    if declared_len.is_some_and(|len| len as u64 > limit.0) {
        return Err(BodyError::TooLarge(limit));
    }
    let mut body = Vec::new();
    req.as_reader().take(limit.0 + 1).read_to_end(&mut body)?;
    if body.len() as u64 > limit.0 {
        return Err(BodyError::TooLarge(limit));
    }
    if declared_len.is_some_and(|len| body.len() < len) {
        return Err(BodyError::Truncated);
    }
    Ok(body)
}
