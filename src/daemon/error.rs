//! Errors that end the process.

use crate::config::operators_file::OperatorsFileError;
use crate::frontend::block::config::BlockConfigError;
use crate::plugin::PluginError;
use crate::scheduler::SchedulerSettingsError;
use flaxgap_distribution::selection::RelayListError;
use std::fmt::{self, Display, Formatter};
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// A task that runs for the lifetime of the process. It ends early only if it panics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackgroundTask {
    /// Runs the scheduler's timers.
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
            BackgroundTask::SchedulerClock => "scheduler timers",
            BackgroundTask::LoadShedding => "load shedding",
            BackgroundTask::ConnectionPools => "connection pools",
            BackgroundTask::EndpointList => "endpoint list",
        })
    }
}

/// An error that prevents the process from starting or from continuing to serve.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// A listening socket can't be opened on the address.
    #[error("listen on {0}: {1}")]
    Listen(SocketAddr, #[source] io::Error),
    /// A background task ended before the process did.
    #[error("background task ended unexpectedly: {0}")]
    TaskEnded(BackgroundTask),
    /// A signal handler can't be installed.
    #[error("installing signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The block frontend's file is invalid.
    #[error(transparent)]
    Block(#[from] BlockConfigError),
    /// The plug-in's script can't be read or compiled.
    #[error(transparent)]
    Plugin(#[from] PluginError),
    /// The operators' file can't be read or is invalid.
    #[error(transparent)]
    OperatorsFile(#[from] OperatorsFileError),
    /// The list of relays is invalid.
    #[error("relays: {0}")]
    Relays(#[from] RelayListError),
    /// The scheduler rejects its settings.
    #[error(transparent)]
    SchedulerSettings(#[from] SchedulerSettingsError),
}
