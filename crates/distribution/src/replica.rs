//! A relay's copy of the node list: which lists from upstream count, what its watchers have to be told, and for how long
//! it may be called current.

use crate::encode;
use crate::log::{Log, Lookup, Position, Record};
use bytes::Bytes;
use flaxgap_membership::wire::{Entry, List, State};
use flaxgap_membership::{Change, Membership, Source};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// The bounds of a relay's copy and of its watchers.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of changes that are kept: 8 MiB are some 60,000 changed entries, eight times the coming list.
    pub log_bytes: usize,
    /// Lines of changes that are kept: at one change in a second, over an hour of them.
    pub log_changes: usize,
    /// How long after the last word from upstream the copy is called current, in seconds: upstream says something every
    /// 2 s, so that one word may be late.
    pub lease_s: f64,
    /// How long a watcher that knows a newer version is left waiting for it, in seconds: discovery's changes count as
    /// told 6 s later, so that a relay that is merely behind has caught up by then.
    pub catch_up_s: f64,
    /// How often a watcher with nothing new hears an empty line, in seconds, as the protocol has it.
    pub heartbeat_s: f64,
    /// How long a watcher may take nothing while there is something for it, in seconds.
    pub slow_reader_s: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            log_bytes: 8 << 20,
            log_changes: 4096,
            lease_s: 4.0,
            catch_up_s: 5.0,
            heartbeat_s: 2.0,
            slow_reader_s: 10.0,
        }
    }
}

/// Why a list could not be taken in for watchers. What was told before stands.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// A list could not be written as JSON.
    #[error("list version {version}: {problem}")]
    Encode {
        /// The version.
        version: u64,
        /// What is wrong.
        problem: serde_json::Error,
    },
}

/// What a list from upstream did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// How many entries watchers are told of.
    pub changed: usize,
    /// How many entries, or parts of them, could not be read.
    pub unread: usize,
    /// The version now.
    pub version: u64,
    /// The source was found to count its versions anew: all watches have to end.
    pub renumbered: bool,
    /// The list was older than what is known.
    pub behind: bool,
}

/// Whether the copy may be told to anybody.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// No whole list has come yet.
    Empty,
    /// Upstream was heard within the lease.
    Current,
    /// Upstream was last heard before the lease: nothing may be told, not even a heartbeat.
    Expired,
}

/// How a watcher that knows a version is to be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resume {
    /// The copy is empty or its lease has ended.
    NotCurrent,
    /// By the records from this position on; see [`Replica::record_at`].
    Changes {
        /// The first of them.
        from: Position,
    },
    /// By the whole list.
    Whole,
    /// It knows a newer version than this copy.
    Ahead,
}

/// A record that a watcher asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// Its text.
    Text(Bytes),
    /// Nothing has come after this position yet.
    End,
    /// It was dropped from the log.
    Dropped,
}

/// A relay's copy of the list.
#[derive(Debug)]
pub struct Replica {
    limits: Limits,
    membership: Membership,
    source: Source,
    entries: BTreeMap<String, Entry>,
    /// Names that upstream has, of which nothing else could be read.
    unread: BTreeSet<String>,
    /// Entries that were called ready again without a newer version: told once more with the next version, because a
    /// head may hold their drain to be as new as this.
    owed: BTreeSet<String>,
    /// A list that was behind took nodes out: a whole list that is not behind has to confirm it.
    doubted: bool,
    whole_heard: bool,
    heard_at: Option<f64>,
    generation: u64,
    log: Log,
    snapshot: Option<Bytes>,
}

impl Replica {
    /// An empty copy.
    pub fn new(limits: Limits) -> Replica {
        let log = Log::new(limits.log_bytes, limits.log_changes);
        Replica {
            limits,
            membership: Membership::default(),
            source: Source::default(),
            entries: BTreeMap::new(),
            unread: BTreeSet::new(),
            owed: BTreeSet::new(),
            doubted: false,
            whole_heard: false,
            heard_at: None,
            generation: 0,
            log,
            snapshot: None,
        }
    }

