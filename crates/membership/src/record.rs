//! Which of two records about the same node is valid.

use crate::list::NodeState;

/// The version of a list, and how often the version count had restarted before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ListVersion {
    /// How often the version count was seen to restart.
    pub(crate) epoch: u32,
    pub(crate) version: u64,
}

impl ListVersion {
    /// Whether this version is known to be newer. Versions of different epochs can't be compared, unless the later
    /// epoch has passed the version at which the earlier one ended.
    pub(crate) fn is_newer_than(self, other: ListVersion) -> bool {
        self.epoch >= other.epoch && self.version > other.version
    }

    /// Whether this version is known to be older.
    pub(crate) fn is_older_than(self, other: ListVersion) -> bool {
        self.epoch == other.epoch && self.version < other.version
    }
}

/// The valid record about a node: its state and last start, the version by which they are known, and when they were
/// received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StateRecord {
    pub(crate) state: NodeState,
    /// The node's last start, in seconds of Unix time; 0 if unknown.
    pub(crate) started_at: f64,
    pub(crate) version: ListVersion,
    /// When the record was received, in seconds of Unix time.
    pub(crate) received_at: f64,
    /// The node leaves by a list that is older than `version`, the version by which it was last ready. A list that is
    /// as new as `version` and has the node ready ends the drain.
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
        // A drain may come without the start of the node that drains, and one of an older list must not make it easier
        // to end the drain: the newer start and the newer version are kept.
        let is_older = version.is_older_than(known.version);
        StateRecord {
            started_at: started_at.max(known.started_at),
            version: if is_older { known.version } else { version },
            is_tentative: is_older && (known.is_tentative || known.state == NodeState::Ready),
            ..received
        }
    }

    /// Whether a received entry replaces this record. This is the one place where it is decided which of two records
    /// about a node is valid.
    pub(crate) fn is_superseded_by(&self, state: NodeState, started_at: f64, version: ListVersion) -> bool {
        let is_older = version.is_older_than(self.version);
        // A start later than the known one counts in any list, unless an older list can't have known of it.
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
            // A drain or a removal counts whoever reports it, unless it is known to be of an earlier run of the node.
            (NodeState::Draining | NodeState::Gone, _) => {
                let is_of_earlier_run = is_older && started_at > 0.0 && started_at < self.started_at;
                !is_of_earlier_run
            }
        }
    }
}
