//! The accept loop's step that all frontends share: a slot in the descriptor budget, then a connection. Once connections
//! have to close, those in the kernel's accept queue are accepted, which the close of the listening socket would reset.

use crate::lifecycle::Lifecycle;
use crate::resources::descriptors::{AcceptSlot, ConnectionKind, DescriptorBudget};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Pause after `accept` failed, during which descriptors may be freed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A connection that was just accepted, and its slot.
pub struct AcceptedConnection {
    /// The connection.
    pub stream: TcpStream,
    /// Its slot in the descriptor budget.
    pub slot: AcceptSlot,
}

/// Accepts the next connection of a frontend, once there is a slot for it and this process accepts connections. Errors of
/// `accept` pass: descriptors have run out and are freed again, or the client has disconnected. After one, a connection
/// without a request is closed.
pub async fn accept(
    listener: &TcpListener,
    kind: ConnectionKind,
    budget: &Rc<DescriptorBudget>,
    lifecycle: &Lifecycle,
) -> AcceptedConnection {
    loop {
        let slot = budget.client_slot(kind).await;
        match lifecycle.accept(listener).await {
            Ok(stream) => return AcceptedConnection { stream, slot },
            Err(error) => {
                log::warn!("{}: accept: {error}", kind.name());
                budget.close_idle_connection();
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Accepts the next connection like [`accept`], or, once connections have to close, the next one that is queued. `None` if
/// there is none: the listening socket has to be closed then.
pub async fn accept_until_closing(
    listener: &TcpListener,
    kind: ConnectionKind,
    budget: &Rc<DescriptorBudget>,
    lifecycle: &Lifecycle,
) -> Option<AcceptedConnection> {
    let mut closing = lifecycle.closing();
    tokio::select! {
        biased;
        _ = closing.when_idle() => accept_queued(listener, kind, budget, lifecycle).await,
        accepted = accept(listener, kind, budget, lifecycle) => Some(accepted),
    }
}

/// Accepts the next connection in the kernel's accept queue, once there is a slot for it; `None` if the queue is empty, or
/// if a newer process accepts the connections.
pub async fn accept_queued(
    listener: &TcpListener,
    kind: ConnectionKind,
    budget: &Rc<DescriptorBudget>,
    lifecycle: &Lifecycle,
) -> Option<AcceptedConnection> {
    while lifecycle.is_accepting() {
        // Idle connections are closing, so a slot becomes free, and queued connections stay open meanwhile.
        let slot = budget.client_slot(kind).await;
        match accept_now(listener) {
            Ok(stream) => return stream.map(|stream| AcceptedConnection { stream, slot }),
            Err(error) => {
                log::warn!("{}: accept: {error}", kind.name());
                drop(slot);
                budget.close_idle_connection();
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    None
}

/// Accepts a connection from the kernel's accept queue without waiting; `None` if the queue is empty. Calls `accept` on
/// the socket itself, because the runtime may not have polled the readiness of a queued connection yet.
///
/// # Errors
///
/// The error of `accept`, such as too many open files.
fn accept_now(listener: &TcpListener) -> io::Result<Option<TcpStream>> {
    loop {
        match socket2::SockRef::from(listener).accept() {
            Ok((socket, _)) => {
                socket.set_nonblocking(true)?;
                return TcpStream::from_std(socket.into()).map(Some);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
            // The client closed this connection while it was queued, or a signal came; continue with the next one.
            Err(error)
                if matches!(error.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted) => {}
            Err(error) => return Err(error),
        }
    }
}
