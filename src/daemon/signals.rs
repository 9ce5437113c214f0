//! The signals that control the program.

use super::DaemonError;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal asks the program to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SignalCommand {
    /// SIGTERM or SIGINT: drain and end.
    Shutdown,
    /// SIGHUP: read the configuration again.
    Reload,
    /// SIGUSR1: write the counters to the log.
    LogCounters,
}

/// The handlers of the signals that control the program. A signal that arrives before they are installed ends
/// the process, so this is done first.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    user_defined_1: Signal,
}

impl Signals {
    /// Installs the handlers. Needs the runtime.
    ///
    /// # Errors
    ///
    /// [`DaemonError::Signals`] if the system refuses a handler.
    pub fn install() -> Result<Signals, DaemonError> {
        let install = |kind| signal(kind).map_err(DaemonError::Signals);
        Ok(Signals {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hangup: install(SignalKind::hangup())?,
            user_defined_1: install(SignalKind::user_defined1())?,
        })
    }

    /// Waits for the next signal.
    pub(super) async fn next(&mut self) -> SignalCommand {
        tokio::select! {
            _ = self.terminate.recv() => SignalCommand::Shutdown,
            _ = self.interrupt.recv() => SignalCommand::Shutdown,
            _ = self.hangup.recv() => SignalCommand::Reload,
            _ = self.user_defined_1.recv() => SignalCommand::LogCounters,
        }
    }
}
