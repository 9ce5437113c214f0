//! The relay's state, its sessions, and its run from start to end. [`follow`] keeps the copy, [`whole_lists`] bounds what
//! is sent of it as a whole.

mod follow;
mod whole_lists;

use crate::counters::{Counters, Report};
use crate::http;
use crate::session::{Handle, Kind, Session};
use crate::settings::Settings;
use flaxgap::core::Clock;
use flaxgap_distribution::replica::{Replica, ReplicaLimits, ReplicaStatus};
use flaxgap_distribution::snapshot_admission::{SnapshotAdmission, SnapshotLimits, SnapshotRequestId};
use flaxgap_distribution::watcher::Watcher;
use std::cell::{Cell, Ref, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// How long connections may take to end after SIGTERM.
const END_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a call is answered with 503.
#[derive(Debug, Error)]
pub enum Unavailable {
    /// No list has come since the start.
    #[error("no list yet")]
    Empty,
    /// The lease has run out.
    #[error("upstream was last heard {0:.1} s ago")]
    Expired(f64),
    /// So many watches stand already.
    #[error("{0} watches stand, the most that the configuration lets")]
    Full(usize),
    /// Too many callers wait for the whole list.
    #[error("too many wait for the whole list; come again in {after_s:.0} s")]
    Busy {
        /// In seconds.
        after_s: f64,
    },
    /// SIGTERM came.
    #[error("the relay ends")]
    Ending,
}

impl Unavailable {
    /// After how many seconds the caller is to come again, where that is known.
    pub fn retry_after(&self) -> Option<f64> {
        match self {
            Unavailable::Busy { after_s } => Some(*after_s),
            _ => None,
        }
    }
}

/// What all of a relay's parts share.
pub struct Relay {
    settings: Settings,
    clock: Clock,
    replica: RefCell<Replica>,
    admission: RefCell<SnapshotAdmission>,
    /// The admission has something new: a request, or a place that is free.
    admission_changed: Notify,
    /// Calls that are being answered from the copy, watches among them.
    sessions: RefCell<HashMap<u64, (Kind, Rc<Handle>)>>,
    watches: Cell<usize>,
    tickets: RefCell<BTreeMap<SnapshotRequestId, Rc<Handle>>>,
    began: Cell<u64>,
    counters: Rc<Counters>,
    ending: Cell<bool>,
    open_connections: Cell<usize>,
    all_closed: Notify,
}

impl Relay {
    /// An empty relay.
    pub fn new(settings: Settings) -> Rc<Relay> {
        let limits = ReplicaLimits { slow_reader_s: settings.slow_reader_s, ..ReplicaLimits::default() };
        let sends = SnapshotLimits { max_sending: settings.whole_sends, ..SnapshotLimits::default() };
        Rc::new(Relay {
            clock: Clock::start(),
            replica: RefCell::new(Replica::new(limits)),
            admission: RefCell::new(SnapshotAdmission::new(sends, drawn_seed())),
            admission_changed: Notify::new(),
            sessions: RefCell::default(),
            watches: Cell::new(0),
            tickets: RefCell::default(),
            began: Cell::new(0),
            counters: Rc::default(),
            ending: Cell::new(false),
            open_connections: Cell::new(0),
            all_closed: Notify::new(),
            settings,
        })
    }

    /// Runs until SIGTERM or SIGINT.
    pub async fn run(self: Rc<Self>, listener: TcpListener) -> io::Result<()> {
        let (mut terminate, mut interrupt) =
            (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        let mut report = signal(SignalKind::user_defined1())?;
        let mut reload = signal(SignalKind::hangup())?;
        let log_reports = async {
            while report.recv().await.is_some() {
                log::info!("relay: {}", self.report());
            }
        };
        // Heads read their files again on SIGHUP; a relay must not end by a habit.
        let refuse_reloads = async {
            while reload.recv().await.is_some() {
                log::warn!("relay: SIGHUP: another configuration takes a restart");
            }
        };
        tokio::select! {
            () = http::listen(&self, &listener) => {}
            () = self.follow() => {}
            () = self.admit() => {}
            () = log_reports => {}
            () = refuse_reloads => {}
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        drop(listener);
        self.end().await;
        log::info!("relay: {}", self.report());
        Ok(())
    }

    /// Ends every session; heads go to other relays.
    async fn end(&self) {
        self.ending.set(true);
        self.wake_all();
        let closed = async {
            while self.open_connections.get() > 0 {
                self.all_closed.notified().await;
            }
        };
        if timeout(END_TIMEOUT, closed).await.is_err() {
            log::warn!("relay: {} connections still open at the end", self.open_connections.get());
        }
    }

    /// Seconds of Unix time.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// The instant of a time.
    pub fn instant(&self, at: f64) -> Instant {
        self.clock.instant(at)
    }

    /// The copy of the list.
    pub fn replica(&self) -> Ref<'_, Replica> {
        self.replica.borrow()
    }

    /// What it counts.
    pub fn counters(&self) -> &Rc<Counters> {
        &self.counters
    }

    /// Whether SIGTERM came.
    pub fn is_ending(&self) -> bool {
        self.ending.get()
    }

    /// Whether heads are answered, and why not.
    pub fn availability(&self) -> Result<(), Unavailable> {
        if self.is_ending() {
            return Err(Unavailable::Ending);
        }
        let (replica, now) = (self.replica(), self.now());
        match replica.status(now) {
            ReplicaStatus::Current => Ok(()),
            ReplicaStatus::Empty => Err(Unavailable::Empty),
            ReplicaStatus::Expired => {
                let heard = replica.lease_expires_at().map_or(now, |end| end - replica.limits().lease_s);
                Err(Unavailable::Expired(now - heard))
            }
        }
    }

    /// A connection for as long as what is given lives.
    pub fn connection(self: &Rc<Self>) -> OpenConnection {
        self.open_connections.set(self.open_connections.get() + 1);
        OpenConnection(self.clone())
    }

    /// The counters as JSON.
    pub fn report(&self) -> String {
        let (replica, counters) = (self.replica(), &self.counters);
        let report = Report {
            name: self.settings.name.clone(),
            ready: self.availability().is_ok(),
            version: replica.version(),
            generation: replica.generation(),
            nodes: replica.node_count(),
            watchers: self.watches.get(),
            whole_sending: self.admission.borrow().sending(),
            whole_waiting: self.admission.borrow().queued(),
            log_changes: replica.log().len(),
            log_bytes: replica.log().bytes(),
            whole_sent: counters.whole_sent.get(),
            resumed: counters.resumed.get(),
            changes: counters.changes.get(),
            bytes_sent: counters.bytes_sent.get(),
            bytes_received: counters.bytes_received.get(),
            heartbeats: counters.heartbeats.get(),
            slow_readers_ended: counters.slow_readers_ended.get(),
            lease_expired: counters.lease_expired.get(),
            refused: counters.refused.get(),
            unread: counters.unread.get(),
        };
        serde_json::to_string(&report).unwrap_or_else(|problem| format!("{{\"problem\":\"{problem}\"}}"))
    }
}

/// Sessions.
impl Relay {
    /// Begins to answer a call, if it can be answered.
    pub fn open(
        self: &Rc<Self>,
        kind: Kind,
        since: u64,
        handle: &Rc<Handle>,
    ) -> Result<Rc<Session>, Unavailable> {
        self.availability()?;
        if kind == Kind::Watch && self.watches.get() >= self.settings.watchers {
            return Err(Unavailable::Full(self.settings.watchers));
        }
        let watcher = Watcher::new(since, self.replica().generation(), self.now());
        let session = Rc::new(Session::new(self.clone(), kind, watcher, handle.clone()));
        let resumes = kind == Kind::Watch && session.resumes(since);
        if resumes {
            self.counters.resumed.add(1);
        } else if let Some(after_s) = session.begin_whole() {
            return Err(Unavailable::Busy { after_s });
        }
        Ok(session)
    }

    /// Notes a session; gives its number.
    pub fn register(&self, kind: Kind, handle: &Rc<Handle>) -> u64 {
        let number = self.began.get();
        self.began.set(number + 1);
        self.sessions.borrow_mut().insert(number, (kind, handle.clone()));
        self.watches.set(self.watches.get() + usize::from(kind == Kind::Watch));
        number
    }

    /// A session has ended.
    pub fn unregister(&self, number: u64) {
        if let Some((Kind::Watch, _)) = self.sessions.borrow_mut().remove(&number) {
            self.watches.set(self.watches.get() - 1);
        }
    }

    fn wake_all(&self) {
        self.sessions.borrow().values().for_each(|(_, handle)| handle.wake());
    }
}

/// One connection, counted until it is dropped.
pub struct OpenConnection(Rc<Relay>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let left = self.0.open_connections.get() - 1;
        self.0.open_connections.set(left);
        if left == 0 {
            self.0.all_closed.notify_one();
        }
    }
}

/// A number by chance, from the system's source that also seeds hash tables.
fn drawn_seed() -> u64 {
    RandomState::new().hash_one(std::process::id())
}
