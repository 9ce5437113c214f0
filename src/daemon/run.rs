//! The running program: its background tasks, and the time in service until a signal asks for the shutdown.

use super::build::Parts;
use super::endpoint_list::{EndpointListSource, follow_endpoint_list};
use super::error::{BackgroundTask, DaemonError};
use super::reload::Reloader;
use super::signals::{SignalCommand, Signals};
use crate::frontend::http::HttpFrontend;
use crate::lifecycle::Phase;
use crate::node::NodeTransport;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, spawn_local};

/// The frontend for HTTP/1.1 with its listener.
pub(super) struct Server {
    /// The frontend.
    pub(super) frontend: Rc<HttpFrontend<NodeTransport>>,
    /// Where its clients connect.
    pub(super) listener: Rc<TcpListener>,
}

impl Server {
    /// Accepts clients for as long as it is polled; never returns.
    pub(super) async fn listen(&self) {
        self.frontend.clone().listen(&self.listener).await;
    }
}

/// The tasks without which the head can't serve: the program ends if one of them does while it serves.
pub(super) struct BackgroundTasks {
    scheduler_clock: JoinHandle<()>,
    load_shedding: JoinHandle<()>,
    connection_pools: JoinHandle<()>,
}

impl BackgroundTasks {
    /// Starts the tasks.
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

    /// Waits until one of the tasks ends, which it does only if it panics.
    async fn first_end(self, endpoint_list: JoinHandle<()>) -> BackgroundTask {
        tokio::select! {
            _ = self.scheduler_clock => BackgroundTask::SchedulerClock,
            _ = self.load_shedding => BackgroundTask::LoadShedding,
            _ = self.connection_pools => BackgroundTask::ConnectionPools,
            _ = endpoint_list => BackgroundTask::EndpointList,
        }
    }
}

/// Starts following the endpoint list. Once it stands, the head is ready: it accepts in place of an older
/// process, and can pass its `sockets` to a newer one.
pub(super) fn start_endpoint_list(
    parts: &Parts,
    cached_list: Option<serde_json::Value>,
    source: EndpointListSource,
    sockets: Vec<Rc<TcpListener>>,
) -> JoinHandle<()> {
    let handover = parts.handover.clone();
    let lifecycle = parts.lifecycle.clone();
    let serve = move || {
        handover.serve(sockets);
        lifecycle.enter(Phase::Ready);
    };
    spawn_local(follow_endpoint_list(parts.directory.clone(), cached_list, source, serve))
}

/// Serves until SIGTERM or SIGINT, and reloads the configuration on SIGHUP.
///
/// # Errors
///
/// [`DaemonError::TaskEnded`] if a background task has ended.
pub(super) async fn serve_until_shutdown(
    server: &Server,
    signals: &mut Signals,
    reloader: &Reloader,
    tasks: BackgroundTasks,
    endpoint_list: JoinHandle<()>,
) -> Result<(), DaemonError> {
    tokio::select! {
        // Never: `listen` does not return.
        () = server.listen() => Ok(()),
        () = handle_signals(signals, reloader) => Ok(()),
        task = tasks.first_end(endpoint_list) => Err(DaemonError::TaskEnded(task)),
    }
}

/// Handles signals until one asks for the shutdown.
async fn handle_signals(signals: &mut Signals, reloader: &Reloader) {
    loop {
        match signals.next().await {
            SignalCommand::Shutdown => return,
            SignalCommand::Reload => reloader.reload(),
            SignalCommand::LogCounters => log::info!("counters: {}", reloader.parts.counters),
        }
    }
}
