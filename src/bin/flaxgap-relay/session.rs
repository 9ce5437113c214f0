//! One call for the list that is being answered: a watch, or the whole list once. What is sent next is decided by
//! [`Watcher`]; its texts are shared by all sessions.

use crate::relay::Relay;
use bytes::Bytes;
use flaxgap_distribution::replica::Resume;
use flaxgap_distribution::snapshot_admission::{SnapshotDecision, SnapshotRequestId};
use flaxgap_distribution::watcher::{EndReason, StallAction, WatchAction, Watcher};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep, sleep_until};

/// An empty line, by which a watcher knows that the relay lives and has nothing new.
const HEARTBEAT: Bytes = Bytes::from_static(b"\n");

/// What others may do to a session.
#[derive(Default)]
pub struct Handle {
    waker: RefCell<Option<Waker>>,
    /// Its whole list may be sent.
    admitted: Cell<bool>,
    /// Drops its connection with what that holds.
    cut_off: Notify,
}

impl Handle {
    /// There may be something to send.
    pub fn wake(&self) {
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Its whole list may be sent now.
    pub fn admit(&self) {
        self.admitted.set(true);
        self.wake();
    }

    /// Ends it at once.
    pub fn cut_off(&self) {
        self.cut_off.notify_one();
    }

    /// Waits until it is to be ended at once.
    pub async fn is_cut_off(&self) {
        self.cut_off.notified().await;
    }
}

/// What was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The whole list, once.
    Whole,
    /// A watch.
    Watch,
}

/// How far the whole list is, where one is needed.
#[derive(Clone, Copy)]
enum WholeList {
    /// None is needed.
    NotNeeded,
    /// It waits for its admission, or has it and is sent next.
    Owed(SnapshotRequestId),
    /// The connection has it; it was taken once the connection asks for more.
    Handed(SnapshotRequestId),
    /// It was sent.
    Sent,
}

/// One call that is being answered.
pub struct Session {
    relay: Rc<Relay>,
    number: u64,
    kind: Kind,
    handle: Rc<Handle>,
    watcher: RefCell<Watcher>,
    whole: Cell<WholeList>,
    /// When it is to be looked at again.
    timer: RefCell<Pin<Box<Sleep>>>,
}

impl Session {
    /// A call that `watcher` answers.
    pub fn new(relay: Rc<Relay>, kind: Kind, watcher: Watcher, handle: Rc<Handle>) -> Session {
        let number = relay.register(kind, &handle);
        let timer = RefCell::new(Box::pin(sleep_until(Instant::now())));
        let (watcher, whole) = (RefCell::new(watcher), Cell::new(WholeList::NotNeeded));
        Session { relay, number, kind, handle, watcher, whole, timer }
    }

    /// Whether a watcher that knows this version needs no whole list at once.
    pub fn resumes(&self, since: u64) -> bool {
        self.relay.replica().resume(since, self.relay.now()) != Resume::Snapshot
    }

    /// Has the whole list admitted, now or later. Where too many wait for theirs: after how many seconds the caller is to
    /// come again.
    pub fn begin_whole(&self) -> Option<f64> {
        let (ticket, admitted) = match self.relay.request_whole() {
            SnapshotDecision::Admitted(ticket) => (ticket, true),
            SnapshotDecision::Queued(ticket) => (ticket, false),
            SnapshotDecision::Rejected { retry_after_s } => return Some(retry_after_s),
        };
        self.handle.admitted.set(admitted);
        self.whole.set(WholeList::Owed(ticket));
        self.relay.register_ticket(ticket, &self.handle);
        None
    }

