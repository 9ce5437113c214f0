//! A simulated head: the real relay selection and update filter, and in detailed simulations the real membership.

use super::discovery::{Discovery, ListedState, listed_state};
use super::{Connection, START, SimulatedEvent, Simulation, SimulationPlan, WatchMessage};
use bytes::Bytes;
use flaxgap_distribution::selection::{Directive, Locality, LostReason, Selection, WatchId};
use flaxgap_distribution::update_filter::{UpdateFilter, Verdict};
use flaxgap_membership::list::EndpointList;
use flaxgap_membership::{EntryChange, Membership};
use std::collections::BTreeMap;

/// The state of one watch in the head's client.
struct Watch {
    connection: Connection,
    relay: usize,
    filter: UpdateFilter,
    last_message_at: f64,
    /// Whether the complete list was requested since the relay was found to have restarted its numbering.
    has_relisted: bool,
}

/// A head that watches relays.
pub struct Head {
    pub locality: Locality,
    pub selection: Selection,
    watches: BTreeMap<WatchId, Watch>,
    /// The version that a head without membership knows.
    known_version: u64,
    /// In detailed simulations only.
    membership: Option<Membership>,
    listed: BTreeMap<String, ListedState>,
    /// For each node, the first version at which it can have had the listed state.
    state_versions: BTreeMap<String, u64>,
    /// Applied states that the node had only at earlier versions, or never.
    pub violations: Vec<String>,
    /// Number of complete lists received.
    pub snapshots: usize,
    /// The versions that the head has reached, and when.
    pub reached: Vec<(u64, f64)>,
    /// Number of times that the update filter requested a new watch on the same relay.
    pub rewatches: usize,
    /// Whether the head applies every update, whatever its filter decides.
    pub bypasses_filter: bool,
    /// Since when no relay is reachable; `None` while one is.
    pub unreachable_since: Option<f64>,
    next_poll_at: f64,
}

impl Head {
    pub fn new(number: usize, locality: &Locality, plan: &SimulationPlan) -> Head {
        let seed = plan.seed.wrapping_mul(1_000_003).wrapping_add(number as u64);
        let name = format!("head-{number}");
        let selection = Selection::new(&name, locality, plan.relays.clone(), seed, START).expect("relays");
        Head {
            locality: locality.clone(),
            selection,
            watches: BTreeMap::new(),
            known_version: 0,
            membership: plan.detailed.then(Membership::default),
            listed: BTreeMap::new(),
            state_versions: BTreeMap::new(),
            violations: Vec::new(),
            snapshots: 0,
            reached: Vec::new(),
            rewatches: 0,
            bypasses_filter: false,
            unreachable_since: None,
            next_poll_at: START,
        }
    }

    /// The version that the head knows.
    pub fn known_version(&self) -> u64 {
        self.membership.as_ref().map_or(self.known_version, Membership::version)
    }

    /// Sets the version of the list with which a head without membership starts.
    pub fn set_known_version(&mut self, version: u64) {
        self.known_version = version;
    }

    /// The state of a node as the head knows it.
    pub fn listed(&self, name: &str) -> ListedState {
        self.listed.get(name).copied().flatten()
    }

    /// Whether the head lists the same nodes in the same states as discovery.
    pub fn agrees(&self, discovery: &Discovery) -> bool {
        let listed = self.listed.values().filter(|state| state.is_some());
        listed.count() == discovery.listed().len()
            && discovery.listed().values().all(|entry| self.listed(&entry.name) == listed_state(entry))
    }

    /// The time from the publication of a version until the head reached it; `None` if it has not reached it.
    pub fn delay(&self, version: u64, published_at: f64) -> Option<f64> {
        self.reached.iter().find(|(known, _)| *known >= version).map(|(_, at)| at - published_at)
    }

