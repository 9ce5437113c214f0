//! Registry of open sessions: limits their number and reinstates the session of an initiator port that logs in again
//! (RFC 7143, section 6.3.5).

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use tokio::sync::Notify;

/// An initiator port, identified by the initiator's name and the ISID.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct InitiatorPort {
    /// The initiator's iSCSI name.
    pub initiator: String,
    /// The initiator part of the session identifier (ISID).
    pub isid: [u8; 6],
}

/// The open session of an initiator port.
struct OpenSession {
    tsih: u16,
    replaced: Weak<Notify>,
}

#[derive(Default)]
struct Sessions {
    by_port: HashMap<InitiatorPort, OpenSession>,
    open: usize,
    last_tsih: u16,
}

impl Sessions {
    /// Returns a TSIH that no open session uses; never 0, which is reserved for new sessions.
    fn next_tsih(&mut self) -> u16 {
        loop {
            self.last_tsih = self.last_tsih.wrapping_add(1).max(1);
            let next = self.last_tsih;
            if self.by_port.values().all(|session| session.tsih != next) {
                return next;
            }
        }
    }
}

/// All open sessions of the target; clones share the same registry.
#[derive(Clone, Default)]
pub struct SessionRegistry {
    sessions: Rc<RefCell<Sessions>>,
}

impl SessionRegistry {
    /// Registers a new session and notifies an older session of the same port that it is replaced. Returns `None` if
    /// `max_sessions` are open and the new session replaces none of them.
    pub fn open(&self, port: InitiatorPort, max_sessions: usize) -> Option<SessionHandle> {
        let sessions = &mut *self.sessions.borrow_mut();
        let older = sessions.by_port.remove(&port).and_then(|session| session.replaced.upgrade());
        if older.is_none() && sessions.open >= max_sessions {
            return None;
        }
        if let Some(older) = older {
            older.notify_one();
        }
        let tsih = sessions.next_tsih();
        let replaced = Rc::new(Notify::new());
        sessions.open += 1;
        sessions.by_port.insert(port.clone(), OpenSession { tsih, replaced: Rc::downgrade(&replaced) });
        Some(SessionHandle { tsih, port, replaced, registry: self.clone() })
    }
}

/// The registration of an open session; dropping the handle removes it.
pub struct SessionHandle {
    tsih: u16,
    port: InitiatorPort,
    replaced: Rc<Notify>,
    registry: SessionRegistry,
}

impl SessionHandle {
    /// Returns the target session identifying handle (TSIH).
    pub fn tsih(&self) -> u16 {
        self.tsih
    }

    /// Waits until a new login of the same initiator port replaces the session.
    pub async fn replaced(&self) {
        self.replaced.notified().await;
    }
}

impl Drop for SessionHandle {
    fn drop(&mut self) {
        let mut sessions = self.registry.sessions.borrow_mut();
        sessions.open -= 1;
        if sessions.by_port.get(&self.port).is_some_and(|session| session.tsih == self.tsih) {
            sessions.by_port.remove(&self.port);
        }
    }
}
