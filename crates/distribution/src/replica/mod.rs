//! A relay's replica of the endpoint list: applies the lists from upstream, logs the resulting changes for the
//! watchers, and tracks until when the list may be served as current.

mod entries;
mod lease;
mod limits;

use crate::encode::{encode_changes, encode_no_changes, encode_snapshot};
use crate::log::{Log, Lookup, Position, Record};
use bytes::Bytes;
use entries::{Entries, ListKind};
use flaxgap_membership::list::{EndpointList, Entry, NodeState};
use flaxgap_membership::{Membership, SourceCursor};
use lease::Lease;
pub use limits::ReplicaLimits;
use std::collections::BTreeSet;
use thiserror::Error;

/// A list could not be encoded for watchers. Lists that were sent before remain valid.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// A list could not be written as JSON.
    #[error("list version {version}: {source}")]
    Encode {
        /// The version of the list.
        version: u64,
        /// The error of the JSON encoder.
        source: serde_json::Error,
    },
}

/// The effect of a list from upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// Number of entries that are sent to watchers.
    pub changed_entries: usize,
    /// Number of entries, or parts of them, that could not be parsed.
    pub unparsed: usize,
    /// The version of the replica after the list was applied.
    pub version: u64,
    /// Whether upstream has restarted its version numbering: all watches have to end.
    pub renumbered: bool,
    /// Whether the list was older than the replica.
    pub is_behind: bool,
}

/// Whether the replica may be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaStatus {
    /// No complete list has arrived yet.
    Empty,
    /// The lease is valid.
    Current,
    /// The lease has expired: nothing may be sent, not even a heartbeat.
    Expired,
}

/// How to serve a watcher that knows a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resume {
    /// Send nothing yet: the replica is empty or its lease has expired.
    NotCurrent,
    /// Send the records from this position on; see [`Replica::read`].
    Changes {
        /// The position of the first record to send.
        from: Position,
    },
    /// Send the complete list.
    Snapshot,
    /// Wait for the replica to catch up: the watcher knows a newer version.
    WatcherAhead,
}

/// The result of reading the log at a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadRecord {
    /// The encoded record.
    Text(Bytes),
    /// The position is the end of the log.
    EndOfLog,
    /// The record was compacted.
    Compacted,
}

/// The properties of a received list that are needed after membership has consumed it.
#[derive(Debug)]
struct ReceivedList {
    kind: ListKind,
    version: u64,
    unparsed: usize,
    name_only: Vec<String>,
}

impl ReceivedList {
    fn new(list: &EndpointList) -> ReceivedList {
        let name_only = list.unreadable.iter().filter_map(|unparsed| unparsed.name.clone()).collect();
        ReceivedList {
            kind: ListKind::of(list),
            version: list.version,
            unparsed: list.unreadable.len(),
            name_only,
        }
    }
}

/// The versions of the replica before and after a record.
#[derive(Clone, Copy, Debug)]
struct VersionStep {
    from: u64,
    to: u64,
    skips_versions: bool,
}

impl VersionStep {
    fn advances(self) -> bool {
        self.to > self.from
    }

    /// The lowest version at which a watcher does not need the record. A record that does not advance the version is
    /// also sent to watchers that already know that version.
    fn needed_below(self) -> u64 {
        if self.advances() { self.to } else { self.to + 1 }
    }
}

/// A relay's replica of the endpoint list.
#[derive(Debug)]
pub struct Replica {
    limits: ReplicaLimits,
    lease: Lease,
    membership: Membership,
    source: SourceCursor,
    entries: Entries,
    /// Nodes that returned to ready without a newer version. They are sent again with the next version, because a head
    /// may consider their drain to be as recent as the return.
    ready_to_repeat: BTreeSet<String>,
    /// Whether a list that was behind has changed entries: a complete list that is not behind has to confirm them.
    has_unconfirmed_changes: bool,
    /// Whether a complete list has arrived.
    has_synced: bool,
    generation: u64,
    log: Log,
    /// The cached encoding of the complete list; `None` if it was not requested since the last change.
    snapshot: Option<Bytes>,
}