    /// What is sent next, asked once the connection has room; none at the end.
    pub fn poll_next(&self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        *self.handle.waker.borrow_mut() = Some(context.waker().clone());
        self.note_taken();
        if let WholeList::Owed(ticket) = self.whole.get()
            && self.handle.admitted.get()
        {
            return Poll::Ready(self.take_whole(ticket));
        }
        match self.kind {
            Kind::Whole if matches!(self.whole.get(), WholeList::Sent) => Poll::Ready(None),
            Kind::Whole if self.relay.is_ending() => Poll::Ready(Some(Err(ended("the relay ends")))),
            Kind::Whole => Poll::Pending,
            Kind::Watch if self.relay.is_ending() => Poll::Ready(None),
            Kind::Watch => self.poll_watch(context),
        }
    }

    fn poll_watch(&self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        loop {
            let next = self.watcher.borrow_mut().poll(&self.relay.replica(), self.relay.now());
            match next {
                WatchAction::Send(text) => return Poll::Ready(Some(Ok(text))),
                WatchAction::Heartbeat => {
                    self.relay.counters().heartbeats.add(1);
                    return Poll::Ready(Some(Ok(HEARTBEAT)));
                }
                // Asked for at the call already, unless the watcher was waited for to become current.
                WatchAction::RequestSnapshot if matches!(self.whole.get(), WholeList::Owed(_)) => {}
                WatchAction::RequestSnapshot => {
                    if self.begin_whole().is_some() {
                        return Poll::Ready(None);
                    }
                    if let (true, WholeList::Owed(ticket)) = (self.handle.admitted.get(), self.whole.get()) {
                        return Poll::Ready(self.take_whole(ticket));
                    }
                }
                WatchAction::Wait { until } => ready!(self.poll_timer(until, context)),
                WatchAction::End(reason) => {
                    self.note_end(reason);
                    return Poll::Ready(None);
                }
            }
        }
    }

    /// Whether the connection may go on although its reader takes nothing.
    pub fn poll_blocked(&self, context: &mut Context<'_>) -> Poll<io::Error> {
        loop {
            let blocked = self.watcher.borrow_mut().write_stalled(&self.relay.replica(), self.relay.now());
            match blocked {
                StallAction::Wait { until } => ready!(self.poll_timer(until, context)),
                StallAction::End(reason) => {
                    self.note_end(reason);
                    return Poll::Ready(io::Error::new(io::ErrorKind::TimedOut, format!("{reason:?}")));
                }
            }
        }
    }

    /// Its reader has taken something.
    pub fn progressed(&self) {
        self.watcher.borrow_mut().write_progressed();
    }

    fn poll_timer(&self, until: f64, context: &mut Context<'_>) -> Poll<()> {
        let mut timer = self.timer.borrow_mut();
        timer.as_mut().reset(self.relay.instant(until));
        timer.as_mut().poll(context)
    }

    /// The whole list, once admitted.
    fn take_whole(&self, ticket: SnapshotRequestId) -> Option<io::Result<Bytes>> {
        self.handle.admitted.set(false);
        match self.relay.take_whole(&mut self.watcher.borrow_mut()) {
            Some(text) => {
                self.whole.set(WholeList::Handed(ticket));
                Some(Ok(text))
            }
            None => {
                self.finish(ticket);
                Some(Err(ended("the list is not current any more")))
            }
        }
    }

    fn note_taken(&self) {
        if let WholeList::Handed(ticket) = self.whole.get() {
            self.finish(ticket);
        }
    }

    fn finish(&self, ticket: SnapshotRequestId) {
        self.whole.set(WholeList::Sent);
        self.relay.whole_finished(ticket);
    }

    fn note_end(&self, reason: EndReason) {
        if reason == EndReason::SlowReader {
            self.relay.counters().slow_readers_ended.add(1);
        }
        log::debug!("relay: session {} ends: {reason:?}", self.number);
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        if let WholeList::Owed(ticket) | WholeList::Handed(ticket) = self.whole.get() {
            self.finish(ticket);
        }
        self.relay.unregister(self.number);
    }
}

fn ended(why: &str) -> io::Error {
    io::Error::other(why.to_string())
}
