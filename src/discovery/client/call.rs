//! A call to a source, from its connection to its end. Each call runs as a task.

use super::connect::Connect;
use super::response_reader::ResponseReader;
use super::{CallError, ReceiveTimes, SourceRequest};
use bytes::Bytes;
use flaxgap_membership::compact::CompactList;
use flaxgap_membership::decoder::Fingerprint;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::header::{HOST, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout;

/// A message from a call to its watcher.
pub(super) enum CallMessage {
    /// The source is alive, and the list has not changed.
    Heartbeat,
    /// A list was received. Contains the list, the fingerprint of its text, and when it was read.
    List(CompactList, Fingerprint, ReceiveTimes),
    /// A list with the known fingerprint was received again.
    KnownList,
    /// A snapshot of this version, which is the known one, was not read after its first fields.
    SkippedSnapshot(u64),
    /// The response contains data that can't be decoded.
    Unreadable(CallError),
    /// The call has ended. This is its last message.
    Ended { opened: bool, error: Option<CallError> },
}

/// A message with the number of the call that sent it.
pub(super) struct NumberedMessage {
    pub(super) number: u64,
    pub(super) message: CallMessage,
}

/// Sends a call's messages to its watcher.
pub(super) struct CallReporter {
    pub(super) number: u64,
    pub(super) sender: mpsc::Sender<NumberedMessage>,
}

impl CallReporter {
    /// Sends a message. Waits while the watcher's channel is full.
    pub(super) async fn send(&self, message: CallMessage) {
        // The channel is closed only when the watcher is dropped, which also cancels this call.
        _ = self.sender.send(NumberedMessage { number: self.number, message }).await;
    }
}

/// A task that is cancelled when its handle is dropped.
pub(super) struct AbortOnDrop(JoinHandle<()>);

impl AbortOnDrop {
    /// Spawns a task. Must be called in a `LocalSet`.
    pub(super) fn spawn(task: impl Future<Output = ()> + 'static) -> AbortOnDrop {
        AbortOnDrop(spawn_local(task))
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A call whose response has status 200.
struct OpenCall {
    response: Response<Incoming>,
    /// The task that drives the connection.
    _connection: AbortOnDrop,
}

/// Makes a call, and sends its messages to the watcher until it ends.
pub(super) async fn run<C: Connect>(
    connector: C,
    address: SocketAddr,
    reader: ResponseReader,
    reporter: CallReporter,
) {
    let time_limit = reader.timeouts().call;
    let opened = timeout(time_limit, open(connector, address, reader.request())).await;
    let call = match opened {
        Ok(Ok(call)) => call,
        Ok(Err(error)) => return report_not_opened(&reporter, error).await,
        Err(_) => return report_not_opened(&reporter, CallError::Silent(time_limit)).await,
    };
    let error = reader.read(call.response, &reporter).await.err();
    reporter.send(CallMessage::Ended { opened: true, error }).await;
}

async fn report_not_opened(reporter: &CallReporter, error: CallError) {
    reporter.send(CallMessage::Ended { opened: false, error: Some(error) }).await;
}

async fn open<C: Connect>(
    connector: C,
    address: SocketAddr,
    request: SourceRequest,
) -> Result<OpenCall, CallError> {
    let stream = connector.connect(address).await?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let connection = AbortOnDrop::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("discovery: connection failed, error={error}");
        }
    });
    let request =
        Request::get(request_path(request)).header(HOST, address.to_string()).body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    match (response.status(), retry_after(&response)) {
        (StatusCode::OK, _) => Ok(OpenCall { response, _connection: connection }),
        (StatusCode::SERVICE_UNAVAILABLE, Some(delay)) => Err(CallError::Busy(delay)),
        (status, _) => Err(CallError::Status(status)),
    }
}

fn request_path(request: SourceRequest) -> String {
    match request {
        SourceRequest::List => "/api/targets".to_string(),
        SourceRequest::WatchSince(version) => format!("/api/targets?follow=1&since={version}"),
    }
}

fn retry_after(response: &Response<Incoming>) -> Option<Duration> {
    let seconds = response.headers().get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}
