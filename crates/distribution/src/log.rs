//! A bounded log of encoded changes, shared by all who read it.

use bytes::Bytes;
use std::collections::VecDeque;

/// A place in the log. Places are counted on over the whole life of a replica and are never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position(pub(crate) u64);

impl Position {
    /// The place after this one.
    pub fn following(self) -> Position {
        Position(self.0 + 1)
    }
}

/// One line of changes.
#[derive(Clone, Debug)]
pub struct Record {
    /// The version that it leads from.
    pub from: u64,
    /// Who knows this version, or a later one, has no need of it.
    pub needed_below: u64,
    /// It was made of two whole lists with versions between them. A node that changed and changed back meanwhile is not
    /// in it, so that it serves nobody who knows a version between the two.
    pub skips: bool,
    /// Its text, with the line's end.
    pub text: Bytes,
}

/// What the log has for one who knows a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// All that came later, from this place on.
    From(Position),
    /// Not all that came later.
    Missing,
}

/// The records, oldest first.
#[derive(Debug)]
pub struct Log {
    records: VecDeque<Record>,
    first: Position,
    /// The lowest version from which the records lead on.
    base: u64,
    bytes: usize,
    max_bytes: usize,
    max_records: usize,
}

impl Log {
    /// An empty log.
    pub fn new(max_bytes: usize, max_records: usize) -> Log {
        Log { records: VecDeque::new(), first: Position(0), base: 0, bytes: 0, max_bytes, max_records }
    }

    /// Forgets all records; the next ones lead on from a version.
    pub fn restart(&mut self, base: u64) {
        self.first = self.end();
        self.records.clear();
        (self.base, self.bytes) = (base, 0);
    }

    /// Adds a record, and drops the oldest ones that are too many by then.
    pub fn push(&mut self, record: Record) {
        self.bytes += record.text.len();
        self.records.push_back(record);
        while self.bytes > self.max_bytes || self.records.len() > self.max_records {
            let Some(dropped) = self.records.pop_front() else { return };
            self.bytes -= dropped.text.len();
            self.base = self.base.max(dropped.needed_below);
            self.first = self.first.following();
        }
    }

    /// The place after the last record.
    pub fn end(&self) -> Position {
        Position(self.first.0 + self.records.len() as u64)
    }

    /// The place of the oldest record.
    pub fn first(&self) -> Position {
        self.first
    }

    /// The lowest version from which the records lead on.
    pub fn base(&self) -> u64 {
        self.base
    }

    /// How many bytes of text it holds.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// How many records it holds.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether it holds no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The record at a place; none before the first and after the last.
    pub fn get(&self, position: Position) -> Option<&Record> {
        let place = position.0.checked_sub(self.first.0)?;
        self.records.get(usize::try_from(place).ok()?)
    }

    /// Where one who knows a version has to read on.
    pub fn after(&self, version: u64) -> Lookup {
        if version < self.base {
            return Lookup::Missing;
        }
        let place = self.records.partition_point(|record| record.needed_below <= version);
        match self.records.get(place) {
            Some(record) if record.skips && version > record.from => Lookup::Missing,
            _ => Lookup::From(Position(self.first.0 + place as u64)),
        }
    }
}
