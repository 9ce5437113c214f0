//! The endpoint directory: which nodes this head may use, according to the endpoint lists and the operators'
//! exclusions.

use crate::core::{Clock, Dispatcher};
use crate::discovery::client::CountedTcp;
use crate::discovery::reflector;
use crate::discovery::schedule::PollSchedule;
use crate::exclusions::Exclusions;
use crate::metrics::counters::Counters;
use crate::node::{NodeAddress, NodeTransport};
use crate::scheduler::{Endpoint, Event, NodeId, NodeState, ShardId, UpdateKind, ZoneId};
use flaxgap_membership::compact::CompactList;
use flaxgap_membership::list::NodeState as ListedState;
use flaxgap_membership::{ListedNode, Membership, NodeChange, SourceCursor};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Maximum number of unreadable entries of one list that are logged individually: a list may have thousands.
const MAX_LOGGED_ENTRIES: usize = 8;

/// Function that is called with the newest version after each list.
type Observer = Box<dyn Fn(u64)>;

/// Owns the membership, and updates the scheduler's endpoints and the transport's addresses when the membership or the
/// operators' exclusions change.
pub struct EndpointDirectory {
    dispatcher: Rc<Dispatcher>,
    transport: Rc<NodeTransport>,
    counters: Rc<Counters>,
    exclusions: Rc<Exclusions>,
    /// The nodes according to the lists, without the operators' exclusions.
    membership: RefCell<Membership>,
    /// Becomes true after the first list from a source. A cached list does not change it.
    has_synced: watch::Sender<bool>,
    schedule: PollSchedule,
    /// When a list last changed the endpoints.
    last_change: Cell<Instant>,
    /// When the last message from a source was received.
    last_message: Cell<Instant>,
    /// The number of reachable relays; `None` if the head follows no relays.
    relays_reachable: Cell<Option<usize>>,
    observer: RefCell<Option<Observer>>,
}

