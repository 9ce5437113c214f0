//! The accept loop's step that all frontends share: a slot in the descriptor budget, then a connection.

use crate::lifecycle::Lifecycle;
use crate::resources::descriptors::{AcceptSlot, ConnectionKind, DescriptorBudget};
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
