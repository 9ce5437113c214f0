//! The accept loop's step that all frontends share. A connection is accepted even if no slot in the descriptor budget is
//! free, one at a time, so that connections without a request do not make those behind them wait: one on which nothing has
//! arrived for a while is closed, unread, if the accept queue is long, and any other waits for a slot. Once connections have to close, those in the
//! kernel's accept queue are accepted, which the close of the listening socket would reset.

use crate::action_rules::{TRANSIT_GRACE, Violation, is_past_transit};
use crate::lifecycle::Lifecycle;
use crate::metrics::counters::Counters;
use crate::resources::arrivals::{ArrivalBounds, ConnectionArrivals};
use crate::resources::descriptors::{AcceptSlot, ClientSlot, ConnectionKind, DescriptorBudget};
use crate::resources::listening_socket::{
    HeldState, ListeningSocket, RegisteredConnection, RegistrationError,
};
use crate::resources::socket;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep};

/// Pause after `accept` failed twice, during which descriptors or memory may be freed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Longest time that a connection should wait in the accept queue. If it takes longer to accept all queued connections,
/// those on which nothing has arrived are closed at once.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(200);
/// Number of connections that may wait if the system does not tell how long the accept queue is, once it has been waiting
/// for [`MAX_QUEUE_TIME`].
const ASSUMED_QUEUE: usize = 64;

/// A connection that was just accepted, and its slot.
pub struct AcceptedConnection {
    /// The connection.
    pub stream: TcpStream,
    /// When its bytes arrive.
    pub arrivals: Rc<ConnectionArrivals>,
    slot: AcceptSlot,
    /// Since when nothing has arrived on it, if nothing has.
    silent_since: Instant,
}

impl AcceptedConnection {
    /// A connection that did not wait in the accept queue.
    pub fn new(stream: TcpStream, slot: AcceptSlot) -> AcceptedConnection {
        let now = Instant::now();
        let arrivals = Rc::new(ConnectionArrivals::new(ArrivalBounds::after(now)));
        AcceptedConnection { stream, arrivals, slot, silent_since: now }
    }

    /// A connection from the accept queue. If that is long, the time that the connection has been silent there counts.
    fn from_queue(
        registered: RegisteredConnection,
        slot: AcceptSlot,
        pressure: QueuePressure,
    ) -> AcceptedConnection {
        let RegisteredConnection { stream, queued_since, silent_since } = registered;
        let silent_since = if pressure.is_high { silent_since } else { Instant::now() };
        let arrivals = Rc::new(ConnectionArrivals::new(queued_since));
        AcceptedConnection { stream, arrivals, slot, silent_since }
    }

    /// The parts of the connection, with its slot as that of an open connection.
    pub fn into_parts(self) -> (TcpStream, Rc<ConnectionArrivals>, ClientSlot) {
        (self.stream, self.arrivals, self.slot.accepted_since(self.silent_since.into_std()))
    }
}

/// The listening socket of a frontend, and what decides on its connections.
#[derive(Clone, Copy)]
pub struct Acceptor<'a> {
    /// The listening socket.
    pub listener: &'a ListeningSocket,
    /// Which connections it accepts.
    pub kind: ConnectionKind,
    /// The descriptor budget.
    pub budget: &'a Rc<DescriptorBudget>,
    /// Whether this process accepts connections.
    pub lifecycle: &'a Lifecycle,
}

