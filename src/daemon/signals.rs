//! Unix signals that control the process.

use super::DaemonError;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SignalCommand {
    /// SIGTERM or SIGINT: drain and exit.
    Shutdown,
    /// SIGHUP: read the configuration again.
    Reload,
    /// SIGUSR1: write the counters to the log.
    LogCounters,
}

/// Handlers of the signals that control the process. They are installed first during startup, because a signal without a
/// handler kills the process.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    user_defined_1: Signal,
}

impl Signals {
    /// Installs the handlers. Must run inside a tokio runtime.
    ///
    /// # Errors
    ///
    /// [`DaemonError::Signals`] if a handler can't be installed.
    pub fn install() -> Result<Signals, DaemonError> {
        let install = |kind| signal(kind).map_err(DaemonError::Signals);
        Ok(Signals {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hangup: install(SignalKind::hangup())?,
            user_defined_1: install(SignalKind::user_defined1())?,
        })
    }

    /// Waits for the next signal and returns the action that it requests.
    pub(super) async fn next(&mut self) -> SignalCommand {
        tokio::select! {
            _ = self.terminate.recv() => SignalCommand::Shutdown,
            _ = self.interrupt.recv() => SignalCommand::Shutdown,
            _ = self.hangup.recv() => SignalCommand::Reload,
            _ = self.user_defined_1.recv() => SignalCommand::LogCounters,
        }
    }
}
