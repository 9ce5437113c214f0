//! Accepts connections of iSCSI initiators and serves each in a local task.

use super::error::SessionError;
use super::session;
use super::shared::BlockFrontend;
use crate::core::Transport;
use crate::frontend::accept::accept_until_closing;
use crate::frontend::closing::{self, CloseReason, ServiceEnd};
use crate::resources::descriptors::{ClientSlot, ConnectionKind};
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};

impl<T: Transport + 'static> BlockFrontend<T> {
    /// Accepts connections until they have to close.
    pub async fn listen(self: Rc<Self>, listener: Rc<TcpListener>) {
        self.budget.put_in_service(ConnectionKind::Block);
        while let Some(accepted) =
            accept_until_closing(&listener, ConnectionKind::Block, &self.budget, &self.phases).await
        {
            let slot = Rc::new(accepted.slot.accepted());
            let frontend = self.clone();
            let connection_guard = self.phases.track_connection();
            tokio::task::spawn_local(async move {
                let _connection_guard = connection_guard;
                frontend.run_connection(accepted.stream, slot).await;
            });
        }
    }

    /// Serves one connection and closes it. Its slot in the descriptor budget is held until then.
    async fn run_connection(self: Rc<Self>, stream: TcpStream, slot: Rc<ClientSlot>) {
        let stream = Rc::new(stream);
        let counters = self.counters.clone();
        let served = session::serve(self, stream.clone(), slot.clone()).await;
        if let Err(error) = &served {
            log::debug!("block: {error}");
        }
        closing::close(&stream, service_end(&served), &slot, &counters).await;
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
