//! Discovery: the whole node list, then a watch on its changes, for as long as the program runs.

use super::client::{Connect, CountedTcp, SourceRequest, WatchEvent, Watcher};
use crate::core::{Clock, Dispatcher};
use crate::discovery::relist::PendingRelist;
use crate::discovery::schedule::PollSchedule;
use crate::exclusions::Exclusions;
use crate::metrics::counters::Counters;
use crate::node::{NodeAddress, NodeTransport};
use crate::scheduler::{Endpoint, Event, NodeId, NodeState, ShardId, UpdateKind, ZoneId};
use flaxgap_distribution::update_filter::UpdateFilter;
use flaxgap_membership::compact::CompactList;
use flaxgap_membership::list::NodeState as ListedState;
use flaxgap_membership::{ListedNode, Membership, NodeChange, SourceCursor};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// Of the parts of one list that can't be read, so many are logged.
const LOGGED: usize = 8;

/// Told the newest version each time that module and transport have been told of a list.
type Observer = Box<dyn Fn(u64)>;

/// Keeps the module's list and the transport's places in step with discovery and with the operators' bans.
pub struct EndpointDirectory {
    dispatcher: Rc<Dispatcher>,
    nodes: Rc<NodeTransport>,
    counters: Rc<Counters>,
    bans: Rc<Exclusions>,
    /// The nodes as the lists have them, without what operators say of them.
    membership: RefCell<Membership>,
    /// Turns true with the first list that discovery itself gives.
    heard: watch::Sender<bool>,
    schedule: PollSchedule,
    /// When a list last changed something, and when its source was last heard.
    changed: Cell<Instant>,
    last_message: Cell<Instant>,
    /// How many relays speak; none where the head follows no relays.
    relays_reachable: Cell<Option<usize>>,
    observer: RefCell<Option<Observer>>,
}

