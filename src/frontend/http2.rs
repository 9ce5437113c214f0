//! The HTTP/2 frontend: cleartext with prior knowledge (RFC 9113, section 3.3), on a port of its own. Framing, HPACK
//! and flow control are left to the `h2` library. `flaxgap_streams` decides which streams are admitted, which
//! connections are closed for abuse and how a connection shuts down. Requests are served by the same
//! [`FrontendContext`] as those of HTTP/1.1.

mod connection;
mod frame_guard;
mod request_body;
mod send_gate;
mod stream;

use crate::core::Transport;
use crate::frontend::accept::{AcceptedConnection, Acceptor};
use crate::frontend::closing::{self, SharedStream};
use crate::frontend::request::FrontendContext;
use crate::resources::descriptors::ConnectionKind;
use crate::resources::listening_socket::ListeningSocket;
use flaxgap_streams::Http2;
use flaxgap_streams::admission::Admission;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Semaphore;

/// The HTTP/2 frontend.
pub struct Http2Frontend<T> {
    context: Rc<FrontendContext<T>>,
    settings: Http2,
    admission: RefCell<Admission>,
    /// Limits the number of connections.
    connection_permits: Arc<Semaphore>,
}

impl<T: Transport + 'static> Http2Frontend<T> {
    /// Creates a frontend without connections.
    pub fn new(context: Rc<FrontendContext<T>>, settings: Http2) -> Rc<Http2Frontend<T>> {
        let admission =
            RefCell::new(Admission::new(settings.max_streams_per_connection, settings.max_streams));
        let connection_permits = Arc::new(Semaphore::new(settings.max_connections));
        Rc::new(Http2Frontend { context, settings, admission, connection_permits })
    }

    /// Accepts clients until connections have to close.
    pub async fn listen(self: Rc<Self>, listener: Rc<ListeningSocket>) {
        self.context.descriptors.put_in_service(ConnectionKind::Http2);
        loop {
            let Ok(permit) = self.connection_permits.clone().acquire_owned().await else { return };
            let FrontendContext { descriptors, lifecycle, .. } = &*self.context;
            let acceptor =
                Acceptor { listener: &listener, kind: ConnectionKind::Http2, budget: descriptors, lifecycle };
            let Some(accepted) = acceptor.accept_until_closing().await else { return };
            let connection_guard = lifecycle.track_connection();
            let frontend = self.clone();
            tokio::task::spawn_local(async move {
                let _held = (permit, connection_guard);
                frontend.run_connection(accepted).await;
            });
        }
    }

    /// Serves one connection and closes it. Its slot in the descriptor budget is held until then.
    async fn run_connection(self: Rc<Self>, accepted: AcceptedConnection) {
        let (stream, arrivals, slot) = accepted.into_parts();
        let stream = SharedStream::new(Rc::new(stream), arrivals);
        let end = connection::serve(&self, stream.clone(), &slot).await;
        // `h2` has sent its last frames. Bytes that still arrive are read, so that the close does not reset the
        // connection.
        let counters = &self.context.counters;
        closing::close(stream.socket(), end, &slot, counters).await;
    }
}
