//! Budget of file descriptors: every connection holds a slot, and when descriptors run out, a connection that carries no
//! request is closed.
//!
//! Each frontend in service has a floor: a number of slots that no other frontend and no connection to a node may take.
//! So a frontend whose connections all carry requests leaves the others able to accept. The floors are not lent, since a
//! slot that carries a request can't be had back.

mod reclaim;
mod slot;
mod usage;

pub use slot::{AcceptSlot, ClientSlot, ConnectionSlot};
pub use usage::{ConnectionKind, SlotState, SlotUsage};

use crate::action_rules::is_past_transit;
use crate::logging::LogInterval;
use crate::metrics::counters::Counters;
use reclaim::ReclaimLists;
use slot::SlotRecord;
use std::cell::{Cell, RefCell};
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
/// Divisor of the clients' slots that gives the floor of each frontend in service.
const FLOOR_DIVISOR: usize = 8;
/// Divisor of the clients' slots that gives those for connections whose requests are rejected.
const REJECTION_RESERVE_DIVISOR: usize = 8;
/// Divisor of the descriptor limit that gives the maximum number of client connections kept open while idle between two
/// requests. All client connections together hold at most twice as many descriptors: without this maximum, idle ones
/// would leave none for clients that open a connection for each request.
const IDLE_CLIENTS_DIVISOR: usize = 6;
/// Least number of connections that may be requested to close at the same time while clients wait.
const MIN_CLOSING: usize = 8;
/// Divisor of the clients' slots that gives the largest number of connections that are requested to close at the same
/// time.
const CLOSING_DIVISOR: usize = 4;
/// Interval at which a waiting client retries to get a slot.
const SLOT_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Sequence number of the moment at which a connection became idle or was accepted; the lowest is closed first.
type CloseOrder = u64;

/// Counts open connections and tracks which of them can be closed.
pub struct DescriptorBudget {
    /// Number of descriptors that all processes of the head may use together.
    limit: Cell<usize>,
    /// This process's share of the limit, from 0 to 1.
    share: Cell<f64>,
    /// Slots in use.
    usage: Cell<SlotUsage>,
    /// Which frontends are in service, by kind of connection.
    in_service: Cell<[bool; ConnectionKind::ALL.len()]>,
    /// Limits the log lines that say that a frontend waits for a slot.
    shortage_log: LogInterval,
    /// Notified when a slot is released.
    freed: Notify,
    next_order: Cell<CloseOrder>,
    reclaimable: RefCell<ReclaimLists>,
    counters: Rc<Counters>,
}

