//! Budget of file descriptors: every connection holds a [`ConnectionSlot`], and when descriptors run out, the
//! connection that has been idle longest is closed.

use crate::metrics::counters::Counters;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Maximum number of connections to the admin server, which are not part of the budget: enough for all operators'
/// tools.
pub const MAX_ADMIN_CONNECTIONS: usize = 16;
/// Number of descriptors outside the budget: the admin server's connections, and 24 for the listeners, discovery, the
/// log and the runtime.
const RESERVED_DESCRIPTORS: usize = 24 + MAX_ADMIN_CONNECTIONS;
/// Lower bound of the budget, so that requests can still be served with a low descriptor limit.
const MIN_BUDGET: usize = 8;
/// Divisor of the budget that gives the slots reserved for connections to nodes: accepting a client is useless if no
/// connection to a node can be opened for it.
const NODE_RESERVE_DIVISOR: usize = 5;
/// Divisor of the descriptor limit that gives the maximum number of client connections kept open while idle between two
/// requests. All client connections together hold at most twice as many descriptors: without this maximum, idle ones
/// would leave none for clients that open a connection for each request.
const IDLE_CLIENTS_DIVISOR: usize = 6;
/// Interval at which a waiting client retries to get a slot.
const SLOT_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// How long a new connection is kept open without a request, since its first request may be in transit.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(100);

/// The peer of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// A client, such as an HTTP client or an iSCSI initiator.
    Client,
    /// A storage node.
    Node,
}

/// Callback that requests a connection to close.
type CloseRequest = Box<dyn FnOnce()>;

/// Sequence number of the moment at which a connection became idle or was accepted; the lowest is closed first.
type CloseOrder = u64;

/// A connection that is idle between two requests.
struct IdleConnection {
    side: Side,
    close: CloseRequest,
}

/// A connection on which nothing has been received yet.
struct UnusedConnection {
    accepted_at: Instant,
    close: CloseRequest,
}

/// Counts open connections and tracks which of them can be closed.
pub struct DescriptorBudget {
    /// Number of descriptors that all processes of the head may use together.
    limit: Cell<usize>,
    /// This process's share of the limit, from 0 to 1.
    share: Cell<f64>,
    /// Number of slots in use.
    open: Cell<usize>,
    /// Number of slots of connections that were requested to close and are still open.
    closing: Cell<usize>,
    /// Notified when a slot is released.
    freed: Notify,
    next_order: Cell<CloseOrder>,
    idle: RefCell<BTreeMap<CloseOrder, IdleConnection>>,
    idle_clients: Cell<usize>,
    unused: RefCell<BTreeMap<CloseOrder, UnusedConnection>>,
    counters: Rc<Counters>,
}

impl DescriptorBudget {
    /// Creates a budget for a limit of `limit` descriptors.
    pub fn new(limit: usize, counters: Rc<Counters>) -> Rc<DescriptorBudget> {
        Rc::new(DescriptorBudget {
            limit: Cell::new(limit),
            share: Cell::new(1.0),
            open: Cell::new(0),
            closing: Cell::new(0),
            freed: Notify::new(),
            next_order: Cell::new(0),
            idle: RefCell::default(),
            idle_clients: Cell::new(0),
            unused: RefCell::default(),
            counters,
        })
    }

    /// Changes the limit. Connections beyond a lower limit stay open until they end.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// Changes this process's share of the limit, from 0 to 1. Closes idle connections that exceed the new share.
    pub fn set_share(&self, share: f64) {
        self.share.set(share);
        while self.staying_open() > self.budget() && self.close_idle_connection() {}
    }

    /// Fraction of the budget that is in use; above 1 if more slots are in use than the budget has.
    pub fn used_fraction(&self) -> f64 {
        self.open.get() as f64 / self.budget() as f64
    }

