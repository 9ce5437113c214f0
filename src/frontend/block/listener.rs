//! Accepts initiators and serves each connection to its end.

use super::session;
use super::shared::BlockFrontend;
use crate::core::Transport;
use crate::frontend::closing::{self, CloseReason};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Pause after the system would not give a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

impl<T: Transport + 'static> BlockFrontend<T> {
    /// Accepts initiators for as long as it is polled.
    pub async fn listen(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            let slot = self.budget.client_slot().await;
            let stream = match self.phases.accept(&listener).await {
                Ok(stream) => stream,
                Err(problem) => {
                    log::warn!("block: accept: {problem}");
                    self.budget.close_idle_connection();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let (front, guard) = (self.clone(), self.phases.track_connection());
            tokio::task::spawn_local(async move {
                let _held = (slot, guard);
                let (stream, counters) = (Rc::new(stream), front.counters.clone());
                if let Err(problem) = session::serve(front, stream.clone()).await {
                    log::debug!("block: {problem}");
                }
                closing::close(&stream, CloseReason::Done, std::future::pending(), &counters).await;
            });
        }
    }
}
