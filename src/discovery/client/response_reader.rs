//! Reads the response to a call: lists and heartbeats, with timeouts.

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

/// The version whose snapshots are skipped; `None` if no snapshot may be skipped. Shared by a watcher and its calls.
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

/// Reads the body of one response.
pub(super) struct ResponseReader {
    request: SourceRequest,
    timeouts: CallTimeouts,
    decoder: ListDecoder,
    skippable: SkippableVersion,
    /// Timeout until the next bytes.
    message_timeout: Duration,
    /// When the first bytes of the incomplete list were received; `None` between lists.
    list_started_at: Option<Instant>,
    /// Whether the last list was a snapshot.
    last_list_is_snapshot: bool,
    /// Whether a message was reported. The call may then be the current watch, whose lists are not skipped.
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
            list_started_at: None,
            last_list_is_snapshot: false,
            has_reported: false,
        }
    }

    pub(super) fn request(&self) -> SourceRequest {
        self.request
    }

    pub(super) fn timeouts(&self) -> CallTimeouts {
        self.timeouts
    }

    /// Reads the response to its end, or to the first fields of a snapshot that is skipped.
    ///
    /// # Errors
    /// Fails if a call for the complete list ends or times out before the list has been received. Also fails if a watch
    /// ends or times out: a watch has no regular end.
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
                if has_delivered || self.list_started_at.is_none() {
                    self.list_started_at = Some(Instant::now());
                }
                continue;
            }
            self.list_started_at = None;
            self.message_timeout = self.timeouts.idle;
            // Blank lines are heartbeats.
            if !has_delivered && !data.is_empty() && self.request != SourceRequest::List {
                self.has_reported = true;
                reporter.send(CallMessage::Heartbeat).await;
            }
        }
        Ok(())
    }

    /// Waits for the next bytes. Returns `None` if the response has ended after the requested complete list.
    async fn next_data(
        &self,
        body: &mut Incoming,
        reporter: &CallReporter,
    ) -> Result<Option<Bytes>, CallError> {
        match timeout_at(self.deadline(), body.frame()).await {
            Ok(Some(frame)) => Ok(Some(frame?.into_data().unwrap_or_default())),
            Ok(None) | Err(_) if self.list_started_at.is_some() => {
                reporter.send(CallMessage::Unreadable(CallError::IncompleteList)).await;
                Err(CallError::IncompleteList)
            }
            Ok(None) if self.request == SourceRequest::List && self.last_list_is_snapshot => Ok(None),
            Ok(None) => Err(CallError::Closed),
            Err(_) => Err(CallError::Silent(self.message_timeout)),
        }
    }

    /// When the read times out.
    fn deadline(&self) -> Instant {
        let silent_at = Instant::now() + self.message_timeout;
        match self.list_started_at {
            // A truncated list looks like a list that is still being received, so a list has a time limit.
            Some(started_at) => silent_at.min(started_at + self.timeouts.call),
            None => silent_at,
        }
    }

    /// Reports all complete lists in the buffer. Returns whether there was one.
    async fn report_lists(&mut self, reporter: &CallReporter) -> Result<bool, CallError> {
        let mut has_delivered = false;
        let last_byte = Instant::now();
        let received = ReceiveTimes { first_byte: self.list_started_at.unwrap_or(last_byte), last_byte };
        while let Some(decoded) = self.decoder.next_compact() {
            self.has_reported = true;
            match decoded {
                Ok(Decoded::KnownList) => {
                    self.last_list_is_snapshot = true;
                    has_delivered = true;
                    reporter.send(CallMessage::KnownList).await;
                }
                Ok(Decoded::List(list, _)) if self.request == SourceRequest::List && !list.is_snapshot => {
                    return Err(CallError::NotASnapshot);
                }
                Ok(Decoded::List(list, fingerprint)) => {
                    self.last_list_is_snapshot = list.is_snapshot;
                    has_delivered = true;
                    reporter.send(CallMessage::List(list, fingerprint, received)).await;
                }
                Err(error) => self.report_unreadable(error, reporter).await?,
            }
        }
        Ok(has_delivered)
    }

    /// Reports that a part of the response can't be decoded. Fails if the rest of the response can't be decoded either.
    async fn report_unreadable(&self, error: DecodeError, reporter: &CallReporter) -> Result<(), CallError> {
        let ends_response = matches!(error, DecodeError::TooLong { .. });
        reporter.send(CallMessage::Unreadable(error.into())).await;
        if ends_response { Err(CallError::IncompleteList) } else { Ok(()) }
    }

    /// The version of the incomplete snapshot, if the snapshot can be skipped.
    fn skippable_version(&self) -> Option<u64> {
        if self.has_reported || self.request == SourceRequest::List {
            return None;
        }
        let skippable = self.skippable.get()?;
        self.decoder.incomplete_snapshot_version().filter(|version| *version == skippable)
    }
}
