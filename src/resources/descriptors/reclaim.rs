//! The connections that can be closed to free their descriptors.

use super::CloseOrder;
use super::slot::SlotRecord;
use super::usage::{ConnectionKind, SlotState};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Connections of one kind in one state, the one that has been in it longest first.
type List = BTreeMap<CloseOrder, Rc<SlotRecord>>;

/// The connections of one kind that carry no request.
#[derive(Default)]
struct KindLists {
    unused: List,
    incomplete: List,
    idle: List,
}

impl KindLists {
    /// The list of the connections in a state; `None` for a state in which a connection can't be closed.
    fn list(&self, state: SlotState) -> Option<&List> {
        match state {
            SlotState::Unused => Some(&self.unused),
            SlotState::Incomplete => Some(&self.incomplete),
            SlotState::Idle => Some(&self.idle),
            SlotState::Reserved | SlotState::InUse | SlotState::Closing => None,
        }
    }

    fn list_mut(&mut self, state: SlotState) -> Option<&mut List> {
        match state {
            SlotState::Unused => Some(&mut self.unused),
            SlotState::Incomplete => Some(&mut self.incomplete),
            SlotState::Idle => Some(&mut self.idle),
            SlotState::Reserved | SlotState::InUse | SlotState::Closing => None,
        }
    }
}

/// The connections of all kinds that carry no request.
#[derive(Default)]
pub(super) struct ReclaimLists {
    kinds: [KindLists; ConnectionKind::ALL.len()],
}

impl ReclaimLists {
    /// Adds a connection at its `order`, if it can be closed in its state.
    pub(super) fn insert(&mut self, record: &Rc<SlotRecord>) {
        if let Some(list) = self.kinds[record.kind as usize].list_mut(record.state.get()) {
            list.insert(record.order.get(), record.clone());
        }
    }

    /// Removes a connection, if it is listed.
    pub(super) fn remove(&mut self, record: &SlotRecord) {
        if let Some(list) = self.kinds[record.kind as usize].list_mut(record.state.get()) {
            list.remove(&record.order.get());
        }
    }

    /// The connection that has been in a state longest, of those kinds that are `eligible`.
    pub(super) fn oldest(
        &self,
        state: SlotState,
        eligible: impl Fn(ConnectionKind) -> bool,
    ) -> Option<&Rc<SlotRecord>> {
        let kinds = ConnectionKind::ALL.into_iter().filter(|kind| eligible(*kind));
        let oldest_of_kinds = kinds.filter_map(|kind| {
            let list = self.kinds[kind as usize].list(state)?;
            list.first_key_value()
        });
        let oldest = oldest_of_kinds.min_by_key(|(order, _)| **order);
        oldest.map(|(_, record)| record)
    }
}
