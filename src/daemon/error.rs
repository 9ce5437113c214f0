//! Errors that end the program.

use crate::config::operators_file::OperatorsFileError;
use crate::frontend::block::config::BlockConfigError;
use crate::plugin::PluginError;
use crate::scheduler::SchedulerSettingsError;
use flaxgap_distribution::selection::RelayListError;
use std::fmt::{self, Display, Formatter};
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// A task that runs as long as the program. It ends early only if it panics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackgroundTask {
    /// Drives the scheduler's timers.
    SchedulerClock,
    /// Evaluates the signals of load shedding.
    LoadShedding,
    /// Closes idle connections to nodes.
    ConnectionPools,
    /// Follows the endpoint list.
    EndpointList,
}

impl Display for BackgroundTask {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            BackgroundTask::SchedulerClock => "the clock",
            BackgroundTask::LoadShedding => "the levels",
            BackgroundTask::ConnectionPools => "the pools",
            BackgroundTask::EndpointList => "the node list",
        })
    }
}

/// Why the program can't start or go on.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The listener can't be opened.
    #[error("listen on {0}: {1}")]
    Listen(SocketAddr, #[source] io::Error),
    /// A background task has ended.
    #[error("{0} broke down")]
    TaskEnded(BackgroundTask),
    /// Signals can't be waited for.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The block file can't be served.
    #[error(transparent)]
    Block(#[from] BlockConfigError),
    /// The plug-in can't be used.
    #[error(transparent)]
    Plugin(#[from] PluginError),
    /// The operators' file can't be used.
    #[error(transparent)]
    OperatorsFile(#[from] OperatorsFileError),
    /// The relays can't be followed.
    #[error("relays: {0}")]
    Relays(#[from] RelayListError),
    /// The scheduler rejects its settings.
    #[error(transparent)]
    SchedulerSettings(#[from] SchedulerSettingsError),
}
