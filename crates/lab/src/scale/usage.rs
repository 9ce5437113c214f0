//! What a process uses of the machine, by the system's own account.

use super::message::{Micros, now};
use procfs::process::Process;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A process's account can't be read.
#[derive(Debug, Error)]
#[error("account of process {id}: {problem}")]
pub struct UsageError {
    id: u32,
    problem: procfs::ProcError,
}

/// Processor time of all threads by the scheduler, which counts nanoseconds; the ticks of the usual account are too
/// coarse for heads that rest. None where the system does not tell.
fn scheduled(process: &Process) -> Option<f64> {
    let tasks = process.tasks().ok()?;
    let times = tasks.map(|task| Some(task.ok()?.schedstat().ok()?.sum_exec_runtime));
    let nanoseconds = times.sum::<Option<u64>>()?;
    Some(nanoseconds as f64 / 1e9)
}

/// What a process has used up to a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The moment.
    pub at: Micros,
    /// Seconds of processor time, in the program and in the system for it.
    pub processor: f64,
    /// Bytes of memory that it holds.
    pub memory: u64,
}

impl Usage {
    /// Reads the account of a process.
    ///
    /// # Errors
    ///
    /// There is no such process, or its account can't be read.
    pub fn of(id: u32) -> Result<Usage, UsageError> {
        let read = || {
            let process = Process::new(id as i32)?;
            let stat = process.stat()?;
            let ticks = (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64;
            let processor = scheduled(&process).unwrap_or(ticks);
            Ok(Usage { at: now(), processor, memory: stat.rss * procfs::page_size() })
        };
        read().map_err(|problem| UsageError { id, problem })
    }

    /// Reads this process's own account.
    ///
    /// # Errors
    ///
    /// The account can't be read.
    pub fn own() -> Result<Usage, UsageError> {
        Usage::of(std::process::id())
    }

    /// Seconds since an earlier moment.
    pub fn seconds_since(&self, earlier: &Usage) -> f64 {
        self.at.saturating_sub(earlier.at) as f64 / 1e6
    }

    /// Share of one core since an earlier moment.
    pub fn core_share_since(&self, earlier: &Usage) -> f64 {
        (self.processor - earlier.processor) / self.seconds_since(earlier).max(1e-6)
    }
}
