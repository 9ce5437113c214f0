//! Unix signals that control the process.
//!
//! Signals are watched beside the whole program, at the beginning of each turn of the event loop, so that a signal is
//! noticed in the first turn after it was received, whatever the program does.

use super::DaemonError;
use super::signal_age::earliest_sending;
use crate::metrics::event_loop::TurnLog;
use crate::resources::repeat;
use crate::resources::socket::SHORTAGE_PAUSE;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// Interval at which received signals are looked for without a wake-up.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

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
    /// Set by the handlers; a shutdown before all others.
    received: [(SignalCommand, Arc<AtomicBool>); 4],
    /// Gets a byte from each handler, which wakes the event loop.
    wakes: UnixStream,
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
        let pending: Rc<PendingSignals> = Rc::default();
        let (sender, wakes) = repeat::at_start(wake_pair).map_err(DaemonError::Signals)?;
        let install = |signal| repeat::at_start(|| install_handler(signal, &sender));
        let install = |signal| install(signal).map_err(DaemonError::Signals);
        let received = [
            (SignalCommand::Shutdown, install(SIGTERM)?),
            (SignalCommand::Shutdown, install(SIGINT)?),
            (SignalCommand::Reload, install(SIGHUP)?),
            (SignalCommand::LogCounters, install(SIGUSR1)?),
        ];
        Ok((Signals { received, wakes, turns, noticed: pending.clone() }, NoticedSignals(pending)))
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
        loop {
            if let Some(command) = self.take_received() {
                return command;
            }
            tokio::select! {
                biased;
                _ = self.wakes.readable() => self.discard_wakes().await,
                // A handler may have failed to wake the event loop.
                () = sleep(RECHECK_INTERVAL) => {}
            }
        }
    }

    fn take_received(&self) -> Option<SignalCommand> {
        let received =
            self.received.iter().find(|(_, is_received)| is_received.swap(false, Ordering::SeqCst));
        received.map(|(command, _)| *command)
    }

    /// Reads the bytes of the handlers. A read that fails leaves them to the next look.
    async fn discard_wakes(&self) {
        loop {
            match self.wakes.try_read(&mut [0; 64]) {
                Ok(1..) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Ok(0) | Err(_) => return sleep(SHORTAGE_PAUSE).await,
            }
        }
    }
}

/// Creates the sockets by which handlers wake the event loop.
///
/// # Errors
///
/// Returns an error if the system has no sockets.
fn wake_pair() -> io::Result<(std::os::unix::net::UnixStream, UnixStream)> {
    let (sender, receiver) = std::os::unix::net::UnixStream::pair()?;
    receiver.set_nonblocking(true)?;
    Ok((sender, UnixStream::from_std(receiver)?))
}

/// Installs the handler of a signal, and returns the flag that it sets before it wakes the event loop.
///
/// # Errors
///
/// Returns an error if the handler can't be installed.
fn install_handler(signal: i32, sender: &std::os::unix::net::UnixStream) -> io::Result<Arc<AtomicBool>> {
    let is_received: Arc<AtomicBool> = Arc::default();
    let wakes = sender.try_clone()?;
    signal_hook::flag::register(signal, is_received.clone())?;
    signal_hook::low_level::pipe::register(signal, wakes)?;
    Ok(is_received)
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
