//! The block front: an iSCSI target (RFC 7143, and the status qualifier of RFC 7144) over the same core.
//!
//! A subset in the standard's terms: one portal, one connection a session, recovery level 0, no
//! authentication, immediate and solicited data. One SCSI command is one request within one extent.

pub mod config;
pub mod login;
pub mod pdu;
pub mod scsi;
pub mod session;

use crate::core::{Dispatcher, Transport};
use crate::counters::Counters;
use crate::descriptors::Budget;
use crate::front::closing::{self, Why};
use crate::phases::Phases;
use bytes::Bytes;
use config::Target;
use login::Params;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Pause after the system would not give a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// An initiator port: its name and its part of the session's identifier.
type Port = (String, [u8; 6]);

/// What all sessions share.
pub struct BlockFront<T> {
    /// The core.
    pub dispatcher: Rc<Dispatcher>,
    /// The way to the nodes.
    pub transport: Rc<T>,
    /// The target and its logical units.
    pub target: Target,
    /// The program's phase.
    pub phases: Rc<Phases>,
    /// The descriptors.
    pub budget: Rc<Budget>,
    /// The counts.
    pub counters: Rc<Counters>,
    /// This life of the head, in keys: no two lives give the same one.
    pub life: String,
    ids: Cell<u64>,
    sessions: Rc<RefCell<Sessions>>,
}

#[derive(Default)]
struct Sessions {
    by_port: HashMap<Port, (u16, Weak<Notify>)>,
    open: usize,
    last: u16,
}

/// A session's place among all; given back when dropped.
pub struct SessionHandle {
    tsih: u16,
    port: Port,
    replaced: Rc<Notify>,
    sessions: Rc<RefCell<Sessions>>,
}

impl SessionHandle {
    /// The session's identifying handle.
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
        let mut sessions = self.sessions.borrow_mut();
        sessions.open -= 1;
        if sessions.by_port.get(&self.port).is_some_and(|(tsih, _)| *tsih == self.tsih) {
            sessions.by_port.remove(&self.port);
        }
    }
}

impl<T: Transport + 'static> BlockFront<T> {
    /// A front without sessions; `seed` makes ids and keys of this life its own.
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        transport: Rc<T>,
        target: Target,
        phases: Rc<Phases>,
        budget: Rc<Budget>,
        counters: Rc<Counters>,
        seed: u64,
    ) -> Rc<BlockFront<T>> {
        let life = format!("{seed:016x}");
        let (ids, sessions) = (Cell::new(seed), Rc::default());
        Rc::new(BlockFront { dispatcher, transport, target, phases, budget, counters, life, ids, sessions })
    }

    /// An id that no other request has: the next of a stream that visits every number once (splitmix64).
    pub fn fresh_id(&self) -> Bytes {
        let state = self.ids.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.ids.set(state);
        let mixed = (state ^ state >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        format!("{:016x}", mixed ^ mixed >> 31).into()
    }

    /// A place for a session that is about to begin; an older one of the same port ends.
    pub fn open(&self, params: &Params) -> Option<(u16, SessionHandle)> {
        let port = (params.initiator.clone(), params.isid);
        let sessions = &mut *self.sessions.borrow_mut();
        let older = sessions.by_port.remove(&port).and_then(|(_, replaced)| replaced.upgrade());
        if older.is_none() && sessions.open >= self.target.max_sessions {
            return None;
        }
        if let Some(older) = older {
            older.notify_one();
        }
        loop {
            sessions.last = sessions.last.wrapping_add(1).max(1);
            let last = sessions.last;
            if sessions.by_port.values().all(|(tsih, _)| *tsih != last) {
                break;
            }
        }
        let (tsih, replaced) = (sessions.last, Rc::new(Notify::new()));
        sessions.open += 1;
        sessions.by_port.insert(port.clone(), (tsih, Rc::downgrade(&replaced)));
        Some((tsih, SessionHandle { tsih, port, replaced, sessions: self.sessions.clone() }))
    }

    /// Accepts initiators for as long as it is polled.
    pub async fn listen(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            let slot = self.budget.client_slot().await;
            let stream = match self.phases.next(&listener).await {
                Ok(stream) => stream,
                Err(problem) => {
                    log::warn!("block: accept: {problem}");
                    self.budget.reclaim();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let (front, guard) = (self.clone(), self.phases.connection());
            tokio::task::spawn_local(async move {
                let _held = (slot, guard);
                let (stream, counters) = (Rc::new(stream), front.counters.clone());
                if let Err(problem) = session::serve(front, stream.clone()).await {
                    log::debug!("block: {problem}");
                }
                closing::end(&stream, Why::Done, std::future::pending(), &counters).await;
            });
        }
    }
}
