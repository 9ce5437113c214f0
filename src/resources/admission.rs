//! Admission of requests by the resources that are left: a request for which there is no memory or no descriptor is
//! rejected at once, so that its client has an answer, instead of waiting unread. Does no I/O.
//!
//! Transfers whose clients send slowly may hold half of the resources together, so that the requests of other clients
//! find the rest.

use super::descriptors::DescriptorBudget;
use super::memory::{MemoryBudget, MemoryReservation, NODE_CONNECTION_BYTES, REQUEST_BYTES};
use crate::logging::LogInterval;
use crate::metrics::counters::{Counter, Counters};
use std::cell::Cell;
use std::rc::Rc;
use thiserror::Error;

/// Memory of a transfer, in bytes: of its request and of its connection to a node.
const TRANSFER_BYTES: usize = REQUEST_BYTES + NODE_CONNECTION_BYTES;
/// Descriptors of a transfer: its client's and its node's.
const TRANSFER_DESCRIPTORS: usize = 2;
/// Divisor of the resources that gives the part for transfers whose clients send slowly.
const SLOW_DIVISOR: usize = 2;

/// The resource that a request was rejected for want of.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Overload {
    /// The memory for requests is in use.
    #[error("memory")]
    Memory,
    /// Nearly all descriptors carry requests.
    #[error("descriptors")]
    Descriptors,
    /// Slow transfers hold all that they may hold together.
    #[error("slow transfers")]
    SlowTransfers,
}

/// Decides whether requests are admitted, by the budgets of memory and descriptors.
pub struct Admission {
    memory: Rc<MemoryBudget>,
    descriptors: Rc<DescriptorBudget>,
    slow_transfers: Rc<Cell<usize>>,
    /// Limits the log lines that say that requests are rejected.
    log: LogInterval,
    counters: Rc<Counters>,
}

/// The memory of an admitted request, released when dropped.
pub struct RequestPermit {
    _memory: MemoryReservation,
}

/// The place of a slow transfer among those that may run, released when dropped.
pub struct SlowTransferPermit {
    slow_transfers: Rc<Cell<usize>>,
}

impl Drop for SlowTransferPermit {
    fn drop(&mut self) {
        self.slow_transfers.set(self.slow_transfers.get() - 1);
    }
}

impl Admission {
    /// Creates the admission for these budgets.
    pub fn new(
        memory: Rc<MemoryBudget>,
        descriptors: Rc<DescriptorBudget>,
        counters: Rc<Counters>,
    ) -> Rc<Admission> {
        Rc::new(Admission {
            memory,
            descriptors,
            slow_transfers: Rc::default(),
            log: LogInterval::default(),
            counters,
        })
    }

    /// Admits a request whose head has been received.
    ///
    /// # Errors
    ///
    /// [`Overload`] if it has to be rejected.
    pub fn admit_request(&self) -> Result<RequestPermit, Overload> {
        if !self.descriptors.has_room_for_request() {
            return Err(self.reject(Overload::Descriptors));
        }
        match self.memory.try_reserve_request() {
            Some(memory) => Ok(RequestPermit { _memory: memory }),
            None => Err(self.reject(Overload::Memory)),
        }
    }

    /// Admits a transfer whose client sends slowly.
    ///
    /// # Errors
    ///
    /// [`Overload::SlowTransfers`] if as many run as may.
    pub fn admit_slow_transfer(&self) -> Result<SlowTransferPermit, Overload> {
        let count = self.slow_transfers.get();
        if count >= self.max_slow_transfers() {
            return Err(self.reject(Overload::SlowTransfers));
        }
        self.slow_transfers.set(count + 1);
        Ok(SlowTransferPermit { slow_transfers: self.slow_transfers.clone() })
    }

    /// Maximum number of transfers whose clients send slowly; at least one.
    fn max_slow_transfers(&self) -> usize {
        let by_memory = self.memory.limit_bytes() / SLOW_DIVISOR / TRANSFER_BYTES;
        let by_descriptors = self.descriptors.clients_limit() / SLOW_DIVISOR / TRANSFER_DESCRIPTORS;
        by_memory.min(by_descriptors).max(1)
    }

    /// Counts a rejected request, and logs at most once a second who holds the resources.
    fn reject(&self, overload: Overload) -> Overload {
        self.counter(overload).add();
        if self.log.is_due() {
            log::warn!(
                "admission: requests are rejected, short of={overload}, memory: {}, slow_transfers={}, slots: {}",
                self.memory.usage(),
                self.slow_transfers.get(),
                self.descriptors.usage()
            );
        }
        overload
    }

    fn counter(&self, overload: Overload) -> &Counter {
        match overload {
            Overload::Memory => &self.counters.rejected_memory,
            Overload::Descriptors => &self.counters.rejected_descriptors,
            Overload::SlowTransfers => &self.counters.rejected_slow,
        }
    }
}