impl EndpointDirectory {
    /// Knows nothing yet; `zones` are the settings' names, in their order.
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        nodes: Rc<NodeTransport>,
        counters: Rc<Counters>,
        bans: Rc<Exclusions>,
        zones: Vec<String>,
        schedule: PollSchedule,
    ) -> Rc<EndpointDirectory> {
        let heard = watch::Sender::new(false);
        let membership = RefCell::new(Membership::with_zones(&zones));
        let (changed, last_message) = (Cell::new(Instant::now()), Cell::new(Instant::now()));
        Rc::new(EndpointDirectory {
            dispatcher,
            nodes,
            counters,
            bans,
            membership,
            heard,
            schedule,
            changed,
            last_message,
            relays_reachable: Cell::new(None),
            observer: RefCell::default(),
        })
    }

    /// Has an observer told the newest version whenever a list is in force: module and transport know of it.
    pub fn observe(&self, observer: impl Fn(u64) + 'static) {
        self.observer.replace(Some(Box::new(observer)));
    }

    fn in_force(&self) {
        if let Some(observer) = &*self.observer.borrow() {
            observer(self.membership.borrow().version());
        }
    }

    /// Waits until discovery itself has given a list.
    pub async fn synced(&self) {
        // The sender lives in `self`, so the wait can't fail.
        let _ = self.heard.subscribe().wait_for(|heard| *heard).await;
    }

    /// How long a start with the list of an earlier life waits for discovery.
    pub fn start_timeout(&self) -> Duration {
        self.schedule.start_timeout()
    }

    /// How many nodes are on the list, and how many of them get no work; for how many seconds the list has stood as it is,
    /// and for how many its source has said nothing.
    pub fn gauges(&self) -> Vec<(&'static str, usize)> {
        let membership = self.membership.borrow();
        let banned = self.bans.known_names().into_iter().filter(|name| self.bans.contains(name));
        let ready =
            |name: &String| membership.node(name).is_some_and(|node| node.state == ListedState::Ready);
        let excluded = membership.len() - membership.ready() + banned.filter(ready).count();
        let seconds = |at: &Cell<Instant>| at.get().elapsed().as_secs() as usize;
        let mut gauges = vec![
            ("bricks_known", membership.len()),
            ("bricks_excluded", excluded),
            ("list_age_seconds", seconds(&self.changed)),
            ("discovery_silent_seconds", seconds(&self.last_message)),
        ];
        gauges.extend(self.relays_reachable.get().map(|relays| ("relays_reachable", relays)));
        gauges
    }

    /// Takes a node out by hand, or calls it back; false for one that was never listed.
    pub fn set_excluded(&self, name: &str, out: bool) -> io::Result<bool> {
        let known = self.membership.borrow().knows(name) || self.bans.known_names().iter().any(|n| n == name);
        if known {
            let now = self.dispatcher.clock().now();
            if out {
                self.bans.exclude(name, now)?;
            } else {
                self.bans.readmit(name, now)?;
            }
            log::info!("discovery: {name}: {} by hand", if out { "out" } else { "back" });
            self.on_exclusions_changed();
        }
        Ok(known)
    }

    /// Tells transport and module what the bans make of the list.
    pub fn on_exclusions_changed(&self) {
        let nodes: Vec<ListedNode> = self.membership.borrow().nodes().collect();
        let nodes = nodes.iter().map(|node| self.settle(node)).collect();
        self.dispatcher.notify(&[Event::EndpointUpdate { kind: UpdateKind::Changes, endpoints: nodes }]);
    }

    /// A listed node as it is to be used, told to the transport: one that is out is left as one that drains
    /// is, and one that is back has started anew, whatever the list says yet.
    fn settle(&self, node: &ListedNode) -> Endpoint {
        let mut info = node_info(node);
        if self.bans.contains(&node.name) {
            info.state = NodeState::Draining;
        }
        info.started_at =
            self.bans.readmitted_at(&node.name).map_or(info.started_at, |at| info.started_at.max(at));
        match node.address {
            Some(address) => {
                let name = node.name.clone();
                self.nodes.set_address(info.node, NodeAddress { name, address, state: info.state });
            }
            None => self.nodes.remove_node(info.node),
        }
        info
    }

    /// A node that is gone, or has left this shard's queue; the transport forgets it.
    fn withdraw(&self, node: &ListedNode) -> Endpoint {
        let info = Endpoint { state: NodeState::Gone, ..node_info(node) };
        self.nodes.remove_node(info.node);
        info
    }

    /// Takes in a list: the transport first, so that nothing is written to a node that just left. Only what changes is
    /// told to transport and module, one by one, also of a whole list.
    pub fn apply(&self, list: impl Into<CompactList>, source: &mut SourceCursor, kind: UpdateKind) {
        let list = list.into();
        let now = self.dispatcher.clock().now();
        let first = kind == UpdateKind::CachedSnapshot || !*self.heard.borrow();
        if list.is_empty() && list.unreadable.is_empty() && !list.is_snapshot && !first {
            self.membership.borrow_mut().apply(&list, source, now);
            return self.in_force();
        }
        self.counters.list_changes.add();
        self.changed.set(Instant::now());
        self.report_unread(&list);
        let changes = self.membership.borrow_mut().apply(&list, source, now);
        let nodes: Vec<Endpoint> = changes.into_iter().flat_map(|change| self.change(change)).collect();
        if first || !nodes.is_empty() {
            self.dispatcher.notify(&[Event::EndpointUpdate { kind, endpoints: nodes }]);
        }
        self.in_force();
        self.heard
            .send_if_modified(|heard| kind != UpdateKind::CachedSnapshot && !std::mem::replace(heard, true));
    }

    fn report_unread(&self, list: &CompactList) {
        for unread in list.unreadable.iter().take(LOGGED) {
            log::warn!("discovery: version {}, {unread}", list.version);
        }
        if list.unreadable.len() > LOGGED {
            log::warn!(
                "discovery: version {}, {} more can't be read",
                list.version,
                list.unreadable.len() - LOGGED
            );
        }
        self.counters.bad_input.add_many(list.unreadable.len() as u64);
    }

    /// What a change makes of the nodes that module and transport know. One that holds another shard than before has
    /// left the queue that it had.
    fn change(&self, change: NodeChange) -> impl Iterator<Item = Endpoint> + use<> {
        let (left, stays) = match &change {
            NodeChange::Removed(node) => (Some(self.withdraw(node)), None),
            NodeChange::Updated { node, previous_shard } => {
                let left = previous_shard.map(|shard| self.withdraw(&ListedNode { shard, ..node.clone() }));
                (left, Some(self.settle(node)))
            }
        };
        left.into_iter().chain(stays)
    }

    /// Follows the list for as long as the program runs, wherever it is to be had: from the version known on,
    /// or, where none is, from the first whole list that is given.
    pub async fn follow(&self, mut source: watch::Receiver<SocketAddr>, known: bool) {
        if known {
            sleep(self.schedule.initial_delay()).await;
        }
        let mut since = if known { self.version() } else { 0 };
        let mut whole = if known { PendingRelist::none() } else { PendingRelist::until_listed() };
        loop {
            let address = *source.borrow_and_update();
            tokio::select! {
                biased;
                () = self.moved(&mut source) => {}
                () = self.keep(address, since, whole, |_| false) => {}
            }
            (since, whole) = (self.version(), PendingRelist::none());
        }
    }

    /// Waits until the list has another source and that source's list is in, whole. Until then the nodes known
    /// serve, and the old source is followed on. A source may be behind the old one:
    /// what its list says of nodes that leave is taken at once, and the move is made once it has caught up, or has been
    /// behind for so long that its versions must be counted anew.
    async fn moved(&self, source: &mut watch::Receiver<SocketAddr>) {
        if source.changed().await.is_err() {
            // No other source will ever be named.
            return std::future::pending().await;
        }
        loop {
            let address = *source.borrow_and_update();
            let caught_up = |source: &SourceCursor| !source.is_behind();
            tokio::select! {
                biased;
                _ = source.changed() => {}
                () = self.keep(address, 0, PendingRelist::until_listed(), caught_up) => {
                    let version = self.membership.borrow().version();
                    return log::info!("discovery: now at {address}, version {version}");
                }
            }
        }
    }

    /// Keeps in touch with one address until what it told is `enough`, which is asked once its list is in.
    async fn keep(
        &self,
        address: SocketAddr,
        since: u64,
        whole: PendingRelist,
        enough: impl Fn(&SourceCursor) -> bool,
    ) {
        let mut watcher = Watcher::new(self.connector(), address, &self.schedule);
        let mut progress = Progress { whole, ..Progress::since(address, since) };
        loop {
            let update = self.next_update(&mut watcher, &mut progress).await;
            let is_list = matches!(update, WatchEvent::List { .. });
            self.take_update(update, &mut progress, &mut watcher);
            if is_list && !progress.whole.is_pending() && enough(progress.intake.source()) {
                return;
            }
        }
    }

    /// Waits for what a watcher tells next; calls that fall due meanwhile ask for what is missing.
    pub(super) async fn next_update<D: Connect>(
        &self,
        watcher: &mut Watcher<'_, D>,
        progress: &mut Progress,
    ) -> WatchEvent {
        let anew = progress.intake.needs_relist(self.dispatcher.clock().now());
        let since = progress.since;
        let request = || {
            if anew || progress.whole.take_attempt() {
                SourceRequest::List
            } else {
                SourceRequest::WatchSince(since)
            }
        };
        let update = watcher.next_event(request).await;
        if matches!(update, WatchEvent::List { .. } | WatchEvent::Heartbeat) {
            self.last_message.set(Instant::now());
            self.counters.discovery_messages.add();
        }
        update
    }

    /// Takes in what a watcher told.
    pub(super) fn take_update<D: Connect>(
        &self,
        update: WatchEvent,
        progress: &mut Progress,
        watcher: &mut Watcher<'_, D>,
    ) {
        match update {
            WatchEvent::List { list, request } => self.take_list(list, request, progress),
            WatchEvent::Heartbeat => {}
            WatchEvent::Unreadable(problem) => {
                log::warn!("discovery: passed over: {problem}");
                self.counters.bad_input.add();
                progress.whole.request();
                watcher.schedule_call_soon();
            }
            WatchEvent::WatchLost | WatchEvent::CallEnded { opened: true, error: Some(_) } => {
                self.counters.watches_lost.add()
            }
            WatchEvent::CallEnded { .. } => {}
            WatchEvent::SourceSilent(span) => {
                let (version, age) = (self.version(), self.changed.get().elapsed());
                log::warn!(
                    "discovery: {} silent for {span:?}; the list is at version {version}, told {age:?} ago",
                    progress.address
                );
            }
        }
        if progress.intake.source().is_behind() {
            watcher.forget_known_list();
        }
        if progress.intake.needs_relist(self.dispatcher.clock().now()) {
            watcher.schedule_call_soon();
        }
    }

    fn take_list(&self, list: CompactList, request: SourceRequest, progress: &mut Progress) {
        if request == SourceRequest::List {
            progress.whole.complete();
        }
        let told = progress.intake.source();
        if !list.is_empty() || list.version != told.version() {
            let kind = match (request, list.is_snapshot) {
                (SourceRequest::List, _) => "asked for",
                (_, true) => "whole",
                (_, false) => "changes",
            };
            log::info!("discovery: version {}, {} entries, {kind}", list.version, list.len());
        }
        self.apply(list, told, UpdateKind::Changes);
        progress.since = told.version();
        let was_behind = std::mem::replace(&mut progress.behind, told.is_behind());
        if progress.behind && !was_behind {
            let (version, known) = (told.version(), self.version());
            log::warn!("discovery: {} is at version {version}, behind {known}", progress.address);
        }
    }

    /// The newest version known.
    pub fn version(&self) -> u64 {
        self.membership.borrow().version()
    }

    /// How many relays speak; none where the head follows no relays.
    pub fn relays_reachable(&self) -> Option<usize> {
        self.relays_reachable.get()
    }

    /// Notes how many relays speak.
    pub(super) fn set_relays_reachable(&self, relays: usize) {
        self.relays_reachable.set(Some(relays));
    }

    /// Connects to a source of the list, and counts what passes.
    pub(super) fn connector(&self) -> CountedTcp<Counters> {
        CountedTcp(self.counters.clone())
    }

    /// The clock that lists are taken in by.
    pub(super) fn clock(&self) -> Clock {
        self.dispatcher.clock()
    }

    /// For how long the list has stood as it is.
    pub fn list_age(&self) -> Duration {
        self.changed.get().elapsed()
    }
}

