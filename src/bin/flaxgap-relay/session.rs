//! Serves one request for the list: a watch, or the complete list once. [`Watcher`] decides which line is sent next;
//! the encoded lines are shared by all sessions.

use crate::relay::{Relay, Unavailable};
use crate::session_handle::SessionHandle;
use crate::session_registry::{SessionId, SessionKind};
use bytes::Bytes;
use flaxgap_distribution::replica::Resume;
use flaxgap_distribution::snapshot_admission::{SnapshotDecision, SnapshotRequestId};
use flaxgap_distribution::watcher::{EndReason, StallAction, WatchAction, Watcher};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::time::{Instant, Sleep, sleep_until};

/// A heartbeat in the discovery protocol: an empty line.
const HEARTBEAT: Bytes = Bytes::from_static(b"\n");

/// The progress of a session's request for the complete list.
#[derive(Clone, Copy)]
enum SnapshotProgress {
    /// The session has not requested the list.
    NotNeeded,
    /// The request is queued, or was admitted and the list is sent next.
    Requested(SnapshotRequestId),
    /// The list was passed to the connection, which is sending it until it polls for more data.
    Sending(SnapshotRequestId),
    /// The list was sent, or could not be sent.
    Finished,
}

/// The next part of a session's response body; `None` at its end.
type NextPart = Option<io::Result<Bytes>>;

/// A request for the list that is being served.
pub struct Session {
    relay: Rc<Relay>,
    id: SessionId,
    kind: SessionKind,
    handle: Rc<SessionHandle>,
    watcher: RefCell<Watcher>,
    snapshot: Cell<SnapshotProgress>,
    /// Wakes the task when the watcher has to be polled again, or a stalled write has to be checked.
    timer: RefCell<Pin<Box<Sleep>>>,
}

impl Session {
    /// Starts to serve a request; fails if the relay is not available or a limit is reached.
    pub fn open(
        relay: &Rc<Relay>,
        kind: SessionKind,
        handle: &Rc<SessionHandle>,
    ) -> Result<Rc<Session>, Unavailable> {
        relay.availability()?;
        if !relay.sessions().has_capacity(kind) {
            return Err(Unavailable::TooManyWatches { max_watches: relay.sessions().max_watches() });
        }
        let session = Rc::new(Session::new(relay, kind, handle));
        if session.can_resume() {
            relay.counters().resumed.add(1);
        } else {
            session.request_snapshot()?;
        }
        Ok(session)
    }

    fn new(relay: &Rc<Relay>, kind: SessionKind, handle: &Rc<SessionHandle>) -> Session {
        let since = match kind {
            SessionKind::List => 0,
            SessionKind::Watch { since } => since,
        };
        let watcher = Watcher::new(since, relay.replica().generation(), relay.now());
        Session {
            relay: relay.clone(),
            id: relay.sessions().register(kind, handle),
            kind,
            handle: handle.clone(),
            watcher: RefCell::new(watcher),
            snapshot: Cell::new(SnapshotProgress::NotNeeded),
            timer: RefCell::new(Box::pin(sleep_until(Instant::now()))),
        }
    }

    /// Whether the session is a watch that can start without the complete list.
    fn can_resume(&self) -> bool {
        match self.kind {
            SessionKind::List => false,
            SessionKind::Watch { since } => {
                self.relay.replica().resume(since, self.relay.now()) != Resume::Snapshot
            }
        }
    }

    /// Requests the admission of the complete list, which is granted now or later; fails if the queue is full.
    fn request_snapshot(&self) -> Result<(), Unavailable> {
        let bytes = self.snapshot_bytes();
        let (id, is_admitted) = match self.relay.snapshots().request(bytes, &self.handle) {
            SnapshotDecision::Admitted(id) => (id, true),
            SnapshotDecision::Queued(id) => (id, false),
            SnapshotDecision::Rejected { retry_after_s } => {
                return Err(Unavailable::Overloaded { retry_after_s });
            }
        };
        self.handle.set_snapshot_admitted(is_admitted);
        self.snapshot.set(SnapshotProgress::Requested(id));
        Ok(())
    }

    /// The encoded size of the complete list; 0 if the list can't be encoded.
    fn snapshot_bytes(&self) -> usize {
        match self.relay.replica_mut().snapshot() {
            Ok(text) => text.len(),
            Err(error) => {
                log::error!("relay: list not encoded, error={error}");
                0
            }
        }
    }

    /// Polls for the next part to send, when the connection has capacity. Ready with `None` at the end of the response.
    pub fn poll_next(&self, context: &mut Context<'_>) -> Poll<NextPart> {
        self.handle.set_waker(context.waker());
        self.finish_sent_snapshot();
        if let Some(id) = self.admitted_snapshot() {
            return Poll::Ready(Some(self.take_snapshot(id)));
        }
        match self.kind {
            SessionKind::List => self.poll_list(),
            SessionKind::Watch { .. } if self.relay.is_shutting_down() => Poll::Ready(None),
            SessionKind::Watch { .. } => self.poll_watch(context),
        }
    }

