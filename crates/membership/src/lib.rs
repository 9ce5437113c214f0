//! What a head makes of the lists that discovery tells it. Lists come whole or as changes, from sources that may be
//! behind each other or count their versions anew, and not always in order. The rule that all of it serves: a node
//! that was told to drain, or to be gone, takes work again only after a start later than that, or by a newer record,
//! never by an older list. Time is an argument, in seconds of Unix time; nothing here knows a socket.

pub mod values;
pub mod wire;

use std::collections::{HashMap, HashSet, VecDeque};
use wire::{Entry, List, State};

/// How long a source may be behind what is known before its versions are taken to be counted anew, in seconds: what
/// discovery has to tell counts as told 6 s later, so that one that is merely behind has caught up by then.
pub const BEHIND: f64 = 5.0;
/// How many names that left are remembered, the latest of them: four times the longest list provided for.
pub const MAX_DEPARTED: usize = 4096;

/// The number of a record: how often versions were counted anew before it, then the version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Number {
    epoch: u32,
    version: u64,
}

impl Number {
    /// Whether this record is known to be newer. Versions of different counts say nothing of each other, unless the
    /// later count has come past where the earlier one ended.
    fn after(self, other: Number) -> bool {
        self.epoch >= other.epoch && self.version > other.version
    }

    /// Whether this record is known to be older.
    fn before(self, other: Number) -> bool {
        self.epoch == other.epoch && self.version < other.version
    }
}

/// What stands of a node: its state and last start, the number of that record, and when it came.
#[derive(Clone, Copy, Debug)]
struct Record {
    state: State,
    boot: f64,
    number: Number,
    told: f64,
    /// It leaves by an older list's record than the number, which is of the newer one that had it ready.
    doubted: bool,
}

impl Record {
    /// The record that stands after another.
    fn after(known: Option<&Record>, state: State, boot: f64, number: Number, told: f64) -> Record {
        let fresh = Record { state, boot, number, told, doubted: false };
        let Some(known) = known.filter(|_| state != State::Ready) else { return fresh };
        // A drain may come without the start of what drains, and an older list's takes nothing from what ends it.
        let (boot, older) = (boot.max(known.boot), number.before(known.number));
        let doubted = older && (known.doubted || known.state == State::Ready);
        Record { boot, doubted, number: if older { known.number } else { number }, ..fresh }
    }

    /// Whether another record on the same node stands instead of this one. The one place where it is decided which of
    /// two records counts.
    fn is_superseded_by(&self, entry: &Entry, number: Number) -> bool {
        // A start later than what stands is news in any list, unless an older one can't know of it.
        let restarted = entry.boot > self.boot && (!number.before(self.number) || entry.boot > self.told);
        match (entry.state, self.state) {
            _ if restarted => true,
            (State::Ready, State::Ready) => !number.before(self.number),
            (State::Ready, _) => number.after(self.number) || self.doubted && !number.before(self.number),
            (State::Draining, State::Gone) => !number.before(self.number),
            // A drain counts whoever tells it, but for what is known to be an older life's.
            (_, _) => !(number.before(self.number) && entry.boot < self.boot && entry.boot > 0.0),
        }
    }
}

/// What a list changes.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// What holds of a node from now on.
    Holds(Entry),
    /// A node takes no more work and is not listed any more.
    Gone(String),
}

/// One source of lists: how far it has come, and since when it is behind what is known.
#[derive(Debug, Default)]
pub struct Source {
    cursor: u64,
    behind_since: Option<f64>,
}

impl Source {
    /// One that is taken to have told all up to a version.
    pub fn at(version: u64) -> Source {
        Source { cursor: version, behind_since: None }
    }

    /// The version after which it is to be asked for changes.
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Whether it is behind what is known.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Whether it has been behind for so long that its versions must be counted anew: its next whole list stands.
    pub fn counts_anew(&self, now: f64) -> bool {
        self.behind_since.is_some_and(|since| now - since >= BEHIND)
    }
}

/// The nodes as they stand, by all that was told.
#[derive(Debug, Default)]
pub struct Membership {
    records: HashMap<String, Record>,
    /// Names that left, oldest first: their records are forgotten in that order.
    left: VecDeque<String>,
    /// The newest number heard.
    newest: Number,
    /// The last whole list's: a name that it lacked was gone by then, if it had come at all.
    whole: Option<Number>,
}

impl Membership {
    /// The newest version told in the present count.
    pub fn version(&self) -> u64 {
        self.newest.version
    }

    /// Whether this name was listed, lately at least.
    pub fn knows(&self, name: &str) -> bool {
        self.records.contains_key(name)
    }

    /// Takes in a list, and gives what it changes: first what a whole list no longer names, then in its order.
    pub fn take(&mut self, list: List, source: &mut Source, now: f64) -> Vec<Change> {
        if list.all && list.rev < self.newest.version && source.counts_anew(now) {
            self.newest = Number { epoch: self.newest.epoch + 1, version: list.rev };
            self.whole = None;
        }
        let number = Number { epoch: self.newest.epoch, version: list.rev };
        source.cursor = list.rev;
        source.behind_since = source.behind_since.or(Some(now)).filter(|_| number.before(self.newest));
        let mut changes = Vec::new();
        // Only a list that is not behind says something by what it lacks.
        if list.all && !source.is_behind() {
            for name in self.lacking(&list) {
                // One that left may be forgotten by now, for others that leave here.
                if self.records.contains_key(&name) {
                    changes.extend(self.leave(name, number, now));
                }
            }
            self.whole = Some(number);
            self.newest = number;
        }
        for entry in list.entries {
            changes.extend(self.apply_entry(entry, number, now));
        }
        self.newest.version = self.newest.version.max(list.rev);
        changes
    }

    /// The names that a whole list lacks, also of what is gone: it is still gone by that list's version.
    fn lacking(&self, list: &List) -> Vec<String> {
        let named: HashSet<&str> = list.names().collect();
        let mut lacking: Vec<String> =
            self.records.keys().filter(|name| !named.contains(name.as_str())).cloned().collect();
        lacking.sort_unstable();
        lacking
    }

    fn apply_entry(&mut self, entry: Entry, number: Number, now: f64) -> Option<Change> {
        let known = self.records.get(&entry.name);
        let stands = match known {
            Some(record) => record.is_superseded_by(&entry, number),
            None => self.whole.is_none_or(|whole| !number.before(whole)),
        };
        if !stands {
            return None;
        }
        if entry.state == State::Gone {
            return self.leave(entry.name, number, now);
        }
        let known = self.records.get(&entry.name);
        if known.is_some_and(|record| record.state == State::Gone) {
            self.left.retain(|name| *name != entry.name);
        }
        let record = Record::after(known, entry.state, entry.boot, number, now);
        self.records.insert(entry.name.clone(), record);
        Some(Change::Holds(entry))
    }

    /// Notes that a node is gone; a change if it was listed.
    fn leave(&mut self, name: String, number: Number, now: f64) -> Option<Change> {
        let known = self.records.get(&name).copied();
        self.records.insert(name.clone(), Record::after(known.as_ref(), State::Gone, 0.0, number, now));
        if known.is_some_and(|record| record.state == State::Gone) {
            return None;
        }
        self.left.push_back(name.clone());
        if self.left.len() > MAX_DEPARTED {
            self.left.pop_front().into_iter().for_each(|old| _ = self.records.remove(&old));
        }
        known.map(|_| Change::Gone(name))
    }
}
