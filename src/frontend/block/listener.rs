//! Accepts connections of iSCSI initiators and serves each in a local task.

use super::session;
use super::shared::BlockFrontend;
use crate::core::Transport;
use crate::frontend::closing::{self, CloseReason};
use crate::resources::descriptors::ConnectionKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Delay before the next `accept` after a failed one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

impl<T: Transport + 'static> BlockFrontend<T> {
    /// Accepts connections in a loop that never returns. After a failed `accept` the longest idle connection is
    /// closed, since the process may have run out of descriptors.
    pub async fn listen(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            let slot = self.budget.client_slot(ConnectionKind::Block).await;
            let stream = match self.phases.accept(&listener).await {
                Ok(stream) => stream,
                Err(problem) => {
                    log::warn!("block: accept: {problem}");
                    self.budget.close_idle_connection();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let slot = slot.accepted();
            slot.mark_in_use();
            let (frontend, guard) = (self.clone(), self.phases.track_connection());
            tokio::task::spawn_local(async move {
                let _guards = (slot, guard);
                let (stream, counters) = (Rc::new(stream), frontend.counters.clone());
                if let Err(problem) = session::serve(frontend, stream.clone()).await {
                    log::debug!("block: {problem}");
                }
                closing::close(&stream, CloseReason::Done, std::future::pending(), &counters).await;
            });
        }
    }
}