    /// Polls a request for the complete list that was not admitted yet, or whose list was sent. Pending in the first
    /// case unless the relay is shutting down, and at the end in the second.
    fn poll_list(&self) -> Poll<NextPart> {
        if matches!(self.snapshot.get(), SnapshotProgress::Finished) {
            return Poll::Ready(None);
        }
        if self.relay.is_shutting_down() {
            return Poll::Ready(Some(Err(io::Error::other("the relay is shutting down"))));
        }
        Poll::Pending
    }

    fn poll_watch(&self, context: &mut Context<'_>) -> Poll<NextPart> {
        loop {
            let action = self.watcher.borrow_mut().poll(&self.relay.replica(), self.relay.now());
            match action {
                WatchAction::Send(text) => return Poll::Ready(Some(Ok(text))),
                WatchAction::Heartbeat => {
                    self.relay.counters().heartbeats.add(1);
                    return Poll::Ready(Some(Ok(HEARTBEAT)));
                }
                WatchAction::RequestSnapshot => {
                    if let Some(part) = self.request_snapshot_of_watch() {
                        return Poll::Ready(part);
                    }
                }
                WatchAction::Wait { until } => ready!(self.poll_timer(until, context)),
                WatchAction::End(reason) => {
                    self.record_end(reason);
                    return Poll::Ready(None);
                }
            }
        }
    }

    /// Requests the complete list for a watch. Returns the next part if the request is admitted (the list) or rejected
    /// (the end of the response) at once, and `None` if the watch has to wait for the admission.
    fn request_snapshot_of_watch(&self) -> Option<NextPart> {
        // A watch that can't start without the list has requested it when the session was opened.
        if matches!(self.snapshot.get(), SnapshotProgress::Requested(_)) {
            return None;
        }
        if self.request_snapshot().is_err() {
            return Some(None);
        }
        let id = self.admitted_snapshot()?;
        Some(Some(self.take_snapshot(id)))
    }

    /// Polled when a write has stalled. Ready with an error once the connection has to be closed.
    pub fn poll_stalled(&self, context: &mut Context<'_>) -> Poll<io::Error> {
        loop {
            let action = self.watcher.borrow_mut().write_stalled(&self.relay.replica(), self.relay.now());
            match action {
                StallAction::Wait { until } => ready!(self.poll_timer(until, context)),
                StallAction::End(reason) => {
                    self.record_end(reason);
                    return Poll::Ready(io::Error::new(io::ErrorKind::TimedOut, format!("{reason:?}")));
                }
            }
        }
    }

    /// Reports that the reader has accepted data.
    pub fn write_progressed(&self) {
        self.watcher.borrow_mut().write_progressed();
    }

    fn poll_timer(&self, until: f64, context: &mut Context<'_>) -> Poll<()> {
        let mut timer = self.timer.borrow_mut();
        timer.as_mut().reset(self.relay.instant(until));
        timer.as_mut().poll(context)
    }

    /// The request for the complete list, if it was admitted and the list is not sent yet.
    fn admitted_snapshot(&self) -> Option<SnapshotRequestId> {
        match self.snapshot.get() {
            SnapshotProgress::Requested(id) if self.handle.is_snapshot_admitted() => Some(id),
            _ => None,
        }
    }

    /// Returns the complete list to send; fails if the replica is not current any more or the list can't be encoded.
    fn take_snapshot(&self, id: SnapshotRequestId) -> io::Result<Bytes> {
        self.handle.set_snapshot_admitted(false);
        let taken = self.watcher.borrow_mut().take_snapshot(&mut self.relay.replica_mut(), self.relay.now());
        if let Err(error) = &taken {
            log::error!("relay: list not encoded, error={error}");
        }
        let Some(text) = taken.ok().flatten() else {
            self.finish_snapshot(id);
            return Err(io::Error::other("no current list to send"));
        };
        self.relay.counters().snapshots_sent.add(1);
        self.snapshot.set(SnapshotProgress::Sending(id));
        Ok(text)
    }

    /// Finishes the request for a complete list that was being sent. To be called when the connection polls for more
    /// data, which shows that it has accepted the list.
    fn finish_sent_snapshot(&self) {
        if let SnapshotProgress::Sending(id) = self.snapshot.get() {
            self.finish_snapshot(id);
        }
    }

    fn finish_snapshot(&self, id: SnapshotRequestId) {
        self.snapshot.set(SnapshotProgress::Finished);
        self.relay.snapshots().finish(id);
    }

    fn record_end(&self, reason: EndReason) {
        if reason == EndReason::SlowReader {
            self.relay.counters().slow_readers_ended.add(1);
        }
        log::debug!("relay: session ended, id={}, reason={reason:?}", self.id.0);
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        if let SnapshotProgress::Requested(id) | SnapshotProgress::Sending(id) = self.snapshot.get() {
            self.finish_snapshot(id);
        }
        self.relay.sessions().unregister(self.id);
    }
}