impl DescriptorBudget {
    /// Creates a budget for a limit of `limit` descriptors.
    pub fn new(limit: usize, counters: Rc<Counters>) -> Rc<DescriptorBudget> {
        Rc::new(DescriptorBudget {
            limit: Cell::new(limit),
            share: Cell::new(1.0),
            usage: Cell::default(),
            in_service: Cell::default(),
            shortage_log: LogInterval::default(),
            freed: Notify::new(),
            next_order: Cell::new(0),
            reclaimable: RefCell::default(),
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
        while self.usage.get().total_staying_open() > self.budget() && self.close_idle_connection() {}
    }

    /// Counters of the process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Slots in use, by kind and state.
    pub fn usage(&self) -> SlotUsage {
        self.usage.get()
    }

    /// Fraction of the budget that is in use; above 1 if more slots are in use than the budget has.
    pub fn used_fraction(&self) -> f64 {
        self.usage.get().total() as f64 / self.budget() as f64
    }

    /// Puts the frontend that accepts connections of this kind into service: from now on it has a floor.
    pub fn put_in_service(&self, kind: ConnectionKind) {
        let mut in_service = self.in_service.get();
        in_service[kind as usize] = true;
        self.in_service.set(in_service);
    }

    /// Returns a slot for a connection about to be opened or accepted. If there is none, another connection is requested
    /// to close. Returns `None` if none can be closed, or, for a client, if the slot is not yet released.
    pub fn slot(self: &Rc<Self>, kind: ConnectionKind) -> Option<ConnectionSlot> {
        let has_room = self.has_room(kind, SlotUsage::staying_open) || self.close_for(kind);
        // A connection to a node may be opened while the one that was closed for it still releases its descriptor.
        if !has_room || kind.is_client() && !self.has_room(kind, SlotUsage::open) {
            return None;
        }
        let state = if kind.is_client() { SlotState::Reserved } else { SlotState::InUse };
        Some(ConnectionSlot::take(self, kind, state))
    }

    /// Whether a connection of this kind could take a slot without another one being closed.
    pub fn has_free_slot(&self, kind: ConnectionKind) -> bool {
        self.has_room(kind, SlotUsage::staying_open)
    }

    /// Whether a connection of this kind may take a slot, by the number of slots that `count` returns for each kind.
    fn has_room(&self, kind: ConnectionKind, count: impl Fn(&SlotUsage, ConnectionKind) -> usize) -> bool {
        let usage = self.usage.get();
        if count(&usage, kind) < self.floor(kind) {
            return true;
        }
        let others = ConnectionKind::CLIENTS.into_iter().filter(|other| *other != kind);
        let unused_floors: usize =
            others.map(|other| self.floor(other).saturating_sub(count(&usage, other))).sum();
        let limit = if kind.is_client() { self.clients_limit() } else { self.budget() };
        let total: usize = ConnectionKind::ALL.into_iter().map(|kind| count(&usage, kind)).sum();
        total + unused_floors < limit
    }

    /// Number of slots that only connections of this kind may take.
    fn floor(&self, kind: ConnectionKind) -> usize {
        match self.in_service.get()[kind as usize] {
            true => (self.clients_limit() / FLOOR_DIVISOR).max(1),
            false => 0,
        }
    }

    /// Whether another request may be served: some slots are kept for connections whose requests are rejected at once,
    /// since a client that is not accepted would have no answer at all.
    ///
    /// If nearly all slots carry requests, one whose client has stopped sending is requested to close instead.
    pub fn has_room_for_request(&self) -> bool {
        let limit = self.clients_limit();
        let has_room = self.usage.get().carrying_requests() < limit - limit / REJECTION_RESERVE_DIVISOR;
        has_room || self.close(self.next_stalled(|_| true))
    }

    /// Number of slots in use up to which clients are accepted.
    pub fn clients_limit(&self) -> usize {
        self.budget() - self.budget() / NODE_RESERVE_DIVISOR
    }

    /// Waits for a slot for a client connection.
    pub async fn client_slot(self: &Rc<Self>, kind: ConnectionKind) -> AcceptSlot {
        loop {
            if let Some(slot) = self.client_slot_while(kind, MIN_CLOSING, || true).await {
                return slot;
            }
        }
    }

    /// Waits for a slot for a client connection for as long as `is_needed` returns true. `waiting` is the number of
    /// connections that wait for slots, as far as it is known: as many others may be requested to close at a time.
    pub async fn client_slot_while(
        self: &Rc<Self>,
        kind: ConnectionKind,
        waiting: usize,
        mut is_needed: impl FnMut() -> bool,
    ) -> Option<AcceptSlot> {
        if let Some(slot) = self.slot(kind) {
            return Some(AcceptSlot::new(slot));
        }
        self.counters.slot_waits.add();
        while is_needed() {
            if let Some(slot) = self.slot(kind) {
                return Some(AcceptSlot::new(slot));
            }
            self.close_several_for(kind, waiting);
            self.record_shortage(kind);
            _ = timeout(SLOT_RETRY_INTERVAL, self.freed.notified()).await;
        }
        None
    }

    /// Logs, at most once a second, that a frontend waits for a slot, and who holds them.
    fn record_shortage(&self, kind: ConnectionKind) {
        if !self.shortage_log.is_due() {
            return;
        }
        let (budget, usage) = (self.budget(), self.usage.get());
        log::warn!(
            "descriptors: no slot for a connection, kind={}, budget={budget}, slots: {usage}",
            kind.name()
        );
    }

    /// Changes the numbers of slots and updates the exported gauges.
    fn update_usage(&self, change: impl FnOnce(&mut SlotUsage)) {
        let mut usage = self.usage.get();
        change(&mut usage);
        self.usage.set(usage);
        self.counters.set_slots(usage);
    }

    /// Requests a connection to close, of any kind. Returns whether there was one.
    pub fn close_idle_connection(&self) -> bool {
        self.close_next(|_| true)
    }

    /// Closes the connection to a node that has been idle longest. Returns whether there was one.
    pub fn close_idle_node_connection(&self) -> bool {
        self.close_next(|kind| kind == ConnectionKind::Node)
    }

    /// Requests several connections to close, since each may take a while to do so and `waiting` clients wait.
    fn close_several_for(&self, kind: ConnectionKind, waiting: usize) {
        let most = (self.clients_limit() / CLOSING_DIVISOR).max(MIN_CLOSING);
        let count = waiting.clamp(MIN_CLOSING, most);
        while self.usage.get().in_state(SlotState::Closing) < count && self.close_for(kind) {}
    }

    /// Requests a connection to close, so that one of this kind can take its slot. Returns whether there was one.
    fn close_for(&self, kind: ConnectionKind) -> bool {
        let usage = self.usage.get();
        // The slot of a frontend at its floor would not become free for others.
        let is_above_floor = |other| usage.staying_open(other) > self.floor(other);
        self.close_next(|other| other == kind || other == ConnectionKind::Node || is_above_floor(other))
    }

    /// Requests the next of the `eligible` connections to close. Returns whether there was one.
    fn close_next(&self, eligible: impl Fn(ConnectionKind) -> bool) -> bool {
        self.close(self.next_to_close(eligible))
    }

    /// Requests a connection to close. Returns whether there was one.
    fn close(&self, record: Option<Rc<SlotRecord>>) -> bool {
        let Some(record) = record else { return false };
        self.counters.reclaimed.add();
        self.change_state(&record, SlotState::Closing, Instant::now());
        record.request_close();
        true
    }

    /// Whether so many client connections are idle that further ones should be closed after their response.
    pub fn has_too_many_idle_clients(&self) -> bool {
        let usage = self.usage.get();
        let http_clients = ConnectionKind::CLIENTS.into_iter().filter(|kind| kind.is_http_client());
        let idle: usize = http_clients.map(|kind| usage.count(kind, SlotState::Idle)).sum();
        idle >= self.share_of_limit() / IDLE_CLIENTS_DIVISOR
    }

    fn share_of_limit(&self) -> usize {
        (self.limit.get() as f64 * self.share.get()) as usize
    }

    /// Number of slots that this process may use.
    fn budget(&self) -> usize {
        self.share_of_limit().saturating_sub(RESERVED_DESCRIPTORS).max(MIN_BUDGET)
    }

    /// The connection to close next: the oldest on which nothing has been received, or else the one that has been idle
    /// longest, or else the one that has waited longest for the rest of a request. Those of which a request may be in
    /// transit are left out.
    fn next_to_close(&self, eligible: impl Fn(ConnectionKind) -> bool) -> Option<Rc<SlotRecord>> {
        let oldest = |state| self.reclaimable.borrow().oldest(state, &eligible).cloned();
        let unused = oldest(SlotState::Unused).filter(is_past_grace);
        unused.or_else(|| oldest(SlotState::Idle)).or_else(|| self.next_stalled(&eligible))
    }

    /// The connection that has waited longest for the rest of a request, unless that may be in transit.
    fn next_stalled(&self, eligible: impl Fn(ConnectionKind) -> bool) -> Option<Rc<SlotRecord>> {
        let reclaimable = self.reclaimable.borrow();
        reclaimable.oldest(SlotState::Incomplete, eligible).filter(|record| is_past_grace(record)).cloned()
    }

    /// Changes the state of a slot, in which its connection has been since a time. A connection that can be closed in its
    /// new state comes last in the order of closing.
    fn change_state(&self, record: &Rc<SlotRecord>, state: SlotState, since: Instant) {
        let (kind, state_before) = (record.kind, record.state.get());
        let mut reclaimable = self.reclaimable.borrow_mut();
        reclaimable.remove(record);
        record.state.set(state);
        record.order.set(self.next_order.replace(self.next_order.get() + 1));
        record.listed_at.set(since);
        reclaimable.insert(record);
        self.update_usage(|usage| {
            usage.remove(kind, state_before);
            usage.add(kind, state);
        });
    }

    /// Releases a slot.
    fn release(&self, record: &SlotRecord) {
        self.reclaimable.borrow_mut().remove(record);
        self.update_usage(|usage| usage.remove(record.kind, record.state.get()));
        self.freed.notify_one();
    }
}

/// Whether nothing has arrived on a connection for so long that nothing can be in transit.
fn is_past_grace(record: &Rc<SlotRecord>) -> bool {
    is_past_transit(record.listed_at.get().elapsed())
}

#[cfg(test)]
mod tests;
