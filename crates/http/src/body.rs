//! Reads request bodies.

use std::io::{self, Read};

use camphorloft_types::prelude::ByteSize;
use quick_error::quick_error;
use tiny_http::Request;

quick_error! {
    /// Reason that a body was refused.
    #[derive(Debug)]
    pub enum BodyError {
        /// The body exceeds the limit.
        TooLarge(limit: ByteSize) {
            display("the body has more than {} bytes", limit)
        }
        /// The connection failed or the body ended early.
        Io(err: io::Error) {
            from()
            display("the body could not be read: {}", err)
        }
        /// The connection closed before the announced length.
        Truncated {
            display("the body ended before its announced length")
        }
    }
}

/// Reads the whole body, up to `limit` bytes.
///
/// # Errors
///
/// Returns [`BodyError::TooLarge`] past the limit and [`BodyError::Truncated`] for a torn body.
pub fn read_body(req: &mut Request, limit: ByteSize) -> Result<Vec<u8>, BodyError> {
    let announced = req.body_length();
    if announced.is_some_and(|len| len as u64 > limit.0) {
        return Err(BodyError::TooLarge(limit));
    }
    let mut body = Vec::new();
    req.as_reader().take(limit.0 + 1).read_to_end(&mut body)?;
    if body.len() as u64 > limit.0 {
        return Err(BodyError::TooLarge(limit));
    }
    if announced.is_some_and(|len| body.len() < len) {
        return Err(BodyError::Truncated);
    }
    Ok(body)
}