    /// The bounds.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// The version of the copy.
    pub fn version(&self) -> u64 {
        self.membership.version()
    }

    /// How often the copy's versions were counted anew.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// How many nodes are listed.
    pub fn nodes(&self) -> usize {
        self.entries.len()
    }

    /// The log of changes.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The version after which upstream is to be asked for changes.
    pub fn upstream_cursor(&self) -> u64 {
        self.source.cursor()
    }

    /// Whether upstream is to be asked for the whole list rather than for changes.
    pub fn wants_whole(&self, now: f64) -> bool {
        !self.whole_heard || self.source.counts_anew(now) || self.doubted && !self.source.is_behind()
    }

    /// Upstream has given a sign of life, a heartbeat or a list.
    pub fn heard(&mut self, now: f64) {
        self.heard_at = Some(self.heard_at.map_or(now, |before| before.max(now)));
    }

    /// Until when the copy may be called current, if it is not empty.
    pub fn lease_ends(&self) -> Option<f64> {
        self.heard_at.filter(|_| self.whole_heard).map(|at| at + self.limits.lease_s)
    }

    /// Whether the copy may be told to anybody.
    pub fn status(&self, now: f64) -> Status {
        match self.lease_ends() {
            None => Status::Empty,
            Some(end) if now < end => Status::Current,
            Some(_) => Status::Expired,
        }
    }

    /// Takes in a list from upstream, and makes one record of what it changes.
    pub fn apply(&mut self, list: List, now: f64) -> Result<Applied, ReplicaError> {
        self.heard(now);
        let (before, all, first) = (self.version(), list.all, !self.whole_heard);
        let (unread, rev) = (list.unread.len(), list.rev);
        let unread_names: Vec<String> = list.unread.iter().filter_map(|unread| unread.name.clone()).collect();
        let mut told = self.gone_unread(&list);
        let changes = self.membership.take(list, &mut self.source, now);
        let behind = self.source.is_behind();
        let renumbered = self.version() < before;
        told.extend(self.store(changes, all));
        self.note_unread(unread_names, all && !behind);
        self.note_doubt(all, behind, !told.is_empty());
        self.whole_heard |= all;
        let applied = Applied { changed: told.len(), unread, version: self.version(), renumbered, behind };
        if renumbered {
            self.generation += 1;
        }
        if renumbered || first {
            self.snapshot = None;
            self.owed.clear();
            self.log.restart(self.version());
            return Ok(applied);
        }
        let advanced = self.version() > before;
        if advanced || !told.is_empty() {
            let skips = all && rev > before + 1;
            self.record(told, before, advanced, skips)?;
        }
        Ok(applied)
    }

    /// The names told to be gone of which nothing but the name was known here; a watcher may know more of them.
    fn gone_unread(&mut self, list: &List) -> Vec<Entry> {
        let gone = list.entries.iter().filter(|entry| entry.state == State::Gone);
        let names = gone.filter(|entry| self.unread.remove(&entry.name)).map(|entry| entry.name.clone());
        names.map(encode::gone).collect()
    }

    /// Stores what membership lets stand. A list of changes is passed on in full: who knows a version between may need
    /// what looks unchanged from here. Of a whole list only what differs is.
    fn store(&mut self, changes: Vec<Change>, all: bool) -> Vec<Entry> {
        let mut told = Vec::new();
        for change in changes {
            match change {
                Change::Gone(name) => {
                    self.entries.remove(&name);
                    self.unread.remove(&name);
                    told.push(encode::gone(name));
                }
                Change::Holds(entry) => {
                    let entry = self.complete(entry);
                    self.unread.remove(&entry.name);
                    let known = self.entries.insert(entry.name.clone(), entry.clone());
                    if !all || known.as_ref() != Some(&entry) {
                        told.push(entry);
                    }
                }
            }
        }
        told
    }

