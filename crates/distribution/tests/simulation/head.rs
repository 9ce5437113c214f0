//! A head: the real selection and filter, and membership where the list itself matters.

use super::discovery::{Discovery, ListedState, listed_state};
use super::{Connection, START, SimulatedEvent, Simulation, SimulationPlan, WatchMessage};
use bytes::Bytes;
use flaxgap_distribution::selection::{Directive, Locality, LostReason, Selection, WatchId};
use flaxgap_distribution::update_filter::{UpdateFilter, Verdict};
use flaxgap_membership::list::EndpointList;
use flaxgap_membership::{EntryChange, Membership};
use std::collections::BTreeMap;

/// One watch, as the head's client keeps it.
struct Watch {
    connection: Connection,
    relay: usize,
    filter: UpdateFilter,
    last_message_at: f64,
    /// It was asked for the complete list since its relay was found to count anew.
    has_relisted: bool,
}

pub struct Head {
    pub locality: Locality,
    pub selection: Selection,
    watches: BTreeMap<WatchId, Watch>,
    known: u64,
    membership: Option<Membership>,
    listed: BTreeMap<String, ListedState>,
    /// By node, the version at the latest from which what is listed held.
    held: BTreeMap<String, u64>,
    /// Words that were older than what was known, or never held.
    pub violations: Vec<String>,
    pub snapshots: usize,
    /// When it came to know which version.
    pub reached: Vec<(u64, f64)>,
    pub asked_again: usize,
    /// It applies every update, whatever its filter decides.
    pub bypasses_filter: bool,
    /// When its selection last had no relay.
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
            known: 0,
            membership: plan.detailed.then(Membership::default),
            listed: BTreeMap::new(),
            held: BTreeMap::new(),
            violations: Vec::new(),
            snapshots: 0,
            reached: Vec::new(),
            asked_again: 0,
            bypasses_filter: false,
            unreachable_since: None,
            next_poll_at: START,
        }
    }

    pub fn known(&self) -> u64 {
        self.membership.as_ref().map_or(self.known, Membership::version)
    }

    /// It begins with an earlier list.
    pub fn set_known_version(&mut self, version: u64) {
        self.known = version;
    }

    pub fn listed(&self, name: &str) -> ListedState {
        self.listed.get(name).copied().flatten()
    }

    pub fn agrees(&self, discovery: &Discovery) -> bool {
        let mine = self.listed.iter().filter(|(_, state)| state.is_some());
        mine.clone().count() == discovery.listed().len()
            && discovery.listed().values().all(|entry| self.listed(&entry.name) == listed_state(entry))
    }

    /// How long it took to learn of a version that was published at a time.
    pub fn delay(&self, version: u64, published: f64) -> Option<f64> {
        self.reached.iter().find(|(known, _)| *known >= version).map(|(_, at)| at - published)
    }

    /// The relays whose watches speak.
    pub fn relays(&self) -> Vec<usize> {
        let watch_ids = [self.selection.primary(), self.selection.spare()];
        watch_ids.into_iter().flatten().filter_map(|watch_id| self.selection.relay_of(watch_id)).collect()
    }

    /// Applies a line; returns whether the relay has to be watched again.
    fn take(&mut self, watch_id: WatchId, text: &Bytes, now: f64, discovery: &Discovery) -> bool {
        let known = self.known();
        let Some(watch) = self.watches.get_mut(&watch_id) else { return false };
        let list = match &self.membership {
            Some(_) => EndpointList::parse(text).expect("a list that can be read"),
            None => heading(text),
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
            self.known = self.known.max(list.version);
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

    /// Records the state of a node, and checks that it held at no earlier version than the state recorded before.
    fn record(&mut self, name: String, state: ListedState, discovery: &Discovery) {
        let before = self.held.get(&name).copied().unwrap_or_default();
        match discovery.first_version_with(&name, state, before) {
            Some(version) => _ = self.held.insert(name.clone(), version),
            None => self.violations.push(format!("{name}: {state:?} after version {before}")),
        }
        self.listed.insert(name, state);
    }
}

/// A list's version, and whether it is whole, without its entries.
fn heading(text: &Bytes) -> EndpointList {
    let start = std::str::from_utf8(&text[..text.len().min(64)]).expect("text");
    let rest = start.strip_prefix("{\"rev\":").expect("a version first");
    let (rev, rest) = rest.split_once(',').expect("a version's end");
    let all = rest.starts_with("\"all\":true");
    EndpointList {
        version: rev.parse().expect("a version"),
        is_snapshot: all,
        entries: vec![],
        unreadable: vec![],
    }
}

impl Simulation {
    pub(super) fn head_polls(&mut self, head: usize) {
        let now = self.event_queue.now;
        let silence = self.heads[head].selection.timing().idle_timeout_s;
        let silent: Vec<WatchId> = self.heads[head]
            .watches
            .iter()
            .filter(|(watch_id, watch)| {
                self.heads[head].is_open(**watch_id) && now - watch.last_message_at >= silence
            })
            .map(|(watch_id, _)| *watch_id)
            .collect();
        for watch_id in silent {
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
        // A late watch is seen within half a second.
        let next = head_state.selection.next_poll(now).min(now + 0.5).max(now + 1e-3);
        if head_state.next_poll_at <= now || next < head_state.next_poll_at {
            head_state.next_poll_at = next;
            self.event_queue.at(next, SimulatedEvent::HeadPolls { head });
        }
    }

    fn head_opens_watch(&mut self, head: usize, watch_id: WatchId, relay: usize) {
        let known = self.heads[head].known();
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

    /// Asks the watch's relay on a new connection.
    fn head_requests_watch(&mut self, head: usize, watch_id: WatchId, since: u64) {
        let (connection, latency) = (self.event_queue.connection(), self.event_queue.latency());
        let Some(watch) = self.heads[head].watches.get_mut(&watch_id) else { return };
        watch.filter.restart(since);
        watch.last_message_at = self.event_queue.now;
        let old = std::mem::replace(&mut watch.connection, connection);
        let relay = watch.relay;
        let at = self.event_queue.now + latency;
        self.event_queue.at(at, SimulatedEvent::WatchClosed { relay, connection: old });
        self.event_queue.at(at, SimulatedEvent::WatchRequested { relay, head, watch_id, connection, since });
    }

    /// Where a relay has been behind for too long it is asked for the complete list.
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
                let needs_rewatch = self.heads[head].take(watch_id, &text, now, &self.discovery);
                let known = self.heads[head].known();
                self.heads[head].reached.push((known, now));
                if needs_rewatch {
                    self.heads[head].asked_again += 1;
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