    /// The relays on which the head has an open watch.
    pub fn relays(&self) -> Vec<usize> {
        let watch_ids = [self.selection.primary(), self.selection.spare()];
        watch_ids.into_iter().flatten().filter_map(|watch_id| self.selection.relay_of(watch_id)).collect()
    }

    /// Applies a received list; returns whether the relay has to be watched again.
    fn apply(&mut self, watch_id: WatchId, text: &Bytes, now: f64, discovery: &Discovery) -> bool {
        let known = self.known_version();
        let Some(watch) = self.watches.get_mut(&watch_id) else { return false };
        let list = match &self.membership {
            Some(_) => EndpointList::parse(text).expect("a valid list"),
            None => parse_without_entries(text),
        };
        self.snapshots += usize::from(list.is_snapshot);
        let verdict = watch.filter.evaluate(list.version, list.is_snapshot, known);
        if !self.bypasses_filter {
            match verdict {
                Verdict::Apply => {}
                Verdict::Duplicate => return false,
                Verdict::Rewatch => return true,
            }
        }
        let Some(membership) = &mut self.membership else {
            self.known_version = self.known_version.max(list.version);
            return false;
        };
        let changes = membership.apply_named(list, watch.filter.source(), now);
        watch.has_relisted &= watch.filter.needs_relist(now);
        for change in changes {
            let (name, state) = match change {
                EntryChange::Updated(entry) => (entry.name.clone(), listed_state(&entry)),
                EntryChange::Removed(name) => (name, None),
            };
            self.record(name, state, discovery);
        }
        false
    }

    /// Records the state of a node, and checks that the node had it at the version of the previous state or a later
    /// one.
    fn record(&mut self, name: String, state: ListedState, discovery: &Discovery) {
        let previous = self.state_versions.get(&name).copied().unwrap_or_default();
        match discovery.first_version_with(&name, state, previous) {
            Some(version) => _ = self.state_versions.insert(name.clone(), version),
            None => self.violations.push(format!("{name}: {state:?} after version {previous}")),
        }
        self.listed.insert(name, state);
    }
}

/// Parses the version of a list and whether the list is complete, but not its entries.
fn parse_without_entries(text: &Bytes) -> EndpointList {
    let start = std::str::from_utf8(&text[..text.len().min(64)]).expect("valid UTF-8");
    let rest = start.strip_prefix("{\"rev\":").expect("the version as the first field");
    let (version, rest) = rest.split_once(',').expect("a second field");
    EndpointList {
        version: version.parse().expect("a numeric version"),
        is_snapshot: rest.starts_with("\"all\":true"),
        entries: vec![],
        unreadable: vec![],
    }
}

impl Simulation {
    pub(super) fn head_polls(&mut self, head: usize) {
        let now = self.event_queue.now;
        let idle_timeout_s = self.heads[head].selection.timing().idle_timeout_s;
        let timed_out: Vec<WatchId> = self.heads[head]
            .watches
            .iter()
            .filter(|(watch_id, watch)| {
                self.heads[head].is_open(**watch_id) && now - watch.last_message_at >= idle_timeout_s
            })
            .map(|(watch_id, _)| *watch_id)
            .collect();
        for watch_id in timed_out {
            self.head_loses_watch(head, watch_id, LostReason::IdleTimeout);
        }
        self.head_relists(head);
        for directive in self.heads[head].selection.poll(now) {
            match directive {
                Directive::Open { watch_id, relay, at } => {
                    assert!(at <= now);
                    self.head_opens_watch(head, watch_id, relay);
                }
                Directive::Close { watch_id } => self.head_closes_watch(head, watch_id),
            }
        }
        let head_state = &mut self.heads[head];
        head_state.unreachable_since = match head_state.selection.reachable_relays() {
            0 => head_state.unreachable_since.or(Some(now)),
            _ => None,
        };
        // An idle timeout is detected within 0.5 s.
        let next = head_state.selection.next_poll(now).min(now + 0.5).max(now + 1e-3);
        if head_state.next_poll_at <= now || next < head_state.next_poll_at {
            head_state.next_poll_at = next;
            self.event_queue.at(next, SimulatedEvent::HeadPolls { head });
        }
    }