    /// An entry with what is known of its node in place of what it lacks; only one that leaves may lack anything.
    fn complete(&self, mut entry: Entry) -> Entry {
        let Some(known) = self.entries.get(&entry.name).filter(|_| entry.state != State::Ready) else {
            return entry;
        };
        entry.address = entry.address.or(known.address);
        entry.shard = entry.shard.or(known.shard);
        entry.boot = entry.boot.max(known.boot);
        if entry.zone.is_empty() {
            entry.zone.clone_from(&known.zone);
        }
        entry
    }

    /// Notes the names that could not be read and are not listed, so that a whole list does not take them for gone.
    fn note_unread(&mut self, names: Vec<String>, only_these: bool) {
        let before = self.unread.clone();
        if only_these {
            self.unread.clear();
        }
        self.unread.extend(names.into_iter().filter(|name| !self.entries.contains_key(name)));
        if self.unread != before {
            self.snapshot = None;
        }
    }

    /// Notes whether a list that was behind changed something that a newer whole list has to confirm.
    fn note_doubt(&mut self, all: bool, behind: bool, changed: bool) {
        if behind {
            self.doubted |= changed;
        } else if all {
            self.doubted = false;
        }
    }

    /// Adds a record. One that does not advance the version is for all who know that version or an older one.
    fn record(
        &mut self,
        mut told: Vec<Entry>,
        from: u64,
        advanced: bool,
        skips: bool,
    ) -> Result<(), ReplicaError> {
        self.snapshot = None;
        let version = self.version();
        if advanced {
            self.add_owed(&mut told);
        } else {
            let ready = told.iter().filter(|entry| entry.state == State::Ready);
            self.owed.extend(ready.map(|entry| entry.name.clone()));
        }
        let text = match encode::changes(version, &told) {
            Ok(text) => text,
            Err(problem) => {
                // Nobody may read on past a record that is missing.
                self.log.restart(version);
                self.generation += 1;
                return Err(ReplicaError::Encode { version, problem });
            }
        };
        let needed_below = if advanced { version } else { version + 1 };
        self.log.push(Record { from, needed_below, skips, text });
        Ok(())
    }

    fn add_owed(&mut self, told: &mut Vec<Entry>) {
        for name in std::mem::take(&mut self.owed) {
            if told.iter().all(|entry| entry.name != name) {
                told.extend(self.entries.get(&name).cloned());
            }
        }
    }

    /// The whole list as one line, encoded when it is first asked for and shared until the copy changes.
    pub fn snapshot(&mut self) -> Result<Bytes, ReplicaError> {
        if let Some(text) = &self.snapshot {
            return Ok(text.clone());
        }
        let version = self.version();
        let text = encode::whole(version, self.entries.values(), &self.unread)
            .map_err(|problem| ReplicaError::Encode { version, problem })?;
        self.snapshot = Some(text.clone());
        Ok(text)
    }

    /// How one that knows a version is to be served.
    pub fn resume(&self, since: u64, now: f64) -> Resume {
        if self.status(now) != Status::Current {
            return Resume::NotCurrent;
        }
        if since > self.version() {
            return Resume::Ahead;
        }
        match self.log.after(since) {
            Lookup::From(from) => Resume::Changes { from },
            Lookup::Missing => Resume::Whole,
        }
    }

    /// The record at a position, for one that was led there by the record before it.
    pub fn record_at(&self, position: Position) -> Read {
        if position < self.log.first() {
            return Read::Dropped;
        }
        match self.log.get(position) {
            None => Read::End,
            Some(record) => Read::Text(record.text.clone()),
        }
    }

    /// The line for one that knows the version of the copy: the protocol has each watch begin with a list.
    pub fn no_changes(&self) -> Bytes {
        encode::no_changes(self.version())
    }

    /// The position after the last record: where one goes on that has just got the whole list.
    pub fn end(&self) -> Position {
        self.log.end()
    }
}