/// How far one source has come with what it tells.
pub(super) struct Progress {
    address: SocketAddr,
    /// The version after which it is asked for changes.
    since: u64,
    intake: UpdateFilter,
    whole: PendingRelist,
    behind: bool,
}

impl Progress {
    /// Of a source that is to be asked for what comes after a version.
    pub(super) fn since(address: SocketAddr, version: u64) -> Progress {
        let (intake, whole) = (UpdateFilter::new(version), PendingRelist::none());
        Progress { address, since: version, intake, whole, behind: false }
    }

    /// The same source is asked once more, for what comes after a version.
    pub(super) fn ask_again(&mut self, version: u64) {
        self.since = version;
        self.intake.restart(version);
    }

    /// How its lists fit among those of another source that is followed beside it.
    pub(super) fn intake(&mut self) -> &mut UpdateFilter {
        &mut self.intake
    }
}

/// A listed node as module and transport know it, before the operators' bans.
fn node_info(node: &ListedNode) -> Endpoint {
    let state = if node.state == ListedState::Ready { NodeState::Ready } else { NodeState::Draining };
    let (id, shard, zone) = (NodeId(u64::from(node.id)), ShardId(node.shard), ZoneId(node.zone));
    Endpoint { node: id, shard, started_at: node.started_at, zone, state }
}
