//! The HTTP request to a node, and its body.

use super::progress::ExchangeProgress;
use crate::core::content::{IncompleteBody, Payload};
use crate::core::upload::UploadReader;
use crate::core::{NodeRequest, Operation};
use bytes::Bytes;
use futures_core::Stream;
use hyper::Method;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONTENT_LENGTH, HOST, HeaderValue};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};

/// Source of a request's body.
enum BodySource {
    /// Bytes in memory; `None` if the body is empty or has been polled.
    Buffered(Option<Bytes>),
    /// Bytes forwarded as the client sends them.
    Streamed(UploadReader),
}

/// Body of a request to a node. It records in the exchange's progress when hyper has polled its last bytes.
pub(super) struct RequestBody {
    source: BodySource,
    /// Number of bytes that hyper has not yet polled, if known.
    remaining: Option<u64>,
    progress: Rc<ExchangeProgress>,
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        let chunk = match &mut self.source {
            BodySource::Buffered(bytes) => bytes.take().map(Ok),
            BodySource::Streamed(reader) => ready!(Pin::new(reader).poll_next(cx)),
        };
        if let Some(Ok(bytes)) = &chunk {
            self.remaining = self.remaining.map(|remaining| remaining.saturating_sub(bytes.len() as u64));
        }
        // hyper does not poll past the announced length, so `None` may never be returned after the last bytes.
        if chunk.is_none() || self.remaining == Some(0) {
            self.progress.body_taken();
        }
        Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// Builds the HTTP request to a node. `time_left_s` is the time until the attempt's deadline, in seconds. Returns
/// `None` if the target or a header value is not valid HTTP, or if the body is streamed and an earlier attempt has
/// taken it.
pub(super) fn build(
    node_request: &NodeRequest,
    address: SocketAddr,
    time_left_s: f64,
    progress: &Rc<ExchangeProgress>,
) -> Option<hyper::Request<RequestBody>> {
    let method = match node_request.operation {
        Operation::Read => Method::GET,
        Operation::Write => Method::PUT,
    };
    let mut builder = hyper::Request::builder()
        .method(&method)
        .uri(&node_request.target)
        .header(HOST, address.to_string())
        .header("x-correlation-id", HeaderValue::from_maybe_shared(node_request.id.clone()).ok()?)
        .header("x-time-left", format!("{time_left_s:.3}"));
    if let Some(key) = &node_request.idempotency_key {
        builder = builder.header("idempotency-key", HeaderValue::from_maybe_shared(key.clone()).ok()?);
    }
    let body = body(&node_request.payload, progress)?;
    if method == Method::PUT && body.is_end_stream() {
        builder = builder.header(CONTENT_LENGTH, 0);
    }
    let mut request = builder.body(body).ok()?;
    let interim_received = progress.interim_flag();
    hyper::ext::on_informational(&mut request, move |_| interim_received.store(true, Ordering::Relaxed));
    Some(request)
}

/// Creates the request's body; `None` if it is streamed and an earlier attempt has taken it.
fn body(payload: &Payload, progress: &Rc<ExchangeProgress>) -> Option<RequestBody> {
    let (source, remaining) = match payload {
        Payload::Buffered(bytes) => {
            let source = BodySource::Buffered(Some(bytes.clone()).filter(|bytes| !bytes.is_empty()));
            (source, Some(bytes.len() as u64))
        }
        Payload::Streamed(upload) => (BodySource::Streamed(upload.take()?), upload.length),
    };
    Some(RequestBody { source, remaining, progress: progress.clone() })
}
