//! The sessions that are being served, and the limit on watches.

use crate::session_handle::SessionHandle;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

/// The kind of list that a client has requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionKind {
    /// The complete list, once.
    List,
    /// A watch on the changes after a version.
    Watch {
        /// The version that the client knows; 0 if the watch starts with the complete list.
        since: u64,
    },
}

impl SessionKind {
    /// Whether the request is for a watch.
    pub fn is_watch(self) -> bool {
        matches!(self, SessionKind::Watch { .. })
    }
}

/// Identifies a session in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SessionId(pub u64);

struct RegisteredSession {
    kind: SessionKind,
    handle: Rc<SessionHandle>,
}

/// The registry of the sessions that are being served.
pub struct SessionRegistry {
    max_watches: usize,
    sessions: RefCell<HashMap<SessionId, RegisteredSession>>,
    watches: Cell<usize>,
    next_id: Cell<u64>,
}

impl SessionRegistry {
    /// Creates an empty registry with a limit on concurrent watches.
    pub fn new(max_watches: usize) -> SessionRegistry {
        SessionRegistry {
            max_watches,
            sessions: RefCell::default(),
            watches: Cell::new(0),
            next_id: Cell::new(0),
        }
    }

    /// The limit on concurrent watches.
    pub fn max_watches(&self) -> usize {
        self.max_watches
    }

    /// Number of watches that are being served.
    pub fn watches(&self) -> usize {
        self.watches.get()
    }

    /// Whether the limit allows another session of this kind.
    pub fn has_capacity(&self, kind: SessionKind) -> bool {
        !kind.is_watch() || self.watches() < self.max_watches
    }

    /// Adds a session, until [`SessionRegistry::unregister`] removes it.
    pub fn register(&self, kind: SessionKind, handle: &Rc<SessionHandle>) -> SessionId {
        let id = SessionId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let session = RegisteredSession { kind, handle: handle.clone() };
        self.sessions.borrow_mut().insert(id, session);
        if kind.is_watch() {
            self.watches.set(self.watches() + 1);
        }
        id
    }

    /// Removes a session that has ended.
    pub fn unregister(&self, id: SessionId) {
        let Some(session) = self.sessions.borrow_mut().remove(&id) else { return };
        if session.kind.is_watch() {
            self.watches.set(self.watches() - 1);
        }
    }

    /// Wakes all sessions.
    pub fn wake_all(&self) {
        for session in self.sessions.borrow().values() {
            session.handle.wake();
        }
    }
}
