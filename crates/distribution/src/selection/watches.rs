//! The watches of one head: those that are being opened, and those that are open.

/// Identifies one watch of a head, from its opening to its end. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WatchId(u64);

/// The state of one watch.
#[derive(Clone, Copy, Debug)]
pub(super) struct Watch {
    pub(super) id: WatchId,
    /// The index of the watched relay.
    pub(super) relay: usize,
    pub(super) started_at: f64,
    /// When the first message arrived; `None` while the watch is being opened.
    pub(super) open_since: Option<f64>,
}

impl Watch {
    /// Whether the first message has arrived.
    pub(super) fn is_open(&self) -> bool {
        self.open_since.is_some()
    }

    /// Whether the watch has been open for at least `duration_s`.
    pub(super) fn has_been_open_for(&self, duration_s: f64, now: f64) -> bool {
        self.open_since.is_some_and(|since| now - since >= duration_s)
    }
}

/// The watches of one head. Decisions depend on the order of the watches, and with them the simulations' results for a
/// seed.
#[derive(Debug, Default)]
pub(super) struct WatchSet {
    watches: Vec<Watch>,
    last_id: u64,
}

impl WatchSet {
    /// Creates an empty set that continues the ids of a previous set.
    pub(super) fn continuing_ids(previous: &WatchSet) -> WatchSet {
        WatchSet { watches: Vec::new(), last_id: previous.last_id }
    }

    /// Adds a watch that is being opened since `now`.
    pub(super) fn start(&mut self, relay: usize, now: f64) -> WatchId {
        self.last_id += 1;
        let id = WatchId(self.last_id);
        self.watches.push(Watch { id, relay, started_at: now, open_since: None });
        id
    }

    /// Adds a watch of a previous set, with the new index of its relay.
    pub(super) fn adopt(&mut self, watch: &Watch, relay: usize) {
        self.watches.push(Watch { relay, ..*watch });
    }

    /// Records that the first message of a watch has arrived.
    pub(super) fn mark_open(&mut self, id: WatchId, now: f64) {
        if let Some(watch) = self.watches.iter_mut().find(|watch| watch.id == id) {
            watch.open_since.get_or_insert(now);
        }
    }

    /// Removes a lost watch; the last watch takes its place in the order.
    pub(super) fn remove_lost(&mut self, id: WatchId) -> Option<Watch> {
        let index = self.watches.iter().position(|watch| watch.id == id)?;
        Some(self.watches.swap_remove(index))
    }

    /// Removes a watch that the head closes; the order of the others is unchanged.
    pub(super) fn remove_closed(&mut self, id: WatchId) {
        self.watches.retain(|watch| watch.id != id);
    }

    /// A watch by its id.
    pub(super) fn get(&self, id: WatchId) -> Option<&Watch> {
        self.watches.iter().find(|watch| watch.id == id)
    }

    /// All watches, in their order.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Watch> {
        self.watches.iter()
    }

    /// The watches whose first message has arrived.
    pub(super) fn open(&self) -> impl Iterator<Item = &Watch> {
        self.watches.iter().filter(|watch| watch.is_open())
    }

    /// The watches that are being opened.
    pub(super) fn opening(&self) -> impl Iterator<Item = &Watch> {
        self.watches.iter().filter(|watch| !watch.is_open())
    }

    /// Number of open watches.
    pub(super) fn open_count(&self) -> usize {
        self.open().count()
    }

    /// Whether a watch on the relay is open.
    pub(super) fn has_open(&self, relay: usize) -> bool {
        self.open().any(|watch| watch.relay == relay)
    }
}
