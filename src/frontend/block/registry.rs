//! The sessions that are open: how many, and which of them an initiator port's new login replaces.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use tokio::sync::Notify;

/// An initiator port: its name and its part of the session's identifier.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct InitiatorPort {
    /// The initiator's name.
    pub initiator: String,
    /// Its part of the session's identifier.
    pub isid: [u8; 6],
}

/// A session as its port knows it.
struct Open {
    tsih: u16,
    replaced: Weak<Notify>,
}

#[derive(Default)]
struct Sessions {
    by_port: HashMap<InitiatorPort, Open>,
    open: usize,
    last_tsih: u16,
}

impl Sessions {
    /// A handle that no open session has; never 0.
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

/// All open sessions of the target.
#[derive(Clone, Default)]
pub struct SessionRegistry {
    sessions: Rc<RefCell<Sessions>>,
}

impl SessionRegistry {
    /// A place for a session that is about to begin; an older one of the same port ends. `None`: `most` are open.
    pub fn open(&self, port: InitiatorPort, most: usize) -> Option<SessionHandle> {
        let sessions = &mut *self.sessions.borrow_mut();
        let older = sessions.by_port.remove(&port).and_then(|session| session.replaced.upgrade());
        if older.is_none() && sessions.open >= most {
            return None;
        }
        if let Some(older) = older {
            older.notify_one();
        }
        let tsih = sessions.next_tsih();
        let replaced = Rc::new(Notify::new());
        sessions.open += 1;
        sessions.by_port.insert(port.clone(), Open { tsih, replaced: Rc::downgrade(&replaced) });
        Some(SessionHandle { tsih, port, replaced, registry: self.clone() })
    }
}

/// A session's place among all; given back when dropped.
pub struct SessionHandle {
    tsih: u16,
    port: InitiatorPort,
    replaced: Rc<Notify>,
    registry: SessionRegistry,
}

impl SessionHandle {
    /// The target session identifying handle.
    pub fn tsih(&self) -> u16 {
        self.tsih
    }

    /// Waits until a new login of the same initiator port takes the session's place.
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
