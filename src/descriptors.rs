//! The budget of file descriptors: every connection holds a [`Slot`], and when they run short the
//! connection that has been idle longest is closed.

use crate::counters::Counters;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Descriptors kept free for the listeners, discovery, the log and what the runtime needs.
const KEPT: usize = 40;
/// Part of the rest that connections from clients leave to those to nodes: a client that can't be served
/// gains nothing by being let in.
const FOR_NODES: usize = 5;

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

type Close = Box<dyn FnOnce()>;

/// Counts open connections and knows which are idle.
pub struct Budget {
    limit: Cell<usize>,
    open: Cell<usize>,
    turn: Cell<u64>,
    idle: RefCell<BTreeMap<u64, Close>>,
    counters: Rc<Counters>,
}

impl Budget {
    /// A budget out of `limit` descriptors of the process.
    pub fn new(limit: usize, counters: Rc<Counters>) -> Rc<Budget> {
        let (open, turn, idle) = (Cell::new(0), Cell::new(0), RefCell::default());
        let budget = Budget { limit: Cell::new(0), open, turn, idle, counters };
        budget.set_limit(limit);
        Rc::new(budget)
    }

    /// Changes the limit; what is open past a lower one stays until it ends.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit.saturating_sub(KEPT).max(8));
    }

    /// A slot for a connection about to be opened or just accepted. When all are taken, the connection
    /// idle longest is told to close; `None` if there is none to close.
    pub fn slot(self: &Rc<Self>, side: Side) -> Option<Slot> {
        let limit = match side {
            Side::Client => self.limit.get() - self.limit.get() / FOR_NODES,
            Side::Node => self.limit.get(),
        };
        if self.open.get() >= limit && !self.reclaim() {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(Slot { budget: self.clone(), turn: Cell::new(None) })
    }

    /// Waits for a client's slot. Taken before its connection is accepted, since one that is accepted has to
    /// be served.
    pub async fn client_slot(self: &Rc<Self>) -> Slot {
        loop {
            match self.slot(Side::Client) {
                Some(slot) => return slot,
                None => tokio::time::sleep(PAUSE).await,
            }
        }
    }

    /// Closes the connection idle longest; whether there was one.
    pub fn reclaim(&self) -> bool {
        let first = self.idle.borrow_mut().pop_first();
        let found = first.is_some();
        if let Some((_, close)) = first {
            self.counters.reclaimed.add();
            close();
        }
        found
    }
}

/// One connection's place in the budget, given back when dropped.
pub struct Slot {
    budget: Rc<Budget>,
    turn: Cell<Option<u64>>,
}

impl Slot {
    /// Marks the connection idle from now on; `close` is called at most once, when descriptors run short.
    pub fn idle(&self, close: impl FnOnce() + 'static) {
        self.busy();
        let turn = self.budget.turn.get();
        self.budget.turn.set(turn + 1);
        self.turn.set(Some(turn));
        self.budget.idle.borrow_mut().insert(turn, Box::new(close));
    }

    /// Marks the connection as in use.
    pub fn busy(&self) {
        let close = self.turn.take().and_then(|turn| self.budget.idle.borrow_mut().remove(&turn));
        drop(close);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.busy();
        self.budget.open.set(self.budget.open.get() - 1);
    }
}
