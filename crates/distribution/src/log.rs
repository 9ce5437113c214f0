//! A bounded log of encoded changes, shared by all watchers of a replica. The oldest records are compacted (removed)
//! when a bound is exceeded.

use bytes::Bytes;
use std::collections::VecDeque;

/// The position of a record in the log. Positions increase over the lifetime of a replica and are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position(u64);

impl Position {
    /// The position after this one.
    pub fn next(self) -> Position {
        Position(self.0 + 1)
    }
}

/// One encoded line of changes.
#[derive(Clone, Debug)]
pub struct Record {
    /// The version that the changes apply to.
    pub from_version: u64,
    /// A watcher that knows this version, or a later one, does not need the record.
    pub needed_below: u64,
    /// Whether the record is the difference of two complete lists with versions between them. Such a record omits a
    /// node that changed and changed back in between, so it can't serve a watcher at an intermediate version.
    pub skips_versions: bool,
    /// The encoded line, with its newline.
    pub text: Bytes,
}

/// The result of looking up a version in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// All later changes are in the log, from this position on.
    Available(Position),
    /// Some later changes were compacted, or were never logged.
    Compacted,
}

/// A bounded log of records, oldest first.
#[derive(Debug)]
pub struct Log {
    records: VecDeque<Record>,
    first: Position,
    compacted_version: u64,
    bytes: usize,
    max_bytes: usize,
    max_records: usize,
}

impl Log {
    /// Creates an empty log that holds at most `max_bytes` of encoded text and `max_records` records.
    pub fn new(max_bytes: usize, max_records: usize) -> Log {
        Log {
            records: VecDeque::new(),
            first: Position(0),
            compacted_version: 0,
            bytes: 0,
            max_bytes,
            max_records,
        }
    }

    /// Drops all records. The next record applies to `version`.
    pub fn reset(&mut self, version: u64) {
        self.first = self.end();
        self.records.clear();
        self.compacted_version = version;
        self.bytes = 0;
    }

    /// Appends a record, and compacts the oldest ones until the bounds hold again.
    pub fn push(&mut self, record: Record) {
        self.bytes += record.text.len();
        self.records.push_back(record);
        while self.exceeds_bounds() {
            let Some(dropped) = self.records.pop_front() else { return };
            self.bytes -= dropped.text.len();
            self.compacted_version = self.compacted_version.max(dropped.needed_below);
            self.first = self.first.next();
        }
    }

    fn exceeds_bounds(&self) -> bool {
        self.bytes > self.max_bytes || self.records.len() > self.max_records
    }

    /// The position after the last record.
    pub fn end(&self) -> Position {
        Position(self.first.0 + self.records.len() as u64)
    }

    /// The position of the oldest record.
    pub fn first(&self) -> Position {
        self.first
    }

    /// The lowest version from which a watcher can resume.
    pub fn compacted_version(&self) -> u64 {
        self.compacted_version
    }

    /// Bytes of encoded text in the log.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of records in the log.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the log has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The record at a position; `None` if it was compacted or is not appended yet.
    pub fn get(&self, position: Position) -> Option<&Record> {
        let index = position.0.checked_sub(self.first.0)?;
        self.records.get(usize::try_from(index).ok()?)
    }

    /// Looks up the position from which a watcher that knows `version` resumes.
    pub fn lookup(&self, version: u64) -> Lookup {
        if version < self.compacted_version {
            return Lookup::Compacted;
        }
        let index = self.records.partition_point(|record| record.needed_below <= version);
        match self.records.get(index) {
            Some(record) if record.skips_versions && version > record.from_version => Lookup::Compacted,
            _ => Lookup::Available(Position(self.first.0 + index as u64)),
        }
    }
}
