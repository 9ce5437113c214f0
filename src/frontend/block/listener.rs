//! Accepts connections of iSCSI initiators and serves each in a local task.

use super::error::SessionError;
use super::session;
use super::shared::BlockFrontend;
use crate::core::Transport;
use crate::frontend::accept::{AcceptedConnection, Acceptor};
use crate::frontend::closing::{self, CloseReason, ServiceEnd, SharedStream};
use crate::resources::descriptors::ConnectionKind;
use crate::resources::listening_socket::ListeningSocket;
use std::rc::Rc;

impl<T: Transport + 'static> BlockFrontend<T> {
    /// Accepts connections until they have to close.
    pub async fn listen(self: Rc<Self>, listener: Rc<ListeningSocket>) {
        self.budget.put_in_service(ConnectionKind::Block);
        let acceptor = Acceptor {
            listener: &listener,
            kind: ConnectionKind::Block,
            budget: &self.budget,
            lifecycle: &self.phases,
        };
        while let Some(accepted) = acceptor.accept_until_closing().await {
            let frontend = self.clone();
            let connection_guard = self.phases.track_connection();
            tokio::task::spawn_local(async move {
                let _connection_guard = connection_guard;
                frontend.run_connection(accepted).await;
            });
        }
    }

    /// Serves one connection and closes it. Its slot in the descriptor budget is held until then.
    async fn run_connection(self: Rc<Self>, accepted: AcceptedConnection) {
        let (stream, arrivals, slot) = accepted.into_parts();
        let stream = SharedStream::new(Rc::new(stream), arrivals);
        let slot = Rc::new(slot);
        let counters = self.counters.clone();
        let served = session::serve(self, stream.clone(), slot.clone()).await;
        if let Err(error) = &served {
            log::debug!("block: {error}");
        }
        closing::close(stream.socket(), service_end(&served), &slot, &counters).await;
    }
}

/// How a connection has to be closed after its service.
fn service_end(served: &Result<(), SessionError>) -> ServiceEnd {
    match served {
        Err(SessionError::Reclaimed { logged_in: false }) => ServiceEnd::reclaimed(CloseReason::NothingOwed),
        Err(SessionError::Reclaimed { logged_in: true }) => ServiceEnd::reclaimed(CloseReason::Done),
        _ => ServiceEnd::not_reclaimed(CloseReason::Done),
    }
}
