//! Simulated discovery: the sequence of versions, the current list, and the history of each node's state.

use flaxgap_membership::list::{EndpointList, Entry, NodeState};
use std::collections::{BTreeMap, BTreeSet};

/// The state and the start time (in ms) of a listed node; `None` if the node is not listed.
pub type ListedState = Option<(NodeState, u64)>;

/// The source of the endpoint list.
pub struct Discovery {
    version: u64,
    listed: BTreeMap<String, Entry>,
    /// The names that each version changed.
    changed: BTreeMap<u64, BTreeSet<String>>,
    /// For each node, the versions at which its state changed, and the new states.
    history: BTreeMap<String, Vec<(u64, ListedState)>>,
    /// Whether each response is the complete list.
    pub sends_snapshots_only: bool,
}

/// The state of an entry as a list shows it.
pub fn listed_state(entry: &Entry) -> ListedState {
    (entry.state != NodeState::Gone).then_some((entry.state, (entry.started_at * 1000.0) as u64))
}

/// The entry of a node. Its name, address, zone and shard derive from its number.
pub fn node(number: usize, state: NodeState, started_at: f64) -> Entry {
    let [_, b, c, d] = (number as u32).to_be_bytes();
    Entry {
        name: format!("s-{number:08x}"),
        address: Some(([10, b, c, d], 8080).into()),
        zone: format!("z{}", number % 8),
        shard: Some(number as u32 % 512),
        state,
        started_at,
    }
}

impl Discovery {
    /// Creates a list of ready nodes at version 41.
    pub fn new(nodes: usize) -> Discovery {
        let mut discovery = Discovery {
            version: 41,
            listed: BTreeMap::new(),
            changed: BTreeMap::new(),
            history: BTreeMap::new(),
            sends_snapshots_only: false,
        };
        for number in 0..nodes {
            discovery.store(node(number, NodeState::Ready, 0.0));
        }
        discovery
    }

    fn store(&mut self, entry: Entry) {
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

    /// Applies changes as one new version.
    pub fn change(&mut self, entries: Vec<Entry>) {
        self.version += 1;
        let names = entries.iter().map(|entry| entry.name.clone()).collect();
        self.changed.insert(self.version, names);
        entries.into_iter().for_each(|entry| self.store(entry));
    }

    /// Increases the version without a change.
    pub fn skip(&mut self, versions: u64) {
        self.version += versions;
    }

    /// Restarts the version numbering at `version`; the list is unchanged.
    pub fn renumber(&mut self, version: u64) {
        self.version = version;
        self.changed.clear();
    }

    pub fn snapshot(&self) -> EndpointList {
        let entries = self.listed.values().cloned().collect();
        EndpointList { version: self.version, is_snapshot: true, entries, unreadable: vec![] }
    }

    /// The current entries of the nodes that changed after a version.
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

    /// The first version, not before `from`, at which a node had this state.
    pub fn first_version_with(&self, name: &str, state: ListedState, from: u64) -> Option<u64> {
        let Some(history) = self.history.get(name) else { return state.is_none().then_some(from) };
        let mut periods = history.iter().enumerate().map(|(index, (since, past_state))| {
            let end = history.get(index + 1).map_or(u64::MAX, |next| next.0);
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
