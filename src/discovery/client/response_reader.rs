//! Reads the answer to a call: lists, heartbeats, and silence.

use super::call::{CallMessage, CallReporter};
use super::{CallError, ReceiveTimes, SourceRequest};
use crate::discovery::schedule::CallTimeouts;
use bytes::Bytes;
use flaxgap_membership::decoder::{DecodeError, Decoded, ListDecoder};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The version of a snapshot that need not be read, if there is one at present. Shared by a watcher and its calls.
#[derive(Clone, Default)]
pub(super) struct SkippableVersion(Rc<Cell<Option<u64>>>);

impl SkippableVersion {
    pub(super) fn get(&self) -> Option<u64> {
        self.0.get()
    }

    pub(super) fn set(&self, version: Option<u64>) {
        self.0.set(version);
    }
}

/// Reads the body of one answer.
pub(super) struct ResponseReader {
    request: SourceRequest,
    timeouts: CallTimeouts,
    decoder: ListDecoder,
    skippable: SkippableVersion,
    /// Longest time until the next bytes.
    message_timeout: Duration,
    /// When the list began that is being received; none between lists.
    list_began: Option<Instant>,
    /// The last list was a snapshot.
    has_snapshot: bool,
    /// Something was reported: the call may be the current watch, of which nothing is skipped.
    has_reported: bool,
}

impl ResponseReader {
    pub(super) fn new(
        request: SourceRequest,
        timeouts: CallTimeouts,
        decoder: ListDecoder,
        skippable: SkippableVersion,
    ) -> ResponseReader {
        ResponseReader {
            request,
            timeouts,
            decoder,
            skippable,
            message_timeout: timeouts.first_message,
            list_began: None,
            has_snapshot: false,
            has_reported: false,
        }
    }

    pub(super) fn request(&self) -> SourceRequest {
        self.request
    }

    pub(super) fn timeouts(&self) -> CallTimeouts {
        self.timeouts
    }

    /// Reads to the end of the answer, or to the first bytes of a snapshot that may be skipped.
    ///
    /// # Errors
    /// Fails if the answer ends, or nothing more is received in time, before all that was asked for is there. A watch
    /// asks for more without end.
    pub(super) async fn read(
        mut self,
        response: Response<Incoming>,
        reporter: &CallReporter,
    ) -> Result<(), CallError> {
        let mut body = response.into_body();
        while let Some(data) = self.next_data(&mut body, reporter).await? {
            self.decoder.push(&data);
            let has_delivered = self.report_lists(reporter).await?;
            if self.decoder.has_incomplete_list() {
                if let Some(version) = self.skippable_version() {
                    reporter.send(CallMessage::SkippedSnapshot(version)).await;
                    return Ok(());
                }
                if has_delivered || self.list_began.is_none() {
                    self.list_began = Some(Instant::now());
                }
                continue;
            }
            self.list_began = None;
            self.message_timeout = self.timeouts.idle;
            // Blank lines are heartbeats.
            if !has_delivered && !data.is_empty() && self.request != SourceRequest::List {
                self.has_reported = true;
                reporter.send(CallMessage::Heartbeat).await;
            }
        }
        Ok(())
    }

    /// Waits for the next bytes; none if the answer has ended with all that was asked for.
    async fn next_data(
        &self,
        body: &mut Incoming,
        reporter: &CallReporter,
    ) -> Result<Option<Bytes>, CallError> {
        match timeout_at(self.deadline(), body.frame()).await {
            Ok(Some(frame)) => Ok(Some(frame?.into_data().unwrap_or_default())),
            Ok(None) | Err(_) if self.list_began.is_some() => {
                reporter.send(CallMessage::Unreadable(CallError::IncompleteList)).await;
                Err(CallError::IncompleteList)
            }
            Ok(None) if self.request == SourceRequest::List && self.has_snapshot => Ok(None),
            Ok(None) => Err(CallError::Closed),
            Err(_) => Err(CallError::Silent(self.message_timeout)),
        }
    }

    /// When the next bytes are due at the latest.
    fn deadline(&self) -> Instant {
        let silent_at = Instant::now() + self.message_timeout;
        match self.list_began {
            // A list that was cut short can't be told from one whose rest is still to come.
            Some(began) => silent_at.min(began + self.timeouts.call),
            None => silent_at,
        }
    }

    /// Reports the lists that are complete by now; returns whether there was one.
    async fn report_lists(&mut self, reporter: &CallReporter) -> Result<bool, CallError> {
        let mut has_delivered = false;
        let last_byte = Instant::now();
        let received = ReceiveTimes { first_byte: self.list_began.unwrap_or(last_byte), last_byte };
        while let Some(decoded) = self.decoder.next_compact() {
            self.has_reported = true;
            match decoded {
                Ok(Decoded::KnownList) => {
                    self.has_snapshot = true;
                    has_delivered = true;
                    reporter.send(CallMessage::KnownList).await;
                }
                Ok(Decoded::List(list, _)) if self.request == SourceRequest::List && !list.is_snapshot => {
                    return Err(CallError::NotASnapshot);
                }
                Ok(Decoded::List(list, fingerprint)) => {
                    self.has_snapshot = list.is_snapshot;
                    has_delivered = true;
                    reporter.send(CallMessage::List(list, fingerprint, received)).await;
                }
                Err(error) => self.report_unreadable(error, reporter).await?,
            }
        }
        Ok(has_delivered)
    }

    /// Reports that a part of the answer can't be read. Fails if nothing after it can be read.
    async fn report_unreadable(&self, error: DecodeError, reporter: &CallReporter) -> Result<(), CallError> {
        let ends_answer = matches!(error, DecodeError::TooLong { .. });
        reporter.send(CallMessage::Unreadable(error.into())).await;
        if ends_answer { Err(CallError::IncompleteList) } else { Ok(()) }
    }

    /// The version of the snapshot that has begun, if it need not be read.
    fn skippable_version(&self) -> Option<u64> {
        if self.has_reported || self.request == SourceRequest::List {
            return None;
        }
        let skippable = self.skippable.get()?;
        self.decoder.incomplete_snapshot_version().filter(|version| *version == skippable)
    }
}