impl Replica {
    /// Creates an empty replica whose lease was never renewed.
    pub fn new(limits: ReplicaLimits) -> Replica {
        Replica {
            lease: Lease::new(limits.lease_s),
            membership: Membership::default(),
            source: SourceCursor::default(),
            entries: Entries::default(),
            ready_to_repeat: BTreeSet::new(),
            has_unconfirmed_changes: false,
            has_synced: false,
            generation: 0,
            log: Log::new(limits.log_bytes, limits.log_records),
            snapshot: None,
            limits,
        }
    }

    /// The limits of the replica and of its watchers.
    pub fn limits(&self) -> &ReplicaLimits {
        &self.limits
    }

    /// The version of the list that the replica holds.
    pub fn version(&self) -> u64 {
        self.membership.version()
    }

    /// Number of times that earlier versions became invalid: when upstream restarted its version numbering, or a record
    /// could not be encoded. Versions of different generations can't be compared.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Number of listed nodes.
    pub fn node_count(&self) -> usize {
        self.entries.len()
    }

    /// The log of changes.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The version after which the watch on upstream resumes.
    pub fn upstream_version(&self) -> u64 {
        self.source.version()
    }

    /// Whether the complete list has to be requested from upstream, rather than changes.
    pub fn needs_relist(&self, now: f64) -> bool {
        if !self.has_synced || self.source.has_rewound(now) {
            return true;
        }
        self.has_unconfirmed_changes && !self.source.is_behind()
    }

    /// Renews the lease. To be called for each heartbeat from upstream; [`Replica::apply`] renews it for a list.
    pub fn renew_lease(&mut self, now: f64) {
        self.lease.renew(now);
    }

    /// When the lease expires; `None` while the replica is empty.
    pub fn lease_expires_at(&self) -> Option<f64> {
        if self.has_synced { self.lease.expires_at() } else { None }
    }

    /// Whether the replica may be served.
    pub fn status(&self, now: f64) -> ReplicaStatus {
        match self.lease_expires_at() {
            None => ReplicaStatus::Empty,
            Some(expires_at) if now < expires_at => ReplicaStatus::Current,
            Some(_) => ReplicaStatus::Expired,
        }
    }

    /// Applies a list from upstream, renews the lease, and logs the changes as one record.
    ///
    /// # Errors
    ///
    /// The entries that changed can't be written as JSON for the watchers.
    pub fn apply(&mut self, list: EndpointList, now: f64) -> Result<Applied, ReplicaError> {
        self.renew_lease(now);
        let received = ReceivedList::new(&list);
        let previous_version = self.version();
        let is_initial_sync = !self.has_synced;

        let mut updates = self.entries.remove_departed_name_only(&list);
        let changes = self.membership.apply_named(list, &mut self.source, now);
        updates.extend(self.entries.store(changes, received.kind));
        self.update_name_only(received.kind, received.name_only);
        self.update_unconfirmed(received.kind, &updates);
        self.has_synced |= received.kind == ListKind::Snapshot;

        let applied = Applied {
            changed_entries: updates.len(),
            unparsed: received.unparsed,
            version: self.version(),
            renumbered: self.version() < previous_version,
            is_behind: self.source.is_behind(),
        };
        if applied.renumbered {
            self.generation += 1;
        }
        if applied.renumbered || is_initial_sync {
            self.reset_history();
            return Ok(applied);
        }
        let step = VersionStep {
            from: previous_version,
            to: applied.version,
            skips_versions: received.kind == ListKind::Snapshot && received.version > previous_version + 1,
        };
        if step.advances() || !updates.is_empty() {
            self.append_record(updates, step)?;
        }
        Ok(applied)
    }

    /// Clears the log, the cached encoding and the scheduled repeats: no earlier record leads to the current version.
    fn reset_history(&mut self) {
        self.snapshot = None;
        self.ready_to_repeat.clear();
        self.log.reset(self.version());
    }

