//! Receiving and classifying a node's response, and streaming responses that are too long to buffer.

use super::connection::NodeConnection;
use super::limits::{
    ERROR_BODY_TIME, MAX_BUFFERED_BYTES, STREAM_STALL_TIMEOUT, STREAM_START_BYTES, UNKNOWN_LENGTH_BUFFER_TIME,
};
use super::pool::ConnectionPool;
use crate::core::AttemptResult;
use crate::core::SendPermit;
use crate::core::content::{IncompleteBody, StreamedBody};
use crate::resources::memory::{BodyError, EarlyReturn, GatheredBody, MemoryBudget, PartialBody};
use crate::scheduler::{AttemptOutcome, LoadReport, NodeId};
use bytes::Bytes;
use futures_core::Stream;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};
use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use thiserror::Error;
use tokio::time::{Instant, Sleep, sleep_until};

/// Why a node's response could not be received.
#[derive(Debug, Error)]
pub(super) enum ResponseError {
    /// The exchange failed, or the response head is not valid HTTP.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The response has both a content length and a transfer coding, so its end is ambiguous.
    #[error("response with both content-length and transfer-encoding")]
    AmbiguousLength,
    /// The body ended early, or is malformed or too long.
    #[error(transparent)]
    Body(#[from] BodyError<hyper::Error>),
}

/// A response whose body is buffered, completely or up to a prefix.
pub(super) struct NodeResponse {
    head: hyper::http::response::Parts,
    /// The body's bytes that are not yet buffered.
    rest: Incoming,
    buffered: GatheredBody,
}

impl NodeResponse {
    /// Waits for the response and buffers its body: completely if it is short and comes in time, otherwise its beginning.
    pub(super) async fn receive(
        response: impl Future<Output = hyper::Result<Response<Incoming>>>,
        memory: &MemoryBudget,
        permit: &SendPermit,
    ) -> Result<NodeResponse, ResponseError> {
        let (head, mut body) = response.await?.into_parts();
        permit.response_begun.set(true);
        if head.headers.contains_key(CONTENT_LENGTH) && head.headers.contains_key(TRANSFER_ENCODING) {
            return Err(ResponseError::AmbiguousLength);
        }
        // A body of unknown length ends when the node closes the connection; a reset is an error.
        let (max_bytes, early) = match body.size_hint().exact() {
            Some(length) if length > MAX_BUFFERED_BYTES as u64 => (STREAM_START_BYTES, None),
            Some(_) => (MAX_BUFFERED_BYTES, None),
            None => {
                let at = Instant::now() + UNKNOWN_LENGTH_BUFFER_TIME;
                (MAX_BUFFERED_BYTES, Some(EarlyReturn { at, min_bytes: STREAM_START_BYTES }))
            }
        };
        // The body of an error is not forwarded: it is read only so that the connection can be used again.
        let latest = match classify(&head) {
            AttemptOutcome::Ok => permit.response_wait.forward_at,
            _ => Instant::now() + ERROR_BODY_TIME,
        };
        let partial = PartialBody { early, latest };
        let buffered = memory.gather(&mut body, max_bytes, Some(partial)).await?;
        Ok(NodeResponse { head, rest: body, buffered })
    }

