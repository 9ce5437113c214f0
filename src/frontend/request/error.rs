//! Errors of malformed or unacceptable requests, and the status codes of their responses.

use hyper::{Method, StatusCode};
use thiserror::Error;

/// Why a request can't be served.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum BadRequest {
    /// The method is neither GET nor PUT.
    #[error("method {0} is not supported")]
    Method(Method),
    /// The path is not of the form `/CLASS/VOLUME/OBJECT`.
    #[error("path: {0}")]
    Path(&'static str),
    /// A field is missing, malformed or repeated.
    #[error("{0} is missing, malformed or repeated")]
    Field(&'static str),
    /// A write in a class of reads, or a read in a class of writes.
    #[error("method {0} is not allowed for this class")]
    ClassMethod(Method),
    /// The end of the body or the authority is ambiguous, the body ended early, or a read has a body.
    #[error("the length of the body is ambiguous or invalid")]
    Length,
    /// The body exceeds the maximum length.
    #[error("the body is too long")]
    TooLong,
    /// The body did not arrive completely within the time-out.
    #[error("the body did not arrive completely in time")]
    Slow,
    /// Another request has the same id.
    #[error("x-correlation-id is in use by another request")]
    Duplicate,
}

impl BadRequest {
    /// Returns the status code of the response.
    pub(super) fn status(&self) -> StatusCode {
        match self {
            BadRequest::Method(_) | BadRequest::ClassMethod(_) => StatusCode::METHOD_NOT_ALLOWED,
            BadRequest::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            BadRequest::Slow => StatusCode::REQUEST_TIMEOUT,
            BadRequest::Duplicate => StatusCode::CONFLICT,
            BadRequest::Path(_) | BadRequest::Field(_) | BadRequest::Length => StatusCode::BAD_REQUEST,
        }
    }
}
