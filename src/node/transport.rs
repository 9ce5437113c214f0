//! The node transport: the nodes' addresses, the connection pool and the resource budgets that attempts share.

use super::addresses::{AddressTable, NodeAddress};
use super::attempt;
use super::guard::SendGuard;
use super::limits::{POOL_IDLE_FRACTION, SMALL_FLEET_MAX_POOL_IDLE_S};
use super::pool::ConnectionPool;
use crate::core::{AttemptResult, NodeRequest, SendPermit, Transport, seconds};
use crate::fleet::SMALL_FLEET_MAX_HEADS;
use crate::metrics::counters::Counters;
use crate::resources::descriptors::DescriptorBudget;
use crate::resources::memory::MemoryBudget;
use crate::scheduler::{NodeId, NodeState};
use bytes::Bytes;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Settings of the node transport.
#[derive(Clone, Copy, Debug)]
pub struct NodeTransportSettings {
    /// Timeout for opening a connection, in seconds.
    pub connect_timeout_s: f64,
    /// Idle time after which nodes close a connection, in seconds.
    pub node_idle_timeout_s: f64,
    /// Number of heads in the fleet.
    pub heads: u32,
}

impl NodeTransportSettings {
    /// Maximum idle time of a connection in the pool.
    fn pool_idle_timeout(&self) -> Duration {
        let max_s =
            if self.heads > SMALL_FLEET_MAX_HEADS { f64::INFINITY } else { SMALL_FLEET_MAX_POOL_IDLE_S };
        seconds((self.node_idle_timeout_s * POOL_IDLE_FRACTION).min(max_s))
    }
}

/// Sends requests to the nodes over HTTP/1.1, with a small connection pool per node.
pub struct NodeTransport {
    pub(super) addresses: Rc<RefCell<AddressTable>>,
    pub(super) pool: Rc<ConnectionPool>,
    pub(super) descriptors: Rc<DescriptorBudget>,
    pub(super) memory: Rc<MemoryBudget>,
    pub(super) counters: Rc<Counters>,
    pub(super) connect_timeout: Duration,
}

impl NodeTransport {
    /// Creates a transport with an empty address table.
    pub fn new(
        descriptors: Rc<DescriptorBudget>,
        memory: Rc<MemoryBudget>,
        counters: Rc<Counters>,
        settings: NodeTransportSettings,
    ) -> Rc<NodeTransport> {
        let addresses: Rc<RefCell<AddressTable>> = Rc::default();
        let pool = ConnectionPool::new(addresses.clone(), settings.pool_idle_timeout());
        let connect_timeout = seconds(settings.connect_timeout_s);
        Rc::new(NodeTransport { addresses, pool, descriptors, memory, counters, connect_timeout })
    }

    /// Sets a node's address and state from discovery. Closes the idle connections to the node if it accepts no more
    /// requests or its address has changed.
    pub fn set_address(&self, node: NodeId, address: NodeAddress) {
        let is_at_same_address = self.addresses.borrow().address(node) == Some(address.address);
        let keeps_connections = is_at_same_address && address.state == NodeState::Ready;
        self.addresses.borrow_mut().insert(node, address);
        if !keeps_connections {
            self.pool.close_all(node);
        }
    }

    /// Records the version of the endpoint list, once all its addresses have been set.
    pub fn set_list_version(&self, version: u64) {
        self.addresses.borrow_mut().set_list_version(version);
    }

    /// Removes a node that is no longer listed, and closes its idle connections.
    pub fn remove_node(&self, node: NodeId) {
        self.addresses.borrow_mut().remove(node);
        self.pool.close_all(node);
    }

    /// Closes connections that have been idle for too long. Never returns.
    pub async fn close_idle_connections(&self) {
        self.pool.close_expired().await;
    }

    /// Creates the send guard of an attempt, with the node's current address.
    pub(super) fn send_guard(&self, node: NodeId, request_id: Bytes, permit: &Rc<SendPermit>) -> SendGuard {
        SendGuard {
            addresses: self.addresses.clone(),
            counters: self.counters.clone(),
            node,
            request_id,
            address: self.addresses.borrow().address(node),
            permit: permit.clone(),
        }
    }
}

impl Transport for NodeTransport {
    async fn send(&self, node: NodeId, request: &NodeRequest, permit: &Rc<SendPermit>) -> AttemptResult {
        attempt::run(self, node, request, permit).await
    }
}