impl EndpointDirectory {
    /// Creates a directory without nodes. `zones` contains the names of the zones in the order of the settings.
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        transport: Rc<NodeTransport>,
        counters: Rc<Counters>,
        exclusions: Rc<Exclusions>,
        zones: Vec<String>,
        schedule: PollSchedule,
    ) -> Rc<EndpointDirectory> {
        Rc::new(EndpointDirectory {
            dispatcher,
            transport,
            counters,
            exclusions,
            membership: RefCell::new(Membership::with_zones(&zones)),
            has_synced: watch::Sender::new(false),
            schedule,
            last_change: Cell::new(Instant::now()),
            last_message: Cell::new(Instant::now()),
            relays_reachable: Cell::new(None),
            observer: RefCell::default(),
        })
    }

    /// Sets the function that is called with the newest version after each list, once the scheduler and the transport
    /// have been updated.
    pub fn observe(&self, observer: impl Fn(u64) + 'static) {
        self.observer.replace(Some(Box::new(observer)));
    }

    /// Publishes a new version of the list whose nodes have not changed.
    fn notify_version(&self) {
        self.transport.set_list_version(self.version());
        self.notify_observer();
    }

    fn notify_observer(&self) {
        if let Some(observer) = &*self.observer.borrow() {
            observer(self.version());
        }
    }

    /// Waits until a list from a source has been applied. A cached list is not sufficient.
    pub async fn synced(&self) {
        // The wait fails only if the sender is dropped, and `self` owns the sender.
        let _ = self.has_synced.subscribe().wait_for(|has_synced| *has_synced).await;
    }

    /// How long a head that starts with a cached list waits for a list from a source.
    pub fn start_timeout(&self) -> Duration {
        self.schedule.start_timeout()
    }

    /// Follows discovery at the configured address until the future is dropped. `has_list` is whether a cached list
    /// has been applied.
    pub async fn follow(&self, configured_address: watch::Receiver<SocketAddr>, has_list: bool) {
        reflector::follow_discovery(self, configured_address, has_list).await;
    }

    /// The newest known version of the list.
    pub fn version(&self) -> u64 {
        self.membership.borrow().version()
    }

    /// Time since a list last changed the endpoints.
    pub fn list_age(&self) -> Duration {
        self.last_change.get().elapsed()
    }

    /// The number of reachable relays; `None` if the head follows no relays.
    pub fn relays_reachable(&self) -> Option<usize> {
        self.relays_reachable.get()
    }

    /// Sets the number of reachable relays.
    pub(super) fn set_relays_reachable(&self, relays: usize) {
        self.relays_reachable.set(Some(relays));
    }

    /// Records that a list or a heartbeat was received from a source.
    pub(super) fn record_message(&self) {
        self.last_message.set(Instant::now());
        self.counters.discovery_messages.add();
    }

    /// Returns the connector for sources, which counts their traffic.
    pub(super) fn connector(&self) -> CountedTcp<Counters> {
        CountedTcp(self.counters.clone())
    }

    /// The schedule of calls to discovery.
    pub(super) fn schedule(&self) -> &PollSchedule {
        &self.schedule
    }

    /// The head's counters.
    pub(super) fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The clock whose time is the time of receipt of lists.
    pub(super) fn clock(&self) -> Clock {
        self.dispatcher.clock()
    }

    /// The exported gauges: the number of listed nodes, the number of those that are sent no requests, the seconds
    /// since a list last changed a node, the seconds since the last message from a source, and the number of
    /// reachable relays.
    pub fn gauges(&self) -> Vec<(&'static str, usize)> {
        let mut gauges = vec![
            ("bricks_known", self.membership.borrow().len()),
            ("bricks_excluded", self.count_unusable()),
            ("list_age_seconds", whole_seconds_since(&self.last_change)),
            ("discovery_silent_seconds", whole_seconds_since(&self.last_message)),
        ];
        if let Some(relays) = self.relays_reachable.get() {
            gauges.push(("relays_reachable", relays));
        }
        gauges
    }

    /// The number of listed nodes that are sent no requests: those that are not ready, and those that operators have
    /// excluded.
    fn count_unusable(&self) -> usize {
        let membership = self.membership.borrow();
        let mut unusable = membership.len() - membership.ready();
        for name in self.exclusions.known_names() {
            let is_ready = membership.node(&name).is_some_and(|node| node.state == ListedState::Ready);
            if is_ready && self.exclusions.contains(&name) {
                unusable += 1;
            }
        }
        unusable
    }

    /// Excludes a node on an operator's request, or readmits it. Returns false if the name of the node is not known.
    ///
    /// # Errors
    /// Fails if the exclusion can't be saved.
    pub fn set_excluded(&self, name: &str, excluded: bool) -> io::Result<bool> {
        if !self.is_known(name) {
            return Ok(false);
        }
        let now = self.dispatcher.clock().now();
        if excluded {
            self.exclusions.exclude(name, now)?;
        } else {
            self.exclusions.readmit(name, now)?;
        }
        let action = if excluded { "excluded" } else { "readmitted" };
        log::info!("discovery: node {action} by an operator, node={name}");
        self.on_exclusions_changed();
        Ok(true)
    }

    fn is_known(&self, name: &str) -> bool {
        let is_listed = self.membership.borrow().knows(name);
        is_listed || self.exclusions.known_names().iter().any(|known| known == name)
    }

    /// Updates the transport and the scheduler after the exclusions have changed.
    pub fn on_exclusions_changed(&self) {
        let nodes: Vec<ListedNode> = self.membership.borrow().nodes().collect();
        let endpoints = nodes.iter().map(|node| self.update_transport(node)).collect();
        self.dispatcher.notify(&[Event::EndpointUpdate { kind: UpdateKind::Changes, endpoints }]);
    }

    /// Applies a list. The transport is updated before the scheduler, so that no request is sent to a node that has
    /// just been reported as draining or gone. Both receive only the changes, even if the list is a snapshot.
    pub fn apply(&self, list: impl Into<CompactList>, source: &mut SourceCursor, kind: UpdateKind) {
        let list = list.into();
        let now = self.dispatcher.clock().now();
        let is_first = kind == UpdateKind::CachedSnapshot || !*self.has_synced.borrow();
        let is_empty = list.is_empty() && list.unreadable.is_empty() && !list.is_snapshot;
        if is_empty && !is_first {
            // The list changes only the version.
            self.membership.borrow_mut().apply(&list, source, now);
            return self.notify_version();
        }
        self.report_unreadable(&list);
        let changes = self.membership.borrow_mut().apply(&list, source, now);
        let mut endpoints = Vec::new();
        for change in &changes {
            self.apply_change(change, &mut endpoints);
        }
        self.transport.set_list_version(self.version());
        if !changes.is_empty() {
            self.counters.list_changes.add();
            self.last_change.set(Instant::now());
        }
        if is_first || !endpoints.is_empty() {
            self.dispatcher.notify(&[Event::EndpointUpdate { kind, endpoints }]);
        }
        self.notify_observer();
        if kind != UpdateKind::CachedSnapshot {
            self.has_synced.send_if_modified(|has_synced| !std::mem::replace(has_synced, true));
        }
    }

    fn report_unreadable(&self, list: &CompactList) {
        let count = list.unreadable.len();
        for entry in list.unreadable.iter().take(MAX_LOGGED_ENTRIES) {
            log::warn!("discovery: entry can't be read, version {}, {entry}", list.version);
        }
        if count > MAX_LOGGED_ENTRIES {
            let more = count - MAX_LOGGED_ENTRIES;
            log::warn!("discovery: more entries can't be read, version={}, count={more}", list.version);
        }
        self.counters.bad_input.add_many(count as u64);
    }

    /// Updates the transport after a change, and appends the updates for the scheduler to `endpoints`. If the shard
    /// of a node has changed, the node is removed from its previous shard first.
    fn apply_change(&self, change: &NodeChange, endpoints: &mut Vec<Endpoint>) {
        match change {
            NodeChange::Removed(node) => endpoints.push(self.remove_from_transport(node)),
            NodeChange::Updated { node, previous_shard } => {
                if let Some(shard) = *previous_shard {
                    let before = ListedNode { shard, ..node.clone() };
                    endpoints.push(self.remove_from_transport(&before));
                }
                endpoints.push(self.update_transport(node));
            }
        }
    }

    /// Updates the address of a listed node in the transport. Returns the endpoint with the operators' exclusions
    /// applied.
    fn update_transport(&self, node: &ListedNode) -> Endpoint {
        let endpoint = self.with_exclusions(node);
        match node.address {
            Some(address) => {
                let name = node.name.clone();
                self.transport
                    .set_address(endpoint.node, NodeAddress { name, address, state: endpoint.state });
            }
            None => self.transport.remove_node(endpoint.node),
        }
        endpoint
    }

    /// Removes a node from the transport. Returns the endpoint with the state [`NodeState::Gone`].
    fn remove_from_transport(&self, node: &ListedNode) -> Endpoint {
        let endpoint = Endpoint { state: NodeState::Gone, ..listed_endpoint(node) };
        self.transport.remove_node(endpoint.node);
        endpoint
    }

    /// Converts a listed node to an endpoint and applies the operators' exclusions: an excluded node is draining, and
    /// the start time of a readmitted node is not before its readmission.
    fn with_exclusions(&self, node: &ListedNode) -> Endpoint {
        let mut endpoint = listed_endpoint(node);
        if self.exclusions.contains(&node.name) {
            endpoint.state = NodeState::Draining;
        }
        if let Some(readmitted_at) = self.exclusions.readmitted_at(&node.name) {
            endpoint.started_at = endpoint.started_at.max(readmitted_at);
        }
        endpoint
    }
}

fn whole_seconds_since(at: &Cell<Instant>) -> usize {
    at.get().elapsed().as_secs() as usize
}

/// Converts a listed node to an endpoint of the scheduler, without the operators' exclusions.
fn listed_endpoint(node: &ListedNode) -> Endpoint {
    let is_ready = node.state == ListedState::Ready;
    Endpoint {
        node: NodeId(u64::from(node.id)),
        shard: ShardId(node.shard),
        started_at: node.started_at,
        zone: ZoneId(node.zone),
        state: if is_ready { NodeState::Ready } else { NodeState::Draining },
    }
}
