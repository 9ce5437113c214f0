//! The state that all parts of a relay share: its replica, sessions, connections and counters.

use crate::counters::Counters;
use crate::open_connections::OpenConnections;
use crate::session_registry::SessionRegistry;
use crate::settings::RelaySettings;
use crate::snapshot_queue::SnapshotQueue;
use crate::status::StatusReport;
use flaxgap::core::Clock;
use flaxgap_distribution::replica::{Replica, ReplicaLimits, ReplicaStatus};
use flaxgap_distribution::snapshot_admission::SnapshotLimits;
use std::cell::{Cell, Ref, RefCell, RefMut};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use thiserror::Error;
use tokio::time::Instant;

/// Why a request is answered with status 503.
#[derive(Debug, Error)]
pub enum Unavailable {
    /// No complete list has arrived since the start.
    #[error("no list yet")]
    Empty,
    /// The lease has expired.
    #[error("upstream was last heard {silent_s:.1} s ago")]
    LeaseExpired {
        /// Seconds since the last message from upstream.
        silent_s: f64,
    },
    /// The limit on watches is reached.
    #[error("the limit of {max_watches} concurrent watches is reached")]
    TooManyWatches {
        /// The configured limit.
        max_watches: usize,
    },
    /// The queue of requests for the complete list is full.
    #[error("too many queued requests for the complete list; retry after {retry_after_s:.0} s")]
    Overloaded {
        /// Delay before the client may retry, in seconds.
        retry_after_s: f64,
    },
    /// The relay is shutting down.
    #[error("the relay is shutting down")]
    ShuttingDown,
}

impl Unavailable {
    /// The delay before the client may retry, in seconds, where it is known.
    pub fn retry_after_s(&self) -> Option<f64> {
        match self {
            Unavailable::Overloaded { retry_after_s } => Some(*retry_after_s),
            _ => None,
        }
    }
}

/// The shared state of a relay.
pub struct Relay {
    settings: RelaySettings,
    clock: Clock,
    replica: RefCell<Replica>,
    snapshots: SnapshotQueue,
    sessions: SessionRegistry,
    connections: Rc<OpenConnections>,
    counters: Rc<Counters>,
    is_shutting_down: Cell<bool>,
}

impl Relay {
    /// Creates the state of a relay that has not received a list.
    pub fn new(settings: RelaySettings) -> Rc<Relay> {
        let clock = Clock::start();
        let counters = Rc::<Counters>::default();
        let replica_limits =
            ReplicaLimits { slow_reader_s: settings.slow_reader_s, ..ReplicaLimits::default() };
        let snapshot_limits =
            SnapshotLimits { max_sending: settings.max_snapshot_sends, ..SnapshotLimits::default() };
        let snapshots = SnapshotQueue::new(snapshot_limits, random_seed(), clock, counters.clone());
        Rc::new(Relay {
            replica: RefCell::new(Replica::new(replica_limits)),
            snapshots,
            sessions: SessionRegistry::new(settings.max_watches),
            connections: Rc::default(),
            counters,
            is_shutting_down: Cell::new(false),
            clock,
            settings,
        })
    }

    /// The configuration with which the relay was started.
    pub fn settings(&self) -> &RelaySettings {
        &self.settings
    }

    /// The current time, in seconds of Unix time.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// Converts a time in seconds of Unix time to the runtime's clock.
    pub fn instant(&self, at: f64) -> Instant {
        self.clock.instant(at)
    }

    /// The replica of the list.
    pub fn replica(&self) -> Ref<'_, Replica> {
        self.replica.borrow()
    }

    /// The replica of the list, for modification.
    pub fn replica_mut(&self) -> RefMut<'_, Replica> {
        self.replica.borrow_mut()
    }

    /// The queue of requests for the complete list.
    pub fn snapshots(&self) -> &SnapshotQueue {
        &self.snapshots
    }

    /// The sessions that are being served.
    pub fn sessions(&self) -> &SessionRegistry {
        &self.sessions
    }

    /// The open connections.
    pub fn connections(&self) -> &Rc<OpenConnections> {
        &self.connections
    }

    /// The relay's counters.
    pub fn counters(&self) -> &Rc<Counters> {
        &self.counters
    }

    /// Ends all sessions and rejects new ones.
    pub fn begin_shutdown(&self) {
        self.is_shutting_down.set(true);
        self.sessions.wake_all();
    }

    /// Whether the relay is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.get()
    }

    /// Checks whether requests can be served; the error is the reason why not.
    pub fn availability(&self) -> Result<(), Unavailable> {
        if self.is_shutting_down() {
            return Err(Unavailable::ShuttingDown);
        }
        let replica = self.replica();
        let now = self.now();
        match replica.status(now) {
            ReplicaStatus::Current => Ok(()),
            ReplicaStatus::Empty => Err(Unavailable::Empty),
            ReplicaStatus::Expired => {
                let last_contact =
                    replica.lease_expires_at().map_or(now, |end| end - replica.limits().lease_s);
                Err(Unavailable::LeaseExpired { silent_s: now - last_contact })
            }
        }
    }

    /// A report of the current state and counters.
    pub fn status(&self) -> StatusReport {
        let replica = self.replica();
        let counters = &self.counters;
        StatusReport {
            name: self.settings.name.clone(),
            ready: self.availability().is_ok(),
            version: replica.version(),
            generation: replica.generation(),
            nodes: replica.node_count(),
            watchers: self.sessions.watches(),
            whole_sending: self.snapshots.sending(),
            whole_waiting: self.snapshots.queued(),
            log_changes: replica.log().len(),
            log_bytes: replica.log().bytes(),
            whole_sent: counters.snapshots_sent.get(),
            resumed: counters.resumed.get(),
            changes: counters.changes.get(),
            bytes_sent: counters.bytes_sent.get(),
            bytes_received: counters.bytes_received.get(),
            heartbeats: counters.heartbeats.get(),
            slow_readers_ended: counters.slow_readers_ended.get(),
            lease_expired: counters.lease_expired.get(),
            refused: counters.rejected.get(),
            unread: counters.unparsed.get(),
        }
    }
}

/// A random seed, derived from the random keys with which the standard library seeds hash tables.
pub fn random_seed() -> u64 {
    RandomState::new().hash_one(std::process::id())
}
