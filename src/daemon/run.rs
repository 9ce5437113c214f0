//! The background tasks, and the main loop that serves until a signal requests the shutdown.

use super::build::Parts;
use super::endpoint_list::{EndpointListSource, follow_endpoint_list};
use super::error::{BackgroundTask, DaemonError};
use super::reload::Reloader;
use super::signals::{NoticedSignal, NoticedSignals, SignalCommand};
use crate::frontend::http::HttpFrontend;
use crate::lifecycle::Phase;
use crate::node::NodeTransport;
use crate::resources::listening_socket::ListeningSocket;
use std::convert::Infallible;
use std::rc::Rc;
use tokio::task::{JoinHandle, spawn_local};

/// The HTTP/1.1 frontend with its listening socket.
pub(super) struct Server {
    /// The HTTP/1.1 frontend.
    pub(super) frontend: Rc<HttpFrontend<NodeTransport>>,
    /// The listening socket.
    pub(super) listener: Rc<ListeningSocket>,
}

impl Server {
    /// Accepts client connections.
    pub(super) async fn listen(&self) -> Infallible {
        self.frontend.clone().listen(&self.listener).await
    }
}

/// Tasks that the head can't serve without. If one of them ends while the head serves, the process exits with an error.
pub(super) struct BackgroundTasks {
    scheduler_clock: JoinHandle<()>,
    load_shedding: JoinHandle<()>,
    connection_pools: JoinHandle<()>,
}

impl BackgroundTasks {
    /// Spawns the tasks.
    pub(super) fn start(parts: &Parts) -> BackgroundTasks {
        let dispatcher = parts.dispatcher.clone();
        let shedding = parts.shedding.clone();
        let nodes = parts.nodes.clone();
        BackgroundTasks {
            scheduler_clock: spawn_local(async move { dispatcher.run_timers().await }),
            load_shedding: spawn_local(async move { shedding.run().await }),
            connection_pools: spawn_local(async move { nodes.close_idle_connections().await }),
        }
    }

    /// Waits until one of these tasks or `endpoint_list` ends, which happens only on a panic.
    async fn first_end(self, endpoint_list: JoinHandle<()>) -> BackgroundTask {
        tokio::select! {
            _ = self.scheduler_clock => BackgroundTask::SchedulerClock,
            _ = self.load_shedding => BackgroundTask::LoadShedding,
            _ = self.connection_pools => BackgroundTask::ConnectionPools,
            _ = endpoint_list => BackgroundTask::EndpointList,
        }
    }
}

/// Spawns the task that follows the endpoint list. Once there is a list to serve with, the head becomes ready: it accepts
/// connections in place of an older process, and can pass its `sockets` to a newer one.
pub(super) fn start_endpoint_list(
    parts: &Parts,
    cached_list: Option<serde_json::Value>,
    source: EndpointListSource,
    sockets: Vec<Rc<ListeningSocket>>,
) -> JoinHandle<()> {
    let handover = parts.handover.clone();
    let lifecycle = parts.lifecycle.clone();
    let serve = move || {
        handover.serve(sockets);
        lifecycle.enter(Phase::Ready);
    };
    spawn_local(follow_endpoint_list(parts.directory.clone(), cached_list, source, serve))
}

/// Serves until SIGTERM or SIGINT, which it returns, and reloads the configuration on SIGHUP.
///
/// # Errors
///
/// [`DaemonError::TaskEnded`] if a background task ended.
pub(super) async fn serve_until_shutdown(
    server: &Server,
    signals: &mut NoticedSignals,
    reloader: &Reloader,
    tasks: BackgroundTasks,
    endpoint_list: JoinHandle<()>,
) -> Result<NoticedSignal, DaemonError> {
    tokio::select! {
        biased;
        shutdown = handle_signals(signals, reloader) => Ok(shutdown),
        task = tasks.first_end(endpoint_list) => Err(DaemonError::TaskEnded(task)),
        never = server.listen() => match never {},
    }
}

/// Handles signals until one requests the shutdown, and returns that one.
async fn handle_signals(signals: &mut NoticedSignals, reloader: &Reloader) -> NoticedSignal {
    loop {
        let signal = signals.next().await;
        match signal.command {
            SignalCommand::Shutdown => return signal,
            SignalCommand::Reload => reloader.reload(),
            SignalCommand::LogCounters => log::info!("counters: {}", reloader.parts.counters),
        }
    }
}
