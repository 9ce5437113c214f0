//! Which of two records on the same node counts.

use crate::wire::State;

/// The number of a record: how often versions were counted anew before it, then the version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Number {
    pub(crate) epoch: u32,
    pub(crate) version: u64,
}

impl Number {
    /// Whether this record is known to be newer. Versions of different counts say nothing of each other, unless the
    /// later count has come past where the earlier one ended.
    pub(crate) fn after(self, other: Number) -> bool {
        self.epoch >= other.epoch && self.version > other.version
    }

    /// Whether this record is known to be older.
    pub(crate) fn before(self, other: Number) -> bool {
        self.epoch == other.epoch && self.version < other.version
    }
}

/// What stands of a node: its state and last start, the number of that record, and when it came.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Record {
    pub(crate) state: State,
    pub(crate) boot: f64,
    pub(crate) number: Number,
    pub(crate) received: f64,
    /// It leaves by an older list's record than the number, which is of the newer one that had it ready.
    pub(crate) uncertain: bool,
}

impl Record {
    /// The record that stands after another.
    pub(crate) fn after(
        known: Option<&Record>,
        state: State,
        boot: f64,
        number: Number,
        received: f64,
    ) -> Record {
        let fresh = Record { state, boot, number, received, uncertain: false };
        let Some(known) = known.filter(|_| state != State::Ready) else { return fresh };
        // A drain may come without the start of what drains, and an older list's takes nothing from what ends it.
        let (boot, older) = (boot.max(known.boot), number.before(known.number));
        let uncertain = older && (known.uncertain || known.state == State::Ready);
        Record { boot, uncertain, number: if older { known.number } else { number }, ..fresh }
    }

    /// Whether an entry with this state and start stands instead of this record. The one place where it is decided
    /// which of two records counts.
    pub(crate) fn is_superseded_by(&self, state: State, boot: f64, number: Number) -> bool {
        // A start later than what stands counts in any list, unless an older one can't know of it.
        let restarted = boot > self.boot && (!number.before(self.number) || boot > self.received);
        match (state, self.state) {
            _ if restarted => true,
            (State::Ready, State::Ready) => !number.before(self.number),
            (State::Ready, _) => number.after(self.number) || self.uncertain && !number.before(self.number),
            (State::Draining, State::Gone) => !number.before(self.number),
            // A drain counts whoever tells it, but for what is known to be an older life's.
            (_, _) => !(number.before(self.number) && boot < self.boot && boot > 0.0),
        }
    }
}
