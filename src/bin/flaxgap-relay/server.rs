//! Runs a relay from start to shutdown: the listener, the signal handlers and the concurrent tasks.

use crate::http;
use crate::relay::Relay;
use crate::settings::{RelaySettings, SettingsError};
use crate::upstream::UpstreamFollower;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::timeout;

/// Limit on connections that the kernel queues until they are accepted. It is large because all heads that lose a relay
/// call another one at about the same time.
const LISTEN_BACKLOG: u32 = 1024;
/// How long connections may take to close after SIGTERM.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Why the relay could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The configuration can't be read or is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The listener could not be opened.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The runtime or a signal handler could not be set up.
    #[error(transparent)]
    Runtime(#[from] io::Error),
}

/// The signals that a relay handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    log_counters: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            log_counters: signal(SignalKind::user_defined1())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Runs a relay until SIGTERM or SIGINT.
pub fn run(settings: RelaySettings) -> Result<(), StartError> {
    raise_descriptor_limit();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let listener = open_listener(settings.listen)
            .map_err(|source| StartError::Listen { address: settings.listen, source })?;
        log::info!("relay: listening on {}", listener.local_addr()?);
        log::info!("relay: following upstream, name={}, upstream={}", settings.name, settings.upstream);
        serve(&Relay::new(settings), listener).await?;
        Ok(())
    })
}

async fn serve(relay: &Rc<Relay>, listener: TcpListener) -> io::Result<()> {
    let Signals { mut terminate, mut interrupt, log_counters, hangup } = Signals::new()?;
    tokio::select! {
        () = http::accept_connections(relay, &listener) => {}
        () = UpstreamFollower::new(relay).run() => {}
        () = relay.snapshots().run() => {}
        () = log_counters_on_signal(log_counters, relay) => {}
        () = ignore_hangup(hangup) => {}
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    drop(listener);
    shut_down(relay).await;
    log::info!("relay: {}", relay.status().to_json());
    Ok(())
}

async fn log_counters_on_signal(mut requested: Signal, relay: &Relay) {
    while requested.recv().await.is_some() {
        log::info!("relay: {}", relay.status().to_json());
    }
}

/// Ignores SIGHUP, by which a head reloads its configuration: without a handler the signal would terminate a relay to
/// which an operator sends it by mistake.
async fn ignore_hangup(mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        log::warn!("relay: SIGHUP ignored, a changed configuration takes a restart");
    }
}

/// Ends all sessions, so that heads move to other relays, and waits until the connections are closed.
async fn shut_down(relay: &Relay) {
    relay.begin_shutdown();
    let connections = relay.connections();
    if timeout(SHUTDOWN_TIMEOUT, connections.all_closed()).await.is_err() {
        log::warn!("relay: connections still open at shutdown, count={}", connections.count());
    }
}

fn open_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Raises the soft limit on file descriptors to the hard limit: each watch needs a descriptor, and the usual soft limit
/// is 1,024.
fn raise_descriptor_limit() {
    let mut limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current = limit.maximum;
    if let Err(error) = rustix::process::setrlimit(rustix::process::Resource::Nofile, limit) {
        log::warn!("relay: descriptor limit not raised, error={error}");
    }
}
