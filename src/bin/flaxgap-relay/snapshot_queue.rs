//! The queue of requests for the complete list: each is admitted before it is sent, so that the memory and the bytes
//! per second of a relay stay bounded.

use crate::counters::Counters;
use crate::session_handle::SessionHandle;
use flaxgap::core::Clock;
use flaxgap_distribution::snapshot_admission::{
    SnapshotAdmission, SnapshotDecision, SnapshotLimits, SnapshotRequestId,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until};

/// How often sends are checked against their time limit while any are active.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The requests for the complete list, and the sessions that made them.
pub struct SnapshotQueue {
    clock: Clock,
    counters: Rc<Counters>,
    admission: RefCell<SnapshotAdmission>,
    /// Notified when a request was added or has finished.
    changed: Notify,
    requesters: RefCell<BTreeMap<SnapshotRequestId, Rc<SessionHandle>>>,
}

impl SnapshotQueue {
    /// Creates an empty queue. Each relay needs its own seed, so that retry delays are spread.
    pub fn new(limits: SnapshotLimits, seed: u64, clock: Clock, counters: Rc<Counters>) -> SnapshotQueue {
        SnapshotQueue {
            clock,
            counters,
            admission: RefCell::new(SnapshotAdmission::new(limits, seed)),
            changed: Notify::new(),
            requesters: RefCell::default(),
        }
    }

    /// Requests the admission of one complete list of this size for a session.
    pub fn request(&self, bytes: usize, session: &Rc<SessionHandle>) -> SnapshotDecision {
        let decision = self.admission.borrow_mut().request(bytes, self.clock.now());
        self.changed.notify_one();
        if let SnapshotDecision::Admitted(id) | SnapshotDecision::Queued(id) = decision {
            self.requesters.borrow_mut().insert(id, session.clone());
        }
        decision
    }

    /// Removes a request whose list was sent, or whose session has ended.
    pub fn finish(&self, id: SnapshotRequestId) {
        self.requesters.borrow_mut().remove(&id);
        self.admission.borrow_mut().finish(id);
        self.changed.notify_one();
    }

    /// Number of complete lists that are being sent.
    pub fn sending(&self) -> usize {
        self.admission.borrow().sending()
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.admission.borrow().queued()
    }

    /// Admits queued requests as the limits allow, and aborts sends over their time limit, until the future is dropped.
    pub async fn run(&self) {
        loop {
            self.admit_next();
            self.abort_timed_out();
            tokio::select! {
                () = self.changed.notified() => {}
                () = self.next_deadline() => {}
            }
        }
    }

    fn admit_next(&self) {
        let admitted = self.admission.borrow_mut().poll(self.clock.now());
        for id in admitted {
            if let Some(session) = self.requester(id) {
                session.admit_snapshot();
            }
        }
    }

    fn abort_timed_out(&self) {
        let timed_out = self.admission.borrow().timed_out(self.clock.now());
        self.counters.slow_readers_ended.add(timed_out.len() as u64);
        for id in timed_out {
            if let Some(session) = self.requester(id) {
                session.abort();
            }
        }
    }

    fn requester(&self, id: SnapshotRequestId) -> Option<Rc<SessionHandle>> {
        self.requesters.borrow().get(&id).cloned()
    }

    /// Waits until the limit on bytes per second may admit a request, or a send may exceed its time limit.
    async fn next_deadline(&self) {
        let next_poll = self.admission.borrow().next_poll();
        match next_poll {
            Some(at) => sleep_until(self.clock.instant(at)).await,
            None if self.sending() > 0 => sleep(TIMEOUT_CHECK_INTERVAL).await,
            None => std::future::pending().await,
        }
    }
}
