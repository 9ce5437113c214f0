//! Counts the memory that each thread allocates, so that what a part of the program holds is known whatever kind of value
//! holds it.
//!
//! The count is that of the process's allocator. A part that runs on one thread, and whose memory is allocated and freed
//! by nobody else, holds the difference of two counts.

use alloc_metrics::{MetricAlloc, Metrics, thread_metrics};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: MetricAlloc<System> = MetricAlloc::new(System);

/// Memory of an allocation beyond its length, in bytes: the system allocator's header and rounding.
const ALLOCATION_OVERHEAD_BYTES: isize = 16;

/// Memory that this thread has allocated and not freed so far, in bytes. Negative for a thread that frees what others have
/// allocated.
pub fn thread_bytes() -> isize {
    let Metrics { allocated_bytes, allocations } = thread_metrics();
    allocated_bytes + allocations * ALLOCATION_OVERHEAD_BYTES
}
