//! A request as it goes to a node, and its body.

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

/// Where a request's body comes from.
enum BodySource {
    /// Memory; `None` once the bytes were taken, or if there are none.
    Buffered(Option<Bytes>),
    /// The client, as it sends it.
    Streamed(UploadReader),
}

/// The body of a request to a node. It notes when the HTTP library has taken its last bytes.
pub(super) struct RequestBody {
    source: BodySource,
    /// How many bytes the HTTP library has not taken yet, if that is known.
    left: Option<u64>,
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
            self.left = self.left.map(|left| left.saturating_sub(bytes.len() as u64));
        }
        // The library does not ask for more than the length, so the last bytes may be followed by no end.
        if chunk.is_none() || self.left == Some(0) {
            self.progress.body_taken();
        }
        Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.left == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// Builds the HTTP request for a node. `time_left_s` is the time until the attempt's deadline. `None` if its parts are
/// no valid HTTP, or if its body is streamed and an earlier attempt has taken it.
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

/// The body of a request; `None` if an earlier attempt has taken it.
fn body(payload: &Payload, progress: &Rc<ExchangeProgress>) -> Option<RequestBody> {
    let (source, left) = match payload {
        Payload::Buffered(bytes) => {
            let source = BodySource::Buffered(Some(bytes.clone()).filter(|bytes| !bytes.is_empty()));
            (source, Some(bytes.len() as u64))
        }
        Payload::Streamed(upload) => (BodySource::Streamed(upload.take()?), upload.length),
    };
    Some(RequestBody { source, left, progress: progress.clone() })
}
