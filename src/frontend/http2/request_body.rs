//! The body of an HTTP/2 request.

use bytes::Bytes;
use h2::RecvStream;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// The body of an HTTP/2 request. Flow-control capacity is released only as its bytes are read.
pub(super) struct RequestBody {
    body: RecvStream,
    /// Bytes that are still to come, if the length is known.
    remaining: Option<u64>,
}

impl RequestBody {
    /// Creates the body of a stream. `length` is the value of `content-length`.
    pub(super) fn new(body: RecvStream, length: Option<u64>) -> RequestBody {
        RequestBody { body, remaining: length }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = h2::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, h2::Error>>> {
        let Some(data) = ready!(self.body.poll_data(cx)) else { return Poll::Ready(None) };
        let frame = data.and_then(|data| {
            self.body.flow_control().release_capacity(data.len())?;
            self.remaining = self.remaining.map(|remaining| remaining.saturating_sub(data.len() as u64));
            Ok(Frame::data(data))
        });
        Poll::Ready(Some(frame))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        match self.remaining {
            _ if self.body.is_end_stream() => SizeHint::with_exact(0),
            Some(remaining) => SizeHint::with_exact(remaining),
            None => SizeHint::default(),
        }
    }
}
