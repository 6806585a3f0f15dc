//! Looks up request headers.

use tiny_http::{Header, Request};

/// Returns the value of a header. The name is case-insensitive.
pub fn header<'r>(req: &'r Request, name: &str) -> Option<&'r str> {
    let found = req.headers().iter().find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|h| h.value.as_str())
}

/// Returns the bearer token of the `Authorization` header.
pub fn bearer_token(req: &Request) -> Option<&str> {
    header(req, "authorization")?.strip_prefix("Bearer ")
}

/// Builds a response header. Characters that are not printable ASCII are replaced by `?`.
pub fn response_header(name: &str, value: &str) -> Header {
    let ascii: String =
        value.chars().map(|c| if c.is_ascii_graphic() || c == ' ' { c } else { '?' }).collect();
    Header::from_bytes(name.as_bytes(), ascii.as_bytes()).expect("the header is printable ASCII")
}
