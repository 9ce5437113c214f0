//! Pool of idle connections to the nodes.

use super::addresses::AddressTable;
use super::connection::NodeConnection;
use super::progress::UnusableReason;
use super::reuse_policy::{ReusePolicy, Suitability};
use crate::scheduler::NodeId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum interval between two scans for connections that have been idle for too long.
const MAX_EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

struct IdleConnection {
    /// Identifies the connection in the pool.
    id: u64,
    connection: NodeConnection,
}

/// The idle connections of all nodes.
///
/// A connection removed from the pool must be dropped only after the borrow of `idle` has ended: its drop releases a
/// descriptor, which may close other connections of the pool.
pub(super) struct ConnectionPool {
    addresses: Rc<RefCell<AddressTable>>,
    /// Idle connections by node, the longest idle first.
    idle: RefCell<HashMap<NodeId, Vec<IdleConnection>>>,
    next_id: Cell<u64>,
    /// How long a connection may be idle before it is closed.
    idle_timeout: Duration,
    /// Decides which idle connections may be used again.
    reuse: ReusePolicy,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub(super) fn new(addresses: Rc<RefCell<AddressTable>>, idle_timeout: Duration) -> Rc<ConnectionPool> {
        Rc::new(ConnectionPool {
            addresses,
            idle: RefCell::default(),
            next_id: Cell::default(),
            idle_timeout,
            reuse: ReusePolicy::default(),
        })
    }

    /// Takes a connection that may carry another request by the [`ReusePolicy`] and is not known to be closed. Connections
    /// found to be closed or idle for too long are dropped.
    pub(super) async fn take(&self, node: NodeId) -> Option<NodeConnection> {
        loop {
            let mut connection = self.remove_most_suitable(node)?;
            connection.slot.mark_in_use();
            if connection.times.ended_at.elapsed() >= self.idle_timeout {
                continue;
            }
            if connection.is_usable().await {
                return Some(connection);
            }
            if connection.progress.connection_unusable(node) == UnusableReason::SurplusBytes {
                self.surplus_found();
            }
        }
    }

    /// Records that bytes that belong to no request were found on a connection.
    pub(super) fn surplus_found(&self) {
        self.reuse.surplus_found(Instant::now());
    }

    /// Removes the most recently used connection that is rested. If there is none, and very many are idle, removes the one
    /// that is usable and has been idle longest.
    fn remove_most_suitable(&self, node: NodeId) -> Option<NodeConnection> {
        let now = Instant::now();
        let mut pool = self.idle.borrow_mut();
        let idle = pool.get_mut(&node)?;
        let suitability = |idle: &IdleConnection| self.reuse.suitability(&idle.connection.times, now);
        let rested = idle.iter().rposition(|idle| suitability(idle) == Suitability::Rested);
        let usable = || match ReusePolicy::may_use_early(idle.len()) {
            true => idle.iter().position(|idle| suitability(idle) == Suitability::Usable),
            false => None,
        };
        let index = rested.or_else(usable)?;
        Some(idle.remove(index).connection)
    }

    /// Returns a connection to the pool after an exchange. Drops the connection if it is closed or its node accepts no
    /// more requests.
    pub(super) fn put(self: &Rc<Self>, node: NodeId, mut connection: NodeConnection) {
        if connection.is_closed() || self.addresses.borrow().ready_address(node).is_none() {
            return;
        }
        connection.times.end(Instant::now());
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let pool = Rc::downgrade(self);
        connection.slot.mark_idle_with(move || {
            if let Some(pool) = pool.upgrade() {
                pool.close(node, id);
            }
        });
        self.idle.borrow_mut().entry(node).or_default().push(IdleConnection { id, connection });
    }

    /// Closes an idle connection to free its descriptor.
    fn close(&self, node: NodeId, id: u64) {
        let mut pool = self.idle.borrow_mut();
        let Some(idle) = pool.get_mut(&node) else { return };
        let Some(index) = idle.iter().position(|idle| idle.id == id) else { return };
        let closed = idle.remove(index);
        drop(pool);
        drop(closed);
    }

    /// Closes all idle connections to a node.
    pub(super) fn close_all(&self, node: NodeId) {
        let closed = self.idle.borrow_mut().remove(&node);
        drop(closed);
    }

    /// Closes connections that have been idle for too long. Never returns.
    pub(super) async fn close_expired(&self) {
        loop {
            tokio::time::sleep(self.idle_timeout.min(MAX_EXPIRY_INTERVAL)).await;
            let mut expired = Vec::new();
            for idle in self.idle.borrow_mut().values_mut() {
                let first_kept =
                    idle.iter().position(|idle| idle.connection.times.ended_at.elapsed() < self.idle_timeout);
                expired.extend(idle.drain(..first_kept.unwrap_or(idle.len())));
            }
            drop(expired);
        }
    }
}
