//! What a call of the script uses: time, lines and memory, within the limits of a call.

use crate::resources::allocations::thread_bytes;
use rustix::time::{ClockId, clock_gettime};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Longest processor time of one call. Checked between two steps of the script.
pub(super) const MAX_CALL_TIME: Duration = Duration::from_millis(5);
/// Maximum number of lines that one call may log; further ones are dropped.
pub(super) const MAX_LINES_PER_CALL: u32 = 16;

/// A limit that a call has exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum ExceededLimit {
    /// [`MAX_CALL_TIME`].
    #[error("out of time")]
    Time,
    /// The limit on the memory of the script.
    #[error("out of memory")]
    Memory,
}

/// What the call in progress has used, shared with the engine's callbacks, and the memory that the script holds.
pub(super) struct CallUsage {
    began: Cell<Instant>,
    /// Processor time of the thread when the call began.
    processor_time_before: Cell<Duration>,
    lines: Cell<u32>,
    /// Bytes that the script may hold: its syntax tree, the state that it keeps and the values of a call.
    max_bytes: usize,
    /// Bytes that the script held before the count in progress began.
    held_before: Cell<isize>,
    /// Bytes that the thread had allocated when the count in progress began.
    thread_bytes_before: Cell<isize>,
    /// Whether the script has held more than `max_bytes` at any moment at which that was checked.
    is_memory_exceeded: Cell<bool>,
}

impl CallUsage {
    pub(super) fn new(max_bytes: usize) -> Rc<CallUsage> {
        Rc::new(CallUsage {
            began: Cell::new(Instant::now()),
            processor_time_before: Cell::default(),
            lines: Cell::new(0),
            max_bytes,
            held_before: Cell::new(0),
            thread_bytes_before: Cell::new(0),
            is_memory_exceeded: Cell::new(false),
        })
    }

    /// Notes that a call begins.
    pub(super) fn begin(&self) {
        self.began.set(Instant::now());
        self.processor_time_before.set(thread_processor_time());
        self.lines.set(0);
    }

    /// Processor time that the call has taken. Time for which the thread was not run does not count.
    pub(super) fn processor_time(&self) -> Duration {
        thread_processor_time().saturating_sub(self.processor_time_before.get())
    }

    /// Checks the limits on time and memory.
    ///
    /// # Errors
    ///
    /// The limit that the call has exceeded.
    pub(super) fn check(&self) -> Result<(), ExceededLimit> {
        if self.held_bytes() > self.max_bytes {
            self.is_memory_exceeded.set(true);
            return Err(ExceededLimit::Memory);
        }
        if self.is_out_of_time() {
            return Err(ExceededLimit::Time);
        }
        Ok(())
    }

    /// Whether the call has taken more than [`MAX_CALL_TIME`]. The processor time is read only if that is possible, since
    /// reading it costs a system call.
    fn is_out_of_time(&self) -> bool {
        self.began.get().elapsed() > MAX_CALL_TIME && self.processor_time() > MAX_CALL_TIME
    }

    /// Counts a line that the script logs. Returns whether it may be logged.
    pub(super) fn count_line(&self) -> bool {
        let lines = self.lines.get();
        self.lines.set(lines.saturating_add(1));
        lines < MAX_LINES_PER_CALL
    }
}

/// The memory of the script.
impl CallUsage {
    /// Runs `work`, whose allocations and releases are those of the script.
    pub(super) fn count_memory<O>(&self, work: impl FnOnce() -> O) -> O {
        self.thread_bytes_before.set(thread_bytes());
        let output = work();
        self.held_before.set(self.held_before.get() + self.counted_bytes());
        self.thread_bytes_before.set(thread_bytes());
        output
    }

    /// Runs a part of counted work whose allocations are not the script's.
    pub(super) fn exclude_memory<O>(&self, work: impl FnOnce() -> O) -> O {
        let before = thread_bytes();
        let output = work();
        self.thread_bytes_before.set(self.thread_bytes_before.get() + thread_bytes() - before);
        output
    }

    /// Bytes allocated and not freed since the count in progress began.
    fn counted_bytes(&self) -> isize {
        thread_bytes() - self.thread_bytes_before.get()
    }

    /// Bytes that the script holds, during a count.
    fn held_bytes(&self) -> usize {
        usize::try_from(self.held_before.get() + self.counted_bytes()).unwrap_or(0)
    }

    /// Bytes that the script held at the end of the last count.
    pub(super) fn kept_bytes(&self) -> usize {
        usize::try_from(self.held_before.get()).unwrap_or(0)
    }

    /// Whether the script has held more than it may, at the end of the last count or at a check before.
    pub(super) fn is_memory_exceeded(&self) -> bool {
        self.is_memory_exceeded.get() || self.kept_bytes() > self.max_bytes
    }

    /// Bytes that the script may hold.
    pub(super) fn max_bytes(&self) -> usize {
        self.max_bytes
    }
}

/// Processor time that this thread has taken so far.
fn thread_processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::try_from(time).unwrap_or_default()
}
