//! Weighted fair queueing for one node, by start tags (start-time fair queueing). Classes share the node by the
//! adapted weights (`class_weights.rs`). Within a class, volumes share the work beyond their reserves by the weights
//! of their plans.

use super::interface::VolumeId;
use std::collections::BTreeMap;

/// Priority band of a queued request: requests of a better band are sent before any request of a worse band.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Band {
    /// Within its volume's reserve, and expected to meet its latency objective.
    Reserved,
    /// Beyond its volume's reserve, and expected to meet its latency objective.
    Shared,
    /// Expected to be answered after its latency objective.
    Late,
}

/// Order of a request among those that may be sent now; the lowest rank is sent first. Fields are compared in their
/// order of declaration.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct Rank {
    /// Priority band of the request.
    pub(super) band: Band,
    /// Start tag of the request's class.
    pub(super) class_tag: f64,
    /// Order within band and class; see [`BandRank::key`].
    pub(super) key: f64,
}

/// Priority band of a request and its order among the requests of its class in that band.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct BandRank {
    /// Priority band of the request.
    pub(super) band: Band,
    /// Sort key, lowest first: the time of the latency objective for reserved work, the volume's start tag for shared
    /// work, the deadline for late work.
    pub(super) key: f64,
}

/// Virtual times and finish tags of the classes and volumes at one node.
pub(super) struct FairQueue {
    class_finish_tags: Vec<f64>,
    class_virtual_time: f64,
    volume_finish_tags: BTreeMap<VolumeId, f64>,
    volume_virtual_time: f64,
}

impl FairQueue {
    /// Creates the tags of a node that no request has been sent to.
    pub(super) fn new(classes: usize) -> FairQueue {
        FairQueue {
            class_finish_tags: vec![0.0; classes],
            class_virtual_time: 0.0,
            volume_finish_tags: BTreeMap::new(),
            volume_virtual_time: 0.0,
        }
    }

    /// Returns the start tag of a class's next request.
    pub(super) fn class_start_tag(&self, class: usize) -> f64 {
        self.class_finish_tags[class].max(self.class_virtual_time)
    }

    /// Returns the start tag of a volume's next request beyond its reserve.
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

    /// Removes the volumes whose finish tag is not above the virtual time, since these tags no longer affect the
    /// order.
    pub(super) fn remove_idle_volumes(&mut self) {
        let virtual_time = self.volume_virtual_time;
        self.volume_finish_tags.retain(|_, finish_tag| *finish_tag > virtual_time);
    }

    /// Returns the number of volumes with a finish tag.
    #[cfg(test)]
    pub(super) fn tagged_volumes(&self) -> usize {
        self.volume_finish_tags.len()
    }
}
