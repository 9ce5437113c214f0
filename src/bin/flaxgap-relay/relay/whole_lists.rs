//! The whole lists that a relay sends: each is admitted first, so that bytes held and sent stay bounded.

use super::Relay;
use crate::session::Handle;
use bytes::Bytes;
use flaxgap_distribution::snapshot_admission::{SnapshotDecision, SnapshotRequestId};
use flaxgap_distribution::watcher::Watcher;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until};

/// How often whole lists that take too long are looked for while any are being sent.
const OVERDUE_CHECK: Duration = Duration::from_secs(1);

impl Relay {
    /// Asks for the admission of one whole list.
    pub fn request_whole(&self) -> SnapshotDecision {
        let bytes = match self.replica.borrow_mut().snapshot() {
            Ok(text) => text.len(),
            Err(problem) => {
                log::error!("relay: {problem}");
                0
            }
        };
        let admit = self.admission.borrow_mut().request(bytes, self.now());
        self.admission_changed.notify_one();
        admit
    }

    /// Whose whole list a ticket stands for.
    pub fn register_ticket(&self, ticket: SnapshotRequestId, handle: &Rc<Handle>) {
        self.tickets.borrow_mut().insert(ticket, handle.clone());
    }

    /// The whole list, for a session that has it admitted; none if it can't be told any more.
    pub fn take_whole(&self, watcher: &mut Watcher) -> Option<Bytes> {
        let taken = watcher.take_snapshot(&mut self.replica.borrow_mut(), self.now());
        if let Err(problem) = &taken {
            log::error!("relay: {problem}");
        }
        let text = taken.ok().flatten()?;
        self.counters.whole_sent.add(1);
        Some(text)
    }

    /// A whole list was sent, or its session has ended.
    pub fn whole_finished(&self, ticket: SnapshotRequestId) {
        self.tickets.borrow_mut().remove(&ticket);
        self.admission.borrow_mut().finish(ticket);
        self.admission_changed.notify_one();
    }

    /// Lets the next whole lists be sent as places and the rate allow, and ends those that take too long.
    pub(super) async fn admit(&self) {
        loop {
            let now = self.now();
            let (admitted, overdue) = {
                let mut admission = self.admission.borrow_mut();
                (admission.poll(now), admission.timed_out(now))
            };
            let handle = |ticket: &SnapshotRequestId| self.tickets.borrow().get(ticket).cloned();
            admitted.iter().filter_map(handle).for_each(|handle| handle.admit());
            overdue.iter().filter_map(handle).for_each(|handle| handle.cut_off());
            self.counters.slow_readers_ended.add(overdue.len() as u64);
            tokio::select! {
                () = self.admission_changed.notified() => {}
                () = self.next_admission() => {}
            }
        }
    }

    /// Waits until time alone lets something be admitted, or found overdue.
    async fn next_admission(&self) {
        let (next_poll, sending) = {
            let admission = self.admission.borrow();
            (admission.next_poll(), admission.sending())
        };
        match next_poll {
            Some(at) => sleep_until(self.instant(at)).await,
            None if sending > 0 => sleep(OVERDUE_CHECK).await,
            None => std::future::pending().await,
        }
    }
}
