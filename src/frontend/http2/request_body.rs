//! A request's body, from the library's stream.

use bytes::Bytes;
use h2::RecvStream;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// A request's body. The flow-control window of its sender opens as its bytes are taken, and no sooner.
pub(super) struct RequestBody {
    body: RecvStream,
    /// Bytes that are left, if the length is known.
    left: Option<u64>,
}

impl RequestBody {
    /// The body of a stream, with the length that its head says.
    pub(super) fn new(body: RecvStream, length: Option<u64>) -> RequestBody {
        RequestBody { body, left: length }
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
            self.left = self.left.map(|left| left.saturating_sub(data.len() as u64));
            Ok(Frame::data(data))
        });
        Poll::Ready(Some(frame))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        match self.left {
            _ if self.body.is_end_stream() => SizeHint::with_exact(0),
            Some(left) => SizeHint::with_exact(left),
            None => SizeHint::default(),
        }
    }
}
