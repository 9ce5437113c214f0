//! Unix signals that control the process.
//!
//! Signals are watched beside the whole program, at the beginning of each turn of the event loop, so that a signal is
//! noticed in the first turn after it was received, whatever the program does.

use super::DaemonError;
use super::signal_age::earliest_sending;
use crate::metrics::event_loop::TurnLog;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::Notify;
use tokio::time::Instant;

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

/// A signal that the process has noticed.
#[derive(Clone, Copy, Debug)]
pub(super) struct NoticedSignal {
    /// The action that it requests.
    pub(super) command: SignalCommand,
    /// When the process noticed it.
    pub(super) noticed_at: Instant,
    /// The earliest time at which it may have been sent.
    pub(super) earliest_sent_at: Instant,
}

/// Handlers of the signals that control the process. They are installed first during startup, because a signal without a
/// handler kills the process.
pub(super) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    user_defined_1: Signal,
    turns: Rc<TurnLog>,
    noticed: Rc<PendingSignals>,
}

/// Noticed signals that are not handled yet, one of each command: as the operating system does, later ones are merged with
/// the first.
#[derive(Default)]
struct PendingSignals {
    shutdown: Cell<Option<NoticedSignal>>,
    reload: Cell<Option<NoticedSignal>>,
    log_counters: Cell<Option<NoticedSignal>>,
    added: Notify,
}

impl PendingSignals {
    fn add(&self, signal: NoticedSignal) {
        let pending = match signal.command {
            SignalCommand::Shutdown => &self.shutdown,
            SignalCommand::Reload => &self.reload,
            SignalCommand::LogCounters => &self.log_counters,
        };
        pending.set(pending.get().or(Some(signal)));
        self.added.notify_one();
    }

    /// Removes the next signal to handle, a shutdown before all others.
    fn take(&self) -> Option<NoticedSignal> {
        [&self.shutdown, &self.reload, &self.log_counters].into_iter().find_map(Cell::take)
    }
}

/// The signals that the process has noticed.
pub(super) struct NoticedSignals(Rc<PendingSignals>);

impl Signals {
    /// Installs the handlers. Must run inside a tokio runtime, whose event loop writes `turns`.
    ///
    /// # Errors
    ///
    /// [`DaemonError::Signals`] if a handler can't be installed.
    pub(super) fn install(turns: Rc<TurnLog>) -> Result<(Signals, NoticedSignals), DaemonError> {
        let install = |kind| signal(kind).map_err(DaemonError::Signals);
        let pending: Rc<PendingSignals> = Rc::default();
        let signals = Signals {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hangup: install(SignalKind::hangup())?,
            user_defined_1: install(SignalKind::user_defined1())?,
            turns,
            noticed: pending.clone(),
        };
        Ok((signals, NoticedSignals(pending)))
    }

    /// Runs `program` and notices signals meanwhile. Must be the main future of the event loop.
    pub(super) async fn watch_beside<F: Future>(mut self, program: F) -> F::Output {
        tokio::select! {
            biased;
            never = self.watch() => match never {},
            output = program => output,
        }
    }

    /// Notices signals as they arrive.
    async fn watch(&mut self) -> Infallible {
        loop {
            let command = self.next().await;
            let noticed_at = Instant::now();
            let earliest_sent_at = earliest_sending(self.turns.recent(), noticed_at.into_std()).into();
            let signal = NoticedSignal { command, noticed_at, earliest_sent_at };
            log::info!(
                "daemon: signal noticed, command={command:?} sent_within={:?}",
                noticed_at - earliest_sent_at
            );
            self.noticed.add(signal);
        }
    }

    /// Waits for the next signal and returns the action that it requests. A shutdown goes before all others.
    async fn next(&mut self) -> SignalCommand {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => SignalCommand::Shutdown,
            _ = self.interrupt.recv() => SignalCommand::Shutdown,
            _ = self.hangup.recv() => SignalCommand::Reload,
            _ = self.user_defined_1.recv() => SignalCommand::LogCounters,
        }
    }
}

impl NoticedSignals {
    /// Waits for the next signal.
    pub(super) async fn next(&mut self) -> NoticedSignal {
        loop {
            if let Some(signal) = self.0.take() {
                return signal;
            }
            self.0.added.notified().await;
        }
    }
}

#[cfg(test)]
mod tests;