impl Acceptor<'_> {
    /// Accepts the next connection once this process accepts connections. Errors of `accept` pass: descriptors have run
    /// out and are freed again, or the client has disconnected. Cancel safe.
    pub async fn accept(&self) -> AcceptedConnection {
        loop {
            match self.lifecycle.hold_next(self.listener).await {
                Ok(()) => {
                    if let Some(accepted) = self.admit_held().await {
                        return accepted;
                    }
                }
                Err(error) => self.accept_failed(&error).await,
            }
        }
    }

    /// Accepts the next connection like [`Acceptor::accept`], or, once connections have to close, the next one that is
    /// queued. `None` if there is none: the listening socket has to be closed then.
    pub async fn accept_until_closing(&self) -> Option<AcceptedConnection> {
        let mut closing = self.lifecycle.closing();
        tokio::select! {
            biased;
            _ = closing.when_idle() => self.accept_queued().await,
            accepted = self.accept() => Some(accepted),
        }
    }

    /// Accepts the next connection that was in the kernel's accept queue at the first call; `None` if there is none left, or
    /// if a newer process accepts the connections.
    pub async fn accept_queued(&self) -> Option<AcceptedConnection> {
        while self.lifecycle.is_accepting() || self.listener.is_holding() {
            match self.listener.hold_last_queued() {
                Ok(true) => {
                    if let Some(accepted) = self.admit_held().await {
                        return Some(accepted);
                    }
                }
                Ok(false) => return None,
                Err(error) => self.accept_failed(&error).await,
            }
        }
        None
    }

    /// Waits until `accept` may be called again. Only a shortage of descriptors is a reason to close a connection.
    async fn accept_failed(&self, error: &io::Error) {
        self.counters().accept_failures.add();
        let is_first = self.listener.failures_in_a_row() <= 1;
        log::debug!("{}: accept: {error}", self.kind.name());
        if socket::is_descriptor_shortage(error) {
            log::warn!("{}: accept: {error}", self.kind.name());
            self.budget.close_idle_connection();
        }
        // A failure may concern one connection alone, and others wait behind it.
        let pause = if is_first { Duration::ZERO } else { ACCEPT_PAUSE };
        sleep(pause).await;
    }

    /// Waits for a slot for the connection that the listener holds, and takes it from there. `None` if it was closed, since
    /// it carries no request and descriptors are short, or has been closed by its client.
    async fn admit_held(&self) -> Option<AcceptedConnection> {
        // Clients may connect faster than the queue is worked off: the connections that are open are served meanwhile.
        if self.listener.is_turn_over() {
            yield_now().await;
        }
        let pressure = self.queue_pressure();
        self.counters().set_accept_queue(pressure.length, self.listener.queue_wait());
        let is_needed = || !self.is_held_needless(pressure);
        let Some(slot) = self.budget.client_slot_while(self.kind, pressure.length, is_needed).await else {
            self.counters().shut_unread.add();
            log::debug!("{}: connection without a request closed, descriptors run short", self.kind.name());
            self.listener.drop_held();
            return None;
        };
        loop {
            match self.listener.take_held() {
                Ok(held) => return held.map(|held| AcceptedConnection::from_queue(held, slot, pressure)),
                Err(RegistrationError::Lost(error)) => {
                    self.counters().record_violation(Some(Violation::ClosedUnanswered), || {
                        format!("frontend={} error={error}", self.kind.name())
                    });
                    return None;
                }
                Err(RegistrationError::Retry(error)) => {
                    self.counters().accept_retries.add();
                    log::debug!("{}: {error}", self.kind.name());
                    sleep(socket::SHORTAGE_PAUSE).await;
                }
            }
        }
    }

    fn counters(&self) -> &Counters {
        self.budget.counters()
    }

    /// How many connections wait, the held one included, and whether they wait for too long. As many as there are slots
    /// are accepted within [`TRANSIT_GRACE`] if none of them carries a request.
    fn queue_pressure(&self) -> QueuePressure {
        match self.listener.queue_length() {
            Some(queued) => {
                let length = queued + 1;
                let slots = self.budget.clients_limit().max(1);
                let rounds = u32::try_from(length / slots).unwrap_or(u32::MAX);
                QueuePressure { length, is_high: TRANSIT_GRACE.saturating_mul(rounds) >= MAX_QUEUE_TIME }
            }
            None if self.listener.queue_wait() >= MAX_QUEUE_TIME => {
                QueuePressure { length: ASSUMED_QUEUE, is_high: true }
            }
            None => QueuePressure { length: 1, is_high: false },
        }
    }

    /// Whether the held connection needs no service: it is closed by its client, or nothing has arrived on it for so long
    /// that nothing can be in transit while too many others wait.
    fn is_held_needless(&self, pressure: QueuePressure) -> bool {
        match self.listener.look_at_held() {
            Some(HeldState::HasBytes) => false,
            Some(HeldState::Silent { since }) => pressure.is_high && is_past_transit(since.elapsed()),
            Some(HeldState::Closed) | None => true,
        }
    }
}

/// How full an accept queue is.
#[derive(Clone, Copy, Debug)]
struct QueuePressure {
    /// Number of connections that wait.
    length: usize,
    /// Whether they wait for longer than [`MAX_QUEUE_TIME`] if each is kept open for its first request.
    is_high: bool,
}