    /// Records the names of unparsed entries that are not listed, so that the complete list sent to watchers does not
    /// remove these nodes.
    fn update_name_only(&mut self, kind: ListKind, names: Vec<String>) {
        let replaces = kind == ListKind::Snapshot && !self.source.is_behind();
        let is_changed =
            if replaces { self.entries.replace_name_only(names) } else { self.entries.add_name_only(names) };
        if is_changed {
            self.snapshot = None;
        }
    }

    /// Records whether a list that was behind changed entries that a newer complete list has to confirm.
    fn update_unconfirmed(&mut self, kind: ListKind, updates: &[Entry]) {
        if self.source.is_behind() {
            self.has_unconfirmed_changes |= !updates.is_empty();
        } else if kind == ListKind::Snapshot {
            self.has_unconfirmed_changes = false;
        }
    }

    fn append_record(&mut self, mut updates: Vec<Entry>, step: VersionStep) -> Result<(), ReplicaError> {
        self.snapshot = None;
        if step.advances() {
            self.append_repeats(&mut updates);
        } else {
            self.schedule_repeats(&updates);
        }
        let text = match encode_changes(step.to, &updates) {
            Ok(text) => text,
            Err(source) => {
                // A new generation ends all watches: none may read past the missing record.
                self.log.reset(step.to);
                self.generation += 1;
                return Err(ReplicaError::Encode { version: step.to, source });
            }
        };
        self.log.push(Record {
            from_version: step.from,
            needed_below: step.needed_below(),
            skips_versions: step.skips_versions,
            text,
        });
        Ok(())
    }

    /// Schedules the nodes that returned to ready without a newer version to be sent again with the next version.
    fn schedule_repeats(&mut self, updates: &[Entry]) {
        let ready = updates.iter().filter(|entry| entry.state == NodeState::Ready);
        self.ready_to_repeat.extend(ready.map(|entry| entry.name.clone()));
    }

    /// Adds the scheduled nodes to the updates, unless the updates contain them already.
    fn append_repeats(&mut self, updates: &mut Vec<Entry>) {
        for name in std::mem::take(&mut self.ready_to_repeat) {
            if updates.iter().all(|entry| entry.name != name) {
                updates.extend(self.entries.get(&name).cloned());
            }
        }
    }

    /// Returns the complete list as one encoded line. The encoding is cached until the replica changes.
    ///
    /// # Errors
    ///
    /// The list can't be written as JSON.
    pub fn snapshot(&mut self) -> Result<Bytes, ReplicaError> {
        if let Some(text) = &self.snapshot {
            return Ok(text.clone());
        }
        let version = self.version();
        let text = encode_snapshot(version, self.entries.listed(), self.entries.name_only())
            .map_err(|source| ReplicaError::Encode { version, source })?;
        self.snapshot = Some(text.clone());
        Ok(text)
    }

    /// Decides how to serve a watcher that knows the version `since`.
    pub fn resume(&self, since: u64, now: f64) -> Resume {
        if self.status(now) != ReplicaStatus::Current {
            return Resume::NotCurrent;
        }
        if since > self.version() {
            return Resume::WatcherAhead;
        }
        match self.log.lookup(since) {
            Lookup::Available(from) => Resume::Changes { from },
            Lookup::Compacted => Resume::Snapshot,
        }
    }

    /// Reads the record at a position, for a watcher that has all records before it.
    pub fn read(&self, position: Position) -> ReadRecord {
        if position < self.log.first() {
            return ReadRecord::Compacted;
        }
        match self.log.get(position) {
            None => ReadRecord::EndOfLog,
            Some(record) => ReadRecord::Text(record.text.clone()),
        }
    }

    /// The encoded list without changes, for a watcher at the replica's version: in the protocol each watch starts with
    /// a list.
    pub fn no_changes(&self) -> Bytes {
        encode_no_changes(self.version())
    }

    /// The position after the last record: where a watcher continues after the complete list.
    pub fn end(&self) -> Position {
        self.log.end()
    }
}
