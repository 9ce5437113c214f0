//! A request body with a minimum transfer rate: a client that stalls is an error, one that is slow within limits is
//! not.

use super::error::BadRequest;
use crate::core::content::IncompleteBody;
use crate::core::upload::UploadSource;
use crate::resources::admission::SlowTransferPermit;
use crate::resources::memory::MAX_BODY_BYTES;
use bytes::Bytes;
use futures_core::Stream;
use hyper::body::{Body, Frame, SizeHint};
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until};

/// Minimum transfer rate of a body, in bytes per second.
const MIN_BODY_RATE: f64 = 60e3;
/// Longest wait for a frame of a body.
const STALL_TIMEOUT: Duration = Duration::from_millis(2700);

/// A body that must arrive at a minimum rate. Only the time that the server waits for the client counts.
pub(super) struct PacedBody<B> {
    body: B,
    /// Time that the body may take beyond its transfer at the minimum rate.
    grace: Duration,
    received_bytes: u64,
    /// Total time of the waits for frames that have ended.
    waited: Duration,
    /// Since when the next frame is waited for.
    waiting_since: Option<Instant>,
    timeout: Pin<Box<Sleep>>,
}

impl<B> PacedBody<B> {
    pub(super) fn new(body: B, grace: Duration) -> PacedBody<B> {
        PacedBody {
            body,
            grace,
            received_bytes: 0,
            waited: Duration::ZERO,
            waiting_since: None,
            timeout: Box::pin(sleep_until(Instant::now())),
        }
    }

    /// Returns ready once the next frame is late. The first call of a wait starts its time-out.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.waiting_since.is_none() {
            let now = Instant::now();
            let time_at_min_rate = Duration::from_secs_f64(self.received_bytes as f64 / MIN_BODY_RATE);
            let allowed = self.grace + time_at_min_rate;
            self.waiting_since = Some(now);
            self.timeout.as_mut().reset(now + STALL_TIMEOUT.min(allowed.saturating_sub(self.waited)));
        }
        self.timeout.as_mut().poll(cx)
    }

    /// Ends the wait for the next frame, whether it has arrived or not.
    fn end_wait(&mut self) {
        if let Some(since) = self.waiting_since.take() {
            self.waited += since.elapsed();
        }
    }

    /// Notes that the next frame or the end of the body has arrived.
    fn frame_received(&mut self, data_bytes: usize) {
        self.end_wait();
        self.received_bytes += data_bytes as u64;
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for PacedBody<B> {
    type Data = Bytes;
    type Error = BadRequest;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BadRequest>>> {
        let this = &mut *self;
        let Poll::Ready(frame) = Pin::new(&mut this.body).poll_frame(cx) else {
            ready!(this.poll_timeout(cx));
            return Poll::Ready(Some(Err(BadRequest::Slow)));
        };
        let data = frame.as_ref().and_then(|frame| frame.as_ref().ok()?.data_ref());
        this.frame_received(data.map_or(0, Bytes::len));
        Poll::Ready(match frame {
            None => None,
            Some(Ok(_)) if this.received_bytes > MAX_BODY_BYTES => Some(Err(BadRequest::TooLong)),
            Some(Ok(frame)) => Some(Ok(frame)),
            Some(Err(_)) => Some(Err(BadRequest::Length)),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B: Body<Data = Bytes> + Unpin> Stream for PacedBody<B> {
    type Item = Result<Bytes, IncompleteBody>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            let Some(frame) = ready!(self.as_mut().poll_frame(cx)) else { return Poll::Ready(None) };
            let frame = match frame {
                Ok(frame) => frame,
                Err(error) => return Poll::Ready(Some(Err(IncompleteBody::new(error.to_string())))),
            };
            // Trailers are not forwarded.
            if let Ok(data) = frame.into_data() {
                return Poll::Ready(Some(Ok(data)));
            }
        }
    }
}

impl<B: Body<Data = Bytes> + Unpin> UploadSource for PacedBody<B> {
    fn pause(mut self: Pin<&mut Self>) {
        self.end_wait();
    }
}

/// The rest of a long body, with its place among the slow transfers, which is released with it.
pub(super) struct SlowTransfer<B> {
    pub(super) body: PacedBody<B>,
    pub(super) _permit: Option<SlowTransferPermit>,
}

impl<B: Body<Data = Bytes> + Unpin> Stream for SlowTransfer<B> {
    type Item = Result<Bytes, IncompleteBody>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        Pin::new(&mut self.body).poll_next(cx)
    }
}

impl<B: Body<Data = Bytes> + Unpin> UploadSource for SlowTransfer<B> {
    fn pause(mut self: Pin<&mut Self>) {
        Pin::new(&mut self.body).pause();
    }
}
