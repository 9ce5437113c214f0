//! Weighted fair queueing before one node, by start tags (start-time fair queueing). Classes share the node by the
//! adapted weights (`class_weights.rs`); within a class, work beyond the reserves is shared among the volumes by the
//! weights of their plans.

use super::interface::VolumeId;
use std::collections::BTreeMap;

/// The band of a queued request: all work of a better band goes before any of a worse one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Band {
    /// Inside its volume's reserve, and in time.
    Reserved,
    /// Beyond its volume's reserve, and in time.
    Shared,
    /// Would be answered after its latency objective.
    Late,
}

/// The place of a request among those that could be sent next; the lowest goes first. Fields are compared in order.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct Rank {
    /// The request's band.
    pub(super) band: Band,
    /// Its class's start tag.
    pub(super) class_tag: f64,
    /// Its place within band and class: see [`BandRank::key`].
    pub(super) key: f64,
}

/// The band of a request, and its place among those of its class in the same band.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct BandRank {
    /// The band.
    pub(super) band: Band,
    /// The lower, the earlier: the moment of the latency objective for reserved work, the volume's start tag for
    /// shared work, the deadline for late work.
    pub(super) key: f64,
}

/// The virtual times and tags of the classes and volumes at one node.
pub(super) struct FairQueue {
    class_finish_tags: Vec<f64>,
    class_virtual_time: f64,
    volume_finish_tags: BTreeMap<VolumeId, f64>,
    volume_virtual_time: f64,
}

impl FairQueue {
    /// Nothing was sent yet.
    pub(super) fn new(classes: usize) -> FairQueue {
        FairQueue {
            class_finish_tags: vec![0.0; classes],
            class_virtual_time: 0.0,
            volume_finish_tags: BTreeMap::new(),
            volume_virtual_time: 0.0,
        }
    }

    /// The start tag of a class's next request.
    pub(super) fn class_start_tag(&self, class: usize) -> f64 {
        self.class_finish_tags[class].max(self.class_virtual_time)
    }

    /// The start tag of a volume's next request beyond its reserve.
    pub(super) fn volume_start_tag(&self, volume: VolumeId) -> f64 {
        let finish_tag = self.volume_finish_tags.get(&volume).copied().unwrap_or(0.0);
        finish_tag.max(self.volume_virtual_time)
    }

    /// Charges a class for a request that was sent.
    pub(super) fn charge_class(&mut self, class: usize, units: f64, weight: f64) {
        let start_tag = self.class_start_tag(class);
        self.class_virtual_time = start_tag;
        self.class_finish_tags[class] = start_tag + units / weight;
    }

    /// Charges a volume for a request beyond its reserve that was sent.
    pub(super) fn charge_volume(&mut self, volume: VolumeId, units: f64, weight: f64) {
        let finish_tag = self.volume_finish_tags.entry(volume).or_insert(0.0);
        let start_tag = finish_tag.max(self.volume_virtual_time);
        *finish_tag = start_tag + units / weight;
        self.volume_virtual_time = start_tag;
    }

    /// Forgets the volumes that virtual time has caught up with: their tags have no effect any more.
    pub(super) fn forget_idle_volumes(&mut self) {
        let virtual_time = self.volume_virtual_time;
        self.volume_finish_tags.retain(|_, finish_tag| *finish_tag > virtual_time);
    }

    /// How many volumes have a tag.
    #[cfg(test)]
    pub(super) fn tagged_volumes(&self) -> usize {
        self.volume_finish_tags.len()
    }
}
