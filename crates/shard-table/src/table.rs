//! The table of all shards ever listed.

use crate::shard::{Incarnation, ServingNode, Shard};
use crate::sorted_keys::SortedKeys;
use crate::{Endpoint, ShardId, UpdateKind};
use std::collections::BTreeSet;

/// A known shard and the row of its record.
#[derive(Clone, Copy, Debug)]
struct ShardRow {
    shard: ShardId,
    row: u32,
}

/// A shard affected by an update, and the incarnation of the node that served the shard before.
struct TouchedShard {
    location: ShardRow,
    previous: Option<Incarnation>,
}

/// All shards ever listed, in the order of their ids. `S` is the state that a head keeps of a shard that it uses.
#[derive(Debug)]
pub struct ShardTable<S> {
    /// The rows of the known shards, in the order of the shards' ids.
    rows: Vec<ShardRow>,
    shards: Vec<Shard<S>>,
    served: SortedKeys<ShardId>,
}

impl<S> Default for ShardTable<S> {
    fn default() -> ShardTable<S> {
        ShardTable { rows: Vec::new(), shards: Vec::new(), served: SortedKeys::default() }
    }
}

impl<S> ShardTable<S> {
    /// Returns a shard, if it was ever listed.
    pub fn get(&self, shard: ShardId) -> Option<&Shard<S>> {
        self.row(shard).map(|row| &self.shards[row as usize])
    }

    /// Returns the state of a shard, if the shard was used.
    pub fn state(&self, shard: ShardId) -> Option<&S> {
        self.get(shard)?.state()
    }

    /// Returns a mutable reference to the state of a shard, if the shard was used.
    pub fn state_mut(&mut self, shard: ShardId) -> Option<&mut S> {
        let row = self.row(shard)?;
        self.shards[row as usize].state_mut()
    }

    /// Returns the state of a shard, created by `make` at the shard's first use.
    pub fn state_or_insert(
        &mut self,
        shard: ShardId,
        now: f64,
        make: impl FnOnce(ServingNode) -> S,
    ) -> &mut S {
        let row = self.row_or_insert(shard, now);
        self.shards[row as usize].state_or_insert(make)
    }

    /// Returns the states of all shards that were used.
    pub fn states(&self) -> impl Iterator<Item = &S> {
        self.shards.iter().filter_map(Shard::state)
    }

    /// Calls `handle` with the state of each shard in `index`, in the order of the shards' ids. Removes the shards for
    /// which `handle` returns `false`, and the shards that were never used, from the index.
    pub fn retain_in_index(&mut self, index: &mut BTreeSet<ShardId>, mut handle: impl FnMut(&mut S) -> bool) {
        index.retain(|shard| self.state_mut(*shard).is_some_and(&mut handle));
    }

    /// Returns the lowest shard ever listed.
    pub fn first_shard(&self) -> Option<ShardId> {
        self.rows.first().map(|location| location.shard)
    }

    /// Returns the shards that have a serving node, in the order of their ids.
    pub fn served_shards(&self) -> &[ShardId] {
        self.served.as_slice()
    }

    /// Returns the shard at a fraction, in [0, 1), of the list of served shards.
    pub fn served_shard_at(&self, fraction: f64) -> Option<ShardId> {
        let served = self.served_shards();
        let index = (fraction * served.len() as f64) as usize % served.len().max(1);
        served.get(index).copied()
    }

    /// Applies an update of the endpoint list. `select` chooses the serving node from a shard's nodes. `notify` is
    /// called for each used shard that the update affects.
    pub fn apply_update(
        &mut self,
        kind: UpdateKind,
        entries: &[Endpoint],
        now: f64,
        mut select: impl FnMut(&[Endpoint]) -> Option<&Endpoint>,
        mut notify: impl FnMut(&mut S, &ServingNode),
    ) {
        let mut newly_served = Vec::new();
        let mut no_longer_served = Vec::new();
        for TouchedShard { location, previous } in self.apply_entries(kind, entries, now) {
            let shard = &mut self.shards[location.row as usize];
            let selected = select(shard.nodes()).map(|endpoint| endpoint.node);
            shard.set_serving(selected, previous, now);
            match (previous.is_some(), shard.is_served()) {
                (false, true) => newly_served.push(location.shard),
                (true, false) => no_longer_served.push(location.shard),
                _ => {}
            }
            shard.notify(&mut notify);
        }
        self.served.insert_all(&newly_served);
        self.served.remove_all(&no_longer_served);
    }

    /// Applies the entries of an update. Returns the affected shards, each once, in the order of their ids.
    fn apply_entries(&mut self, kind: UpdateKind, entries: &[Endpoint], now: f64) -> Vec<TouchedShard> {
        let mut touched = if kind.is_snapshot() { self.clear_nodes(entries.len()) } else { Vec::new() };
        touched.extend(entries.iter().map(|entry| self.apply_entry(entry, now)));
        // If an update has several entries for a shard, only the first recorded the incarnation that served before the
        // update. The sort is stable, so `dedup_by_key` keeps that record.
        touched.sort_by_key(|touched| touched.location.shard);
        touched.dedup_by_key(|touched| touched.location.shard);
        touched
    }

    /// Removes the nodes of all shards and reserves capacity for as many shards as the new list has entries.
    fn clear_nodes(&mut self, entries: usize) -> Vec<TouchedShard> {
        let additional = entries.saturating_sub(self.shards.len());
        self.shards.reserve_exact(additional);
        self.rows.reserve_exact(additional);
        let mut touched = Vec::with_capacity(self.rows.len() + entries);
        for location in &self.rows {
            let shard = &mut self.shards[location.row as usize];
            touched.push(TouchedShard { location: *location, previous: shard.serving_incarnation() });
            shard.clear_nodes();
        }
        touched
    }

    fn apply_entry(&mut self, entry: &Endpoint, now: f64) -> TouchedShard {
        let row = self.row_or_insert(entry.shard, now);
        let shard = &mut self.shards[row as usize];
        let previous = shard.serving_incarnation();
        shard.apply_entry(entry);
        TouchedShard { location: ShardRow { shard: entry.shard, row }, previous }
    }

    fn row(&self, shard: ShardId) -> Option<u32> {
        let index = self.rows.binary_search_by_key(&shard, |location| location.shard).ok()?;
        Some(self.rows[index].row)
    }

    /// Returns the row of a shard, creating a new one if the shard is unknown.
    fn row_or_insert(&mut self, shard: ShardId, now: f64) -> u32 {
        match self.rows.binary_search_by_key(&shard, |location| location.shard) {
            Ok(index) => self.rows[index].row,
            Err(index) => {
                let row = self.shards.len() as u32;
                self.shards.push(Shard::new(now));
                self.rows.insert(index, ShardRow { shard, row });
                row
            }
        }
    }
}
