//! The budget of file descriptors: every connection holds a [`ConnectionSlot`], and when they run short the
//! connection that has been idle longest is closed.

use crate::metrics::counters::Counters;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Connections that the operators' door holds at a time, beside the budget.
pub const FOR_OPERATORS: usize = 16;
/// Descriptors kept free for the operators' door, the listeners, discovery, the log and what the runtime needs.
const KEPT: usize = 24 + FOR_OPERATORS;
/// Part of the rest that connections from clients leave to those to nodes: a client that can't be served
/// gains nothing by being let in.
const FOR_NODES: usize = 5;

/// One part in so many of the descriptors may be held by clients' connections that rest between two requests.
/// Clients together hold twice as many at most; those with a connection of their own for each request would
/// find none left.
const RESTING_PART: usize = 6;

/// Which side a connection is to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// From a client or an initiator.
    Client,
    /// To a node.
    Node,
}

/// Pause before a slot is asked for again.
const PAUSE: Duration = Duration::from_millis(5);

/// How long a new connection is safe: the first request of one that is closed may be on its way.
const GRACE: Duration = Duration::from_millis(100);

type Close = Box<dyn FnOnce()>;

/// Counts open connections and knows which are idle.
pub struct DescriptorBudget {
    limit: Cell<usize>,
    part: Cell<f64>,
    open: Cell<usize>,
    closing: Cell<usize>,
    freed: Notify,
    turn: Cell<u64>,
    idle: RefCell<BTreeMap<u64, (Side, Close)>>,
    resting: Cell<usize>,
    silent: RefCell<BTreeMap<u64, (Instant, Close)>>,
    counters: Rc<Counters>,
}

impl DescriptorBudget {
    /// A budget out of `limit` descriptors of the process.
    pub fn new(limit: usize, counters: Rc<Counters>) -> Rc<DescriptorBudget> {
        let budget = DescriptorBudget {
            limit: Cell::new(0),
            part: Cell::new(1.0),
            open: Cell::new(0),
            closing: Cell::new(0),
            freed: Notify::new(),
            turn: Cell::new(0),
            idle: RefCell::default(),
            resting: Cell::new(0),
            silent: RefCell::default(),
            counters,
        };
        budget.set_limit(limit);
        Rc::new(budget)
    }

    /// Changes the limit; what is open past a lower one stays until it ends.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// Changes the part of the descriptors that is this process's; idle connections past it are closed.
    pub fn set_part(&self, part: f64) {
        self.part.set(part);
        while self.open.get() - self.closing.get() > self.limit() && self.reclaim() {}
    }

    fn limit(&self) -> usize {
        ((self.limit.get() as f64 * self.part.get()) as usize).saturating_sub(KEPT).max(8)
    }

    /// The part of the descriptors that is in use.
    pub fn used(&self) -> f64 {
        self.open.get() as f64 / self.limit() as f64
    }

    /// A slot for a connection about to be opened or just accepted. When all are taken, another connection
    /// is told to close; `None` if there is none to close, or if a client has to wait until it has.
    pub fn slot(self: &Rc<Self>, side: Side) -> Option<ConnectionSlot> {
        let limit = match side {
            Side::Client => self.limit() - self.limit() / FOR_NODES,
            Side::Node => self.limit(),
        };
        if self.open.get() - self.closing.get() >= limit && !self.reclaim() {
            return None;
        }
        if side == Side::Client && self.open.get() >= limit {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(ConnectionSlot { budget: self.clone(), side, turn: Cell::new(None), told: Cell::new(false) })
    }

    /// Waits for a client's slot. Taken before its connection is accepted, since one that is accepted has to
    /// be served.
    pub async fn client_slot(self: &Rc<Self>) -> ConnectionSlot {
        loop {
            match self.slot(Side::Client) {
                Some(slot) => return slot,
                None => _ = tokio::time::timeout(PAUSE, self.freed.notified()).await,
            }
        }
    }

    /// Closes a connection that came and said nothing, or else the one idle longest; whether there was one.
    pub fn reclaim(&self) -> bool {
        let ripe = |(at, _): &(Instant, Close)| at.elapsed() >= GRACE;
        let mut silent = self.silent.borrow_mut();
        let first = match silent.first_entry().filter(|entry| ripe(entry.get())) {
            Some(entry) => Some((*entry.key(), entry.remove().1)),
            None => self.idle.borrow_mut().pop_first().map(|(turn, (side, close))| {
                self.rest(side, false);
                (turn, close)
            }),
        };
        drop(silent);
        let found = first.is_some();
        if let Some((_, close)) = first {
            self.counters.reclaimed.add();
            self.closing.set(self.closing.get() + 1);
            close();
        }
        found
    }
}

impl DescriptorBudget {
    /// Whether so many clients' connections rest between two requests that no more shall.
    pub fn crowded(&self) -> bool {
        self.resting.get() >= (self.limit.get() as f64 * self.part.get()) as usize / RESTING_PART
    }

    fn rest(&self, side: Side, rests: bool) {
        if side == Side::Client {
            let resting = self.resting.get();
            self.resting.set(if rests { resting + 1 } else { resting - 1 });
        }
    }
}

/// One connection's place in the budget, given back when dropped.
pub struct ConnectionSlot {
    budget: Rc<DescriptorBudget>,
    side: Side,
    turn: Cell<Option<u64>>,
    /// Told to close.
    told: Cell<bool>,
}

impl ConnectionSlot {
    /// Marks the connection idle from now on; `close` is called at most once, when descriptors run short.
    pub fn idle(&self, close: impl FnOnce() + 'static) {
        let Some(turn) = self.turn() else { return };
        self.budget.rest(self.side, true);
        self.budget.idle.borrow_mut().insert(turn, (self.side, Box::new(close)));
    }

    /// The same for a new connection, from which nothing has come yet.
    pub fn silent(&self, close: impl FnOnce() + 'static) {
        let Some(turn) = self.turn() else { return };
        self.budget.silent.borrow_mut().insert(turn, (Instant::now(), Box::new(close)));
    }

    /// A new turn; none for a connection that was told to close and is about to.
    fn turn(&self) -> Option<u64> {
        self.busy();
        if self.told.get() {
            return None;
        }
        let turn = self.budget.turn.get();
        self.budget.turn.set(turn + 1);
        self.turn.set(Some(turn));
        Some(turn)
    }

    /// Marks the connection as in use.
    pub fn busy(&self) {
        let Some(turn) = self.turn.take() else { return };
        let close = self.budget.idle.borrow_mut().remove(&turn);
        let silent = self.budget.silent.borrow_mut().remove(&turn);
        if close.is_some() {
            self.budget.rest(self.side, false);
        }
        if close.is_none() && silent.is_none() {
            self.told.set(true);
        }
        drop((close, silent));
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.busy();
        self.budget.open.set(self.budget.open.get() - 1);
        self.budget.closing.set(self.budget.closing.get() - usize::from(self.told.get()));
        self.budget.freed.notify_one();
    }
}
