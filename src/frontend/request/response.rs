//! Encodes answers as HTTP responses.

use crate::core::Answer;
use crate::core::content::{ByteStream, IncompleteBody, StreamedBody};
use crate::metrics::counters::{FinalOutcome, InFlightRequest};
use crate::resources::admission::RequestPermit;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// How long a client should wait that was rejected because resources were short, in seconds.
const OVERLOADED_RETRY_AFTER_S: f64 = 1.0;

/// The body of a response, buffered or streamed from a node. The outcome of the request is recorded at its end.
pub struct ResponseBody {
    buffered: Option<Bytes>,
    rest: Option<ByteStream>,
    /// Bytes that are still to be sent, if the length is known.
    remaining: Option<u64>,
    request: Option<InFlightRequest>,
    on_end: Option<Box<dyn FnOnce()>>,
    /// The memory of the request, released with its answer.
    permit: Option<RequestPermit>,
}

impl ResponseBody {
    /// Creates a body. `request` is the request whose outcome it records; `None` for a response of the head itself.
    fn new(content: StreamedBody, request: Option<InFlightRequest>) -> ResponseBody {
        let StreamedBody { buffered, rest, length } = content;
        let buffered = Some(buffered).filter(|buffered| !buffered.is_empty());
        let body = ResponseBody { buffered, rest, remaining: length, request, on_end: None, permit: None };
        if body.rest.is_none() {
            body.record_outcome(FinalOutcome::Served);
        }
        body
    }

    /// Sets a callback that is called when the body is dropped, sent completely or not.
    pub fn on_end(&mut self, on_end: impl FnOnce() + 'static) {
        self.on_end = Some(Box::new(on_end));
    }

    /// Keeps the memory of the request reserved until the body is dropped.
    pub(super) fn hold(&mut self, permit: RequestPermit) {
        self.permit = Some(permit);
    }

    fn record_outcome(&self, outcome: FinalOutcome) {
        if let Some(request) = &self.request {
            request.finish(outcome);
        }
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, IncompleteBody>>> {
        if let Some(buffered) = self.buffered.take() {
            return Poll::Ready(Some(Ok(buffered)));
        }
        match &mut self.rest {
            Some(rest) => rest.as_mut().poll_next(cx),
            None => Poll::Ready(None),
        }
    }

    /// Notes a chunk, an error or the end of the body. Records the outcome of the request once the last byte is sent or
    /// the body has failed.
    fn chunk_sent(&mut self, chunk: Option<&Result<Bytes, IncompleteBody>>) {
        match chunk {
            Some(Ok(bytes)) => {
                self.remaining = self.remaining.map(|remaining| remaining.saturating_sub(bytes.len() as u64));
                if self.remaining == Some(0) {
                    self.record_outcome(FinalOutcome::Served);
                }
            }
            // The client detects the truncation: the body is shorter than its length or lacks its last chunk.
            Some(Err(error)) => {
                log::debug!("http: answer incomplete: {error}");
                self.record_outcome(FinalOutcome::Failed);
            }
            None => self.record_outcome(FinalOutcome::Served),
        }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if let Some(on_end) = self.on_end.take() {
            on_end();
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        let chunk = ready!(self.poll_chunk(cx));
        self.chunk_sent(chunk.as_ref());
        Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_none() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// Returns a plain-text response of the head itself.
pub(super) fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::new(text.into().into(), None));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// Converts an answer of the core into a response.
pub(super) fn from_answer(answer: Answer) -> Response<ResponseBody> {
    match answer {
        Answer::Served(content, request) => Response::new(ResponseBody::new(content, Some(request))),
        Answer::Rejected { retry_after_s } => rejected(retry_after_s),
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed\n"),
    }
}

/// Returns the response to a request that is rejected because resources are short.
pub(super) fn overloaded() -> Response<ResponseBody> {
    rejected(OVERLOADED_RETRY_AFTER_S)
}

/// Returns the response to a request that was rejected without effect.
pub(super) fn rejected(retry_after_s: f64) -> Response<ResponseBody> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused, come again\n");
    if retry_after_s > 0.0 {
        if let Ok(value) = HeaderValue::from_str(&format!("{retry_after_s:.3}")) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}