    fn head_opens_watch(&mut self, head: usize, watch_id: WatchId, relay: usize) {
        let known = self.heads[head].known_version();
        let watch = Watch {
            connection: Connection(0),
            relay,
            filter: UpdateFilter::new(known),
            last_message_at: self.event_queue.now,
            has_relisted: false,
        };
        self.heads[head].watches.insert(watch_id, watch);
        self.head_requests_watch(head, watch_id, known);
    }

    /// Sends the request of a watch to its relay on a new connection, and closes the previous connection.
    fn head_requests_watch(&mut self, head: usize, watch_id: WatchId, since: u64) {
        let (connection, latency) = (self.event_queue.connection(), self.event_queue.latency());
        let Some(watch) = self.heads[head].watches.get_mut(&watch_id) else { return };
        watch.filter.restart(since);
        watch.last_message_at = self.event_queue.now;
        let previous = std::mem::replace(&mut watch.connection, connection);
        let relay = watch.relay;
        let at = self.event_queue.now + latency;
        self.event_queue.at(at, SimulatedEvent::WatchClosed { relay, connection: previous });
        self.event_queue.at(at, SimulatedEvent::WatchRequested { relay, head, watch_id, connection, since });
    }

    /// Requests the complete list from relays that have been behind for too long.
    fn head_relists(&mut self, head: usize) {
        let now = self.event_queue.now;
        let watches = self.heads[head].watches.iter_mut();
        let due = watches.filter(|(_, watch)| !watch.has_relisted && watch.filter.needs_relist(now));
        let due: Vec<WatchId> = due
            .map(|(watch_id, watch)| {
                watch.has_relisted = true;
                *watch_id
            })
            .collect();
        for watch_id in due {
            self.head_requests_watch(head, watch_id, 0);
        }
    }

    fn head_closes_watch(&mut self, head: usize, watch_id: WatchId) {
        let latency = self.event_queue.latency();
        if let Some(watch) = self.heads[head].watches.remove(&watch_id) {
            let (relay, connection) = (watch.relay, watch.connection);
            self.event_queue
                .at(self.event_queue.now + latency, SimulatedEvent::WatchClosed { relay, connection });
        }
    }

    fn head_loses_watch(&mut self, head: usize, watch_id: WatchId, reason: LostReason) {
        self.head_closes_watch(head, watch_id);
        self.heads[head].selection.watch_lost(watch_id, reason, self.event_queue.now);
    }

    pub(super) fn head_receives(
        &mut self,
        head: usize,
        watch_id: WatchId,
        connection: Connection,
        message: WatchMessage,
    ) {
        let now = self.event_queue.now;
        let Some(watch) = self.heads[head].watches.get_mut(&watch_id) else { return };
        if watch.connection != connection {
            return;
        }
        watch.last_message_at = now;
        match message {
            WatchMessage::Lost(reason) => self.head_loses_watch(head, watch_id, reason),
            WatchMessage::Heartbeat if self.heads[head].selection.is_open(watch_id) => return,
            WatchMessage::Heartbeat => self.heads[head].selection.watch_opened(watch_id, now),
            WatchMessage::List(text) => {
                self.heads[head].selection.watch_opened(watch_id, now);
                let needs_rewatch = self.heads[head].apply(watch_id, &text, now, &self.discovery);
                let known = self.heads[head].known_version();
                self.heads[head].reached.push((known, now));
                if needs_rewatch {
                    self.heads[head].rewatches += 1;
                    self.head_requests_watch(head, watch_id, known);
                }
            }
        }
        self.head_polls(head);
    }
}

impl Head {
    fn is_open(&self, watch_id: WatchId) -> bool {
        self.selection.is_open(watch_id)
    }
}
