//! What a fleet needs of the machine, checked before anything is started.

use super::ScaleError;
use super::args::ScaleArgs;
use super::hollow::{HollowHead, Plan};
use super::nodes::NodeTable;
use super::settings;
use super::usage::Usage;
use flaxgap_membership::compact::CompactList;
use rustix::process::{Resource, getrlimit};
use thiserror::Error;

/// Most processes that the tool may start.
pub const MOST_PROCESSES: u64 = 200;
/// Most memory that all of them together may take by the estimate, in bytes.
pub const MOST_MEMORY: u64 = 12 << 30;
/// Connections of one head at a time at most: a watch, and a call or a second watch.
const CONNECTIONS_A_HEAD: u64 = 2;
/// Descriptors of a process beside its heads' connections.
const OTHER_DESCRIPTORS: u64 = 64;
/// Hollow heads that are set up to measure what one takes.
const MEASURED_HEADS: u32 = 8;
/// What a process takes before its first head, in bytes.
const PROCESS_MEMORY: u64 = 8 << 20;
/// What each connection takes of memory at its two ends, in bytes: buffers, tasks and timers of the runtime.
const CONNECTION_MEMORY: u64 = 64 << 10;

/// Why a fleet can't be played on this machine.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum LimitsError {
    /// Too many processes.
    #[error("{needed} processes are needed, {MOST_PROCESSES} at most may be started")]
    Processes {
        /// How many the run takes.
        needed: u64,
    },
    /// Too few descriptors.
    #[error(
        "{needed} descriptors are needed in one process ({what}), the limit in force is {limit}; raise it, or start \
         more --workers or fewer --heads"
    )]
    Descriptors {
        /// Which process.
        what: &'static str,
        /// How many the run takes there.
        needed: u64,
        /// How many there are.
        limit: u64,
    },
    /// Too much memory.
    #[error(
        "{needed_mb} MB of memory are needed by the estimate ({head_kb} KB a hollow head), {most_mb} MB at most are used"
    )]
    Memory {
        /// What all processes take.
        needed_mb: u64,
        /// What a hollow head takes.
        head_kb: u64,
        /// The bound.
        most_mb: u64,
    },
}

/// What a run takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Needs {
    /// Processes, the tool's own among them.
    pub processes: u64,
    /// Descriptors of a process with hollow heads.
    pub worker_descriptors: u64,
    /// Descriptors of the busiest control machine.
    pub control_descriptors: u64,
    /// Memory of all, in bytes.
    pub memory: u64,
    /// Memory of one hollow head, in bytes.
    pub head_memory: u64,
}

impl Needs {
    /// Of a run, where one hollow head takes so much memory.
    pub fn of(args: &ScaleArgs, head_memory: u64) -> Needs {
        let hollow = u64::from(args.heads.saturating_sub(args.real));
        let (heads, workers, relays) =
            (u64::from(args.heads), u64::from(args.workers), u64::from(args.relays));
        let processes = 2 + workers + u64::from(args.real) + relays;
        let worker_descriptors = hollow.div_ceil(workers) * CONNECTIONS_A_HEAD + OTHER_DESCRIPTORS;
        let control_descriptors = heads * CONNECTIONS_A_HEAD + OTHER_DESCRIPTORS;
        let connections = heads * CONNECTIONS_A_HEAD;
        let memory = processes * PROCESS_MEMORY
            + (hollow + u64::from(args.real)) * head_memory
            + connections * CONNECTION_MEMORY;
        Needs { processes, worker_descriptors, control_descriptors, memory, head_memory }
    }

    /// Whether the machine has that much.
    ///
    /// # Errors
    ///
    /// There are more processes, descriptors of one process, or memory needed than the machine grants.
    pub fn check(&self, descriptors: u64) -> Result<(), LimitsError> {
        if self.processes > MOST_PROCESSES {
            return Err(LimitsError::Processes { needed: self.processes });
        }
        let of_processes = [
            ("hollow heads", self.worker_descriptors),
            ("the control machine that all heads may come to", self.control_descriptors),
        ];
        for (what, needed) in of_processes {
            if needed > descriptors {
                return Err(LimitsError::Descriptors { what, needed, limit: descriptors });
            }
        }
        if self.memory > MOST_MEMORY {
            return Err(LimitsError::Memory {
                needed_mb: self.memory >> 20,
                head_kb: self.head_memory >> 10,
                most_mb: MOST_MEMORY >> 20,
            });
        }
        Ok(())
    }
}

/// The descriptors that a process may hold.
pub fn descriptors() -> u64 {
    getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX)
}

/// Checks a run against this machine, before any other process is started.
///
/// # Errors
///
/// The machine has too little for the run, or the memory of a head can't be measured.
pub async fn check(args: &ScaleArgs) -> Result<Needs, ScaleError> {
    let bare = Needs::of(args, 0);
    bare.check(descriptors())?;
    let needs = Needs::of(args, head_memory(args).await?);
    needs.check(descriptors())?;
    Ok(needs)
}

/// What a hollow head takes, by setting a few up.
async fn head_memory(args: &ScaleArgs) -> Result<u64, ScaleError> {
    let (settings, notes) = settings::read(args.heads)?;
    let nowhere = ([127, 0, 0, 1], 1).into();
    let plan = Plan { settings, notes, seed: args.seed, discovery: vec![nowhere], relays: Vec::new() };
    let table = NodeTable::new(args.nodes, &[]);
    let document = serde_json::json!({"rev": 1, "all": true, "targets": table.nodes()});
    let list = CompactList::parse(document.to_string().as_bytes())
        .map_err(|problem| ScaleError::Settings(problem.to_string()))?;
    // The first one pays for what all share.
    let first = HollowHead::start(&plan, 0, Some(list.clone()), |_| {})?;
    let before = Usage::own()?.memory;
    let mut heads = vec![first];
    for number in 1..=MEASURED_HEADS {
        heads.push(HollowHead::start(&plan, number, Some(list.clone()), |_| {})?);
    }
    let after = Usage::own()?.memory;
    drop(heads);
    // Their tasks end when they are polled next, before any of them has called anybody.
    tokio::task::yield_now().await;
    Ok(after.saturating_sub(before) / u64::from(MEASURED_HEADS))
}
