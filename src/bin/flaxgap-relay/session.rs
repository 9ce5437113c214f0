//! One request for the list that is being served: a watch, or the complete list once. [`Watcher`] decides what is sent
//! next; its texts are shared by all sessions.

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

/// An empty line: the relay is alive and has nothing new.
const HEARTBEAT: Bytes = Bytes::from_static(b"\n");

/// The progress of the complete list in a session.
#[derive(Clone, Copy)]
enum SnapshotProgress {
    /// The session does not need it.
    NotNeeded,
    /// It is queued, or was admitted and is sent next.
    Requested(SnapshotRequestId),
    /// The connection is sending it, until it asks for more.
    Sending(SnapshotRequestId),
    /// It was sent, or could not be sent.
    Finished,
}

/// The next part of a session's response body; `None` at its end.
type NextPart = Option<io::Result<Bytes>>;

/// One request that is being served.
pub struct Session {
    relay: Rc<Relay>,
    id: SessionId,
    kind: SessionKind,
    handle: Rc<SessionHandle>,
    watcher: RefCell<Watcher>,
    snapshot: Cell<SnapshotProgress>,
    /// Wakes the session when the watcher has to be polled again.
    timer: RefCell<Pin<Box<Sleep>>>,
}

impl Session {
    /// Starts to serve a request, if the relay is available and its limits allow it.
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

    /// Whether it is a watch that does not need the complete list at its start.
    fn can_resume(&self) -> bool {
        match self.kind {
            SessionKind::List => false,
            SessionKind::Watch { since } => {
                self.relay.replica().resume(since, self.relay.now()) != Resume::Snapshot
            }
        }
    }

    /// Requests the admission of the complete list, now or later; an error if the queue is full.
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

    /// The size of the complete list.
    fn snapshot_bytes(&self) -> usize {
        match self.relay.replica_mut().snapshot() {
            Ok(text) => text.len(),
            Err(error) => {
                log::error!("relay: list not encoded, error={error}");
                0
            }
        }
    }

    /// The next part to send, polled once the connection has capacity; `None` at the end.
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

    /// The complete list once: nothing to send before its admission, and nothing after it.
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

    /// The watcher needs the complete list. Returns the part to send if it can be sent, or rejected, at once.
    fn request_snapshot_of_watch(&self) -> Option<NextPart> {
        // A watch that needs the list at its start has requested it when it was opened.
        if matches!(self.snapshot.get(), SnapshotProgress::Requested(_)) {
            return None;
        }
        if self.request_snapshot().is_err() {
            return Some(None);
        }
        let id = self.admitted_snapshot()?;
        Some(Some(self.take_snapshot(id)))
    }

    /// Whether the connection may stay open although its reader takes nothing.
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

    /// The reader has taken something.
    pub fn write_progressed(&self) {
        self.watcher.borrow_mut().write_progressed();
    }

    fn poll_timer(&self, until: f64, context: &mut Context<'_>) -> Poll<()> {
        let mut timer = self.timer.borrow_mut();
        timer.as_mut().reset(self.relay.instant(until));
        timer.as_mut().poll(context)
    }

    /// The request for the complete list, if it was admitted and is not sent yet.
    fn admitted_snapshot(&self) -> Option<SnapshotRequestId> {
        match self.snapshot.get() {
            SnapshotProgress::Requested(id) if self.handle.is_snapshot_admitted() => Some(id),
            _ => None,
        }
    }

    /// The complete list; an error if the replica is not current any more.
    fn take_snapshot(&self, id: SnapshotRequestId) -> io::Result<Bytes> {
        self.handle.set_snapshot_admitted(false);
        let taken = self.watcher.borrow_mut().take_snapshot(&mut self.relay.replica_mut(), self.relay.now());
        if let Err(error) = &taken {
            log::error!("relay: list not encoded, error={error}");
        }
        let Some(text) = taken.ok().flatten() else {
            self.finish_snapshot(id);
            return Err(io::Error::other("the list is not current any more"));
        };
        self.relay.counters().snapshots_sent.add(1);
        self.snapshot.set(SnapshotProgress::Sending(id));
        Ok(text)
    }

    /// The connection asks for more: it has taken the complete list.
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
