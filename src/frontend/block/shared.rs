//! State shared by all sessions of the block frontend: the request core, the target's configuration and the
//! generator of request identifiers.

use super::config::Target;
use super::login::Params;
use super::registry::{InitiatorPort, SessionHandle, SessionRegistry};
use crate::core::{Dispatcher, Transport};
use crate::lifecycle::Lifecycle;
use crate::metrics::counters::Counters;
use crate::resources::descriptors::DescriptorBudget;
use crate::resources::memory::MemoryBudget;
use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;

/// Budgets that limit the block frontend.
pub struct BlockResources {
    /// Budget of file descriptors.
    pub descriptors: Rc<DescriptorBudget>,
    /// Budget of memory held for initiators.
    pub memory: Rc<MemoryBudget>,
}

/// The block frontend, shared by all of its connections and sessions.
pub struct BlockFrontend<T> {
    /// Dispatches requests to storage nodes.
    pub dispatcher: Rc<Dispatcher>,
    /// Sends requests to storage nodes.
    pub transport: Rc<T>,
    /// Configuration of the target and its logical units.
    pub target: Target,
    /// Lifecycle of the process: accepts connections and announces the shutdown.
    pub phases: Rc<Lifecycle>,
    /// Budget of file descriptors.
    pub budget: Rc<DescriptorBudget>,
    /// Budget of memory held for initiators.
    pub memory: Rc<MemoryBudget>,
    /// Metrics of the process.
    pub counters: Rc<Counters>,
    /// Identifies this run of the process in idempotency keys, so that keys of different runs never collide.
    pub run_id: String,
    ids: Cell<u64>,
    sessions: SessionRegistry,
}

impl<T: Transport + 'static> BlockFrontend<T> {
    /// Creates a frontend without sessions. `seed` must differ for each run of the process: request identifiers and
    /// idempotency keys derive from it.
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        transport: Rc<T>,
        target: Target,
        phases: Rc<Lifecycle>,
        resources: BlockResources,
        counters: Rc<Counters>,
        seed: u64,
    ) -> Rc<BlockFrontend<T>> {
        let run_id = format!("{seed:016x}");
        let (ids, sessions) = (Cell::new(seed), SessionRegistry::default());
        let BlockResources { descriptors: budget, memory } = resources;
        Rc::new(BlockFrontend {
            dispatcher,
            transport,
            target,
            phases,
            budget,
            memory,
            counters,
            run_id,
            ids,
            sessions,
        })
    }

    /// Returns a request identifier that no earlier request of this process has: the next output of a splitmix64
    /// generator, whose period covers every 64-bit number once.
    pub fn fresh_id(&self) -> Bytes {
        let state = self.ids.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.ids.set(state);
        let mixed = (state ^ state >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        format!("{:016x}", mixed ^ mixed >> 31).into()
    }

    /// Registers a session that completes its login and ends an older one of the same initiator port. Returns `None`
    /// if the target has no room for another session.
    pub fn open(&self, params: &Params) -> Option<SessionHandle> {
        let port = InitiatorPort { initiator: params.initiator.clone(), isid: params.isid };
        self.sessions.open(port, self.target.max_sessions)
    }
}
