//! Decides which of two records of the same node is valid.

use crate::list::NodeState;

/// The version of a list. Versions are comparable only while the version count does not restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ListVersion {
    /// How many restarts of the version count were detected before this version.
    pub(crate) epoch: u32,
    pub(crate) version: u64,
}

impl ListVersion {
    /// Whether this version is known to be newer than `other`. A version of a later epoch is known to be newer only
    /// if its number is also higher; otherwise versions of different epochs can't be compared.
    pub(crate) fn is_newer_than(self, other: ListVersion) -> bool {
        self.epoch >= other.epoch && self.version > other.version
    }

    /// Whether this version is known to be older than `other`.
    pub(crate) fn is_older_than(self, other: ListVersion) -> bool {
        self.epoch == other.epoch && self.version < other.version
    }
}

/// The valid record of a node: its state, its last start, the version of the list that reported them, and when that
/// list was received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StateRecord {
    pub(crate) state: NodeState,
    /// When the node last started, in seconds of Unix time; 0 if unknown.
    pub(crate) started_at: f64,
    pub(crate) version: ListVersion,
    /// When the record was received, in seconds of Unix time.
    pub(crate) received_at: f64,
    /// Whether the drain or removal was reported by a list that is older than `version`, the version of the newest list
    /// that reported the node as ready. A list of `version` or later that reports the node as ready ends the drain.
    pub(crate) is_tentative: bool,
}

impl StateRecord {
    /// Creates the record that replaces `known`, given that [`Self::is_superseded_by`] allows it.
    pub(crate) fn replacing(
        known: Option<&StateRecord>,
        state: NodeState,
        started_at: f64,
        version: ListVersion,
        received_at: f64,
    ) -> StateRecord {
        let received = StateRecord { state, started_at, version, received_at, is_tentative: false };
        let Some(known) = known else {
            return received;
        };
        if state == NodeState::Ready {
            return received;
        }
        // The entry of a draining node may lack its start time, and an entry of an older list must not allow an older
        // record to end the drain. So the later start and the newer version are kept.
        let is_older = version.is_older_than(known.version);
        StateRecord {
            started_at: started_at.max(known.started_at),
            version: if is_older { known.version } else { version },
            is_tentative: is_older && (known.is_tentative || known.state == NodeState::Ready),
            ..received
        }
    }

    /// Whether a received entry replaces this record. All decisions between two records of a node are made here.
    pub(crate) fn is_superseded_by(&self, state: NodeState, started_at: f64, version: ListVersion) -> bool {
        let is_older = version.is_older_than(self.version);
        // A later start is accepted, except from an older list that reports a start from before this record was
        // received: the source of this record already knew of that start.
        let restarted = started_at > self.started_at && (!is_older || started_at > self.received_at);
        if restarted {
            return true;
        }
        match (state, self.state) {
            (NodeState::Ready, NodeState::Ready) => !is_older,
            (NodeState::Ready, NodeState::Draining | NodeState::Gone) => {
                version.is_newer_than(self.version) || self.is_tentative && !is_older
            }
            (NodeState::Draining, NodeState::Gone) => !is_older,
            // A drain or a removal is accepted from any source, unless it is known to refer to an earlier run of the
            // node.
            (NodeState::Draining | NodeState::Gone, _) => {
                let is_of_earlier_run = is_older && started_at > 0.0 && started_at < self.started_at;
                !is_of_earlier_run
            }
        }
    }
}
