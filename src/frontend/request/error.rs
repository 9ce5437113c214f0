//! Requests that can't be served as they came, and the status that answers them.

use hyper::{Method, StatusCode};
use thiserror::Error;

/// What is wrong with a request.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum BadRequest {
    /// The method has no meaning here.
    #[error("method {0} is not served")]
    Method(Method),
    /// The path is not class, volume and object.
    #[error("path: {0}")]
    Path(&'static str),
    /// A field is missing, malformed or repeated.
    #[error("{0} is missing, malformed or there twice")]
    Field(&'static str),
    /// A write of a class that reads, or the other way round.
    #[error("method {0} is not this class's")]
    ClassMethod(Method),
    /// It is ambiguous where the body ends.
    #[error("the length of the body is in doubt")]
    Length,
    /// The body is longer than any that is served.
    #[error("a body past any sensible length")]
    TooLong,
    /// The body did not arrive in time.
    #[error("the body did not come whole in time")]
    Slow,
    /// Another request has this id.
    #[error("this id is another request's")]
    Duplicate,
}

impl BadRequest {
    /// The status of its answer.
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