    /// Returns a slot for a connection about to be opened or accepted. If all slots are in use, another connection is
    /// requested to close. Returns `None` if none can be closed, or, for a client, if the slot is not yet released.
    pub fn slot(self: &Rc<Self>, side: Side) -> Option<ConnectionSlot> {
        let limit = match side {
            Side::Client => self.budget() - self.budget() / NODE_RESERVE_DIVISOR,
            Side::Node => self.budget(),
        };
        if self.staying_open() >= limit && !self.close_idle_connection() {
            return None;
        }
        if side == Side::Client && self.open.get() >= limit {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(ConnectionSlot { budget: self.clone(), side, state: Cell::new(SlotState::InUse) })
    }

    /// Waits for a slot for a client connection. The slot must be obtained before the connection is accepted, since an
    /// accepted connection has to be served.
    pub async fn client_slot(self: &Rc<Self>) -> ConnectionSlot {
        loop {
            match self.slot(Side::Client) {
                Some(slot) => return slot,
                None => _ = timeout(SLOT_RETRY_INTERVAL, self.freed.notified()).await,
            }
        }
    }

    /// Requests a connection to close: the oldest on which nothing has been received, or else the one that has been
    /// idle longest. Returns whether there was such a connection.
    pub fn close_idle_connection(&self) -> bool {
        let Some(close) = self.take_unused().or_else(|| self.take_idle()) else { return false };
        self.counters.reclaimed.add();
        self.closing.set(self.closing.get() + 1);
        close();
        true
    }

    /// Whether so many client connections are idle that further ones should be closed after their response.
    pub fn has_too_many_idle_clients(&self) -> bool {
        self.idle_clients.get() >= self.share_of_limit() / IDLE_CLIENTS_DIVISOR
    }

    fn share_of_limit(&self) -> usize {
        (self.limit.get() as f64 * self.share.get()) as usize
    }

    /// Number of slots that this process may use.
    fn budget(&self) -> usize {
        self.share_of_limit().saturating_sub(RESERVED_DESCRIPTORS).max(MIN_BUDGET)
    }

    /// Number of slots in use by connections that were not requested to close.
    fn staying_open(&self) -> usize {
        self.open.get() - self.closing.get()
    }

    /// Removes the oldest unused connection from the list, unless it is still within [`FIRST_REQUEST_GRACE`].
    fn take_unused(&self) -> Option<CloseRequest> {
        let mut unused = self.unused.borrow_mut();
        let oldest = unused.first_entry()?;
        if oldest.get().accepted_at.elapsed() < FIRST_REQUEST_GRACE {
            return None;
        }
        Some(oldest.remove().close)
    }

    /// Removes the connection that has been idle longest from the list.
    fn take_idle(&self) -> Option<CloseRequest> {
        let (_, connection) = self.idle.borrow_mut().pop_first()?;
        self.count_no_longer_idle(connection.side);
        Some(connection.close)
    }

    fn count_idle(&self, side: Side) {
        if side == Side::Client {
            self.idle_clients.set(self.idle_clients.get() + 1);
        }
    }

    fn count_no_longer_idle(&self, side: Side) {
        if side == Side::Client {
            self.idle_clients.set(self.idle_clients.get() - 1);
        }
    }

    fn next_order(&self) -> CloseOrder {
        self.next_order.replace(self.next_order.get() + 1)
    }
}

/// State of a connection that holds a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotState {
    /// The connection carries a request.
    InUse,
    /// The connection is between two requests. It is removed from the budget's list when it is requested to close.
    Idle(CloseOrder),
    /// Nothing has been received on the connection. It is removed from the budget's list when it is requested to close.
    Unused(CloseOrder),
    /// The connection was requested to close.
    Closing,
}

/// A connection's slot in the budget, released when dropped.
pub struct ConnectionSlot {
    budget: Rc<DescriptorBudget>,
    side: Side,
    state: Cell<SlotState>,
}

impl ConnectionSlot {
    /// Marks the connection as idle. `close` is called at most once, when descriptors run out.
    pub fn mark_idle(&self, close: impl FnOnce() + 'static) {
        let Some(order) = self.next_order() else { return };
        self.state.set(SlotState::Idle(order));
        self.budget.count_idle(self.side);
        let connection = IdleConnection { side: self.side, close: Box::new(close) };
        self.budget.idle.borrow_mut().insert(order, connection);
    }

    /// Marks a new connection as one on which nothing has been received. `close` is called as for [`Self::mark_idle`].
    pub fn mark_unused(&self, close: impl FnOnce() + 'static) {
        let Some(order) = self.next_order() else { return };
        self.state.set(SlotState::Unused(order));
        let connection = UnusedConnection { accepted_at: Instant::now(), close: Box::new(close) };
        self.budget.unused.borrow_mut().insert(order, connection);
    }

    /// Marks the connection as in use, unless it was requested to close.
    pub fn mark_in_use(&self) {
        match self.state.get() {
            SlotState::InUse | SlotState::Closing => {}
            SlotState::Idle(order) => {
                let listed = self.budget.idle.borrow_mut().remove(&order);
                if listed.is_some() {
                    self.budget.count_no_longer_idle(self.side);
                }
                self.state.set(state_after_listing(listed.is_some()));
            }
            SlotState::Unused(order) => {
                let listed = self.budget.unused.borrow_mut().remove(&order);
                self.state.set(state_after_listing(listed.is_some()));
            }
        }
    }

    /// The next sequence number in the order of closing; `None` for a connection that was requested to close.
    fn next_order(&self) -> Option<CloseOrder> {
        self.mark_in_use();
        (self.state.get() == SlotState::InUse).then(|| self.budget.next_order())
    }
}

/// The state of a connection that is no longer idle or unused: if it is missing from the budget's list, it was
/// requested to close.
fn state_after_listing(was_listed: bool) -> SlotState {
    if was_listed { SlotState::InUse } else { SlotState::Closing }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.mark_in_use();
        self.budget.open.set(self.budget.open.get() - 1);
        if self.state.get() == SlotState::Closing {
            self.budget.closing.set(self.budget.closing.get() - 1);
        }
        self.budget.freed.notify_one();
    }
}
