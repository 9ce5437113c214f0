//! One call to a source, from its connection to its end, as a task of its own.

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

/// What a call reports to its watcher.
pub(super) enum CallMessage {
    /// The source is alive and has nothing new.
    Heartbeat,
    /// A list, the fingerprint of its text, and when it was read.
    List(CompactList, Fingerprint, ReceiveTimes),
    /// The list of the known fingerprint again.
    KnownList,
    /// A snapshot of this version has begun, which is the known one. The rest was not read.
    SkippedSnapshot(u64),
    /// Something that can't be read.
    Unreadable(CallError),
    /// The call has ended. It is the last message.
    Ended { opened: bool, error: Option<CallError> },
}

/// A message, with the number of the call that it is from.
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
    /// Waits until the watcher has room for the message.
    pub(super) async fn send(&self, message: CallMessage) {
        // A watcher that is dropped has cancelled the call, too: nobody misses the message.
        _ = self.sender.send(NumberedMessage { number: self.number, message }).await;
    }
}

/// A task that is cancelled when its handle is dropped.
pub(super) struct AbortOnDrop(JoinHandle<()>);

impl AbortOnDrop {
    /// Starts a task. Needs a local task set.
    pub(super) fn spawn(task: impl Future<Output = ()> + 'static) -> AbortOnDrop {
        AbortOnDrop(spawn_local(task))
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A call whose answer has begun with status 200.
struct OpenCall {
    response: Response<Incoming>,
    /// Drives the connection.
    _connection: AbortOnDrop,
}

/// Makes a call and reports all that comes of it.
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
