//! The slot of one connection in the budget, and its states.

use super::usage::{ConnectionKind, SlotState};
use super::{CloseOrder, DescriptorBudget};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::Notify;

/// Callback that requests a connection to close.
type CloseRequest = Box<dyn FnOnce()>;

/// What the budget knows of one slot.
pub(super) struct SlotRecord {
    pub(super) kind: ConnectionKind,
    pub(super) state: Cell<SlotState>,
    /// Position among the connections that can be closed; valid in a state in which they are listed.
    pub(super) order: Cell<CloseOrder>,
    /// When the last byte arrived on the connection, or else when it was opened or became idle.
    pub(super) listed_at: Cell<Instant>,
    /// Called once when the connection is requested to close.
    on_close: RefCell<Option<CloseRequest>>,
    /// Notified when the connection is requested to close.
    reclaimed: Notify,
}

impl SlotRecord {
    /// Tells the connection's owner to close it.
    pub(super) fn request_close(&self) {
        self.reclaimed.notify_one();
        let on_close = self.on_close.take();
        if let Some(on_close) = on_close {
            on_close();
        }
    }
}

/// A connection's slot in the budget, released when dropped.
pub struct ConnectionSlot {
    budget: Rc<DescriptorBudget>,
    record: Rc<SlotRecord>,
}

impl ConnectionSlot {
    /// Takes a slot. The caller has checked that there is one.
    pub(super) fn take(
        budget: &Rc<DescriptorBudget>,
        kind: ConnectionKind,
        state: SlotState,
    ) -> ConnectionSlot {
        let record = Rc::new(SlotRecord {
            kind,
            state: Cell::new(state),
            order: Cell::new(0),
            listed_at: Cell::new(Instant::now()),
            on_close: RefCell::default(),
            reclaimed: Notify::new(),
        });
        budget.update_usage(|usage| usage.add(kind, state));
        ConnectionSlot { budget: budget.clone(), record }
    }

    /// Marks the connection as idle between two requests. `on_close` is called at most once, when descriptors run out.
    pub fn mark_idle_with(&self, on_close: impl FnOnce() + 'static) {
        self.record.on_close.replace(Some(Box::new(on_close)));
        self.change_to(SlotState::Idle);
    }

    /// Marks the connection as in use, unless it was requested to close.
    pub fn mark_in_use(&self) {
        if self.record.state.get() != SlotState::InUse {
            self.change_to(SlotState::InUse);
        }
    }

    /// Changes the state from now on, unless the connection was requested to close.
    fn change_to(&self, state: SlotState) {
        self.change_to_since(state, Instant::now());
    }

    /// Changes the state, in which the connection has been since a time that may have passed, unless it was requested to
    /// close.
    fn change_to_since(&self, state: SlotState, since: Instant) {
        if self.record.state.get() != SlotState::Closing {
            self.budget.change_state(&self.record, state, since);
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.budget.release(&self.record);
    }
}

/// A slot that an accept loop holds for the connection that it accepts next.
pub struct AcceptSlot(ConnectionSlot);

impl AcceptSlot {
    pub(super) fn new(slot: ConnectionSlot) -> AcceptSlot {
        AcceptSlot(slot)
    }

    /// Turns the slot into that of a connection that was just accepted. From then on the connection can be requested to
    /// close until [`ClientSlot::mark_in_use`].
    pub fn accepted(self) -> ClientSlot {
        self.accepted_since(Instant::now())
    }

    /// The same for a connection on which nothing has arrived since a time that may have passed: it lay in the accept
    /// queue.
    pub fn accepted_since(self, silent_since: Instant) -> ClientSlot {
        self.0.change_to_since(SlotState::Unused, silent_since);
        ClientSlot(self.0)
    }
}

/// The slot of a connection that a frontend has accepted. A connection that carries no request may be requested to close
/// at any time.
pub struct ClientSlot(ConnectionSlot);

impl fmt::Debug for ClientSlot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let record = &self.0.record;
        f.debug_struct("ClientSlot").field("kind", &record.kind).field("state", &record.state.get()).finish()
    }
}

impl ClientSlot {
    /// Marks the connection as idle between two requests, from now on.
    pub fn mark_idle(&self) {
        self.0.change_to(SlotState::Idle);
    }

    /// Marks the connection as in use, unless it was requested to close.
    pub fn mark_in_use(&self) {
        self.0.mark_in_use();
    }

    /// Notes that bytes of a request or login have been received whose end is awaited, from now on.
    pub fn mark_incomplete(&self) {
        self.0.change_to(SlotState::Incomplete);
    }

    /// Notes that bytes of a request or login arrived at a time that may have passed, whose end is awaited since.
    pub fn mark_incomplete_since(&self, arrived_at: Instant) {
        self.0.change_to_since(SlotState::Incomplete, arrived_at);
    }

    /// Whether the end of a request or login is awaited.
    pub fn is_incomplete(&self) -> bool {
        self.0.record.state.get() == SlotState::Incomplete
    }

    /// Whether the connection was requested to close because descriptors run short.
    pub fn is_closing(&self) -> bool {
        self.0.record.state.get() == SlotState::Closing
    }

    /// Notes that bytes have been received on a connection that may carry requests one at a time: unless it is in use,
    /// the end of a request or login is awaited from now on.
    pub fn bytes_received(&self, arrived_at: Instant) {
        if self.0.record.state.get() != SlotState::InUse {
            self.mark_incomplete_since(arrived_at);
        }
    }

    /// Marks a connection that was requested to close as in use, because it carries a request by now. Returns whether it
    /// was requested to close.
    pub fn decline_reclaim(&self) -> bool {
        let is_closing = self.is_closing();
        if is_closing {
            self.0.budget.change_state(&self.0.record, SlotState::InUse, Instant::now());
        }
        is_closing
    }

    /// Waits until the connection is requested to close because descriptors run short.
    pub async fn reclaimed(&self) {
        self.0.record.reclaimed.notified().await;
    }
}
