//! Discovery: one order of versions, the list at its newest, and which state on a node held when.

use flaxgap_membership::list::{EndpointList, Entry, NodeState};
use std::collections::{BTreeMap, BTreeSet};

/// What a list says of a node; none where it is not listed.
pub type ListedState = Option<(NodeState, u64)>;

pub struct Discovery {
    version: u64,
    listed: BTreeMap<String, Entry>,
    /// The names that each version changed.
    changed: BTreeMap<u64, BTreeSet<String>>,
    /// What held of each node from which version on, since versions were last counted anew.
    history: BTreeMap<String, Vec<(u64, ListedState)>>,
    /// Each answer is the complete list.
    pub sends_snapshots_only: bool,
}

pub fn listed_state(entry: &Entry) -> ListedState {
    (entry.state != NodeState::Gone).then_some((entry.state, (entry.started_at * 1000.0) as u64))
}

pub fn node(number: usize, state: NodeState, boot: f64) -> Entry {
    let [_, b, c, d] = (number as u32).to_be_bytes();
    Entry {
        name: format!("s-{number:08x}"),
        address: Some(([10, b, c, d], 8080).into()),
        zone: format!("z{}", number % 8),
        shard: Some(number as u32 % 512),
        state,
        started_at: boot,
    }
}

impl Discovery {
    /// All nodes ready, at version 41.
    pub fn new(nodes: usize) -> Discovery {
        let mut discovery = Discovery {
            version: 41,
            listed: BTreeMap::new(),
            changed: BTreeMap::new(),
            history: BTreeMap::new(),
            sends_snapshots_only: false,
        };
        for number in 0..nodes {
            discovery.hold(node(number, NodeState::Ready, 0.0));
        }
        discovery
    }

    fn hold(&mut self, entry: Entry) {
        self.history.entry(entry.name.clone()).or_default().push((self.version, listed_state(&entry)));
        match entry.state {
            NodeState::Gone => _ = self.listed.remove(&entry.name),
            _ => _ = self.listed.insert(entry.name.clone(), entry),
        }
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn listed(&self) -> &BTreeMap<String, Entry> {
        &self.listed
    }

    /// One new version.
    pub fn change(&mut self, entries: Vec<Entry>) {
        self.version += 1;
        let names = entries.iter().map(|entry| entry.name.clone()).collect();
        self.changed.insert(self.version, names);
        entries.into_iter().for_each(|entry| self.hold(entry));
    }

    /// The version goes on without a change.
    pub fn skip(&mut self, versions: u64) {
        self.version += versions;
    }

    /// Versions are counted anew from here; the list stands.
    pub fn renumber(&mut self, version: u64) {
        self.version = version;
        self.changed.clear();
    }

    pub fn snapshot(&self) -> EndpointList {
        let entries = self.listed.values().cloned().collect();
        EndpointList { version: self.version, is_snapshot: true, entries, unreadable: vec![] }
    }

    /// What changed after a version, as it holds now.
    pub fn changes(&self, after: u64) -> EndpointList {
        let names: BTreeSet<&String> = self.changed.range(after + 1..).flat_map(|(_, names)| names).collect();
        let entry = |name: &&String| {
            self.listed.get(*name).cloned().unwrap_or_else(|| Entry {
                name: (*name).clone(),
                address: None,
                zone: String::new(),
                shard: None,
                state: NodeState::Gone,
                started_at: 0.0,
            })
        };
        let entries = names.iter().map(entry).collect();
        EndpointList { version: self.version, is_snapshot: false, entries, unreadable: vec![] }
    }

    /// The first version from another on at which this held of a node.
    pub fn first_version_with(&self, name: &str, state: ListedState, from: u64) -> Option<u64> {
        let Some(history) = self.history.get(name) else { return state.is_none().then_some(from) };
        let mut periods = history.iter().enumerate().map(|(place, (since, past_state))| {
            let end = history.get(place + 1).map_or(u64::MAX, |next| next.0);
            (*since, end, *past_state)
        });
        if state.is_none() && history.first().is_some_and(|first| from < first.0) {
            return Some(from);
        }
        periods
            .find(|(_, end, past_state)| *past_state == state && *end > from)
            .map(|(since, _, _)| since.max(from))
    }
}
