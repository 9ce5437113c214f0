//! The budget of file descriptors: every connection holds a [`ConnectionSlot`], and when descriptors run short
//! the connection that has been idle longest is closed.

use crate::metrics::counters::Counters;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Connections that the admin server holds at a time, beside the budget: enough for every operator's tool.
pub const MAX_ADMIN_CONNECTIONS: usize = 16;
/// Descriptors outside the budget: the admin server's, and 24 for the listeners, discovery, the log and what the
/// runtime needs.
const RESERVED_DESCRIPTORS: usize = 24 + MAX_ADMIN_CONNECTIONS;
/// Lower bound of the budget, so that a low limit leaves some service.
const MIN_BUDGET: usize = 8;
/// One in so many of the budget is left to connections to nodes: a client that can't be served gains nothing by
/// being admitted.
const NODE_RESERVE_DIVISOR: usize = 5;
/// One in so many of the descriptors may be held by clients' connections that are idle between two requests.
/// Clients together hold twice as many at most; those with a connection of their own for each request would
/// find none left.
const IDLE_CLIENTS_DIVISOR: usize = 6;
/// Pause before a slot is asked for again.
const SLOT_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// How long a new connection is not closed: its first request may be on its way.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(100);

/// Which side a connection is to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// From a client or an initiator.
    Client,
    /// To a node.
    Node,
}

/// Asks a connection to close.
type CloseRequest = Box<dyn FnOnce()>;

/// The order in which connections became idle, or were accepted: the lowest is closed first.
type CloseOrder = u64;

/// A connection between two requests.
struct IdleConnection {
    side: Side,
    close: CloseRequest,
}

/// A connection on which nothing has been received yet.
struct UnusedConnection {
    accepted_at: Instant,
    close: CloseRequest,
}

/// Counts open connections and knows which of them can be closed.
pub struct DescriptorBudget {
    /// Descriptors that all processes of the head may hold.
    limit: Cell<usize>,
    /// This process's share of them, 0 to 1.
    share: Cell<f64>,
    /// Slots in use.
    open: Cell<usize>,
    /// Slots of connections that were asked to close and have not yet.
    closing: Cell<usize>,
    /// Notified when a slot becomes free.
    freed: Notify,
    next_order: Cell<CloseOrder>,
    idle: RefCell<BTreeMap<CloseOrder, IdleConnection>>,
    idle_clients: Cell<usize>,
    unused: RefCell<BTreeMap<CloseOrder, UnusedConnection>>,
    counters: Rc<Counters>,
}

impl DescriptorBudget {
    /// A budget out of `limit` descriptors of the process.
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

    /// Changes the limit; connections past a lower one stay until they end.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// Changes this process's share of the limit, 0 to 1; idle connections past it are closed.
    pub fn set_share(&self, share: f64) {
        self.share.set(share);
        while self.staying_open() > self.budget() && self.close_idle_connection() {}
    }

    /// The part of the budget that is in use; 1 where all of it is.
    pub fn used_fraction(&self) -> f64 {
        self.open.get() as f64 / self.budget() as f64
    }

    /// A slot for a connection about to be opened or just accepted. When all are taken, another connection
    /// is asked to close; `None` if none can be, or if a client has to wait until it has.
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

    /// Waits for a client's slot. It is taken before the connection is accepted, since one that is accepted has
    /// to be served.
    pub async fn client_slot(self: &Rc<Self>) -> ConnectionSlot {
        loop {
            match self.slot(Side::Client) {
                Some(slot) => return slot,
                None => _ = timeout(SLOT_RETRY_INTERVAL, self.freed.notified()).await,
            }
        }
    }

    /// Asks a connection to close: the oldest on which nothing was received, or else the one idle longest.
    /// Returns whether there was one.
    pub fn close_idle_connection(&self) -> bool {
        let Some(close) = self.take_unused().or_else(|| self.take_idle()) else { return false };
        self.counters.reclaimed.add();
        self.closing.set(self.closing.get() + 1);
        close();
        true
    }

    /// Whether so many clients' connections are idle that further ones shall end with their answer.
    pub fn has_too_many_idle_clients(&self) -> bool {
        self.idle_clients.get() >= self.share_of_limit() / IDLE_CLIENTS_DIVISOR
    }

    fn share_of_limit(&self) -> usize {
        (self.limit.get() as f64 * self.share.get()) as usize
    }

    /// Slots that this process may have.
    fn budget(&self) -> usize {
        self.share_of_limit().saturating_sub(RESERVED_DESCRIPTORS).max(MIN_BUDGET)
    }

    /// Slots of connections that were not asked to close.
    fn staying_open(&self) -> usize {
        self.open.get() - self.closing.get()
    }

    /// Takes the oldest unused connection, if its first request has had its time to arrive.
    fn take_unused(&self) -> Option<CloseRequest> {
        let mut unused = self.unused.borrow_mut();
        let oldest = unused.first_entry()?;
        if oldest.get().accepted_at.elapsed() < FIRST_REQUEST_GRACE {
            return None;
        }
        Some(oldest.remove().close)
    }

    /// Takes the connection that has been idle longest.
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

/// What a connection with a slot is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotState {
    /// It carries a request.
    InUse,
    /// It is between two requests. The budget no longer lists it once it was asked to close.
    Idle(CloseOrder),
    /// Nothing has been received on it. The budget no longer lists it once it was asked to close.
    Unused(CloseOrder),
    /// It was asked to close.
    Closing,
}

/// One connection's slot in the budget, freed when dropped.
pub struct ConnectionSlot {
    budget: Rc<DescriptorBudget>,
    side: Side,
    state: Cell<SlotState>,
}

impl ConnectionSlot {
    /// Marks the connection idle from now on; `close` is called at most once, when descriptors run short.
    pub fn mark_idle(&self, close: impl FnOnce() + 'static) {
        let Some(order) = self.next_order() else { return };
        self.state.set(SlotState::Idle(order));
        self.budget.count_idle(self.side);
        let connection = IdleConnection { side: self.side, close: Box::new(close) };
        self.budget.idle.borrow_mut().insert(order, connection);
    }

    /// Marks a new connection, on which nothing has been received yet; `close` as in [`Self::mark_idle`].
    pub fn mark_unused(&self, close: impl FnOnce() + 'static) {
        let Some(order) = self.next_order() else { return };
        self.state.set(SlotState::Unused(order));
        let connection = UnusedConnection { accepted_at: Instant::now(), close: Box::new(close) };
        self.budget.unused.borrow_mut().insert(order, connection);
    }

    /// Marks the connection as in use, unless it was asked to close.
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

    /// The next place in the order of closing; none for a connection that was asked to close and is about to.
    fn next_order(&self) -> Option<CloseOrder> {
        self.mark_in_use();
        (self.state.get() == SlotState::InUse).then(|| self.budget.next_order())
    }
}

/// The state of a connection that is idle or unused no longer: one that the budget does not list any more was
/// asked to close.
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
