//! Serves one HTTP/2 stream: reads the request and sends the answer within the client's flow-control window.

use super::Http2Frontend;
use super::request_body::RequestBody;
use super::send_gate::SendGate;
use crate::core::{Transport, seconds};
use crate::frontend::request::{RequestInfo, ResponseBody};
use crate::resources::admission::{Overload, RequestPermit};
use crate::resources::arrivals::{ConnectionArrivals, RequestArrival};
use crate::resources::reading_watch::StoppedReading;
use bytes::{Buf, Bytes};
use flaxgap_streams::admission::{Connection, RefusalReason};
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};
use hyper::header::{CONTENT_LENGTH, EXPECT, HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

/// Time that a request body may take beyond its transfer at the minimum rate, as on the HTTP/1.1 frontend.
const BODY_GRACE: Duration = Duration::from_millis(2500);

/// Most bytes that a stream sends before others of its connection have their turn.
const MAX_TURN_BYTES: usize = 16 * 1024;

/// How long a stream may wait for its client.
#[derive(Clone, Copy, Debug)]
struct SendLimits {
    /// Time in which a client has to grant a window for the stream, or another one of its connection.
    stall_timeout: Duration,
    /// Most bytes that other streams of the connection may send meanwhile: one turn each.
    max_passed_by_others: u64,
}

/// Why a stream's answer was not sent completely.
#[derive(Debug, Error)]
enum StreamError {
    #[error("reset by the client")]
    Reset,
    #[error("the client stopped reading, {0}")]
    StoppedReading(#[from] StoppedReading),
    #[error("the client grants no window")]
    NoWindow,
    #[error("the node's answer ended early")]
    AnswerIncomplete,
    #[error("{0}")]
    Protocol(#[from] h2::Error),
}

impl StreamError {
    /// Whether the client was too slow.
    fn is_stall(&self) -> bool {
        matches!(self, StreamError::StoppedReading(_) | StreamError::NoWindow)
    }
}

/// An admitted stream. When dropped, it is removed from admission and the task of its connection is notified.
struct AdmittedStream<T> {
    frontend: Rc<Http2Frontend<T>>,
    connection: Connection,
    ended: mpsc::UnboundedSender<()>,
}

impl<T> Drop for AdmittedStream<T> {
    fn drop(&mut self) {
        self.frontend.admission.borrow_mut().close(self.connection);
        // Fails if the task of the connection has ended.
        let _ = self.ended.send(());
    }
}

/// What a stream needs of its connection.
pub(super) struct StreamConnection<'a> {
    /// The connection in the admission of streams.
    pub(super) admission: Connection,
    /// Receives a message when a stream ends.
    pub(super) ended: &'a mpsc::UnboundedSender<()>,
    /// Holds back answers while the connection is blocked.
    pub(super) send_gate: &'a Rc<SendGate>,
    /// When the bytes of the connection arrived.
    pub(super) arrivals: &'a Rc<ConnectionArrivals>,
}

/// Admits a stream and serves it in a task of its own, or refuses it before any part of it is processed. Returns
/// whether it is admitted.
pub(super) fn admit<T: Transport + 'static>(
    frontend: &Rc<Http2Frontend<T>>,
    connection: &StreamConnection,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) -> bool {
    let counters = &frontend.context.counters;
    let permit = match admit_request(frontend, connection.admission) {
        Ok(permit) => permit,
        Err(refusal) => {
            counters.http2_refused.add();
            log::debug!("http2: stream refused: {refusal}");
            respond.send_reset(Reason::REFUSED_STREAM);
            return false;
        }
    };
    counters.http2_streams.add();
    let admitted = AdmittedStream {
        frontend: frontend.clone(),
        connection: connection.admission,
        ended: connection.ended.clone(),
    };
    let send_gate = connection.send_gate.clone();
    let arrival = connection.arrivals.clone();
    tokio::task::spawn_local(async move {
        let frontend = &admitted.frontend;
        let counters = &frontend.context.counters;
        match serve(frontend, request, &mut respond, &send_gate, permit, arrival).await {
            Ok(()) => {}
            Err(StreamError::Reset) => counters.http2_resets.add(),
            Err(error) => {
                if error.is_stall() {
                    counters.http2_stalled.add();
                    if counters.stall_log.is_due() {
                        log::info!("http2: stream reset, {error}");
                    }
                }
                log::debug!("http2: stream: {error}");
            }
        }
    });
    true
}

/// Why a stream is refused.
#[derive(Debug, Error)]
enum StreamRefusal {
    #[error(transparent)]
    Streams(#[from] RefusalReason),
    #[error("short of {0}")]
    Overload(#[from] Overload),
}

/// Admits the request of a stream, before a task or any memory is spent on it.
fn admit_request<T>(
    frontend: &Http2Frontend<T>,
    connection: Connection,
) -> Result<RequestPermit, StreamRefusal> {
    let permit = frontend.context.admission.admit_request()?;
    frontend.admission.borrow_mut().open(connection)?;
    Ok(permit)
}

/// Serves a stream up to the last byte of its answer. If the client resets the stream, the request's future is dropped,
/// and with it the attempt at the node.
async fn serve<T: Transport + 'static>(
    frontend: &Http2Frontend<T>,
    request: Request<RecvStream>,
    respond: &mut SendResponse<Bytes>,
    send_gate: &SendGate,
    permit: RequestPermit,
    arrival: Rc<dyn RequestArrival>,
) -> Result<(), StreamError> {
    let (head, body) = request.into_parts();
    if expects_continue(&head) && !body.is_end_stream() {
        let mut continue_response = Response::new(());
        *continue_response.status_mut() = StatusCode::CONTINUE;
        respond.send_informational(continue_response)?;
    }
    let length = head.headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
    let authority_ambiguous = !has_one_authority(&head);
    let request = Request::from_parts(head, RequestBody::new(body, length));
    let request_info = RequestInfo {
        body_grace: BODY_GRACE,
        framing_ambiguous: authority_ambiguous,
        client: None,
        arrival,
        permit: Some(permit),
    };
    let response = tokio::select! {
        biased;
        _ = poll_fn(|cx| respond.poll_reset(cx)) => return Err(StreamError::Reset),
        response = frontend.context.answer(request, request_info) => response,
    };
    let (mut head, mut body) = response.into_parts();
    if let Some(length) = body.size_hint().exact() {
        head.headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    let is_empty = body.is_end_stream();
    let mut send = respond.send_response(Response::from_parts(head, ()), is_empty)?;
    if !is_empty {
        let max_streams = frontend.settings.max_streams_per_connection as u64;
        let limits = SendLimits {
            stall_timeout: seconds(frontend.settings.stall_timeout_s),
            max_passed_by_others: max_streams * MAX_TURN_BYTES as u64,
        };
        send_body(&mut body, &mut send, send_gate, limits).await?;
    }
    Ok(())
}

fn expects_continue(head: &Parts) -> bool {
    head.headers.get(EXPECT).is_some_and(|expects| expects == "100-continue")
}

/// Whether the request has at most one `host` field, which equals `:authority` if both are present (RFC 9113, section
/// 8.3.1).
fn has_one_authority(head: &Parts) -> bool {
    let mut hosts = head.headers.get_all(HOST).iter();
    match (head.uri.authority(), hosts.next(), hosts.next()) {
        (Some(authority), Some(host), None) => {
            host.as_bytes().eq_ignore_ascii_case(authority.as_str().as_bytes())
        }
        (_, _, Some(_)) => false,
        _ => true,
    }
}

/// Sends the body of an answer, and then END_STREAM.
async fn send_body(
    body: &mut ResponseBody,
    send: &mut SendStream<Bytes>,
    send_gate: &SendGate,
    limits: SendLimits,
) -> Result<(), StreamError> {
    loop {
        let frame = tokio::select! {
            biased;
            _ = poll_fn(|cx| send.poll_reset(cx)) => return Err(StreamError::Reset),
            frame = body.frame() => frame,
        };
        match frame.map(|frame| frame.map(Frame::into_data)) {
            Some(Ok(Ok(data))) => send_data(data, send, send_gate, limits).await?,
            // Trailers are not forwarded.
            Some(Ok(Err(_))) => {}
            Some(Err(_)) => {
                send.send_reset(Reason::INTERNAL_ERROR);
                return Err(StreamError::AnswerIncomplete);
            }
            None => {
                send.send_data(Bytes::new(), true)?;
                return Ok(());
            }
        }
    }
}

/// Sends bytes as the client's flow-control window and the gate of the connection allow. Resets the stream if the client
/// has stopped reading.
async fn send_data(
    mut data: Bytes,
    send: &mut SendStream<Bytes>,
    send_gate: &SendGate,
    limits: SendLimits,
) -> Result<(), StreamError> {
    while data.has_remaining() {
        let wanted = data.len().min(MAX_TURN_BYTES);
        send.reserve_capacity(wanted);
        let sendable = async {
            wait_capacity(send, send_gate, limits).await?;
            tokio::select! {
                biased;
                _ = poll_fn(|cx| send.poll_reset(cx)) => Err(StreamError::Reset),
                opened = send_gate.wait_open() => Ok(opened?),
            }
        };
        let turn = match sendable.await {
            Err(error) if error.is_stall() => {
                send.send_reset(Reason::CANCEL);
                return Err(error);
            }
            sendable => sendable?,
        };
        // The client may have reduced its window while the stream waited for its turn.
        let count = send.capacity().min(wanted);
        if count > 0 {
            send_gate.bytes_passed(count);
            send.send_data(data.split_to(count), false)?;
        }
        drop(turn);
    }
    Ok(())
}

/// Waits until the client's windows allow bytes to be sent. A stream may wait for others that share the window of the
/// connection, for as long as they are sent and are not ahead of it more than once.
async fn wait_capacity(
    send: &mut SendStream<Bytes>,
    send_gate: &SendGate,
    limits: SendLimits,
) -> Result<(), StreamError> {
    let began_at = Instant::now();
    let passed_at_first = send_gate.passed_bytes();
    while send.capacity() == 0 {
        let waits_until = began_at.max(send_gate.passed_at()) + limits.stall_timeout;
        let capacity = timeout_at(waits_until, poll_fn(|cx| poll_capacity(send, cx))).await;
        if let Ok(capacity) = capacity {
            capacity?.ok_or(StreamError::Reset)??;
            continue;
        }
        let have_others_stopped = send_gate.passed_at() + limits.stall_timeout <= Instant::now();
        let passed_by_others = send_gate.passed_bytes() - passed_at_first;
        if have_others_stopped || passed_by_others > limits.max_passed_by_others {
            return Err(StreamError::NoWindow);
        }
    }
    Ok(())
}

/// Polls for bytes that the client's flow-control window allows.
fn poll_capacity(
    send: &mut SendStream<Bytes>,
    cx: &mut Context<'_>,
) -> Poll<Result<Option<Result<usize, h2::Error>>, StreamError>> {
    // Checked first, since capacity may be available on a stream that was reset.
    match send.poll_reset(cx) {
        Poll::Ready(_) => Poll::Ready(Err(StreamError::Reset)),
        Poll::Pending => send.poll_capacity(cx).map(Ok),
    }
}