    /// Converts the response to the attempt's result. The connection returns to the pool if the response is complete,
    /// is owned by the body if the body is streamed, and is closed otherwise.
    pub(super) fn into_result(
        self,
        connection: NodeConnection,
        node: NodeId,
        pool: &Rc<ConnectionPool>,
    ) -> AttemptResult {
        let outcome = classify(&self.head);
        let usage = usage(&self.head.headers);
        let load_report = load_report(&self.head.headers);
        let mut body = StreamedBody::from(self.buffered.bytes);
        if self.buffered.is_complete {
            pool.put(node, connection);
        } else if outcome == AttemptOutcome::Ok {
            let buffered_length = body.buffered.len() as u64;
            body.length = self.rest.size_hint().exact().map(|rest| buffered_length + rest);
            body.rest = Some(Box::pin(StreamedResponse::new(self.rest, connection, node, pool.clone())));
        }
        AttemptResult { outcome, body, usage, load_report }
    }
}

/// Classifies a response by its head. It counts as a rejection only if the node states with `x-unprocessed: 1` that it
/// has not executed the request.
fn classify(head: &hyper::http::response::Parts) -> AttemptOutcome {
    let is_unprocessed = head.headers.get("x-unprocessed").is_some_and(|value| value == "1");
    match head.status {
        StatusCode::OK => AttemptOutcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_unprocessed => {
            AttemptOutcome::Rejected
        }
        _ => AttemptOutcome::Error,
    }
}

/// Rate at which the volume is served across all heads, as a multiple of its plan's base rate; `None` if the header is
/// missing or invalid.
fn usage(headers: &HeaderMap) -> Option<f64> {
    let text = headers.get("x-iops-used")?.to_str().ok()?;
    let percent: f64 = text.trim().parse().ok()?;
    if percent.is_finite() && percent >= 0.0 { Some(percent / 100.0) } else { None }
}

/// The node's load report; empty if the header is missing or invalid.
fn load_report(headers: &HeaderMap) -> LoadReport {
    let json = headers.get("x-backend-load").map(HeaderValue::as_bytes);
    let values: HashMap<String, f64> =
        json.and_then(|json| serde_json::from_slice(json).ok()).unwrap_or_default();
    crate::config::report(values.iter().map(|(name, value)| (name.as_str(), *value)))
}

/// The rest of a response that is forwarded as it arrives, and the connection on which it arrives. Dropping the stream
/// closes the connection, unless the response has ended.
struct StreamedResponse {
    /// `None` once the response has ended or failed.
    connection: Option<NodeConnection>,
    body: Incoming,
    node: NodeId,
    pool: Rc<ConnectionPool>,
    stall_timer: Pin<Box<Sleep>>,
}

impl StreamedResponse {
    fn new(
        body: Incoming,
        connection: NodeConnection,
        node: NodeId,
        pool: Rc<ConnectionPool>,
    ) -> StreamedResponse {
        let stall_timer = Box::pin(sleep_until(Instant::now() + STREAM_STALL_TIMEOUT));
        StreamedResponse { connection: Some(connection), body, node, pool, stall_timer }
    }

    /// Polls the body for its next bytes; the connection must have been polled before.
    fn poll_body(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, IncompleteBody>>> {
        loop {
            let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
            self.stall_timer.as_mut().reset(Instant::now() + STREAM_STALL_TIMEOUT);
            let frame = match frame {
                Some(Ok(frame)) => frame,
                Some(Err(error)) => {
                    self.connection = None;
                    return Poll::Ready(Some(Err(IncompleteBody::new(error.to_string()))));
                }
                None => {
                    self.return_connection();
                    return Poll::Ready(None);
                }
            };
            // Trailers are not forwarded.
            if let Ok(bytes) = frame.into_data() {
                // The stream may not be polled again after the announced length.
                if self.body.is_end_stream() {
                    self.return_connection();
                }
                return Poll::Ready(Some(Ok(bytes)));
            }
        }
    }

    fn return_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.put(self.node, connection);
        }
    }
}

impl Stream for StreamedResponse {
    type Item = Result<Bytes, IncompleteBody>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        // Polled twice: the body requests more data from the connection only when it is polled itself.
        for _ in 0..2 {
            let Some(connection) = &mut self.connection else { return Poll::Ready(None) };
            connection.poll_http(cx);
            if let Poll::Ready(item) = self.poll_body(cx) {
                return Poll::Ready(item);
            }
        }
        ready!(self.stall_timer.as_mut().poll(cx));
        self.connection = None;
        Poll::Ready(Some(Err(IncompleteBody::new(format!(
            "no data from the node for {STREAM_STALL_TIMEOUT:?}"
        )))))
    }
}
