//! What all sessions of the block front share: the core, the target, and the ids of this life.

use super::config::Target;
use super::login::Params;
use super::registry::{InitiatorPort, SessionHandle, SessionRegistry};
use crate::core::{Dispatcher, Transport};
use crate::lifecycle::Lifecycle;
use crate::metrics::counters::Counters;
use crate::resources::descriptors::DescriptorBudget;
use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;

/// What all sessions share.
pub struct BlockFrontend<T> {
    /// The core.
    pub dispatcher: Rc<Dispatcher>,
    /// The way to the nodes.
    pub transport: Rc<T>,
    /// The target and its logical units.
    pub target: Target,
    /// The program's phase.
    pub phases: Rc<Lifecycle>,
    /// The descriptors.
    pub budget: Rc<DescriptorBudget>,
    /// The counts.
    pub counters: Rc<Counters>,
    /// This life of the head, in keys: no two lives give the same one.
    pub life: String,
    ids: Cell<u64>,
    sessions: SessionRegistry,
}

impl<T: Transport + 'static> BlockFrontend<T> {
    /// A front without sessions; `seed` makes ids and keys of this life its own.
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        transport: Rc<T>,
        target: Target,
        phases: Rc<Lifecycle>,
        budget: Rc<DescriptorBudget>,
        counters: Rc<Counters>,
        seed: u64,
    ) -> Rc<BlockFrontend<T>> {
        let life = format!("{seed:016x}");
        let (ids, sessions) = (Cell::new(seed), SessionRegistry::default());
        Rc::new(BlockFrontend {
            dispatcher,
            transport,
            target,
            phases,
            budget,
            counters,
            life,
            ids,
            sessions,
        })
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
    pub fn open(&self, params: &Params) -> Option<SessionHandle> {
        let port = InitiatorPort { initiator: params.initiator.clone(), isid: params.isid };
        self.sessions.open(port, self.target.max_sessions)
    }
}
